; The same load for each server, with more and more poolers and groups, while half the primaries die and return cold.
(experiment "size"
  (scenario "../rehearsals/size.sexp")
  (seeds 1 4)
  (axis "groups"
    (value "5" (groups-of 5 4) (rate 300) (sessions 800))
    (value "25" (groups-of 25 4) (rate 1500) (sessions 4000))
    (value "100" (groups-of 100 4) (rate 6000) (sessions 16000)))
  (axis "poolers" (value "1" (poolers 1)) (value "10" (poolers 10)) (value "100" (poolers 100))))
