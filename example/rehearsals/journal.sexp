; Writes that must never run twice, while poolers are killed and a primary dies: shows what the journal costs and that it is complete. For virtual time only.
(rehearsal "journal"
  (seconds 40) (poolers 2) (groups 3 3) (rate 240) (retries 1) (cold 5s)
  (class "registrar-ponto" (share 0.5))
  (at 10s (die primary 0) (for 4s))
  (at 15s (kill-pooler 0) (for 300ms) (every 2s)))
