; Found by drawn faults and shrunk: a pooler starts while its group has had no primary for seconds, and the late list still
; names one whose position does not advance. A bounded read was once served from there. See docs/design/virtual-time.md.
(rehearsal "a start without a primary"
  (seconds 20.25) (poolers 3) (rate 125)
  (groups 2 2 3)
  (roams 0.05)
  (cold 8000ms)
  (detect 100ms 300ms)
  (elect 50ms 200ms)
  (switch 50ms 200ms)
  (at 9840ms (hang member 0 1) (for 6728ms))
  (at 9919ms (hang member 0 0) (for 1758ms))
  (at 12374ms (drain member 0 0) (for 7547ms))
  (at 13319ms (drain member 0 1) (for 4231ms))
  (at 14216ms (kill-pooler 0) (for 2868ms)))
