; More than the servers can do, and nothing else wrong: what the poolers let in, and in what order, is all there is.
(rehearsal "over"
  (seconds 25) (poolers 150) (groups-of 10 4) (rate 3000) (roams 0.6) (retries 3) (retry 20ms 120ms))
