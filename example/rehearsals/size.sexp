; Half the primaries die and return cold under the usual load; the sizes are those of the experiment.
(rehearsal "size"
  (seconds 24) (poolers 10) (groups-of 25 4) (rate 1500) (sessions 4000)
  (at 6s (die half-primaries) (for 5s)))
