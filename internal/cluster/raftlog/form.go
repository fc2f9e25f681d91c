package raftlog

import (
	"errors"
	"fmt"

	"beechgrade/internal/encoding"
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
	b = encoding.AppendUint(b, 1, uint64(m.verb))
	b = encoding.AppendFixed(b, 2, m.group)
	b = encoding.AppendFixed(b, 3, m.from)
	b = encoding.AppendFixed(b, 4, m.to)
	b = encoding.AppendText(b, 5, m.name)
	b = encoding.AppendFixed(b, 6, m.disk)
	b = encoding.AppendFixed(b, 7, m.echo)
	b = encoding.AppendUint(b, 8, m.ref)
	b = encoding.AppendUint(b, 9, m.index)
	b = encoding.AppendUint(b, 10, m.count)
	b = encoding.AppendUint(b, 11, m.part)
	if m.flag {
		b = encoding.PutUint(b, 12, 1)
	}
	for _, x := range m.members {
		b = encoding.PutText(b, 13, encoding.PutFixed(encoding.PutText(nil, 1, x.Name), 2, x.Disk))
	}
	b = encoding.AppendText(b, 14, m.data)
	return b
}

func fault(why error) error { return fmt.Errorf("%w: %w", ErrForm, why) }

const mostName = 64

// parse reads a message; what it holds of bytes is b's.
func parse(b []byte) (*message, error) {
	m := &message{}
	err := encoding.Fields(b, fault, func(f encoding.Field) error {
		switch f.Num {
		case 1:
			m.verb = verb(f.X)
		case 2:
			m.group = f.X
		case 3:
			m.from = f.X
		case 4:
			m.to = f.X
		case 5:
			if len(f.Text) > mostName {
				return fmt.Errorf("%w: a name of %d bytes", ErrForm, len(f.Text))
			}
			m.name = string(f.Text)
		case 6:
			m.disk = f.X
		case 7:
			m.echo = f.X
		case 8:
			m.ref = f.X
		case 9:
			m.index = f.X
		case 10:
			m.count = f.X
		case 11:
			m.part = f.X
		case 12:
			m.flag = f.X != 0
		case 13:
			if len(m.members) == 2*MostVoters {
				return fmt.Errorf("%w: too many voters", ErrForm)
			}
			var y Member
			if err := encoding.Fields(f.Text, fault, func(f encoding.Field) error {
				switch f.Num {
				case 1:
					y.Name = string(f.Text)
				case 2:
					y.Disk = f.X
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
			m.data = f.Text
		}
		return nil
	})
	return m, err
}
