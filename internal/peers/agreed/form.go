package agreed

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrForm is that of bytes that are no message, or none that may be taken.
var ErrForm = errors.New("not a message of the log in common")

type verb uint64

const (
	verbRaft    verb = iota + 1 // data is one of raft's
	verbPart                    // data is the part-th of count parts of one of raft's
	verbHello                   // who has no group asks who has one; a voter that hears no leader, too
	verbIs                      // answers it
	verbForward                 // data is a proposal
	verbTook                    // answers it: flag tells that a leader has it, name who may lead
)

// message goes between poolers, and the same form keeps what is on a disk beside raft's own.
type message struct {
	verb     verb
	group    uint64
	from, to uint64 // raft's numbers
	name     string
	disk     uint64
	echo     uint64 // the asker's disk
	ref      uint64
	index    uint64
	count    uint64
	part     uint64
	flag     bool
	members  []Member
	data     []byte
}

func (m *message) append(b []byte) []byte {
	num := func(f protowire.Number, x uint64) {
		if x != 0 {
			b = protowire.AppendVarint(protowire.AppendTag(b, f, protowire.VarintType), x)
		}
	}
	fix := func(f protowire.Number, x uint64) {
		if x != 0 {
			b = protowire.AppendFixed64(protowire.AppendTag(b, f, protowire.Fixed64Type), x)
		}
	}
	text := func(f protowire.Number, x []byte) {
		if len(x) > 0 {
			b = protowire.AppendBytes(protowire.AppendTag(b, f, protowire.BytesType), x)
		}
	}
	num(1, uint64(m.verb))
	fix(2, m.group)
	fix(3, m.from)
	fix(4, m.to)
	text(5, []byte(m.name))
	fix(6, m.disk)
	fix(7, m.echo)
	num(8, m.ref)
	num(9, m.index)
	num(10, m.count)
	num(11, m.part)
	num(12, protowire.EncodeBool(m.flag))
	for _, x := range m.members {
		var s []byte
		s = protowire.AppendString(protowire.AppendTag(s, 1, protowire.BytesType), x.Name)
		s = protowire.AppendFixed64(protowire.AppendTag(s, 2, protowire.Fixed64Type), x.Disk)
		b = protowire.AppendBytes(protowire.AppendTag(b, 13, protowire.BytesType), s)
	}
	text(14, m.data)
	return b
}

// fields calls take for each field; unknown ones are passed over by it.
func fields(b []byte, take func(f protowire.Number, x uint64, s []byte) error) error {
	for len(b) > 0 {
		f, t, n := protowire.ConsumeTag(b)
		if n < 0 {
			return fmt.Errorf("%w: %w", ErrForm, protowire.ParseError(n))
		}
		b = b[n:]
		var x uint64
		var s []byte
		switch t {
		case protowire.VarintType:
			x, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			x, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			s, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(f, t, b)
		}
		if n < 0 {
			return fmt.Errorf("%w: %w", ErrForm, protowire.ParseError(n))
		}
		b = b[n:]
		if err := take(f, x, s); err != nil {
			return err
		}
	}
	return nil
}

const mostName = 64

// parse reads a message; what it holds of bytes is b's.
func parse(b []byte) (*message, error) {
	m := &message{}
	err := fields(b, func(f protowire.Number, x uint64, s []byte) error {
		switch f {
		case 1:
			m.verb = verb(x)
		case 2:
			m.group = x
		case 3:
			m.from = x
		case 4:
			m.to = x
		case 5:
			if len(s) > mostName {
				return fmt.Errorf("%w: a name of %d bytes", ErrForm, len(s))
			}
			m.name = string(s)
		case 6:
			m.disk = x
		case 7:
			m.echo = x
		case 8:
			m.ref = x
		case 9:
			m.index = x
		case 10:
			m.count = x
		case 11:
			m.part = x
		case 12:
			m.flag = x != 0
		case 13:
			if len(m.members) == 2*MostVoters {
				return fmt.Errorf("%w: too many voters", ErrForm)
			}
			var y Member
			if err := fields(s, func(f protowire.Number, x uint64, s []byte) error {
				switch f {
				case 1:
					y.Name = string(s)
				case 2:
					y.Disk = x
				}
				return nil
			}); err != nil {
				return err
			}
			if y.Name == "" || len(y.Name) > mostName {
				return fmt.Errorf("%w: a voter's name of %d bytes", ErrForm, len(y.Name))
			}
			m.members = append(m.members, y)
		case 14:
			m.data = s
		}
		return nil
	})
	return m, err
}
