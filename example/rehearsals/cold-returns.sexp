; All servers die and return very cold while the load jumps. Poolers learn late when each server started.
(rehearsal "cold returns"
  (seconds 36) (poolers 3) (groups 3 3 4) (rate 250) (roams 0.1)
  (cold 8s) (cold-by 0.05) (falls 1.5)
  (detect 150ms 400ms) (elect 100ms 400ms) (list 200ms 500ms)
  (at 20s (list-late 3s) (for 8s))
  (at 22s (die everyone) (for 2s))
  (at 24s (load 4) (for 3s)))
