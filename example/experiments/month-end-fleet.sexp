; The month-end of a fleet, 200 times; and again with additional faults of servers, poolers and replicas, drawn from each seed.
(experiment "month-end-fleet"
  (scenario "../rehearsals/month-end-fleet.sexp")
  (seeds 1 200)
  (axis "beside" (value "nothing" (seconds 24))))
