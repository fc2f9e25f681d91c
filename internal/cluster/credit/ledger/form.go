package ledger

import (
	"errors"
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"beechgrade/internal/encoding"
)

// An entry of the log is a protobuf message:
//
//	message Entry { repeated Op ops = 1; }
//	message Op { uint32 kind = 1; string tenant = 2; uint64 depth = 3; fixed64 holder = 4; uint32 gen = 5; uint64 no = 6; uint64 amount = 7;
//	             uint64 spent = 8; uint64 returned = 9; uint32 seq = 10; bool heir = 11; bool expired = 12; uint64 granted = 13; }
//
// A snapshot is the same with accounts as ops of kind 16, and tenants of kind 17 with their payments' numbers as packed pairs:
//
//	message Op { uint64 paid = 14; sint64 balance = 15; uint64 lent = 16; uint64 stranded = 17; uint64 full = 18; bytes taken = 19; }
//
// and processes of kind 18.

// ErrMalformed is of an entry that cannot be read.
var ErrMalformed = errors.New("no entry of the ledger's")

const (
	kindAccount Kind = 16
	kindTenant  Kind = 17
	kindHolder  Kind = 18
	kindIndex   Kind = 19
)

// Encode makes an entry.
func Encode(ops []Op) (b []byte) {
	for i := range ops {
		b = appendRecord(b, &record{Op: ops[i]})
	}
	return b
}

// record is an Op, or a line of a snapshot.
type record struct {
	Op
	expired                            bool
	granted                            int64
	paid                               int64
	balance                            int64
	lent, stranded, availableAtPayment int64
	appliedPayments                    []byte
}

func appendRecord(b []byte, l *record) []byte {
	var x []byte
	num := func(field protowire.Number, v uint64) { x = encoding.AppendNonZeroUint(x, field, v) }
	num(1, uint64(l.Kind))
	x = encoding.AppendNonEmptyBytes(x, 2, l.Key.Tenant)
	num(3, uint64(l.Key.Overdraft))
	x = encoding.AppendNonZeroFixed(x, 4, l.Key.Holder)
	num(5, uint64(l.Key.Generation))
	num(6, l.Number)
	num(7, uint64(l.Amount))
	num(8, uint64(l.Spent))
	num(9, uint64(l.Returned))
	num(10, uint64(l.Sequence))
	num(11, protowire.EncodeBool(l.Recovered))
	num(12, protowire.EncodeBool(l.expired))
	num(13, uint64(l.granted))
	num(14, uint64(l.paid))
	num(15, protowire.EncodeZigZag(l.balance))
	num(16, uint64(l.lent))
	num(17, uint64(l.stranded))
	num(18, uint64(l.availableAtPayment))
	return encoding.AppendBytesField(b, 1, encoding.AppendNonEmptyBytes(x, 19, l.appliedPayments))
}

