; Overload with one pooler and with many: the servers can serve about 2,400 attempts a second. The last two halve that for 5 s.
(experiment "over"
  (scenario "../rehearsals/over.sexp")
  (seeds 1 3)
  (axis "load"
    (value "2000" (rate 2000))
    (value "3000" (rate 3000))
    (value "4500" (rate 4500))
    (value "6000" (rate 6000))
    (value "1500, half for 5 s" (seconds 40) (rate 1500) (at 15s (crowd everyone 0.5) (for 5s)))
    (value "2000, half for 5 s" (seconds 40) (rate 2000) (at 15s (crowd everyone 0.5) (for 5s))))
  (axis "poolers" (value "1" (poolers 1)) (value "8" (poolers 8)) (value "30" (poolers 30)) (value "150" (poolers 150))))
