; Faults of ClickHouse peers and of the poolers in front of them, drawn from the seed.
(rehearsal "column store chaos"
  (clickhouse)
  (seconds 30) (poolers 3) (groups 6) (rate 120) (cold 8s) (roams 0.05)
  (class "painel" (bound 3s))
  (chaos 24 3s 24s))
