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

// What goes between two poolers is, in this order: the mark and the version, a keyed hash of the rest, and a protobuf message:
//
//	message Envelope { uint32 kind = 1; fixed64 from = 2; uint32 seq = 3; fixed64 target = 4; repeated Record records = 5; Counts counts = 6;
//	                   repeated Avoided avoided = 10; }
//	message Record { fixed64 id = 1; string name = 2; string addr = 3; string zone = 4; string region = 5; string version = 6;
//	                 uint32 incarnation = 7; uint32 state = 8; bool draining = 9; }
//	message Avoided { string server = 1; string why = 2; repeated fixed64 by = 3; fixed64 until = 4; } in the answer to those who look; until is a double
//	message Counts { uint32 reachable = 1; uint32 sending = 2; bool majority = 3; bool alone = 4; }
//
// About limits the kind is 18, the target is whom it is for, and the rest is:
//
//	Envelope { uint32 verb = 8; repeated Item items = 7; }
//	message Item { fixed64 limit = 1; uint32 seq = 2; uint32 epoch = 3; fixed64 stamp = 4; bool vote = 5; bool even = 6; uint32 seen = 7;
//	               uint32 hold = 8; fixed64 rest = 9; fixed64 want = 10; uint32 units = 11; uint32 pool = 12; bool sure = 13; fixed64 share = 14; }
//
// where stamp, rest, want and share are doubles. Kinds from 32 on are those of parts (package part), whose words are bytes of a form
// of their own: Envelope { bytes body = 9; }.
//
// Fields that are not known are skipped, so that a later version can say more. A datagram that is sent again by a stranger who has
// seen it tells nothing new: what a record says is ordered by the incarnation that its process gave it.
const (
	protocolMagic = "bgp1"
	macBytes      = 16 // bytes of the hash that are sent
	headerBytes   = len(protocolMagic) + macBytes

	// MaxDatagramBytes and MaxStreamBytes bound what is read, in bytes.
	MaxDatagramBytes = 1400
	MaxStreamBytes   = module.MaxStreamBytes + 256
)

// Kinds beside the view's own: what goes over a stream.
const (
	kindExchange    view.Kind = 16 // one side of a full exchange
	kindStatusQuery view.Kind = 17 // asks for all that is known, and tells nothing
	kindQuota       view.Kind = 18 // about limits of the whole fleet
)

// Errors of what cannot be read.
var (
	ErrNotAuthenticated = errors.New("not by one who has the key")
	ErrMalformed        = errors.New("cannot be read")
)

// Key is what all poolers of a fleet share.
type Key []byte

func (k Key) mac(body []byte) []byte {
	h := hmac.New(sha256.New, k)
	_, _ = h.Write(body)
	return h.Sum(nil)[:macBytes]
}

// envelope is a message with what only streams have.
type envelope struct {
	view.Message
	counts  view.Counts
	avoided []module.AvoidedServer
	quota   *quota.Message
	body    moduleBody // of a part
}

// seal appends a message as it goes out.
func (k Key) seal(dst []byte, message *envelope) []byte {
	from := len(dst)
	dst = append(append(dst, protocolMagic...), make([]byte, macBytes)...)
	dst = appendEnvelope(dst, message)
	copy(dst[from+len(protocolMagic):], k.mac(dst[from+headerBytes:]))
	return dst
}

// SealDatagram is a message as it goes out.
func (k Key) SealDatagram(m *view.Message) []byte { return k.seal(nil, &envelope{Message: *m}) }

// open reads a message that came.
func (k Key) open(b []byte) (*envelope, error) {
	if len(b) < headerBytes || string(b[:len(protocolMagic)]) != protocolMagic {
		return nil, ErrNotAuthenticated
	}
	if !hmac.Equal(b[len(protocolMagic):headerBytes], k.mac(b[headerBytes:])) {
		return nil, ErrNotAuthenticated
	}
	return decodeEnvelope(b[headerBytes:])
}

