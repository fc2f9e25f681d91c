; The endpoint list is unavailable for a while, and a primary dies in that time.
(rehearsal "no list"
  (seconds 26) (poolers 2) (groups 3 3) (rate 70) (cold 6s)
  (at 4s (list-gone) (for 10s))
  (at 6s (die primary 1) (for 6s)))
