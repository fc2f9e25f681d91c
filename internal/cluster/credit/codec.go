package credit

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/lessor"
	"beechgrade/internal/cluster/credit/message"
	"beechgrade/internal/encoding"
)

// Message is exchanged between a pooler and the leader, or the voter that the pooler assumes to be the leader. It is encoded as the
// protobuf message below. Where a field of the schema has another name than the Go field, that is: who is Holder, asks is Requests,
// answers is Responses, digest is PaymentDigest, pays is Payments, depth is Overdraft, gen is Generation, seq is Sequence, want is
// Requested, need is Queued, rate is SpendRate, left is Available, full is AvailableAtPayment, keep is Retain, and no is Number.
//
//	message Credit { fixed64 who = 1; bool reply = 2; string leader = 3; repeated Item asks = 4; repeated Item answers = 5;
//	                 fixed64 digest = 6; repeated Pay pays = 7; }
//	message Item { string tenant = 1; uint64 depth = 2; fixed64 holder = 3; uint32 gen = 4; uint32 seq = 5; uint64 spent = 6;
//	               uint64 returned = 7; uint64 want = 8; uint64 need = 9; uint64 rate = 10; uint32 flags = 11; uint64 granted = 12;
//	               sint64 left = 13; uint64 full = 14; uint64 keep = 15; }
//	message Pay { string tenant = 1; uint64 no = 2; uint64 amount = 3; }
type Message struct {
	Holder        ledger.Holder // the pooler that sends the request, or to which the reply goes
	Reply         bool
	Leader        string // name of the leader, in a reply from a voter that does not lead
	Requests      []message.Request
	Responses     []message.Response
	PaymentDigest uint64 // 0 if the message has none
	Payments      []lessor.Payment
}

// Field numbers of Message.
const (
	fieldHolder protowire.Number = iota + 1
	fieldReply
	fieldLeader
	fieldRequests
	fieldResponses
	fieldPaymentDigest
	fieldPayments
)

// Field numbers of Item.
const (
	itemTenant protowire.Number = iota + 1
	itemOverdraft
	itemHolder
	itemGeneration
	itemSequence
	itemSpent
	itemReturned
	itemRequested
	itemQueued
	itemSpendRate
	itemFlags
	itemGranted
	itemAvailable
	itemAvailableAtPayment
	itemRetain
)

// Field numbers of Pay.
const (
	paymentTenant protowire.Number = iota + 1
	paymentNumber
	paymentAmount
)

// Bits of an Item's flags.
const (
	flagFinal = 1 << iota
	flagRecovered
	flagMarksRead
	flagClosed
	flagExpired
	flagRecall
)

// ErrMalformed is returned for bytes that do not encode a message of this module.
var ErrMalformed = errors.New("credit: malformed message")

func malformed(error) error { return ErrMalformed }

// itemWriter appends the fields of a nested message.
type itemWriter struct{ b []byte }

func (w *itemWriter) uint(field protowire.Number, value uint64) {
	w.b = encoding.AppendNonZeroUint(w.b, field, value)
}

func (w *itemWriter) fixed(field protowire.Number, value uint64) {
	w.b = encoding.AppendFixedField(w.b, field, value)
}

func (w *itemWriter) text(field protowire.Number, text string) {
	w.b = encoding.AppendNonEmptyBytes(w.b, field, text)
}

func (w *itemWriter) key(key *ledger.Key) {
	w.text(itemTenant, key.Tenant)
	w.uint(itemOverdraft, uint64(key.Overdraft))
	w.fixed(itemHolder, key.Holder)
	w.uint(itemGeneration, uint64(key.Generation))
}

// flag returns the bit if it is set, and 0 otherwise.
func flag(set bool, bit uint64) uint64 {
	if set {
		return bit
	}
	return 0
}

// Append appends the encoded message to b. It implements module.Message.
func (m *Message) Append(b []byte) []byte {
	b = encoding.AppendFixedField(b, fieldHolder, m.Holder)
	b = encoding.AppendNonZeroUint(b, fieldReply, protowire.EncodeBool(m.Reply))
	b = encoding.AppendNonEmptyBytes(b, fieldLeader, m.Leader)
	for i := range m.Requests {
		b = encoding.AppendBytesField(b, fieldRequests, encodeRequest(&m.Requests[i]))
	}
	for i := range m.Responses {
		b = encoding.AppendBytesField(b, fieldResponses, encodeResponse(&m.Responses[i]))
	}
	b = encoding.AppendNonZeroFixed(b, fieldPaymentDigest, m.PaymentDigest)
	for i := range m.Payments {
		b = encoding.AppendBytesField(b, fieldPayments, encodePayment(&m.Payments[i]))
	}
	return b
}

func encodeRequest(request *message.Request) []byte {
	w := &itemWriter{}
	w.key(&request.Key)
	w.uint(itemSequence, uint64(request.Sequence))
	w.uint(itemSpent, uint64(request.Spent))
	w.uint(itemReturned, uint64(request.Returned))
	w.uint(itemRequested, uint64(request.Requested))
	w.uint(itemQueued, uint64(request.Queued))
	w.uint(itemSpendRate, uint64(request.SpendRate))
	w.uint(itemFlags, flag(request.Final, flagFinal)|flag(request.Recovered, flagRecovered)|flag(request.MarksRead, flagMarksRead))
	return w.b
}