func appendUint(b []byte, num protowire.Number, x uint64) []byte {
	return encoding.AppendNonZeroUint(b, num, x)
}
func appendFixed(b []byte, num protowire.Number, x uint64) []byte {
	return encoding.AppendFixedField(b, num, x)
}
func appendText(b []byte, num protowire.Number, s string) []byte {
	return encoding.AppendNonEmptyBytes(b, num, s)
}

func boolToUint(on bool) uint64 {
	if on {
		return 1
	}
	return 0
}

func appendEnvelope(b []byte, message *envelope) []byte {
	b = appendUint(b, 1, uint64(message.Kind))
	b = appendFixed(b, 2, uint64(message.From))
	b = appendUint(b, 3, uint64(message.Sequence))
	b = appendFixed(b, 4, uint64(message.Target))
	var part []byte
	for i := range message.Records {
		part = appendRecord(part[:0], &message.Records[i])
		b = encoding.AppendBytesField(b, 5, part)
	}
	if c := message.counts; c.Sending > 0 {
		part = appendUint(appendUint(part[:0], 1, uint64(c.Reachable)), 2, uint64(c.Sending))
		part = appendUint(appendUint(part, 3, boolToUint(c.Majority)), 4, boolToUint(c.Isolated))
		b = encoding.AppendBytesField(b, 6, part)
	}
	for i := range message.avoided {
		part = appendAvoided(part[:0], &message.avoided[i])
		b = encoding.AppendBytesField(b, 10, part)
	}
	if m := message.quota; m != nil {
		for i := range m.Items {
			part = appendQuotaItem(part[:0], &m.Items[i])
			b = encoding.AppendBytesField(b, 7, part)
		}
		b = appendUint(b, 8, uint64(m.Kind))
	}
	return appendModuleBody(b, message.body.message)
}

func appendQuotaItem(b []byte, item *quota.Item) []byte {
	real := func(num protowire.Number, x float64) {
		if x != 0 {
			b = appendFixed(b, num, math.Float64bits(x))
		}
	}
	b = appendFixed(b, 1, item.LimitHash)
	b = appendUint(appendUint(b, 2, uint64(item.Sequence)), 3, uint64(item.Epoch))
	real(4, item.OwnerTime)
	b = appendUint(appendUint(b, 5, boolToUint(item.Vote)), 6, boolToUint(item.SoonEven))
	b = appendUint(appendUint(b, 7, uint64(item.LastTaken)), 8, uint64(item.UnitsInUse))
	real(9, item.RemainingMs)
	real(10, item.Demand)
	b = appendUint(appendUint(b, 11, uint64(item.Units)), 12, uint64(item.Pool))
	b = appendUint(b, 13, boolToUint(item.AllAccounted))
	real(14, item.Share)
	return b
}

func decodeQuotaItem(b []byte) (item quota.Item, err error) {
	err = encoding.Fields(b, malformed, func(field encoding.Field) error {
		small, real := int(min(field.Value, math.MaxInt32)), math.Float64frombits(field.Value)
		switch field.Number {
		case 1:
			item.LimitHash = field.Value
		case 2:
			item.Sequence = uint32(field.Value)
		case 3:
			item.Epoch = uint32(field.Value)
		case 4:
			item.OwnerTime = real
		case 5:
			item.Vote = field.Value == 1
		case 6:
			item.SoonEven = field.Value == 1
		case 7:
			item.LastTaken = uint32(field.Value)
		case 8:
			item.UnitsInUse = small
		case 9:
			item.RemainingMs = real
		case 10:
			item.Demand = real
		case 11:
			item.Units = small
		case 12:
			item.Pool = small
		case 13:
			item.AllAccounted = field.Value == 1
		case 14:
			item.Share = real
		}
		return nil
	})
	return item, err
}

