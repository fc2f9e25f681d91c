; The operators' settings for recife-ponto. `beechgrade --settings FILE check` reads them whole.
; Here the disk does not survive a restart and counts as memory, so nothing is recorded.
(record
  (on no)
  (dir "$TMPDIR/records")
  (segment 2m)    ; a file is closed at this size
  (total 16m)     ; of all files of one pooler; the oldest go first
  (queue 4096)    ; events that wait for the writer; what finds no room is counted as lost
  (flush 250ms))
