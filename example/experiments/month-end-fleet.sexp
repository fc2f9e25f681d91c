; The month-end of a fleet, 200 times; and again with servers, poolers and replicas that fail beside it, as each seed draws them.
(experiment "month-end-fleet"
  (scenario "../rehearsals/month-end-fleet.sexp")
  (seeds 1 200)
  (axis "beside" (value "nothing" (seconds 24))))
