package clients

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strconv"
)

// Sessions is what clients know of the writes of each key. It is not safe for concurrent use.
type Sessions map[string]*session

type session struct {
	commit  float64 // of its last write that was served, or a little later
	counter uint64
	writes  []written // the newest
}

// written is a write that was served.
type written struct {
	number      uint64
	sent, acked float64
}

const keepWrites = 256

func (x Sessions) of(key string) *session {
	s := x[key]
	if s == nil {
		s = &session{}
		x[key] = s
	}
	return s
}

// Count numbers a key's next write.
func (x Sessions) Count(key string) uint64 {
	s := x.of(key)
	s.counter++
	return s.counter
}

// Write numbers an ask's write: a keyed one has the same number at each of its tries.
func (x Sessions) Write(a *Request, c *Class) uint64 {
	if a.WriteNumber == 0 || c.KeyMs == 0 {
		a.WriteNumber = x.Count(a.Key)
	}
	return a.WriteNumber
}

// IdempotencyKey is the key of a keyed ask, the same at each of its tries.
func (a *Request) IdempotencyKey() string { return strconv.FormatUint(a.Tag, 16) }

// TenantOf is whose an ask is, by name; empty for nobody's.
func (c *Config) TenantOf(a *Request) string {
	if a.Tenant < 0 || a.Tenant >= len(c.Tenants) {
		return ""
	}
	return c.Tenants[a.Tenant].Name
}

// Committed is the position that a session's read must see, 0 for none.
func (x Sessions) Committed(key string) float64 {
	if s := x[key]; s != nil {
		return s.commit
	}
	return 0
}

// Served takes note of a try that was served, and marks in it what its value shows. A value is too old only where it
// surely is: another write was sent after the value's own was answered, and had its answer in time for the read. A write whose
// client had given up is answered when its answer comes, not when it was given up: it may have run in between.
func (x Sessions) Served(t *Attempt) {
	n, ours := Number(t.Request.Key, t.Value)
	t.Foreign = !ours
	if t.Class.Read == Write {
		t.Foreign = !ours || n != t.WriteNumber
		s := x.of(t.Request.Key)
		came := max(t.Ended, t.AnsweredAt)
		s.commit = max(s.commit, came)
		if len(s.writes) >= 2*keepWrites {
			s.writes = slices.Delete(s.writes, 0, len(s.writes)-keepWrites)
		}
		s.writes = append(s.writes, written{t.WriteNumber, t.Sent, came})
		return
	}
	by := t.Sent
	switch t.Class.Read {
	case ReadBounded:
		by -= t.Class.Bound
	case ReadSession: // what it asked for, not what was answered to others by then: that may not have been known when it asked
		by = min(by, t.After)
	default:
		return
	}
	s := x[t.Request.Key]
	if s == nil {
		return
	}
	writes := s.writes[max(0, len(s.writes)-keepWrites):]
	got := written{}
	for _, w := range writes {
		if w.number == n {
			got = w
		}
	}
	if n != 0 && got.number == 0 {
		return // never answered, or long ago: its place is not known
	}
	for _, w := range writes {
		if w.number != n && w.acked <= by && (n == 0 || got.acked < w.sent) {
			t.Stale = true
		}
	}
}

// Value is what a session's write of this number writes: who wrote it can be told from it.
func Value(key string, number uint64) []byte {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	return binary.BigEndian.AppendUint64(h.Sum(nil), number)
}

// Number is the number of the write that wrote a value, and whether it was one of this key's. No value is number 0.
func Number(key string, value []byte) (uint64, bool) {
	if len(value) == 0 {
		return 0, true
	}
	if len(value) != 16 || string(value[:8]) != string(Value(key, 0)[:8]) {
		return 0, false
	}
	return binary.BigEndian.Uint64(value[8:]), true
}
