package clients

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strconv"
)

// Sessions holds what clients know of the writes of each key. It is not safe for concurrent use.
type Sessions map[string]*session

type session struct {
	commit  float64 // position of its last served write, or slightly after it
	counter uint64
	writes  []written // the newest, in the order of their answers
}

// written is a served write.
type written struct {
	number      uint64
	sent, acked float64
}

const maxKeptWrites = 256

func (sessions Sessions) of(key string) *session {
	s := sessions[key]
	if s == nil {
		s = &session{}
		sessions[key] = s
	}
	return s
}

// Count returns the number of a key's next write.
func (sessions Sessions) Count(key string) uint64 {
	s := sessions.of(key)
	s.counter++
	return s.counter
}

// Write returns the number of a request's write. A keyed write has the same number in each of its attempts.
func (sessions Sessions) Write(a *Request, c *Class) uint64 {
	if a.WriteNumber == 0 || c.KeyMs == 0 {
		a.WriteNumber = sessions.Count(a.Key)
	}
	return a.WriteNumber
}

// IdempotencyKey returns the key of a keyed request, which is the same in each of its attempts.
func (a *Request) IdempotencyKey() string { return strconv.FormatUint(a.Tag, 16) }

// TenantOf returns the name of a request's tenant, empty for none.
func (c *Config) TenantOf(a *Request) string {
	if a.Tenant < 0 || a.Tenant >= len(c.Tenants) {
		return ""
	}
	return c.Tenants[a.Tenant].Name
}

// Committed returns the position that a session's read must see, 0 for none.
func (sessions Sessions) Committed(key string) float64 {
	if s := sessions[key]; s != nil {
		return s.commit
	}
	return 0
}

// Served records a served attempt, and marks it if its value is stale or foreign. A value is stale only if that is certain:
// another write was sent after the value's own write was answered, and was itself answered in time for the read. A write whose
// client gave up counts as answered when its answer arrives, not when the client gave up: it may be executed in between.
func (sessions Sessions) Served(t *Attempt) {
	n, ownKey := Number(t.Request.Key, t.Value)
	t.Foreign = !ownKey
	if t.Class.Read == Write {
		t.Foreign = !ownKey || n != t.WriteNumber
		s := sessions.of(t.Request.Key)
		answeredAt := max(t.Ended, t.AnsweredAt)
		s.commit = max(s.commit, answeredAt)
		if len(s.writes) >= 2*maxKeptWrites {
			s.writes = slices.Delete(s.writes, 0, len(s.writes)-maxKeptWrites)
		}
		s.writes = append(s.writes, written{t.WriteNumber, t.Sent, answeredAt})
		return
	}
	answeredBy := t.Sent
	switch t.Class.Read {
	case ReadBounded:
		answeredBy -= t.Class.Bound
	case ReadSession: // limited to the position that it asked for: later answers may not have been known when it was prepared
		answeredBy = min(answeredBy, t.After)
	default:
		return
	}
	s := sessions[t.Request.Key]
	if s == nil {
		return
	}
	writes := s.writes[max(0, len(s.writes)-maxKeptWrites):]
	valueWrite := written{}
	for _, w := range writes {
		if w.number == n {
			valueWrite = w
		}
	}
	if n != 0 && valueWrite.number == 0 {
		return // its write was not answered or is no longer kept: its order among the writes is unknown
	}
	for _, w := range writes {
		if w.number != n && w.acked <= answeredBy && (n == 0 || valueWrite.acked < w.sent) {
			t.Stale = true
		}
	}
}

// Value returns the value that a key's write of a number stores. It identifies both.
func Value(key string, number uint64) []byte {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	return binary.BigEndian.AppendUint64(h.Sum(nil), number)
}

// Number returns the number of the write that stored a value, and whether it is a write of this key. No value has number 0.
func Number(key string, value []byte) (uint64, bool) {
	if len(value) == 0 {
		return 0, true
	}
	if len(value) != 16 || string(value[:8]) != string(Value(key, 0)[:8]) {
		return 0, false
	}
	return binary.BigEndian.Uint64(value[8:]), true
}
