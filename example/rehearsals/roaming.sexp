; Four of five requests go to any pooler: a session's reads see its writes only by the position that they carry, while
; replicas fall behind and a pooler restarts without state.
(rehearsal "roaming"
  (seconds 30) (poolers 3) (groups 3 4) (rate 100) (roams 0.8) (follows 0.86) (follow 230ms)
  (at 4s (lag replica 0 18) (for 10s))
  (at 10s (kill-pooler 1) (for 1s))
  (at 16s (lag replica 1 18) (for 8s))
  (at 20s (die primary 0) (for 4s)))
