package execution

import "beechgrade/internal/frontend/scatter/cursor"

// phase is the phase of the read of a shard. The order of the constants is significant.
type phase uint8

const (
	backingOff    phase = iota // waiting for the time of a retry
	submitted                  // submitted to the decision module
	connected                  // has a connection to a server; no statement is sent yet
	sent                       // the statement was sent, and rows are being received
	ended                      // all rows were received, or no more are needed
	positionKnown              // all rows and the position of the server were received
	excluded                   // left out of the page
)

// shard is the state of the read of a shard.
type shard struct {
	phase          phase
	attempt        int     // number of the current attempt; events of others are ignored
	retryAt        float64 // set in phase backingOff
	progressAt     float64 // time at which the read was submitted or sent, the last row was received, or reading was resumed
	readingStopped bool    // because the merge holds enough rows of the shard

	rows               int          // number of rows received
	readOwnOffset      int          // offset of the shard's own part in the key of the row received last
	deliveredKey       []byte       // key of the row delivered last, nil if there is none
	deliveredOwnOffset int          // offset of the shard's own part in deliveredKey
	cursorPlace        cursor.Place // the shard's place in the cursor
	cursorMinPosition  int64        // the position that the cursor requires

	submittedPosition int64 // position that the current attempt requires
	observedPosition  int64 // upper bound of the positions of the servers that rows were read from
	reportedPosition  int64 // position of the server after its last row, 0 if unknown
}

// nextPosition returns the minimum position at which the next rows of the shard must be read.
func (s *shard) nextPosition() int64 {
	position := s.reportedPosition
	if position == 0 {
		position = s.observedPosition
	}
	return max(s.cursorMinPosition, s.submittedPosition, position)
}
