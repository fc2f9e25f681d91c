; Month-end at a fleet that shares what it knows: twice the load that the servers can do, from clients that try again; a partition between
; poolers; a tenant whose funds run out in its midst and who pays; reports in order over all groups, paged throughout at any pooler in turn;
; two poolers killed, one of which votes. On sockets it is played with eight processes, and its servers do their work sooner.
(rehearsal "month-end-fleet"
  (seconds 24) (poolers 150) (groups-of 4 3) (rate 260) (roams 0.6) (retries 3) (retry 20ms 120ms)
  (tenant "norte" (share 0.3)) (tenant "sul" (share 0.7))
  (peers) (overload (shed yes)) (agreed (voters 3))
  (credit (unit "cent") (lease 3s) (renew 500ms)
    (price "quadro-obra" (request 10)) (price "conferir-ponto" (request 20)) (price "relatorio-mes" (request 20)) (price "registrar-ponto" (request 10))
    (payment "norte" 1 9000) (payment "sul" 1 100000000))
  (pages (class "conferir-ponto") (tenant "sul") (rows 60) (page 25) (readers 4) (think 40ms) (changes 20))
  (at 5s (load 2) (for 11s))
  (at 7s (between (part 0 0.4) (part 0.4 1) cut) (for 5s))
  (at 9s (kill-pooler 2) (for 2s))
  (at 13s (kill-pooler 6) (for 2s))
  (at 15s (pay "norte" 2 20000 3)))
