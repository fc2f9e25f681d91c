package scatter

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/execution"
	"beechgrade/internal/frontend/scatter/merge"
)

const (
	minWindowBytes  = 4 << 10  // lower bound of execution.Settings.WindowBytes
	minMessageBytes = 64 << 10 // messages of up to this length, such as row descriptions and errors, are always accepted
	readAheadBytes  = 64 << 10 // the most that the event loop reads from a connection at a time
)

// Shard is a group of servers that stores a part of the rows.
type Shard struct {
	Name  string // rows that are equal in the order's columns are sorted by the names of their shards
	Group int
}

// Spec is a scattered read as the settings define it.
type Spec struct {
	Name   string
	Class  string
	Shards []Shard // sorted by name
	Order  merge.Order

	DefaultRows   int // rows of a page if the client does not specify a number
	MaxRows       int // upper bound of the rows of a page
	MaxMissing    int // number of shards that may be left out of a page
	PageBytes     int // target for the rows held for a page, all shards together
	MaxRowBytes   int // upper bound of the size of a row
	MaxConcurrent int // upper bound of the pages that run at a time

	TimeoutMs       float64 // upper bound of the duration of a page
	UnresponsiveMs  float64 // how long a shard may send nothing while the merge needs its next row
	MaxRetries      int     // per shard
	PositionWaitMs  float64 // how long the end of a page waits for the log positions of servers
	AnswerReserveMs float64 // time before the deadline at which late shards are left out

	orderDigest  cursor.Digest
	shardsDigest cursor.Digest
}

// ExecutionSettings returns the settings for the execution of a page.
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

// MaxHeldBytes returns the upper bound of the bytes that a pooler holds for all pages of the spec: rows in the merge, and messages read
// ahead on the connections.
func (s *Spec) MaxHeldBytes() int { return s.MaxConcurrent * s.maxPageBytes() }

func (s *Spec) maxPageBytes() int {
	settings := s.ExecutionSettings()
	return settings.MaxHeldBytes() + len(s.Shards)*(readAheadBytes+s.maxMessageBytes())
}

// maxMessageBytes returns the length of the longest message that is accepted from a server.
func (s *Spec) maxMessageBytes() int { return max(s.MaxRowBytes, minMessageBytes) }

// setDigests computes the digests of the order and the shards, which the cursors of the spec are bound to.
func (s *Spec) setDigests() {
	var names []string
	for _, shard := range s.Shards {
		names = append(names, shard.Name)
	}
	// Cursors are exchanged between poolers, possibly of other versions: the text of Order must not change.
	s.orderDigest = DigestOf(fmt.Sprint(s.Order))
	s.shardsDigest = DigestOf(names...)
}

// DigestOf returns a digest of texts, which binds a cursor to them.
func DigestOf(texts ...string) (digest cursor.Digest) {
	hash := xxhash.New()
	for _, text := range texts {
		_, _ = fmt.Fprintf(hash, "%d %s", len(text), text) // writing to a hash never returns an error
	}
	sum := hash.Sum64()
	for i := range digest {
		digest[i] = byte(sum >> (8 * i))
	}
	return digest
}
