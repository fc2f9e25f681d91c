; Two sites a short distance apart, with lists that are pushed late: crossing has a cost, and happens where no server of a site can
; answer.
(rehearsal "two sites"
  (seconds 30) (poolers 4) (groups 3 4) (rate 100) (sites "centro" "sur") (cross 0.7ms 1.3ms) (cross-price 0.0081)
  (pushed yes) (list 1200ms 4s) (cold 8s)
  (at 5s (drain member 0 1) (for 6s))
  (at 8s (lag member 1 1 20) (for 8s))
  (at 14s (die member 1 2) (for 5s))
  (at 20s (die primary 0) (for 5s)))
