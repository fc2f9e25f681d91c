package ledger

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"

	"beechgrade/internal/encoding"
)

// An entry of the log is encoded as the protobuf message below. Where a field of the schema has another name than the Go field, that is:
// depth is Overdraft, gen is Generation, no is Number, seq is Sequence, heir is Recovered, full is AvailableAtPayment, and taken contains
// the ranges of applied payments.
//
//	message Entry { repeated Op ops = 1; }
//	message Op { uint32 kind = 1; string tenant = 2; uint64 depth = 3; fixed64 holder = 4; uint32 gen = 5; uint64 no = 6; uint64 amount = 7;
//	             uint64 spent = 8; uint64 returned = 9; uint32 seq = 10; bool heir = 11; bool expired = 12; uint64 granted = 13; }
//
// A snapshot has the same encoding, with other kinds: accounts are ops of kind 16, tenants ops of kind 17 with the ranges of their payment
// numbers as packed pairs, processes ops of kind 18, and the index of the last entry is an op of kind 19. It uses these additional fields:
//
//	message Op { uint64 paid = 14; sint64 balance = 15; uint64 lent = 16; uint64 stranded = 17; uint64 full = 18; bytes taken = 19; }
const (
	fieldRecord protowire.Number = 1 // the only field of an entry and of a snapshot

	fieldKind               protowire.Number = 1
	fieldTenant             protowire.Number = 2
	fieldOverdraft          protowire.Number = 3
	fieldHolder             protowire.Number = 4
	fieldGeneration         protowire.Number = 5
	fieldNumber             protowire.Number = 6
	fieldAmount             protowire.Number = 7
	fieldSpent              protowire.Number = 8
	fieldReturned           protowire.Number = 9
	fieldSequence           protowire.Number = 10
	fieldRecovered          protowire.Number = 11
	fieldExpired            protowire.Number = 12
	fieldGranted            protowire.Number = 13
	fieldPaid               protowire.Number = 14
	fieldBalance            protowire.Number = 15
	fieldLent               protowire.Number = 16
	fieldStranded           protowire.Number = 17
	fieldAvailableAtPayment protowire.Number = 18
	fieldAppliedPayments    protowire.Number = 19
)

// The kinds of a snapshot's records.
const (
	kindAccount Kind = 16
	kindTenant  Kind = 17
	kindHolder  Kind = 18
	kindIndex   Kind = 19

	maxKind = 255
)

// ErrMalformed is returned for bytes that do not encode an entry or a snapshot of a ledger.
var ErrMalformed = errors.New("ledger: malformed entry or snapshot")

func malformed(error) error { return ErrMalformed }

// record is an Op of an entry, or a record of a snapshot.
type record struct {
	Op
	expired            bool
	granted            int64
	paid               int64
	balance            int64
	lent               int64
	stranded           int64
	availableAtPayment int64
	appliedPayments    []byte
}

// Encode encodes an entry.
func Encode(ops []Op) []byte {
	var b []byte
	for i := range ops {
		b = appendRecord(b, &record{Op: ops[i]})
	}
	return b
}

