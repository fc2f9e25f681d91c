; The cost of each kind of wrong answer from Consul, compared with a correct list.
(experiment "consul"
  (scenario "../rehearsals/consul-base.sexp")
  (seeds 1 20)
  (axis "lie"
    (value "none")
    (value "an agent an hour old" (at 5s (agent 0 frozen) (for 20s)))
    (value "all agents down" (at 5s (list-gone) (for 20s)))
    (value "an agent hangs" (at 5s (agent 0 hang) (for 20s)))
    (value "empty answers" (at 5s (agent 0 empty) (for 20s)) (at 5s (agent 1 empty) (for 20s)))
    (value "torn answers" (at 5s (agent 0 cut) (for 20s)) (at 5s (agent 1 cut) (for 20s)))
    (value "everything deregistered" (at 5s (deregister-all) (for 20s)))
    (value "wrong primaries" (at 5s (wrong-roles) (for 20s)))
    (value "checks that fail" (at 5s (fail-check everyone) (for 20s)))
    (value "new ids" (at 5s (reissue everyone) (for 100ms) (every 5s)))
    (value "all at once" (at 5s (agent 0 frozen) (for 20s)) (at 6s (wrong-roles) (for 18s)) (at 8s (deregister-all) (for 6s)) (at 9s (fail-check everyone) (for 15s))
      (at 16s (agent 1 empty) (for 5s)))))
