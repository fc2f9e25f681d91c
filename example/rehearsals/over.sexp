; More load than the servers can serve, and no other fault: the result depends only on which requests poolers admit, and in which order.
(rehearsal "over"
  (seconds 25) (poolers 150) (groups-of 10 4) (rate 3000) (roams 0.6) (retries 3) (retry 20ms 120ms))
