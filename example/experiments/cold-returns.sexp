; The effect of coldness and of the number of poolers when all servers return at once.
(experiment "cold returns"
  (scenario "../rehearsals/cold-returns.sexp")
  (seeds 1 16)
  (axis "poolers" (value "3" (poolers 3)) (value "12" (poolers 12)))
  (axis "cold" (value "0.05" (cold-by 0.05)) (value "0.15" (cold-by 0.15) (falls 2.5))))
