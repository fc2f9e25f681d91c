package raftlog

import (
	"google.golang.org/protobuf/encoding/protowire"

	"beechgrade/internal/encoding"
)

// Shared is a Machine of several: an entry's first byte says whose it is. What is nobody's is passed over, the same at each voter
// that has the same users.
type Shared struct {
	kinds []byte
	of    []Machine
}

// Add has entries that begin with a byte be a user's, who gets what follows.
func (s *Shared) Add(kind byte, m Machine) { s.kinds, s.of = append(s.kinds, kind), append(s.of, m) }

// Apply is Machine's.
func (s *Shared) Apply(index uint64, entry []byte) {
	for i, k := range s.kinds {
		if len(entry) > 0 && entry[0] == k {
			s.of[i].Apply(index, entry[1:])
		}
	}
}

// Snapshot is Machine's.
func (s *Shared) Snapshot() (b []byte) {
	for i, k := range s.kinds {
		b = encoding.AppendBytesField(b, protowire.Number(k), s.of[i].Snapshot())
	}
	return b
}

// Restore is Machine's.
func (s *Shared) Restore(b []byte) error {
	parts := make([][]byte, len(s.of))
	if err := encoding.Fields(b, fault, func(f encoding.Field) error {
		for i, k := range s.kinds {
			if protowire.Number(k) == f.Number {
				parts[i] = f.Bytes
			}
		}
		return nil
	}); err != nil {
		return err
	}
	for i, m := range s.of {
		if err := m.Restore(parts[i]); err != nil {
			return err
		}
	}
	return nil
}

// The users' bytes.
const (
	OfTally  byte = 1
	OfCredit byte = 2
	OfZones  byte = 4
)