func encodeResponse(response *message.Response) []byte {
	w := &itemWriter{}
	w.key(&response.Key)
	w.uint(itemSequence, uint64(response.Sequence))
	w.uint(itemFlags, flag(response.Closed, flagClosed)|flag(response.Expired, flagExpired)|flag(response.Recall, flagRecall))
	w.uint(itemGranted, uint64(response.Granted))
	w.uint(itemAvailable, protowire.EncodeZigZag(response.Available))
	w.uint(itemAvailableAtPayment, uint64(response.AvailableAtPayment))
	w.uint(itemRetain, uint64(response.Retain))
	return w.b
}

func encodePayment(payment *lessor.Payment) []byte {
	w := &itemWriter{}
	w.text(paymentTenant, payment.Tenant)
	w.uint(paymentNumber, payment.Number)
	w.uint(paymentAmount, uint64(payment.Amount))
	return w.b
}

// eachField visits the fields of a message and skips those whose wire type no field of this module uses.
func eachField(b []byte, visit func(field encoding.Field) error) error {
	return encoding.Fields(b, malformed, func(field encoding.Field) error {
		if !field.HasValue() {
			return nil
		}
		return visit(field)
	})
}

// DecodeMessage decodes a message. On an error it returns no part of the message.
func DecodeMessage(b []byte) (*Message, error) {
	m := &Message{}
	if err := eachField(b, m.readField); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Message) readField(field encoding.Field) error {
	switch field.Number {
	case fieldHolder:
		m.Holder = field.Value
	case fieldReply:
		m.Reply = field.Value != 0
	case fieldLeader:
		if len(field.Bytes) > ledger.MaxNameBytes {
			return ErrMalformed
		}
		m.Leader = string(field.Bytes)
	case fieldRequests, fieldResponses:
		return m.readItem(field)
	case fieldPaymentDigest:
		m.PaymentDigest = field.Value
	case fieldPayments:
		payment, err := decodePayment(field.Bytes)
		if err != nil {
			return err
		}
		m.Payments = append(m.Payments, payment)
	}
	return nil
}

func (m *Message) readItem(field encoding.Field) error {
	item, err := decodeItem(field.Bytes)
	if err != nil || len(m.Requests)+len(m.Responses) >= message.MaxItems {
		return ErrMalformed
	}
	processWide := item.request.Key.Tenant == ""
	if field.Number == fieldRequests {
		if processWide && !item.request.Recovered {
			return ErrMalformed
		}
		m.Requests = append(m.Requests, item.request)
		return nil
	}
	if processWide && item.response.Sequence != 0 {
		return ErrMalformed
	}
	m.Responses = append(m.Responses, item.response)
	return nil
}

func decodePayment(b []byte) (lessor.Payment, error) {
	payment := lessor.Payment{}
	err := eachField(b, func(field encoding.Field) error {
		switch field.Number {
		case paymentTenant:
			payment.Tenant = string(field.Bytes)
		case paymentNumber:
			payment.Number = field.Value
		case paymentAmount:
			payment.Amount = int64(min(field.Value, uint64(ledger.MaxAmount)+1))
		}
		return nil
	})
	validName := payment.Tenant != "" && len(payment.Tenant) <= ledger.MaxNameBytes
	if err != nil || !validName || payment.Amount <= 0 || payment.Amount > ledger.MaxAmount {
		return lessor.Payment{}, ErrMalformed
	}
	return payment, nil
}

// item is a request or a response. Both use the same protobuf message.
type item struct {
	request  message.Request
	response message.Response
}

func decodeItem(b []byte) (item, error) {
	decoded := item{}
	if err := eachField(b, decoded.readField); err != nil {
		return item{}, ErrMalformed
	}
	if len(decoded.request.Key.Tenant) > ledger.MaxNameBytes {
		return item{}, ErrMalformed
	}
	decoded.response.Key = decoded.request.Key
	return decoded, nil
}

func (i *item) readField(field encoding.Field) error {
	amount := int64(field.Value)
	bounded := field.Number != itemHolder && field.Number != itemAvailable
	if bounded && field.Value > uint64(ledger.MaxPaid) {
		return ErrMalformed
	}
	if field.Number == itemOverdraft && amount > ledger.MaxAmount {
		return ErrMalformed
	}
	key, request, response := &i.request.Key, &i.request, &i.response
	switch field.Number {
	case itemTenant:
		key.Tenant = string(field.Bytes)
	case itemOverdraft:
		key.Overdraft = amount
	case itemHolder:
		key.Holder = field.Value
	case itemGeneration:
		key.Generation = uint32(field.Value)
	case itemSequence:
		request.Sequence = uint32(field.Value)
		response.Sequence = uint32(field.Value)
	case itemSpent:
		request.Spent = amount
	case itemReturned:
		request.Returned = amount
	case itemRequested:
		request.Requested = min(amount, ledger.MaxAmount)
	case itemQueued:
		request.Queued = min(amount, ledger.MaxAmount)
	case itemSpendRate:
		request.SpendRate = min(amount, ledger.MaxAmount)
	case itemFlags:
		i.readFlags(field.Value)
	case itemGranted:
		response.Granted = amount
	case itemAvailable:
		response.Available = protowire.DecodeZigZag(field.Value)
	case itemAvailableAtPayment:
		response.AvailableAtPayment = amount
	case itemRetain:
		response.Retain = amount
	}
	return nil
}

func (i *item) readFlags(flags uint64) {
	i.request.Final = flags&flagFinal != 0
	i.request.Recovered = flags&flagRecovered != 0
	i.request.MarksRead = flags&flagMarksRead != 0
	i.response.Closed = flags&flagClosed != 0
	i.response.Expired = flags&flagExpired != 0
	i.response.Recall = flags&flagRecall != 0
}
