; Writes whose duplicates the servers drop by a key, for 1.2 s: answers are lost for longer than that, a primary is replaced within it,
; and clients that change poolers retry with the same key.
(rehearsal "keyed window"
  (seconds 30) (poolers 2) (groups 3 3) (rate 80) (roams 0.5) (cold 6s)
  (detect 300ms 600ms) (elect 200ms 500ms)
  (class "registrar-ponto" (keyed 1200ms) (aim 600ms) (deadline 4s))
  (at 4s (mute primary 0) (for 3s))
  (at 10s (die primary 1) (for 6s))
  (at 18s (lose primary 0 0.4) (for 4s))
  (at 24s (hang primary 1) (for 3s)))
