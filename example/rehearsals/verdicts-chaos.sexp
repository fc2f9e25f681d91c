; Faults of servers, of the links to them, of poolers and of the links between them, drawn from the seed; the poolers share what they know of
; servers. For virtual time only.
(rehearsal "verdicts chaos"
  (seconds 45) (poolers 12) (groups-of 2 4) (rate 240) (retries 1) (sites "a" "b" "c") (cross 0.3ms 1ms) (cold 4s)
  (peers (probe 500ms) (timeout 150ms) (suspicion 1500ms) (exchange 3s)) (verdicts)
  (chaos 12 3s 25s deaf mute lose hang die lag cut thin list-held restart kill-pooler stall-pooler parted unheard lossy slow))
