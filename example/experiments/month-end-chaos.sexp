; The month-end of a smaller fleet, with additional faults of servers, poolers and links between them, drawn from each seed.
(experiment "month-end-chaos"
  (scenario "../rehearsals/month-end-fleet.sexp")
  (seeds 1 200)
  (axis "faults"
    (value "drawn" (seconds 18) (poolers 24) (at 3s (lag replica 1 6) (for 8s)) (chaos 6 2s 14s die hang drain deaf mute lose crowd lag kill-pooler restart-pooler stall-pooler parted unheard lossy slow))))
