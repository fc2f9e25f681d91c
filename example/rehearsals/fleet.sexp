; Eight poolers keep a view of their fleet while links between them and processes fail: half of the fleet is killed at once and restarts,
; a partition five to three, one whose messages are all lost, two that cannot reach each other, one that is stalled.
(rehearsal "fleet"
  (seconds 75) (poolers 8) (groups 3 3) (rate 60)
  (peers (probe 500ms) (timeout 150ms) (suspicion 1500ms))
  (at 4s (kill-pooler 1) (for 9s)) (at 4s (kill-pooler 4) (for 9s)) (at 4s (kill-pooler 6) (for 9s)) (at 4s (kill-pooler 7) (for 9s))
  (at 22s (between (0 2 3) (1 4 5 6 7) cut) (for 10s))
  (at 42s (links 2 all cut) (for 5s))
  (at 55s (between 0 3 cut) (for 6s))
  (at 62s (stall-pooler 5) (for 5s)))
