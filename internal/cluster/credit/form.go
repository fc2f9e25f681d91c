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
	Holder        ledger.Holder
	Reply         bool
	Leader        string
	Requests      []message.Request
	Responses     []message.Response
	PaymentDigest uint64
	Payments      []lessor.Payment
}

// ErrMalformed is of words that cannot be read.
var ErrMalformed = errors.New("no words about credit")

const (
	flagFinal = 1 << iota
	flagRecovered
	flagMarksRead
	flagClosed
	flagExpired
	flagRecall
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
	w.num(2, uint64(k.Overdraft))
	w.fixed(3, k.Holder)
	w.num(4, uint64(k.Generation))
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
	o.fixed(1, m.Holder)
	o.num(2, protowire.EncodeBool(m.Reply))
	o.text(3, m.Leader)
	for i := range m.Requests {
		a := &m.Requests[i]
		part(4, func(w *writer) {
			w.key(&a.Key)
			w.num(5, uint64(a.Sequence))
			w.num(6, uint64(a.Spent))
			w.num(7, uint64(a.Returned))
			w.num(8, uint64(a.Requested))
			w.num(9, uint64(a.Queued))
			w.num(10, uint64(a.SpendRate))
			w.num(11, flags(a.Final, a.Recovered, a.MarksRead))
		})
	}
	for i := range m.Responses {
		a := &m.Responses[i]
		part(5, func(w *writer) {
			w.key(&a.Key)
			w.num(5, uint64(a.Sequence))
			w.num(11, flags(false, false, false, a.Closed, a.Expired, a.Recall))
			w.num(12, uint64(a.Granted))
			w.num(13, protowire.EncodeZigZag(a.Available))
			w.num(14, uint64(a.AvailableAtPayment))
			w.num(15, uint64(a.Retain))
		})
	}
	if m.PaymentDigest != 0 {
		o.fixed(6, m.PaymentDigest)
	}
	for _, p := range m.Payments {
		part(7, func(w *writer) {
			w.text(1, p.Tenant)
			w.num(2, p.Number)
			w.num(3, uint64(p.Amount))
		})
	}
	return o.b
}

// fields goes through a message's fields, past those of a type that none of them has.
func fields(b []byte, do func(num protowire.Number, v uint64, text []byte) error) error {
	return encoding.Fields(b, func(error) error { return ErrMalformed }, func(f encoding.Field) error {
		if !f.HasValue() {
			return nil
		}
		return do(f.Number, f.Value, f.Bytes)
	})
}

// Decode is part.Part's.
func (c *Credit) Decode(b []byte) (any, error) { return DecodeMessage(b) }

// DecodeMessage reads words of others.
func DecodeMessage(b []byte) (*Message, error) {
	m := &Message{}
	err := fields(b, func(num protowire.Number, v uint64, text []byte) error {
		switch num {
		case 1:
			m.Holder = v
		case 2:
			m.Reply = v != 0
		case 3:
			if len(text) > ledger.MaxNameBytes {
				return ErrMalformed
			}
			m.Leader = string(text)
		case 4, 5:
			a, w := message.Request{}, message.Response{}
			err := item(text, &a, &w)
			if err == nil && a.Key.Tenant == "" && (num == 4 && !a.Recovered || num == 5 && w.Sequence != 0) { // only about a process that is no more
				return ErrMalformed
			}
			if err != nil || len(m.Requests)+len(m.Responses) >= message.MaxItems {
				return ErrMalformed
			}
			if num == 4 {
				m.Requests = append(m.Requests, a)
			} else {
				m.Responses = append(m.Responses, w)
			}
		case 6:
			m.PaymentDigest = v
		case 7:
			p := lessor.Payment{}
			err := fields(text, func(num protowire.Number, v uint64, text []byte) error {
				switch num {
				case 1:
					p.Tenant = string(text)
				case 2:
					p.Number = v
				case 3:
					p.Amount = int64(min(v, uint64(ledger.MaxAmount)+1))
				}
				return nil
			})
			if err != nil || p.Tenant == "" || len(p.Tenant) > ledger.MaxNameBytes || p.Amount <= 0 || p.Amount > ledger.MaxAmount {
				return ErrMalformed
			}
			m.Payments = append(m.Payments, p)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return m, nil
}

func item(b []byte, a *message.Request, w *message.Response) error {
	k := &ledger.Key{}
	err := fields(b, func(num protowire.Number, v uint64, text []byte) error {
		n := int64(v)
		if num != 3 && num != 13 && v > uint64(ledger.MaxPaid) || num == 2 && n > ledger.MaxAmount {
			return ErrMalformed
		}
		switch num {
		case 1:
			k.Tenant = string(text)
		case 2:
			k.Overdraft = n
		case 3:
			k.Holder = v
		case 4:
			k.Generation = uint32(v)
		case 5:
			a.Sequence, w.Sequence = uint32(v), uint32(v)
		case 6:
			a.Spent = n
		case 7:
			a.Returned = n
		case 8:
			a.Requested = min(n, ledger.MaxAmount)
		case 9:
			a.Queued = min(n, ledger.MaxAmount)
		case 10:
			a.SpendRate = min(n, ledger.MaxAmount)
		case 11:
			a.Final, a.Recovered, a.MarksRead = v&flagFinal != 0, v&flagRecovered != 0, v&flagMarksRead != 0
			w.Closed, w.Expired, w.Recall = v&flagClosed != 0, v&flagExpired != 0, v&flagRecall != 0
		case 12:
			w.Granted = n
		case 13:
			w.Available = protowire.DecodeZigZag(v)
		case 14:
			w.AvailableAtPayment = n
		case 15:
			w.Retain = n
		}
		return nil
	})
	if err != nil || len(k.Tenant) > ledger.MaxNameBytes {
		return ErrMalformed
	}
	a.Key, w.Key = *k, *k
	return nil
}
