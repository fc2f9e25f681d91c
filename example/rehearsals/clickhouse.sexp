; Four ClickHouse peers, queried over the HTTP interface, at the month-end: one hangs, one falls behind, one
; is drained, one dies and returns cold, and the load jumps meanwhile.
(rehearsal "the column store at the month's end"
  (clickhouse)
  (seconds 25)
  (poolers 2)
  (groups 4)
  (rate 110)
  (at 3s (lag member 0 1 40) (for 12s))
  (at 5s (hang member 0 0) (for 4s))
  (at 8s (load 1.5) (for 4s))
  (at 11s (drain member 0 2) (for 5s))
  (at 16s (die member 0 3) (for 3s)))
