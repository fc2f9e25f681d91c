; A primary hangs while its replicas fall behind, and the load jumps during the takeover.
(rehearsal "a primary hangs while replicas fall behind"
  (seconds 30)
  (poolers 2)
  (groups 3 4)
  (rate 110)
  (at 5s (lag replica 0 8) (for 12s))
  (at 7s (hang primary 0) (for 8s))
  (at 8s (load 1.8) (for 4s)))
