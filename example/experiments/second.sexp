; What differs in a second deployment from the first, each alone and all at once, under drawn faults.
(experiment "second deployment"
  (scenario "../rehearsals/chaos.sexp")
  (seeds 1 20)
  (axis "kind"
    (value "as the first")
    (value "keyed writes" (class "registrar-ponto" (keyed 1200ms) (aim 600ms)))
    (value "tenants" (tenant "laguna" (share 0.49) (usage 1.2)) (tenant "naipes" (share 0.4) (usage 1.3)) (tenant "verde" (share 0.11)) (allowance 120) (over 0.2))
    (value "two sites" (sites "centro" "sur") (cross 0.7ms 1.3ms) (cross-price 0.0081) (pushed yes))
    (value "roaming" (roams 0.8))
    (value "all at once" (class "registrar-ponto" (keyed 1200ms) (aim 600ms)) (tenant "laguna" (share 0.49) (usage 1.2)) (tenant "naipes" (share 0.4) (usage 1.3))
      (tenant "verde" (share 0.11)) (allowance 120) (over 0.2) (sites "centro" "sur") (cross 0.7ms 1.3ms) (cross-price 0.0081) (pushed yes) (roams 0.8))))
