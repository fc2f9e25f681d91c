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
	mark     = "bgp1"
	hashSize = 16 // bytes of the hash that are sent
	headSize = len(mark) + hashSize

	// MostDatagram and MostStream bound what is read, in bytes.
	MostDatagram = 1400
	MostStream   = module.MaxStreamBytes + 256
)

// Kinds beside the view's own: what goes over a stream.
const (
	kindRecords view.Kind = 16 // one side of a full exchange
	kindShow    view.Kind = 17 // asks for all that is known, and tells nothing
	kindLimits  view.Kind = 18 // about limits of the whole fleet
)

// Errors of what cannot be read.
var (
	ErrKey  = errors.New("not by one who has the key")
	ErrForm = errors.New("cannot be read")
)

// Key is what all poolers of a fleet share.
type Key []byte

func (k Key) hash(body []byte) []byte {
	h := hmac.New(sha256.New, k)
	_, _ = h.Write(body)
	return h.Sum(nil)[:hashSize]
}

// envelope is a message with what only streams have.
type envelope struct {
	view.Message
	counts view.Counts
	avoids []module.AvoidedServer
	limits *quota.Message
	body   body // of a part
}

// seal appends a message as it goes out.
func (k Key) seal(dst []byte, e *envelope) []byte {
	from := len(dst)
	dst = append(append(dst, mark...), make([]byte, hashSize)...)
	dst = appendEnvelope(dst, e)
	copy(dst[from+len(mark):], k.hash(dst[from+headSize:]))
	return dst
}

// Datagram is a message as it goes out.
func (k Key) Datagram(m *view.Message) []byte { return k.seal(nil, &envelope{Message: *m}) }

