; Servers that pass their probes but do not serve: one receives no requests, one loses some, and the answers
; of a primary are lost.
(rehearsal "half alive"
  (seconds 26) (poolers 2) (groups 3 3) (rate 80)
  (at 4s (deaf replica 0) (for 6s))
  (at 8s (lose member 1 1 0.3) (for 8s))
  (at 16s (mute primary 1) (for 2s)))
