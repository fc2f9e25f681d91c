package raftlog

import (
	"google.golang.org/protobuf/encoding/protowire"

	"beechgrade/internal/encoding"
)

// The first bytes of entries, by the user whose they are. They are stored; 3 is not used any more.
const (
	CounterEntries byte = 1
	CreditEntries  byte = 2
	ZoneEntries    byte = 4
)

// MachineMux is a Machine of several: an entry's first byte says whose it is. Other entries are skipped, in the same way at each voter
// that has the same users.
type MachineMux struct {
	kinds    []byte
	machines []Machine
}

// Add gives entries that begin with a byte to a machine, without that byte.
func (x *MachineMux) Add(kind byte, machine Machine) {
	x.kinds = append(x.kinds, kind)
	x.machines = append(x.machines, machine)
}

// Apply gives an entry to its machine.
func (x *MachineMux) Apply(index uint64, entry []byte) {
	for i, kind := range x.kinds {
		if len(entry) > 0 && entry[0] == kind {
			x.machines[i].Apply(index, entry[1:])
		}
	}
}

// Snapshot encodes the snapshots of all machines as a protobuf message, with the machines' first bytes as field numbers.
func (x *MachineMux) Snapshot() []byte {
	var b []byte
	for i, kind := range x.kinds {
		b = encoding.AppendBytesField(b, protowire.Number(kind), x.machines[i].Snapshot())
	}
	return b
}

// Restore restores all machines; one that the snapshot does not have, to the state before the first entry.
func (x *MachineMux) Restore(snapshot []byte) error {
	parts := make([][]byte, len(x.machines))
	err := encoding.Fields(snapshot, malformed, func(field encoding.Field) error {
		for i, kind := range x.kinds {
			if protowire.Number(kind) == field.Number {
				parts[i] = field.Bytes
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	for i, machine := range x.machines {
		if err := machine.Restore(parts[i]); err != nil {
			return err
		}
	}
	return nil
}
