; Month-end close: the load rises, a primary dies at the peak, replicas fall behind under the writes, and one pooler is
; restarted meanwhile.
(rehearsal "month-end"
  (seconds 30) (poolers 2) (groups 3 3) (rate 60) (cold 10s)
  (class "registrar-ponto" (share 0.45))
  (at 5s (load 1.6) (for 18s))
  (at 8s (lag replica 0 8) (for 8s))
  (at 11s (die primary 0) (for 6s))
  (at 14s (restart-pooler 1)))
