; The cost of the journal of attempts that may have run, by the duration of a disk's sync; each run is paired by seed with one without a journal.
(experiment "journal"
  (scenario "../rehearsals/journal.sexp")
  (seeds 1 8)
  (axis "journal"
    (value "off" (journal off))
    (value "alongside, 0.1 to 2 ms" (journal alongside (disk 0.1ms 2ms)))
    (value "before, 0.1 to 2 ms" (journal before (disk 0.1ms 2ms)))
    (value "alongside, 5 to 20 ms" (journal alongside (disk 5ms 20ms)))
    (value "before, 5 to 20 ms" (journal before (disk 5ms 20ms)))
    (value "before, 50 to 300 ms" (journal before (disk 50ms 300ms)))))
