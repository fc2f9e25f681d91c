; Month-end at a fleet whose poolers share what they know: twice the load that the servers can serve, from clients that retry; a partition between
; poolers; a tenant whose funds run out meanwhile and who pays; sorted reports over all groups, paged throughout at the poolers in turn;
; replicas lag; two poolers are killed, one of which votes. On sockets it runs with eight processes, and clients wait longer.
(rehearsal "month-end-fleet"
  (seconds 24) (poolers 150) (groups-of 3 2) (rate 260) (roams 0.6) (retries 3) (retry 20ms 120ms) (ship 5ms 150ms)
  (tenant "norte" (share 0.3)) (tenant "sul" (share 0.7))
  (peers) (overload (shed yes)) (agreed (voters 3) (tick 50ms) (election 12) (heartbeat 2) (every 400) (keep 100))
  (credit (unit "cent") (lease 3s) (renew 500ms)
    (price "quadro-obra" (request 10)) (price "conferir-ponto" (request 20)) (price "relatorio-mes" (request 20)) (price "registrar-ponto" (request 10))
    (payment "norte" 1 9000) (payment "sul" 1 100000000))
  (pages (class "conferir-ponto") (tenant "sul") (rows 80) (page 25) (readers 10) (think 40ms) (changes 20))
  (at 5s (load 2.8) (for 11s))
  (at 7s (between (part 0 0.4) (part 0.4 1) cut) (for 5s))
  (at 9s (kill-pooler 2) (for 2s))
  (at 13s (kill-pooler 6) (for 2s))
  (at 15s (pay "norte" 2 20000 3))
  (on-sockets (poolers 8) (rate 280)
    (class "quadro-obra" (aim 800ms) (deadline 2s) (work 40ms 80ms)) (class "conferir-ponto" (aim 800ms) (deadline 2s) (work 40ms 80ms))
    (class "relatorio-mes" (aim 800ms) (deadline 2s) (work 40ms 80ms)) (class "registrar-ponto" (aim 800ms) (deadline 2s) (work 40ms 80ms))
    (peers (probe 300ms) (timeout 100ms) (suspicion 900ms) (gossip 100ms) (exchange 2s) (reconnect 400ms) (hold 30s))))
