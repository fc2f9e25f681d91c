; The same faults with one pooler and with many, which learn each on its own or from one another.
(experiment "alone"
  (scenario "../rehearsals/alone.sexp")
  (seeds 1 4)
  (axis "verdicts" (value "off") (value "on" (verdicts)))
  (axis "poolers" (value "1" (poolers 1)) (value "4" (poolers 4)) (value "30" (poolers 30)) (value "150" (poolers 150)) (value "300" (poolers 300))))