// open reads a message that came.
func (k Key) open(b []byte) (*envelope, error) {
	if len(b) < headSize || string(b[:len(mark)]) != mark {
		return nil, ErrKey
	}
	if !hmac.Equal(b[len(mark):headSize], k.hash(b[headSize:])) {
		return nil, ErrKey
	}
	return readEnvelope(b[headSize:])
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

func bit(on bool) uint64 {
	if on {
		return 1
	}
	return 0
}

func appendEnvelope(b []byte, e *envelope) []byte {
	b = appendUint(b, 1, uint64(e.Kind))
	b = appendFixed(b, 2, uint64(e.From))
	b = appendUint(b, 3, uint64(e.Seq))
	b = appendFixed(b, 4, uint64(e.Target))
	var part []byte
	for i := range e.Records {
		part = appendRecord(part[:0], &e.Records[i])
		b = encoding.AppendBytesField(b, 5, part)
	}
	if c := e.counts; c.Sending > 0 {
		part = appendUint(appendUint(part[:0], 1, uint64(c.Reachable)), 2, uint64(c.Sending))
		part = appendUint(appendUint(part, 3, bit(c.Majority)), 4, bit(c.Alone))
		b = encoding.AppendBytesField(b, 6, part)
	}
	for i := range e.avoids {
		part = appendAvoided(part[:0], &e.avoids[i])
		b = encoding.AppendBytesField(b, 10, part)
	}
	if m := e.limits; m != nil {
		for i := range m.Items {
			part = appendItem(part[:0], &m.Items[i])
			b = encoding.AppendBytesField(b, 7, part)
		}
		b = appendUint(b, 8, uint64(m.Verb))
	}
	return appendBody(b, e.body.words)
}

func appendItem(b []byte, it *quota.Item) []byte {
	real := func(num protowire.Number, x float64) {
		if x != 0 {
			b = appendFixed(b, num, math.Float64bits(x))
		}
	}
	b = appendFixed(b, 1, it.Limit)
	b = appendUint(appendUint(b, 2, uint64(it.Seq)), 3, uint64(it.Epoch))
	real(4, it.Stamp)
	b = appendUint(appendUint(b, 5, bit(it.Vote)), 6, bit(it.Even))
	b = appendUint(appendUint(b, 7, uint64(it.Seen)), 8, uint64(it.Hold))
	real(9, it.Rest)
	real(10, it.Want)
	b = appendUint(appendUint(b, 11, uint64(it.Units)), 12, uint64(it.Pool))
	b = appendUint(b, 13, bit(it.Sure))
	real(14, it.Share)
	return b
}

func readItem(b []byte) (it quota.Item, err error) {
	err = encoding.Fields(b, fault, func(f encoding.Field) error {
		small, real := int(min(f.Value, math.MaxInt32)), math.Float64frombits(f.Value)
		switch f.Number {
		case 1:
			it.Limit = f.Value
		case 2:
			it.Seq = uint32(f.Value)
		case 3:
			it.Epoch = uint32(f.Value)
		case 4:
			it.Stamp = real
		case 5:
			it.Vote = f.Value == 1
		case 6:
			it.Even = f.Value == 1
		case 7:
			it.Seen = uint32(f.Value)
		case 8:
			it.Hold = small
		case 9:
			it.Rest = real
		case 10:
			it.Want = real
		case 11:
			it.Units = small
		case 12:
			it.Pool = small
		case 13:
			it.Sure = f.Value == 1
		case 14:
			it.Share = real
		}
		return nil
	})
	return it, err
}

func appendRecord(b []byte, r *view.Record) []byte {
	b = appendFixed(b, 1, uint64(r.ID))
	for i, s := range []string{r.Name, r.Addr, r.Zone, r.Region, r.Version} {
		b = appendText(b, protowire.Number(2+i), s)
	}
	b = appendUint(b, 7, uint64(r.Inc))
	b = appendUint(b, 8, uint64(r.State))
	return appendUint(b, 9, bit(r.Draining))
}

func fault(why error) error { return fmt.Errorf("%w: %w", ErrForm, why) }

func readEnvelope(b []byte) (*envelope, error) {
	e := &envelope{}
	err := encoding.Fields(b, fault, func(f encoding.Field) error {
		switch f.Number {
		case 1:
			if f.Value > 255 {
				return fmt.Errorf("%w: kind %d", ErrForm, f.Value)
			}
			e.Kind = view.Kind(f.Value)
		case 2:
			e.From = view.ID(f.Value)
		case 3:
			e.Seq = uint32(f.Value)
		case 4:
			e.Target = view.ID(f.Value)
		case 5:
			if len(e.Records) >= view.MostRecords {
				return fmt.Errorf("%w: over %d records", ErrForm, view.MostRecords)
			}
			r, err := readRecord(f.Bytes)
			if err != nil {
				return err
			}
			e.Records = append(e.Records, r)
		case 6:
			return encoding.Fields(f.Bytes, fault, func(f encoding.Field) error {
				switch x := int(f.Value & 0xffffff); f.Number {
				case 1:
					e.counts.Reachable = x
				case 2:
					e.counts.Sending = x
				case 3:
					e.counts.Majority = x == 1
				case 4:
					e.counts.Alone = x == 1
				}
				return nil
			})
		case 7:
			if e.limits == nil {
				e.limits = &quota.Message{}
			}
			if len(e.limits.Items) >= quota.MostItems {
				return fmt.Errorf("%w: over %d limits", ErrForm, quota.MostItems)
			}
			it, err := readItem(f.Bytes)
			e.limits.Items = append(e.limits.Items, it)
			return err
		case 8:
			if e.limits != nil {
				e.limits.Verb = quota.Verb(min(f.Value, 255))
			}
		case 10:
			if len(e.avoids) >= mostAvoided {
				return fmt.Errorf("%w: over %d avoided", ErrForm, mostAvoided)
			}
			a, err := readAvoided(f.Bytes)
			e.avoids = append(e.avoids, a)
			return err
		case 9:
			e.body.raw = slices.Clone(f.Bytes) // the reader uses its bytes again
		}
		return nil
	})
	if e.limits != nil {
		e.limits.From, e.limits.To = e.From, e.Target
	}
	if err == nil && e.From == 0 && e.Kind != kindShow {
		err = fmt.Errorf("%w: from nobody", ErrForm)
	}
	return e, err
}

func readRecord(b []byte) (r view.Record, err error) {
	texts := [...]*string{&r.Name, &r.Addr, &r.Zone, &r.Region, &r.Version}
	err = encoding.Fields(b, fault, func(f encoding.Field) error {
		switch {
		case f.Number == 1:
			r.ID = view.ID(f.Value)
		case f.Number >= 2 && f.Number <= 6:
			*texts[f.Number-2] = string(f.Bytes)
		case f.Number == 7:
			r.Inc = uint32(f.Value)
		case f.Number == 8:
			r.State = view.State(min(f.Value, 255))
		case f.Number == 9:
			r.Draining = f.Value == 1
		}
		return nil
	})
	if err == nil && !r.Good() {
		err = fmt.Errorf("%w: a record", ErrForm)
	}
	return r, err
}

// appendFrame puts the length of a sealed message before it, for a stream.
func appendFrame(dst, sealed []byte) []byte {
	return append(binary.BigEndian.AppendUint32(dst, uint32(len(sealed))), sealed...)
}
