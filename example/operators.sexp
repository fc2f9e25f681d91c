; Operators' settings of an installation that records. TMPDIR is where this pooler may write.
(record
  (on)
  (dir "$TMPDIR/records")
  (segment 4m)
  (total 64m)
  (queue 4096)
  (flush 250ms)
  (pack))
