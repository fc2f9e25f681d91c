; The decisions of the ClickHouse frontend under faults drawn from 300 seeds, with two settings of how cold servers start.
(experiment "column store chaos"
  (scenario "../rehearsals/clickhouse-chaos.sexp")
  (seeds 1 300)
  (axis "cold" (value "0.15") (value "0.05" (cold-by 0.05) (falls 1.5))))
