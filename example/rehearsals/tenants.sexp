; Three tenants with shares of 300 requests a second. One sends twice its share; under pressure its requests must be rejected first, and
; the others must get their shares.
(rehearsal "tenants"
  (seconds 30) (poolers 3) (groups 3 3) (rate 300)
  (tenant "laguna" (share 0.49) (usage 1.6)) (tenant "naipes" (share 0.4) (usage 0.5)) (tenant "verde" (share 0.11) (usage 0.8))
  (allowance 300) (over 0.2)
  (at 8s (load 2) (for 12s)))
