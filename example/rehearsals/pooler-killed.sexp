; A pooler is killed while the primaries are down, and restarts.
(rehearsal "a pooler is killed during a takeover"
  (seconds 25)
  (poolers 2)
  (groups 3 3)
  (rate 100)
  (cold 10s)
  (at 6s (die primaries) (for 6s))
  (at 7500ms (kill-pooler 0) (for 2s)))
