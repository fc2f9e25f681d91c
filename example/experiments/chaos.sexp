; Combinations of faults that no scenario describes: drawn again for each seed.
(experiment "chaos"
  (scenario "../rehearsals/chaos.sexp")
  (seeds 1 200)
  (axis "cold" (value "0.15") (value "0.05" (cold-by 0.05) (falls 1.5))))
