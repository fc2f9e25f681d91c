; Half the primaries of 250 groups die at once and return cold. For virtual time only.
(rehearsal "half the primaries"
  (seconds 30) (poolers 20) (groups-of 250 4) (rate 15000) (sessions 40000)
  (at 8s (die half-primaries) (for 6s)))
