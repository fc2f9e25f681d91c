; Faults of servers, of poolers and of Consul's answers about them, drawn from the seed.
(rehearsal "consul chaos"
  (seconds 30) (poolers 3) (groups 3 3 4) (rate 150) (cold 8s) (roams 0.05) (consul 3)
  (detect 200ms 1200ms) (elect 200ms 1500ms)
  (chaos 24 3s 24s))
