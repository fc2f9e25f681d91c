package credit

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/lessor"
	"beechgrade/internal/cluster/credit/message"
	"beechgrade/internal/encoding"
)

// Message goes between two poolers, one of which leads, or is thought to:
//
//	message Credit { fixed64 who = 1; bool reply = 2; string leader = 3; repeated Item asks = 4; repeated Item answers = 5; fixed64 digest = 6; repeated Pay pays = 7; }
//	message Item { string tenant = 1; uint64 depth = 2; fixed64 holder = 3; uint32 gen = 4; uint32 seq = 5; uint64 spent = 6; uint64 returned = 7; uint64 want = 8;
//	               uint64 need = 9; uint64 rate = 10; uint32 flags = 11; uint64 granted = 12; sint64 left = 13; uint64 full = 14; uint64 keep = 15; }
//	message Pay { string tenant = 1; uint64 no = 2; uint64 amount = 3; }
type Message struct {
	Who     ledger.Holder
	Reply   bool
	Leader  string
	Asks    []message.Ask
	Answers []message.Answer
	Digest  uint64
	Pays    []lessor.Pay
}

// ErrForm is of words that cannot be read.
var ErrForm = errors.New("no words about credit")

const (
	flagFinal = 1 << iota
	flagHeir
	flagRest
	flagClosed
	flagEnded
	flagCall
)

type writer struct{ b []byte }

func (w *writer) num(field protowire.Number, v uint64) {
	w.b = encoding.AppendNonZeroUint(w.b, field, v)
}
func (w *writer) fixed(field protowire.Number, v uint64) {
	w.b = encoding.AppendFixedField(w.b, field, v)
}
func (w *writer) text(field protowire.Number, s string) {
	w.b = encoding.AppendNonEmptyBytes(w.b, field, s)
}

func (w *writer) key(k *ledger.Key) {
	w.text(1, k.Tenant)
	w.num(2, uint64(k.Depth))
	w.fixed(3, k.Holder)
	w.num(4, uint64(k.Gen))
}

func flags(bits ...bool) (n uint64) {
	for i, b := range bits {
		n |= protowire.EncodeBool(b) << i
	}
	return n
}

// Append is part.Words'.
func (m *Message) Append(b []byte) []byte {
	o := &writer{b}
	part := func(field protowire.Number, do func(w *writer)) {
		w := &writer{}
		do(w)
		o.b = encoding.AppendBytesField(o.b, field, w.b)
	}
	o.fixed(1, m.Who)
	o.num(2, protowire.EncodeBool(m.Reply))
	o.text(3, m.Leader)
	for i := range m.Asks {
		a := &m.Asks[i]
		part(4, func(w *writer) {
			w.key(&a.Key)
			w.num(5, uint64(a.Seq))
			w.num(6, uint64(a.Spent))
			w.num(7, uint64(a.Returned))
			w.num(8, uint64(a.Want))
			w.num(9, uint64(a.Need))
			w.num(10, uint64(a.Rate))
			w.num(11, flags(a.Final, a.Heir, a.Rest))
		})
	}
	for i := range m.Answers {
		a := &m.Answers[i]
		part(5, func(w *writer) {
			w.key(&a.Key)
			w.num(5, uint64(a.Seq))
			w.num(11, flags(false, false, false, a.Closed, a.Ended, a.Call))
			w.num(12, uint64(a.Granted))
			w.num(13, protowire.EncodeZigZag(a.Left))
			w.num(14, uint64(a.Full))
			w.num(15, uint64(a.Keep))
		})
	}
	if m.Digest != 0 {
		o.fixed(6, m.Digest)
	}
	for _, p := range m.Pays {
		part(7, func(w *writer) {
			w.text(1, p.Tenant)
			w.num(2, p.No)
			w.num(3, uint64(p.Amount))
		})
	}
	return o.b
}

// fields goes through a message's fields, past those of a type that none of them has.
func fields(b []byte, do func(num protowire.Number, v uint64, text []byte) error) error {
	return encoding.Fields(b, func(error) error { return ErrForm }, func(f encoding.Field) error {
		if !f.HasValue() {
			return nil
		}
		return do(f.Number, f.Value, f.Bytes)
	})
}

// Decode is part.Part's.
func (c *Credit) Decode(b []byte) (any, error) { return Read(b) }

// Read reads words of others.
func Read(b []byte) (*Message, error) {
	m := &Message{}
	err := fields(b, func(num protowire.Number, v uint64, text []byte) error {
		switch num {
		case 1:
			m.Who = v
		case 2:
			m.Reply = v != 0
		case 3:
			if len(text) > ledger.MostName {
				return ErrForm
			}
			m.Leader = string(text)
		case 4, 5:
			a, w := message.Ask{}, message.Answer{}
			err := item(text, &a, &w)
			if err == nil && a.Key.Tenant == "" && (num == 4 && !a.Heir || num == 5 && w.Seq != 0) { // only about a process that is no more
				return ErrForm
			}
			if err != nil || len(m.Asks)+len(m.Answers) >= message.MostItems {
				return ErrForm
			}
			if num == 4 {
				m.Asks = append(m.Asks, a)
			} else {
				m.Answers = append(m.Answers, w)
			}
		case 6:
			m.Digest = v
		case 7:
			p := lessor.Pay{}
			err := fields(text, func(num protowire.Number, v uint64, text []byte) error {
				switch num {
				case 1:
					p.Tenant = string(text)
				case 2:
					p.No = v
				case 3:
					p.Amount = int64(min(v, uint64(ledger.MostAmount)+1))
				}
				return nil
			})
			if err != nil || p.Tenant == "" || len(p.Tenant) > ledger.MostName || p.Amount <= 0 || p.Amount > ledger.MostAmount {
				return ErrForm
			}
			m.Pays = append(m.Pays, p)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return m, nil
}

func item(b []byte, a *message.Ask, w *message.Answer) error {
	k := &ledger.Key{}
	err := fields(b, func(num protowire.Number, v uint64, text []byte) error {
		n := int64(v)
		if num != 3 && num != 13 && v > uint64(ledger.MostPaid) || num == 2 && n > ledger.MostAmount {
			return ErrForm
		}
		switch num {
		case 1:
			k.Tenant = string(text)
		case 2:
			k.Depth = n
		case 3:
			k.Holder = v
		case 4:
			k.Gen = uint32(v)
		case 5:
			a.Seq, w.Seq = uint32(v), uint32(v)
		case 6:
			a.Spent = n
		case 7:
			a.Returned = n
		case 8:
			a.Want = min(n, ledger.MostAmount)
		case 9:
			a.Need = min(n, ledger.MostAmount)
		case 10:
			a.Rate = min(n, ledger.MostAmount)
		case 11:
			a.Final, a.Heir, a.Rest = v&flagFinal != 0, v&flagHeir != 0, v&flagRest != 0
			w.Closed, w.Ended, w.Call = v&flagClosed != 0, v&flagEnded != 0, v&flagCall != 0
		case 12:
			w.Granted = n
		case 13:
			w.Left = protowire.DecodeZigZag(v)
		case 14:
			w.Full = n
		case 15:
			w.Keep = n
		}
		return nil
	})
	if err != nil || len(k.Tenant) > ledger.MostName {
		return ErrForm
	}
	a.Key, w.Key = *k, *k
	return nil
}
