; The fleet's view under drawn faults, with three fleet sizes, 200 seeds each for the first.
(experiment "fleet"
  (scenario "../rehearsals/fleet-chaos.sexp")
  (seeds 1 200)
  (axis "poolers" (value "12" (poolers 12)) (value "40" (poolers 40))))