// Decode decodes an entry. On an error it returns no operations.
func Decode(b []byte) ([]Op, error) {
	var ops []Op
	err := eachRecord(b, func(r *record) error {
		if len(ops) == MaxOps || !r.isValidOp() {
			return ErrMalformed
		}
		ops = append(ops, r.Op)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return ops, nil
}

// isValidOp reports whether a record is valid in an entry. Fence and CloseRemaining must have no tenant, all other kinds must have one.
func (r *record) isValidOp() bool {
	known := r.Kind >= Payment && r.Kind <= CloseRemaining
	processWide := r.Kind >= Fence
	tenantMatchesKind := (r.Key.Tenant == "") == processWide
	return known && tenantMatchesKind && (r.Kind != Payment || r.Amount != 0)
}

func appendRecord(b []byte, r *record) []byte {
	var body []byte
	appendUint := func(field protowire.Number, value uint64) { body = encoding.AppendNonZeroUint(body, field, value) }
	appendUint(fieldKind, uint64(r.Kind))
	body = encoding.AppendNonEmptyBytes(body, fieldTenant, r.Key.Tenant)
	appendUint(fieldOverdraft, uint64(r.Key.Overdraft))
	body = encoding.AppendNonZeroFixed(body, fieldHolder, r.Key.Holder)
	appendUint(fieldGeneration, uint64(r.Key.Generation))
	appendUint(fieldNumber, r.Number)
	appendUint(fieldAmount, uint64(r.Amount))
	appendUint(fieldSpent, uint64(r.Spent))
	appendUint(fieldReturned, uint64(r.Returned))
	appendUint(fieldSequence, uint64(r.Sequence))
	appendUint(fieldRecovered, protowire.EncodeBool(r.Recovered))
	appendUint(fieldExpired, protowire.EncodeBool(r.expired))
	appendUint(fieldGranted, uint64(r.granted))
	appendUint(fieldPaid, uint64(r.paid))
	appendUint(fieldBalance, protowire.EncodeZigZag(r.balance))
	appendUint(fieldLent, uint64(r.lent))
	appendUint(fieldStranded, uint64(r.stranded))
	appendUint(fieldAvailableAtPayment, uint64(r.availableAtPayment))
	body = encoding.AppendNonEmptyBytes(body, fieldAppliedPayments, r.appliedPayments)
	return encoding.AppendBytesField(b, fieldRecord, body)
}

func eachRecord(b []byte, visit func(r *record) error) error {
	return encoding.Fields(b, malformed, func(field encoding.Field) error {
		if field.Number != fieldRecord || field.Type != protowire.BytesType {
			return nil
		}
		r := &record{}
		if err := r.decode(field.Bytes); err != nil {
			return err
		}
		return visit(r)
	})
}

func (r *record) decode(b []byte) error {
	if err := encoding.Fields(b, malformed, r.readField); err != nil {
		return err
	}
	isOp := r.Kind <= CloseRemaining
	tooLarge := r.Amount > MaxAmount || r.Key.Overdraft > MaxAmount
	if len(r.Key.Tenant) > MaxNameBytes || isOp && tooLarge {
		return ErrMalformed
	}
	return nil
}

// readField reads a field. A field with an unexpected wire type is skipped.
func (r *record) readField(field encoding.Field) error {
	switch field.Type {
	case protowire.VarintType:
		if !inBounds(field.Number, field.Value) {
			return ErrMalformed
		}
		r.readUint(field.Number, field.Value)
	case protowire.BytesType:
		switch field.Number {
		case fieldTenant:
			r.Key.Tenant = string(field.Bytes)
		case fieldAppliedPayments:
			r.appliedPayments = field.Bytes
		}
	case protowire.Fixed64Type:
		if field.Number == fieldHolder {
			r.Key.Holder = field.Value
		}
	}
	return nil
}

// inBounds reports whether a value is valid for a field. Most fields are counts and amounts that are not negative. A tenant that has spent
// more than it paid may have a negative available amount after a payment, which is encoded in two's complement, and a negative balance,
// which is zigzag encoded.
func inBounds(field protowire.Number, value uint64) bool {
	switch field {
	case fieldNumber, fieldBalance:
		return true
	case fieldAvailableAtPayment:
		return int64(value) >= -MaxPaid && int64(value) <= MaxPaid
	}
	return value <= uint64(MaxPaid)
}

func (r *record) readUint(field protowire.Number, value uint64) {
	switch field {
	case fieldKind:
		r.Kind = Kind(min(value, maxKind))
	case fieldOverdraft:
		r.Key.Overdraft = int64(value)
	case fieldGeneration:
		r.Key.Generation = uint32(value)
	case fieldNumber:
		r.Number = value
	case fieldAmount:
		r.Amount = int64(value)
	case fieldSpent:
		r.Spent = int64(value)
	case fieldReturned:
		r.Returned = int64(value)
	case fieldSequence:
		r.Sequence = uint32(value)
	case fieldRecovered:
		r.Recovered = value != 0
	case fieldExpired:
		r.expired = value != 0
	case fieldGranted:
		r.granted = int64(value)
	case fieldPaid:
		r.paid = int64(value)
	case fieldBalance:
		r.balance = protowire.DecodeZigZag(value)
	case fieldLent:
		r.lent = int64(value)
	case fieldStranded:
		r.stranded = int64(value)
	case fieldAvailableAtPayment:
		r.availableAtPayment = int64(value)
	}
}
