; Poolers take their list from Consul, which returns every kind of wrong answer: data an hour old, all servers deregistered by
; mistake, the wrong primaries, servers under new ids, failing checks, and answers that are empty, truncated or missing.
(rehearsal "consul lies" (seconds 45) (poolers 3) (groups 3 3 4) (rate 250) (cold 8s) (roams 0.1) (consul 2)
  (detect 150ms 400ms) (elect 3s 4s) (switch 100ms 300ms) (list 200ms 500ms) (roles 4s 6s)
  (at 3s (agent 0 frozen) (for 15s)) (at 4s (die primary 0) (for 12s)) (at 5s (deregister-all) (for 4s)) (at 5s (kill-pooler 0) (for 500ms))
  (at 6s (reissue member 0 1) (for 100ms) (every 400ms)) (at 6100ms (reissue member 0 2) (for 100ms) (every 400ms)) (at 6s (wrong-roles) (for 9s))
  (at 12s (agent 1 empty) (for 3s)) (at 16s (drain member 1 1) (for 5s)) (at 20s (hang primary 2) (for 6s)) (at 20s (agent 1 down) (for 3s)) (at 22s (agent 0 cut) (for 3s))
  (at 26s (fail-check everyone) (for 6s)) (at 28s (agent 0 hang) (for 8s)) (at 30s (die primaries) (for 5s)) (at 33s (kill-pooler 1) (for 400ms)) (at 36s (agent 1 leaderless) (for 5s))
  (at 38s (lag replica 1 30) (for 5s)) (at 39s (list-gone) (for 4s)) (at 40s (drain primary 1) (for 4s)))
