; Servers drain and return one after another, and so do the poolers.
(rehearsal "rolling restart"
  (seconds 30) (poolers 2) (groups 3 3) (rate 70) (cold 4s)
  (at 3s (drain member 0 1) (for 4s))
  (at 8s (drain member 0 2) (for 4s))
  (at 13s (drain member 0 0) (for 5s))
  (at 10s (restart-pooler 0))
  (at 20s (restart-pooler 1)))
