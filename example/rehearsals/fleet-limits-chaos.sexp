; Eight poolers share fleet-wide limits, most of the demand at two of them in turn, while links and processes fail as drawn
; from the seed. One limit must never be exceeded, the other follows demand soon.
(rehearsal "fleet limits, drawn faults"
  (seconds 60) (poolers 8) (groups 3 3) (rate 300)
  (tenant "a" (share 0.5)) (tenant "b" (share 0.4)) (tenant "c" (share 0.1))
  (skew 0.5) (swing 7s)
  (peers (probe 500ms) (timeout 250ms) (suspicion 1500ms))
  (fleet-limits (lease 6s) (promise 2s)
    (limit "a" (of tenant "a") (rate 80) (burst 80)) (limit "b" (of tenant "b") (rate 60) (burst 60) (manner soon-even)) (limit "probes" (of probes) (rate 40)) (limit "cold" (of cold)))
  (chaos 8 10s 45s parted unheard apart lossy slow stall-pooler kill-pooler))