func appendRecord(b []byte, record *view.Record) []byte {
	b = appendFixed(b, 1, uint64(record.ID))
	for i, s := range []string{record.Name, record.Addr, record.Zone, record.Region, record.Version} {
		b = appendText(b, protowire.Number(2+i), s)
	}
	b = appendUint(b, 7, uint64(record.Incarnation))
	b = appendUint(b, 8, uint64(record.State))
	return appendUint(b, 9, boolToUint(record.Draining))
}

func malformed(why error) error { return fmt.Errorf("%w: %w", ErrMalformed, why) }

func decodeEnvelope(b []byte) (*envelope, error) {
	message := &envelope{}
	err := encoding.Fields(b, malformed, func(field encoding.Field) error {
		switch field.Number {
		case 1:
			if field.Value > 255 {
				return fmt.Errorf("%w: kind %d", ErrMalformed, field.Value)
			}
			message.Kind = view.Kind(field.Value)
		case 2:
			message.From = view.ID(field.Value)
		case 3:
			message.Sequence = uint32(field.Value)
		case 4:
			message.Target = view.ID(field.Value)
		case 5:
			if len(message.Records) >= view.MaxRecords {
				return fmt.Errorf("%w: over %d records", ErrMalformed, view.MaxRecords)
			}
			record, err := decodeRecord(field.Bytes)
			if err != nil {
				return err
			}
			message.Records = append(message.Records, record)
		case 6:
			return encoding.Fields(field.Bytes, malformed, func(field encoding.Field) error {
				switch x := int(field.Value & 0xffffff); field.Number {
				case 1:
					message.counts.Reachable = x
				case 2:
					message.counts.Sending = x
				case 3:
					message.counts.Majority = x == 1
				case 4:
					message.counts.Isolated = x == 1
				}
				return nil
			})
		case 7:
			if message.quota == nil {
				message.quota = &quota.Message{}
			}
			if len(message.quota.Items) >= quota.MaxItems {
				return fmt.Errorf("%w: over %d limits", ErrMalformed, quota.MaxItems)
			}
			item, err := decodeQuotaItem(field.Bytes)
			message.quota.Items = append(message.quota.Items, item)
			return err
		case 8:
			if message.quota != nil {
				message.quota.Kind = quota.MessageKind(min(field.Value, 255))
			}
		case 10:
			if len(message.avoided) >= maxAvoidedServers {
				return fmt.Errorf("%w: over %d avoided", ErrMalformed, maxAvoidedServers)
			}
			server, err := decodeAvoided(field.Bytes)
			message.avoided = append(message.avoided, server)
			return err
		case 9:
			message.body.raw = slices.Clone(field.Bytes) // the reader uses its bytes again
		}
		return nil
	})
	if message.quota != nil {
		message.quota.From, message.quota.To = message.From, message.Target
	}
	if err == nil && message.From == 0 && message.Kind != kindStatusQuery {
		err = fmt.Errorf("%w: from nobody", ErrMalformed)
	}
	return message, err
}

func decodeRecord(b []byte) (record view.Record, err error) {
	texts := [...]*string{&record.Name, &record.Addr, &record.Zone, &record.Region, &record.Version}
	err = encoding.Fields(b, malformed, func(field encoding.Field) error {
		switch {
		case field.Number == 1:
			record.ID = view.ID(field.Value)
		case field.Number >= 2 && field.Number <= 6:
			*texts[field.Number-2] = string(field.Bytes)
		case field.Number == 7:
			record.Incarnation = uint32(field.Value)
		case field.Number == 8:
			record.State = view.State(min(field.Value, 255))
		case field.Number == 9:
			record.Draining = field.Value == 1
		}
		return nil
	})
	if err == nil && !record.Valid() {
		err = fmt.Errorf("%w: a record", ErrMalformed)
	}
	return record, err
}

// appendFrame puts the length of a sealed message before it, for a stream.
func appendFrame(dst, sealed []byte) []byte {
	return append(binary.BigEndian.AppendUint32(dst, uint32(len(sealed))), sealed...)
}
