; Poolers are stalled and resume repeatedly, while primaries are replaced sooner than a bound of 100 ms detects, replicas fall
; behind, and connections are reopened: nothing that waited in a pooler's sockets may count as fresh when it resumes.
(rehearsal "stalled poolers"
  (groups 3 3 3) (poolers 8) (seconds 40) (rate 300) (sessions 60) (idle 400ms) (cold 3s) (roams 0.3)
  (detect 150ms 300ms) (elect 100ms 300ms) (list 100ms 400ms) (roles 300ms 900ms)
  (class "quadro-obra" (bound 100ms) (deadline 3s)) (class "registrar-ponto" (deadline 4s))
  (chaos 60 2s 36s stall-pooler die hang drain lag crowd kill-pooler))
