package raftlog

import (
	"google.golang.org/protobuf/encoding/protowire"

	"beechgrade/internal/encoding"
)

// The first byte of an entry identifies its user. The values are stored on disks; 3 was used by an earlier version.
const (
	CounterEntries byte = 1
	CreditEntries  byte = 2
	ZoneEntries    byte = 4
)

// MachineMux is a Machine that passes each entry to the Machine of the user that the entry's first byte identifies. It skips entries of
// unknown users, which gives the same state at all voters with the same users.
type MachineMux struct {
	kinds    []byte
	machines []Machine
}

// Add registers the machine for the entries whose first byte is kind. The machine receives them without that byte.
func (m *MachineMux) Add(kind byte, machine Machine) {
	m.kinds = append(m.kinds, kind)
	m.machines = append(m.machines, machine)
}

// Apply passes an entry to its machine.
func (m *MachineMux) Apply(index uint64, entry []byte) {
	for i, kind := range m.kinds {
		if len(entry) > 0 && entry[0] == kind {
			m.machines[i].Apply(index, entry[1:])
		}
	}
}

// Snapshot encodes the snapshots of all machines as a protobuf message, with the machines' first bytes as field numbers.
func (m *MachineMux) Snapshot() []byte {
	var b []byte
	for i, kind := range m.kinds {
		b = encoding.AppendBytesField(b, protowire.Number(kind), m.machines[i].Snapshot())
	}
	return b
}

// Restore restores all machines. A machine that is not in the snapshot gets its state before the first entry.
func (m *MachineMux) Restore(snapshot []byte) error {
	parts := make([][]byte, len(m.machines))
	err := encoding.Fields(snapshot, malformed, func(field encoding.Field) error {
		for i, kind := range m.kinds {
			if protowire.Number(kind) == field.Number {
				parts[i] = field.Bytes
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	for i, machine := range m.machines {
		if err := machine.Restore(parts[i]); err != nil {
			return err
		}
	}
	return nil
}
