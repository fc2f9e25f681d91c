package raftlog

import (
	"google.golang.org/protobuf/encoding/protowire"

	"beechgrade/internal/encoding"
)

// MachineMux is a Machine of several: an entry's first byte says whose it is. What is nobody's is passed over, the same at each voter
// that has the same users.
type MachineMux struct {
	kinds    []byte
	machines []Machine
}

// Add has entries that begin with a byte be a user's, who gets what follows.
func (s *MachineMux) Add(kind byte, m Machine) {
	s.kinds, s.machines = append(s.kinds, kind), append(s.machines, m)
}

// Apply is Machine's.
func (s *MachineMux) Apply(index uint64, entry []byte) {
	for i, k := range s.kinds {
		if len(entry) > 0 && entry[0] == k {
			s.machines[i].Apply(index, entry[1:])
		}
	}
}

// Snapshot is Machine's.
func (s *MachineMux) Snapshot() (b []byte) {
	for i, k := range s.kinds {
		b = encoding.AppendBytesField(b, protowire.Number(k), s.machines[i].Snapshot())
	}
	return b
}

// Restore is Machine's.
func (s *MachineMux) Restore(b []byte) error {
	parts := make([][]byte, len(s.machines))
	if err := encoding.Fields(b, malformed, func(f encoding.Field) error {
		for i, k := range s.kinds {
			if protowire.Number(k) == f.Number {
				parts[i] = f.Bytes
			}
		}
		return nil
	}); err != nil {
		return err
	}
	for i, m := range s.machines {
		if err := m.Restore(parts[i]); err != nil {
			return err
		}
	}
	return nil
}

// The users' bytes.
const (
	CounterEntries byte = 1
	CreditEntries  byte = 2
	ZoneEntries    byte = 4
)
