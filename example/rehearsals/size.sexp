; Half the primaries die and return cold, while the load is usual; the sizes are the experiment's.
(rehearsal "size"
  (seconds 24) (poolers 10) (groups-of 25 4) (rate 1500) (sessions 4000)
  (at 6s (die half-primaries) (for 5s)))
