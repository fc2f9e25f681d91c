// Package execution is the state machine of one page of a scattered read: it takes events and returns the Actions to perform. It does no
// I/O, has no clock and no goroutines, and does not depend on servers, statements or the encoding of cursors. Times are in milliseconds on
// the caller's clock. Positions of servers' logs are times in Unix ms.
//
// # Begin
//
// The read of each shard is first submitted to the decision module. Statements are sent only when every shard has a connection to a
// server. If a shard is rejected before that and MaxMissing does not allow its exclusion, the page is rejected as a whole, and no server
// has done any work.
//
// # Retries
//
// A shard that fails is retried after its last row, up to MaxRetries times, at no earlier position than its rows may have been read at.
// A shard has failed if its row is needed and it sends none for UnresponsiveMs; a shard that is merely slow has not. A shard without
// remaining retries is excluded if MaxMissing allows that; otherwise the page fails. At the deadline, the same applies to each shard whose
// row is needed.
//
// # End
//
// When the page is full, reads that are still running are cancelled. The servers of shards whose rows have ended report their positions.
// If a position is not reported within PositionWaitMs, the time of the shard's last row is used in its place: no server can have applied
// later writes by then.
//
// # Bounds
//
// A run holds at most Settings.MaxHeldBytes, and ends at its deadline at the latest.
package execution

import (
	"fmt"

	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/merge"
)

// Settings are the settings of a run.
type Settings struct {
	Shards          int
	MaxMissing      int     // number of shards that may be excluded
	WindowBytes     int     // bytes of rows held per shard, at which reading from the shard stops
	MaxRowBytes     int     // upper bound of the size of a row and its key
	UnresponsiveMs  float64 // how long a shard may send nothing while its next row is needed, 0 for no limit
	MaxRetries      int     // per shard
	PositionWaitMs  float64 // how long a full page waits for the positions of shards
	AnswerReserveMs float64 // time before the deadline at which late shards are excluded or no longer retried
}

// MaxHeldBytes returns the upper bound of the bytes that a run holds.
func (s *Settings) MaxHeldBytes() int {
	return merge.MaxHeldBytes(s.Shards, s.WindowBytes, s.MaxRowBytes)
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	Submit        ActionKind = iota // submit the read of the shard to the decision module
	Send                            // send the statement of the shard
	StopReading                     // stop reading rows of the shard
	ResumeReading                   // resume reading rows of the shard
	Cancel                          // cancel the read of the shard, whether it is submitted, connected or running
	Deliver                         // pass Row to the client
	Finish                          // give the final answer, according to Verdict; happens once
)

var actionNames = [...]string{"submit", "send", "stop reading", "resume reading", "cancel", "deliver", "finish"}

// String returns the kind's name.
func (k ActionKind) String() string {
	if int(k) >= len(actionNames) {
		return fmt.Sprintf("action %d", uint8(k))
	}
	return actionNames[k]
}

// Action is what the caller must do.
type Action struct {
	Kind    ActionKind
	Shard   int
	Row     []byte       // for Deliver; valid until the next event
	Attempt int          // for Submit: the number by which events refer to the attempt
	Place   cursor.Place // for Submit: the rows after it are read
	MaxRows int          // for Submit: limit of the rows to read

	// MinPosition, for Submit, is the position that the server must at least have, 0 for any.
	MinPosition int64
}

// Verdict is the outcome of a run.
type Verdict uint8

// The verdicts.
const (
	Running   Verdict = iota
	Served            // all rows of the page were delivered
	Rejected          // no statement was sent
	Failed            // rows may have been delivered
	Abandoned         // the client has disconnected or cancelled
)

var verdictNames = [...]string{"running", "served", "rejected", "failed", "abandoned"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict %d", uint8(v))
	}
	return verdictNames[v]
}
