package raftlog

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"beechgrade/internal/encoding"
)

// ErrMalformed is wrapped by the errors for bytes that are not a message, or a message that exceeds a limit.
var ErrMalformed = errors.New("raftlog: malformed message")

func malformed(reason error) error { return fmt.Errorf("%w: %w", ErrMalformed, reason) }

const maxNameBytes = 64

// messageKind is the kind of a message. Its numbers are on the wire.
type messageKind uint64

const (
	kindRaft          messageKind = iota + 1 // data is a raft message
	kindChunk                                // data is a chunk of a raft message
	kindDiscover                             // asks which group the receiver belongs to
	kindIdentity                             // answers kindDiscover
	kindForward                              // data is a proposal
	kindForwardResult                        // answers kindForward: flag if the leader accepted it, name of the likely leader
)

// message is sent between poolers. It also encodes the data on a disk that is not in a raft message.
type message struct {
	kind      messageKind
	group     uint64
	from      uint64 // raft ID of the sender
	to        uint64 // raft ID of the receiver
	name      string
	disk      uint64
	askerDisk uint64
	ref       uint64
	index     uint64
	count     uint64 // of chunks
	chunk     uint64
	flag      bool
	members   []Member
	data      []byte
}

// Field numbers of a message.
const (
	fieldKind protowire.Number = iota + 1
	fieldGroup
	fieldFrom
	fieldTo
	fieldName
	fieldDisk
	fieldAskerDisk
	fieldRef
	fieldIndex
	fieldCount
	fieldChunk
	fieldFlag
	fieldMembers
	fieldData
)

// Field numbers of a member.
const (
	memberName protowire.Number = iota + 1
	memberDisk
)

func (m *message) encode(b []byte) []byte {
	b = encoding.AppendNonZeroUint(b, fieldKind, uint64(m.kind))
	b = encoding.AppendNonZeroFixed(b, fieldGroup, m.group)
	b = encoding.AppendNonZeroFixed(b, fieldFrom, m.from)
	b = encoding.AppendNonZeroFixed(b, fieldTo, m.to)
	b = encoding.AppendNonEmptyBytes(b, fieldName, m.name)
	b = encoding.AppendNonZeroFixed(b, fieldDisk, m.disk)
	b = encoding.AppendNonZeroFixed(b, fieldAskerDisk, m.askerDisk)
	b = encoding.AppendNonZeroUint(b, fieldRef, m.ref)
	b = encoding.AppendNonZeroUint(b, fieldIndex, m.index)
	b = encoding.AppendNonZeroUint(b, fieldCount, m.count)
	b = encoding.AppendNonZeroUint(b, fieldChunk, m.chunk)
	b = encoding.AppendNonZeroUint(b, fieldFlag, protowire.EncodeBool(m.flag))
	for _, member := range m.members {
		encoded := encoding.AppendBytesField(nil, memberName, member.Name)
		encoded = encoding.AppendFixedField(encoded, memberDisk, member.Disk)
		b = encoding.AppendBytesField(b, fieldMembers, encoded)
	}
	return encoding.AppendNonEmptyBytes(b, fieldData, m.data)
}

// decodeMessage decodes a message. The message's data aliases b.
func decodeMessage(b []byte) (*message, error) {
	m := &message{}
	err := encoding.Fields(b, malformed, m.readField)
	return m, err
}

func (m *message) readField(field encoding.Field) error {
	switch field.Number {
	case fieldKind:
		m.kind = messageKind(field.Value)
	case fieldGroup:
		m.group = field.Value
	case fieldFrom:
		m.from = field.Value
	case fieldTo:
		m.to = field.Value
	case fieldName:
		if len(field.Bytes) > maxNameBytes {
			return fmt.Errorf("%w: name of %d bytes is too long", ErrMalformed, len(field.Bytes))
		}
		m.name = string(field.Bytes)
	case fieldDisk:
		m.disk = field.Value
	case fieldAskerDisk:
		m.askerDisk = field.Value
	case fieldRef:
		m.ref = field.Value
	case fieldIndex:
		m.index = field.Value
	case fieldCount:
		m.count = field.Value
	case fieldChunk:
		m.chunk = field.Value
	case fieldFlag:
		m.flag = field.Value != 0
	case fieldMembers:
		return m.readMember(field.Bytes)
	case fieldData:
		m.data = field.Bytes
	}
	return nil
}

// readMember adds a member. A membership change may name the voters before and after it, hence 2*MaxVoters.
func (m *message) readMember(b []byte) error {
	if len(m.members) == 2*MaxVoters {
		return fmt.Errorf("%w: too many members", ErrMalformed)
	}
	var member Member
	err := encoding.Fields(b, malformed, func(field encoding.Field) error {
		switch field.Number {
		case memberName:
			member.Name = string(field.Bytes)
		case memberDisk:
			member.Disk = field.Value
		}
		return nil
	})
	if err != nil {
		return err
	}
	if member.Name == "" || len(member.Name) > maxNameBytes {
		return fmt.Errorf("%w: member name of %d bytes is empty or too long", ErrMalformed, len(member.Name))
	}
	m.members = append(m.members, member)
	return nil
}
