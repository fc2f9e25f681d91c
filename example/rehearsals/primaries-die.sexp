; The primaries of all groups die together while the list lags. They return cold and behind.
(rehearsal "primaries die while the list lags"
  (seconds 30)
  (poolers 2)
  (groups 3 3 4)
  (rate 120)
  (cold 12s)
  (at 6s (list-late 4s) (for 14s))
  (at 8s (die primaries) (for 7s)))
