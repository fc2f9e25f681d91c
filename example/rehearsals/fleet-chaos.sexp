; Faults of processes and of the links between them, drawn from the seed, for up to half a minute; then all views must converge.
(rehearsal "fleet chaos"
  (seconds 70) (poolers 12) (groups 3 3) (rate 20)
  (peers (probe 500ms) (timeout 150ms) (suspicion 1500ms) (exchange 3s))
  (chaos 10 3s 25s kill-pooler stall-pooler parted unheard apart lossy slow))
