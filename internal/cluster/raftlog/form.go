package raftlog

import (
	"errors"
	"fmt"

	"beechgrade/internal/encoding"
)

// ErrMalformed is that of bytes that are no message, or none that may be taken.
var ErrMalformed = errors.New("not a message of the log in common")

type messageKind uint64

const (
	kindRaft          messageKind = iota + 1 // data is one of raft's
	kindChunk                                // data is the part-th of count parts of one of raft's
	kindDiscover                             // who has no group asks who has one; a voter that hears no leader, too
	kindIdentity                             // answers it
	kindForward                              // data is a proposal
	kindForwardResult                        // answers it: flag tells that a leader has it, name who may lead
)

// message goes between poolers, and the same form keeps what is on a disk beside raft's own.
type message struct {
	kind      messageKind
	group     uint64
	from, to  uint64 // raft's numbers
	name      string
	disk      uint64
	askerDisk uint64 // the asker's disk
	ref       uint64
	index     uint64
	count     uint64
	chunk     uint64
	flag      bool
	members   []Member
	data      []byte
}

func (m *message) encode(b []byte) []byte {
	b = encoding.AppendNonZeroUint(b, 1, uint64(m.kind))
	b = encoding.AppendNonZeroFixed(b, 2, m.group)
	b = encoding.AppendNonZeroFixed(b, 3, m.from)
	b = encoding.AppendNonZeroFixed(b, 4, m.to)
	b = encoding.AppendNonEmptyBytes(b, 5, m.name)
	b = encoding.AppendNonZeroFixed(b, 6, m.disk)
	b = encoding.AppendNonZeroFixed(b, 7, m.askerDisk)
	b = encoding.AppendNonZeroUint(b, 8, m.ref)
	b = encoding.AppendNonZeroUint(b, 9, m.index)
	b = encoding.AppendNonZeroUint(b, 10, m.count)
	b = encoding.AppendNonZeroUint(b, 11, m.chunk)
	if m.flag {
		b = encoding.AppendUintField(b, 12, 1)
	}
	for _, x := range m.members {
		b = encoding.AppendBytesField(b, 13, encoding.AppendFixedField(encoding.AppendBytesField(nil, 1, x.Name), 2, x.Disk))
	}
	b = encoding.AppendNonEmptyBytes(b, 14, m.data)
	return b
}

func malformed(why error) error { return fmt.Errorf("%w: %w", ErrMalformed, why) }

const maxNameBytes = 64

// decodeMessage reads a message; what it holds of bytes is b's.
func decodeMessage(b []byte) (*message, error) {
	m := &message{}
	err := encoding.Fields(b, malformed, func(f encoding.Field) error {
		switch f.Number {
		case 1:
			m.kind = messageKind(f.Value)
		case 2:
			m.group = f.Value
		case 3:
			m.from = f.Value
		case 4:
			m.to = f.Value
		case 5:
			if len(f.Bytes) > maxNameBytes {
				return fmt.Errorf("%w: a name of %d bytes", ErrMalformed, len(f.Bytes))
			}
			m.name = string(f.Bytes)
		case 6:
			m.disk = f.Value
		case 7:
			m.askerDisk = f.Value
		case 8:
			m.ref = f.Value
		case 9:
			m.index = f.Value
		case 10:
			m.count = f.Value
		case 11:
			m.chunk = f.Value
		case 12:
			m.flag = f.Value != 0
		case 13:
			if len(m.members) == 2*MaxVoters {
				return fmt.Errorf("%w: too many voters", ErrMalformed)
			}
			var y Member
			if err := encoding.Fields(f.Bytes, malformed, func(f encoding.Field) error {
				switch f.Number {
				case 1:
					y.Name = string(f.Bytes)
				case 2:
					y.Disk = f.Value
				}
				return nil
			}); err != nil {
				return err
			}
			if y.Name == "" || len(y.Name) > maxNameBytes {
				return fmt.Errorf("%w: a voter's name of %d bytes", ErrMalformed, len(y.Name))
			}
			m.members = append(m.members, y)
		case 14:
			m.data = f.Bytes
		}
		return nil
	})
	return m, err
}