// Decode reads an entry, all or nothing.
func Decode(b []byte) (ops []Op, err error) {
	err = eachRecord(b, func(l *record) error {
		if len(ops) == MaxOps || l.Kind < Payment || l.Kind > CloseRemaining || (l.Key.Tenant == "") != (l.Kind >= Fence) {
			return ErrMalformed
		}
		if l.Kind == Payment && l.Amount == 0 {
			return ErrMalformed
		}
		ops = append(ops, l.Op)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return ops, nil
}

func malformed(error) error { return ErrMalformed }

func eachRecord(b []byte, do func(l *record) error) error {
	return encoding.Fields(b, malformed, func(f encoding.Field) error {
		if f.Number != 1 || f.Type != protowire.BytesType {
			return nil
		}
		l := &record{}
		if err := l.read(f.Bytes); err != nil {
			return err
		}
		return do(l)
	})
}

// inBounds reports whether a number may stand in a field. Most are counts and amounts from 0. A tenant that has spent more than it paid
// leaves less than nothing after a payment (18), written as the number's two's complement; its balance (15) is zigzag encoded.
func inBounds(field protowire.Number, v uint64) bool {
	switch field {
	case 6, 15:
		return true
	case 18:
		return int64(v) >= -MaxPaid && int64(v) <= MaxPaid
	}
	return v <= uint64(MaxPaid)
}

// readField takes a field; one of another type than its own is passed over.
func (l *record) readField(f encoding.Field) error {
	switch v := f.Value; f.Type {
	case protowire.VarintType:
		if !inBounds(f.Number, v) {
			return ErrMalformed
		}
		switch f.Number {
		case 1:
			l.Kind = Kind(min(v, 255))
		case 3:
			l.Key.Overdraft = int64(v)
		case 5:
			l.Key.Generation = uint32(v)
		case 6:
			l.Number = v
		case 7:
			l.Amount = int64(v)
		case 8:
			l.Spent = int64(v)
		case 9:
			l.Returned = int64(v)
		case 10:
			l.Sequence = uint32(v)
		case 11:
			l.Recovered = v != 0
		case 12:
			l.expired = v != 0
		case 13:
			l.granted = int64(v)
		case 14:
			l.paid = int64(v)
		case 15:
			l.balance = protowire.DecodeZigZag(v)
		case 16:
			l.lent = int64(v)
		case 17:
			l.stranded = int64(v)
		case 18:
			l.availableAtPayment = int64(v)
		}
	case protowire.BytesType:
		switch f.Number {
		case 2:
			l.Key.Tenant = string(f.Bytes)
		case 19:
			l.appliedPayments = f.Bytes
		}
	case protowire.Fixed64Type:
		if f.Number == 4 {
			l.Key.Holder = v
		}
	}
	return nil
}

func (l *record) read(b []byte) error {
	if err := encoding.Fields(b, malformed, l.readField); err != nil {
		return err
	}
	if len(l.Key.Tenant) > MaxNameBytes || l.Kind <= CloseRemaining && (l.Amount > MaxAmount || l.Key.Overdraft > MaxAmount) {
		return ErrMalformed
	}
	return nil
}

// Snapshot is the books as bytes: the same books, the same bytes.
func (l *Ledger) Snapshot() (b []byte) {
	b = appendRecord(b, &record{Op: Op{Kind: kindIndex, Number: l.AppliedIndex}})
	for _, name := range l.Tenants() {
		t := l.tenants[name]
		x := record{Op: Op{Kind: kindTenant, Key: Key{Tenant: name}, Spent: t.Spent}, paid: t.Paid, balance: t.Balance, lent: t.Lent, stranded: t.Stranded, availableAtPayment: t.AvailableAtPayment}
		for _, s := range t.appliedPayments {
			x.appliedPayments = protowire.AppendVarint(protowire.AppendVarint(x.appliedPayments, s.from), s.to)
		}
		b = appendRecord(b, &x)
	}
	for _, k := range l.AllAccounts() {
		a := l.accounts[k]
		b = appendRecord(b, &record{Op: Op{Kind: kindAccount, Key: k, Spent: a.Spent, Returned: a.Returned, Sequence: a.Sequence}, granted: a.Granted, expired: a.Expired})
	}
	for _, h := range slices.Sorted(maps.Keys(l.lastGeneration)) {
		b = appendRecord(b, &record{Op: Op{Kind: kindHolder, Key: Key{Holder: h, Generation: l.lastGeneration[h]}}})
	}
	return b
}

// Restore takes the books from bytes, or leaves them as they are.
func (l *Ledger) Restore(b []byte) error {
	n := New()
	n.Checks = l.Checks
	err := eachRecord(b, func(x *record) error {
		switch x.Kind {
		case kindIndex:
			n.AppliedIndex = x.Number
		case kindTenant:
			t := &Tenant{Paid: x.paid, Balance: x.balance, Lent: x.lent, Stranded: x.stranded, Spent: x.Spent, AvailableAtPayment: x.availableAtPayment}
			for p := x.appliedPayments; len(p) > 0; {
				from, i := protowire.ConsumeVarint(p)
				if i < 0 {
					return ErrMalformed
				}
				to, k := protowire.ConsumeVarint(p[i:])
				if k < 0 || to < from {
					return ErrMalformed
				}
				t.appliedPayments = append(t.appliedPayments, numberRange{from, to})
				p = p[i+k:]
			}
			n.tenants[x.Key.Tenant] = t
		case kindAccount:
			if n.accounts[x.Key] != nil {
				return ErrMalformed
			}
			*n.openAccount(x.Key) = Account{Granted: x.granted, Returned: x.Returned, Spent: x.Spent, Sequence: x.Sequence, Expired: x.expired}
		case kindHolder:
			n.lastGeneration[x.Key.Holder] = x.Key.Generation
		default:
			return ErrMalformed
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := n.Check(); err != nil {
		return err
	}
	*l = *n
	return nil
}

// Clone makes another like it.
func (l *Ledger) Clone() *Ledger {
	c := New()
	c.AppliedIndex, c.Checks = l.AppliedIndex, l.Checks
	for k, t := range l.tenants {
		x := *t
		x.appliedPayments = slices.Clone(t.appliedPayments)
		c.tenants[k] = &x
	}
	for k, a := range l.accounts {
		*c.openAccount(k) = *a
	}
	c.lastGeneration = maps.Clone(l.lastGeneration)
	return c
}
