; Faults of servers, of the links to them, of poolers and of the links between them, drawn from the seed; 300 poolers share what they know of servers.
; Short and with few messages between poolers, for many seeds; verdicts end soon, so that a blackout by false reports shows in the last 10 s. For virtual time only.
(rehearsal "verdicts many"
  (seconds 20.5) (poolers 300) (groups-of 2 4) (rate 150) (retries 1) (sites "a" "b" "c") (cross 0.3ms 1ms) (cold 2s)
  (peers (probe 3s) (gossip 1s) (exchange 30s)) (verdicts (lapse 3s) (period 200ms))
  (chaos 8 1s 5s deaf mute lose hang die lag cut thin list-held restart kill-pooler stall-pooler parted unheard lossy slow))
