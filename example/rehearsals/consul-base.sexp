; A day with a takeover and a drain; the endpoint list comes from two Consul agents.
(rehearsal "consul base"
  (seconds 30) (poolers 2) (groups 3 3 3) (rate 200) (cold 8s) (consul 2) (roles 2s 4s)
  (at 10s (die primary 0) (for 8s))
  (at 15s (drain member 1 1) (for 6s)))
