; What each pooler learns by itself, and what all could know: two replicas receive no requests while their probes are answered, one loses
; a third of them, the answers of a primary are lost, and half the primaries are down for 4 s. For virtual time only.
(rehearsal "alone"
  (seconds 20) (poolers 150) (groups-of 10 4) (rate 600) (retries 1) (peers)
  (at 3s (deaf member 1 1) (for 12s)) (at 3s (deaf member 3 2) (for 12s))
  (at 4s (lose member 5 1 0.3) (for 12s))
  (at 5s (mute primary 7) (for 4s))
  (at 9s (die half-primaries) (for 4s)))
