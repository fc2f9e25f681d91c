// Package execution decides on the course of one page of a scattered read: a state machine that takes events and returns the Actions to
// perform. It does no I/O, has no clock and no goroutines, and knows no servers, statements or cursors' texts. Times are in milliseconds
// on the caller's clock; positions of servers' logs are times in Unix ms.
//
// # Begin
//
// Each shard's read is first submitted to the decision module. Statements are sent only when every shard has a connection to a server.
// If a shard is rejected before that, the page is rejected as a whole, and no server has done any work.
//
// # Retries
//
// A shard that fails is retried from behind its last row, up to MaxRetries times, at the position that its rows may have been read at.
// A shard whose row is needed and that sends none for UnresponsiveMs has failed; one that is merely slow has not. A shard without
// retries left is excluded if MaxMissing allows that; otherwise the page fails. At the deadline the same holds for each shard whose row is
// needed.
//
// # End
//
// When the page is full, reads that still run are cancelled. A shard whose rows have ended reports its position. For one that does not
// within PositionWaitMs, the time of its last row stands for it, as no server had applied later writes then.
//
// # Bounds
//
// At most Settings.MaxHeldBytes are held, and a run ends at its deadline at the latest.
package execution

import (
	"fmt"

	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/merge"
)

// Settings are the settings of a scattered read.
type Settings struct {
	Shards          int
	MaxMissing      int     // shards that may be excluded, 0 for none
	WindowBytes     int     // of rows held of each shard, beyond which it is not read
	MaxRowBytes     int     // of a row, with its key
	UnresponsiveMs  float64 // a shard whose row is needed may send nothing for so long, 0 for any time
	MaxRetries      int     // of each shard
	PositionWaitMs  float64 // for shards' positions, once the page is full
	AnswerReserveMs float64 // before the deadline, at which shards that are late are excluded or not retried
}

// MaxHeldBytes returns the bound of the bytes that a run holds.
func (s *Settings) MaxHeldBytes() int {
	return merge.MaxHeldBytes(s.Shards, s.WindowBytes, s.MaxRowBytes)
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	Submit        ActionKind = iota // submit the shard's read to the decision module
	Send                            // send the shard's statement
	StopReading                     // stop reading the shard's rows
	ResumeReading                   // read them again
	Cancel                          // cancel the shard's read, whether it is submitted, waits or runs
	Deliver                         // pass Row to the client
	Finish                          // give the one final answer, by Verdict
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
	Row     []byte       // of Deliver; valid until the next event
	Attempt int          // of Submit: its number, by which events refer to it
	Place   cursor.Place // of Submit: rows are read from behind it
	MaxRows int          // of Submit

	// MinPosition is the position that the server of a Submit must have, 0 for any.
	MinPosition int64
}

// Verdict is how a run ended.
type Verdict uint8

// The verdicts.
const (
	Running   Verdict = iota
	Served            // all rows of the page were delivered
	Rejected          // nothing was sent
	Failed            // rows may have been delivered
	Abandoned         // the client has disconnected
)

var verdictNames = [...]string{"running", "served", "rejected", "failed", "abandoned"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict %d", uint8(v))
	}
	return verdictNames[v]
}
