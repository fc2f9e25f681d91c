package cluster

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/encoding"
)

// A message between two poolers consists of protocolMagic, a keyed hash of the remainder, and a protobuf message, in this order:
//
//	message Envelope { uint32 kind = 1; fixed64 from = 2; uint32 seq = 3; fixed64 target = 4; repeated Record records = 5; Counts counts = 6;
//	                   repeated Avoided avoided = 10; }
//	message Record { fixed64 id = 1; string name = 2; string addr = 3; string zone = 4; string region = 5; string version = 6;
//	                 uint32 incarnation = 7; uint32 state = 8; bool draining = 9; }
//	message Avoided { string server = 1; string why = 2; repeated fixed64 by = 3; fixed64 until = 4; }  in the answer to a status query
//	message Counts { uint32 reachable = 1; uint32 sending = 2; bool majority = 3; bool alone = 4; }
//
// In a message about fleet-wide limits the kind is kindQuota, the target is the receiver, and the remainder is:
//
//	Envelope { uint32 verb = 8; repeated Item items = 7; }
//	message Item { fixed64 limit = 1; uint32 seq = 2; uint32 epoch = 3; fixed64 stamp = 4; bool vote = 5; bool even = 6; uint32 seen = 7;
//	               uint32 hold = 8; fixed64 rest = 9; fixed64 want = 10; uint32 units = 11; uint32 pool = 12; bool sure = 13; fixed64 share = 14; }
//
// The fields until, stamp, rest, want and share are doubles, in the bits of a fixed64. Kinds from module.FirstKind to module.LastKind
// belong to modules, which encode their messages themselves: Envelope { bytes body = 9; }.
//
// Unknown fields are skipped, so that later versions can add fields. A datagram that is replayed by somebody without the key has no
// effect: records are ordered by the incarnation that their process gave them.
const (
	protocolMagic = "bgp1"
	macBytes      = 16 // the hash is truncated to this length
	headerBytes   = len(protocolMagic) + macBytes

	// MaxDatagramBytes bounds a received datagram.
	MaxDatagramBytes = 1400
	// MaxStreamBytes bounds a message that is received over a stream: the largest message of a module, and its envelope.
	MaxStreamBytes = module.MaxStreamBytes + envelopeBytes
	envelopeBytes  = 256
)

// Message kinds beside those of the view.
const (
	kindExchange    view.Kind = 16 // one side of a full exchange, or the reply to a module's message over a stream
	kindStatusQuery view.Kind = 17 // asks for everything that a pooler knows of the cluster; has no sender
	kindQuota       view.Kind = 18 // a message about fleet-wide limits
)

// Field numbers of an envelope, its counts and its records.
const (
	fieldKind       = 1
	fieldFrom       = 2
	fieldSequence   = 3
	fieldTarget     = 4
	fieldRecord     = 5
	fieldCounts     = 6
	fieldQuotaItem  = 7
	fieldQuotaKind  = 8
	fieldModuleBody = 9
	fieldAvoided    = 10

	fieldCountsReachable = 1
	fieldCountsSending   = 2
	fieldCountsMajority  = 3
	fieldCountsIsolated  = 4

	fieldRecordID          = 1
	fieldRecordName        = 2 // the first of the text fields, which are numbered in order
	fieldRecordVersion     = 6 // the last text field
	fieldRecordIncarnation = 7
	fieldRecordState       = 8
	fieldRecordDraining    = 9
)

const maxCount = 0xffffff // bit mask of the numbers in Counts

// Errors of rejected messages.
var (
	ErrNotAuthenticated = errors.New("not sent by a holder of the cluster's key")
	ErrMalformed        = errors.New("malformed message")
)

func malformed(reason error) error { return fmt.Errorf("%w: %w", ErrMalformed, reason) }

// Key is the secret that all poolers of a cluster share.
type Key []byte

func (k Key) mac(body []byte) []byte {
	h := hmac.New(sha256.New, k)
	_, _ = h.Write(body)
	return h.Sum(nil)[:macBytes]
}

// envelope is a message of the view, the quota or a module. Counts and avoided servers are sent over streams only.
type envelope struct {
	view.Message
	counts  view.Counts
	avoided []module.AvoidedServer
	quota   *quota.Message
	body    moduleBody
}

// seal encodes and authenticates a message, and appends it to dst.
func (k Key) seal(dst []byte, message *envelope) []byte {
	start := len(dst)
	dst = append(append(dst, protocolMagic...), make([]byte, macBytes)...)
	dst = appendEnvelope(dst, message)
	copy(dst[start+len(protocolMagic):], k.mac(dst[start+headerBytes:]))
	return dst
}

// SealDatagram returns a message of the view as a datagram.
func (k Key) SealDatagram(message *view.Message) []byte {
	return k.seal(nil, &envelope{Message: *message})
}

// open authenticates and decodes a received message.
func (k Key) open(b []byte) (*envelope, error) {
	if len(b) < headerBytes || string(b[:len(protocolMagic)]) != protocolMagic {
		return nil, ErrNotAuthenticated
	}
	if !hmac.Equal(b[len(protocolMagic):headerBytes], k.mac(b[headerBytes:])) {
		return nil, ErrNotAuthenticated
	}
	return decodeEnvelope(b[headerBytes:])
}

func appendUint(b []byte, number protowire.Number, x uint64) []byte {
	return encoding.AppendNonZeroUint(b, number, x)
}

func appendFixed(b []byte, number protowire.Number, x uint64) []byte {
	return encoding.AppendFixedField(b, number, x)
}

func appendText(b []byte, number protowire.Number, s string) []byte {
	return encoding.AppendNonEmptyBytes(b, number, s)
}

func appendBool(b []byte, number protowire.Number, on bool) []byte {
	if on {
		return appendUint(b, number, 1)
	}
	return b
}

