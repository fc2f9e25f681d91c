package scatter

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/execution"
	"beechgrade/internal/frontend/scatter/merge"
)

const (
	minWindowBytes  = 4 << 10  // of the rows held of each shard
	minMessageBytes = 64 << 10 // the longest description or error of a server that is accepted
	readAheadBytes  = 64 << 10 // that the event loop reads of a connection at a time
)

// Shard is a group of servers that has a part of the rows.
type Shard struct {
	Name  string // rows with equal keys are in the order of their shards' names
	Group int
}

// Spec is a scattered read of the settings.
type Spec struct {
	Name   string
	Class  string
	Shards []Shard // by name
	Order  merge.Order

	DefaultRows   int // of a page whose client names no number
	MaxRows       int // of a page
	MaxMissing    int // shards that may be left out of a page, 0 for none
	PageBytes     int // of the rows held for a page, of all shards together
	MaxRowBytes   int // of a row
	MaxConcurrent int // pages at a time

	TimeoutMs       float64 // of a page
	UnresponsiveMs  float64 // a shard whose row is needed may send nothing for so long
	MaxRetries      int     // of each shard
	PositionWaitMs  float64 // for the positions of servers at the end of a page
	AnswerReserveMs float64 // before the deadline, at which shards that are late are left out

	orderDigest  cursor.Digest
	shardsDigest cursor.Digest
}

// ExecutionSettings returns the settings of a page's execution.
func (s *Spec) ExecutionSettings() execution.Settings {
	return execution.Settings{
		Shards:          len(s.Shards),
		MaxMissing:      s.MaxMissing,
		WindowBytes:     max(minWindowBytes, s.PageBytes/len(s.Shards)),
		MaxRowBytes:     s.MaxRowBytes,
		UnresponsiveMs:  s.UnresponsiveMs,
		MaxRetries:      s.MaxRetries,
		PositionWaitMs:  s.PositionWaitMs,
		AnswerReserveMs: s.AnswerReserveMs,
	}
}

// MaxHeldBytes returns the bound of the bytes that a pooler holds for all pages of a spec: rows, and what was read ahead on each
// connection.
func (s *Spec) MaxHeldBytes() int { return s.MaxConcurrent * s.maxPageBytes() }

func (s *Spec) maxPageBytes() int {
	settings := s.ExecutionSettings()
	return settings.MaxHeldBytes() + len(s.Shards)*(readAheadBytes+s.maxMessageBytes())
}

// maxMessageBytes returns the length of the longest message of a server that is accepted.
func (s *Spec) maxMessageBytes() int { return max(s.MaxRowBytes, minMessageBytes) }

// setDigests computes what cursors of the spec are bound to.
func (s *Spec) setDigests() {
	var names []string
	for _, shard := range s.Shards {
		names = append(names, shard.Name)
	}
	// Cursors are exchanged between poolers: the text of Order must stay as it is.
	s.orderDigest = DigestOf(fmt.Sprint(s.Order))
	s.shardsDigest = DigestOf(names...)
}

// DigestOf returns a digest of texts, by which a cursor is bound to them.
func DigestOf(texts ...string) (digest cursor.Digest) {
	hash := xxhash.New()
	for _, text := range texts {
		_, _ = fmt.Fprintf(hash, "%d %s", len(text), text) // a hash returns no error
	}
	sum := hash.Sum64()
	for i := range digest {
		digest[i] = byte(sum >> (8 * i))
	}
	return digest
}
