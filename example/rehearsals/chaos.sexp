; Faults drawn from the seed, which may overlap.
(rehearsal "chaos"
  (seconds 30) (poolers 3) (groups 3 3 4) (rate 150) (cold 8s) (roams 0.05)
  (detect 200ms 1200ms) (elect 200ms 1500ms)
  (chaos 12 3s 24s))