func appendEnvelope(b []byte, message *envelope) []byte {
	b = appendUint(b, fieldKind, uint64(message.Kind))
	b = appendFixed(b, fieldFrom, uint64(message.From))
	b = appendUint(b, fieldSequence, uint64(message.Sequence))
	b = appendFixed(b, fieldTarget, uint64(message.Target))
	var part []byte
	for i := range message.Records {
		part = appendRecord(part[:0], &message.Records[i])
		b = encoding.AppendBytesField(b, fieldRecord, part)
	}
	if message.counts.Sending > 0 {
		b = encoding.AppendBytesField(b, fieldCounts, appendCounts(part[:0], &message.counts))
	}
	for i := range message.avoided {
		part = appendAvoided(part[:0], &message.avoided[i])
		b = encoding.AppendBytesField(b, fieldAvoided, part)
	}
	if message.quota != nil {
		b = appendQuota(b, message.quota)
	}
	return appendModuleBody(b, message.body.message)
}

func appendCounts(b []byte, counts *view.Counts) []byte {
	b = appendUint(b, fieldCountsReachable, uint64(counts.Reachable))
	b = appendUint(b, fieldCountsSending, uint64(counts.Sending))
	b = appendBool(b, fieldCountsMajority, counts.Majority)
	return appendBool(b, fieldCountsIsolated, counts.Isolated)
}

func appendRecord(b []byte, record *view.Record) []byte {
	b = appendFixed(b, fieldRecordID, uint64(record.ID))
	for i, text := range []string{record.Name, record.Addr, record.Zone, record.Region, record.Version} {
		b = appendText(b, protowire.Number(fieldRecordName+i), text)
	}
	b = appendUint(b, fieldRecordIncarnation, uint64(record.Incarnation))
	b = appendUint(b, fieldRecordState, uint64(record.State))
	return appendBool(b, fieldRecordDraining, record.Draining)
}

func decodeEnvelope(b []byte) (*envelope, error) {
	message := &envelope{}
	err := encoding.Fields(b, malformed, message.decodeField)
	if message.quota != nil {
		message.quota.From, message.quota.To = message.From, message.Target
	}
	if err == nil && message.From == 0 && message.Kind != kindStatusQuery {
		err = fmt.Errorf("%w: no sender", ErrMalformed)
	}
	return message, err
}

func (e *envelope) decodeField(field encoding.Field) error {
	switch field.Number {
	case fieldKind:
		if field.Value > math.MaxUint8 {
			return fmt.Errorf("%w: kind %d", ErrMalformed, field.Value)
		}
		e.Kind = view.Kind(field.Value)
	case fieldFrom:
		e.From = view.ID(field.Value)
	case fieldSequence:
		e.Sequence = uint32(field.Value)
	case fieldTarget:
		e.Target = view.ID(field.Value)
	case fieldRecord:
		return e.addRecord(field.Bytes)
	case fieldCounts:
		return decodeCounts(field.Bytes, &e.counts)
	case fieldQuotaItem:
		return e.addQuotaItem(field.Bytes)
	case fieldQuotaKind:
		if e.quota != nil {
			e.quota.Kind = quota.MessageKind(min(field.Value, math.MaxUint8))
		}
	case fieldModuleBody:
		e.body.raw = slices.Clone(field.Bytes) // the read buffer is reused
	case fieldAvoided:
		return e.addAvoided(field.Bytes)
	}
	return nil
}

func (e *envelope) addRecord(b []byte) error {
	if len(e.Records) >= view.MaxRecords {
		return fmt.Errorf("%w: over %d records", ErrMalformed, view.MaxRecords)
	}
	record, err := decodeRecord(b)
	if err != nil {
		return err
	}
	e.Records = append(e.Records, record)
	return nil
}

func (e *envelope) addAvoided(b []byte) error {
	if len(e.avoided) >= maxAvoidedServers {
		return fmt.Errorf("%w: over %d avoided servers", ErrMalformed, maxAvoidedServers)
	}
	server, err := decodeAvoided(b)
	e.avoided = append(e.avoided, server)
	return err
}

func decodeCounts(b []byte, counts *view.Counts) error {
	return encoding.Fields(b, malformed, func(field encoding.Field) error {
		value := int(field.Value & maxCount)
		switch field.Number {
		case fieldCountsReachable:
			counts.Reachable = value
		case fieldCountsSending:
			counts.Sending = value
		case fieldCountsMajority:
			counts.Majority = value == 1
		case fieldCountsIsolated:
			counts.Isolated = value == 1
		}
		return nil
	})
}

func decodeRecord(b []byte) (record view.Record, err error) {
	texts := [...]*string{&record.Name, &record.Addr, &record.Zone, &record.Region, &record.Version}
	err = encoding.Fields(b, malformed, func(field encoding.Field) error {
		switch {
		case field.Number == fieldRecordID:
			record.ID = view.ID(field.Value)
		case field.Number >= fieldRecordName && field.Number <= fieldRecordVersion:
			*texts[field.Number-fieldRecordName] = string(field.Bytes)
		case field.Number == fieldRecordIncarnation:
			record.Incarnation = uint32(field.Value)
		case field.Number == fieldRecordState:
			record.State = view.State(min(field.Value, math.MaxUint8))
		case field.Number == fieldRecordDraining:
			record.Draining = field.Value == 1
		}
		return nil
	})
	if err == nil && !record.Valid() {
		err = fmt.Errorf("%w: a record", ErrMalformed)
	}
	return record, err
}

// appendFrame appends a sealed message as sent over a stream: its length, then the message.
func appendFrame(dst, sealed []byte) []byte {
	return append(binary.BigEndian.AppendUint32(dst, uint32(len(sealed))), sealed...)
}
