; The checker's rules under drawn faults, with 300 poolers that share what they know of servers.
(experiment "verdicts many"
  (scenario "../rehearsals/verdicts-many.sexp")
  (seeds 1 200))
