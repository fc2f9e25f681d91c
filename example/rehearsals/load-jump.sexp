; The load jumps while a group has no primary.
(rehearsal "a load jump during a takeover"
  (seconds 26) (poolers 2) (groups 3 3) (rate 60) (cold 8s)
  (at 6s (die primary 0) (for 5s))
  (at 7s (load 2.5) (for 5s)))
