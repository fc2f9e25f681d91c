; A replica flaps, and a primary executes writes slowly.
(rehearsal "flapping"
  (seconds 26) (poolers 2) (groups 3 3) (rate 80) (cold 4s)
  (at 3s (die member 0 1) (for 1s) (every 3s))
  (at 10s (disk primary 1 4) (for 6s)))
