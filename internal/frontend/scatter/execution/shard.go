package execution

import "beechgrade/internal/frontend/scatter/cursor"

// phase is the phase of a shard's read, in the order of its course.
type phase uint8

const (
	backingOff    phase = iota // waits for its retry
	submitted                  // to the decision module
	connected                  // has a server, and nothing is sent
	sent                       // rows come
	ended                      // all its rows have come
	positionKnown              // and its position
	excluded                   // left out of the page
)

// shard is the state of a shard's read.
type shard struct {
	phase          phase
	attempt        int     // the number of the present one; events of others are ignored
	retryAt        float64 // while backingOff
	progressAt     float64 // when it was submitted or sent, its last row came, or reading resumed
	readingStopped bool    // as the merge holds enough of its rows

	rows          int    // that have come
	readOwn       int    // where the shard's own part of the key begins, of the row that came last
	deliveredKey  []byte // of the row that was delivered last, nil for none
	deliveredOwn  int    // where the shard's own part of deliveredKey begins
	cursorPlace   cursor.Place
	cursorMinimum int64 // the position that the cursor requires

	submittedPosition int64 // that the present attempt requires
	observedPosition  int64 // no server that rows were read at had a later one
	reportedPosition  int64 // of the server, after its last row; 0 if it is not known
}

// nextPosition returns the position at which the shard's next rows must be read.
func (s *shard) nextPosition() int64 {
	position := s.reportedPosition
	if position == 0 {
		position = s.observedPosition
	}
	return max(s.cursorMinimum, s.submittedPosition, position)
}
