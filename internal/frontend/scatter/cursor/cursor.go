// Package cursor is the place at which a scattered read goes on: what is sealed and given to a client with a page, and brought back with the
// ask for the next one. It does no I/O and has no clock; nonces are given to it.
//
// # What it holds
//
// For each shard a Place and the position of its log that the page was read at. Rows go out by the order's columns, then by
// shard, then by the shard's own order, so the last row of a page says where all shards stand: those before its shard are past all
// rows with its columns, those behind it are before them, and its own shard is behind that very row. Only a shard that was missing
// has a place of its own. So a cursor has one row's key, whatever the number of equal keys and of shards.
//
// # What it promises
//
// Nobody without a secret of the ring makes one or changes a bit of one, or reads what is in it. It is of one statement with its
// parameters, one reader (tenant, class, user, database), one order and one list of shards, and is taken for the ring's age. Each fault
// has an error of its own; what can't be opened at all is ErrForged. Nothing is remembered of a cursor: any pooler goes on with it, as often as it is
// brought.
package cursor

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"slices"
)

// Errors of a cursor that is not taken.
var (
	ErrTruncated  = errors.New("the cursor is not whole")
	ErrUnknownKey = errors.New("the cursor's key is not taken, or not any more: begin again")
	ErrForged     = errors.New("the cursor was not given by this fleet, or was changed")
	ErrExpired    = errors.New("the cursor is too old: begin again")
	ErrStatement  = errors.New("the cursor is of another statement or of other parameters")
	ErrReader     = errors.New("the cursor is another's: of another tenant, class, user or database")
	ErrOrder      = errors.New("the cursor is of another order")
	ErrShards     = errors.New("the cursor is of other shards than there are now: begin again")
	ErrKeyTooLong = errors.New("the row at which the page ends has too long a key for a cursor")
)

// Digest is what stands for a text that a cursor is bound to.
type Digest [6]byte

// Binding is what a cursor is of.
type Binding struct{ Statement, Reader, Order, Shards Digest }

// Place is where a shard stands: behind the row that went out last, which may be of another shard. The zero Place is before all rows.
type Place struct {
	Key       []byte // of the row, in the order asked for
	OwnOffset int    // where the shard's own part of it begins
	Shard     int
}

// Compare compares places by how far they are.
func (p *Place) Compare(o *Place) int {
	if p.Key == nil || o.Key == nil {
		return cmp.Compare(len(p.Key), len(o.Key))
	}
	return cmp.Or(bytes.Compare(p.Key[:p.OwnOffset], o.Key[:o.OwnOffset]), cmp.Compare(p.Shard, o.Shard), bytes.Compare(p.Key[p.OwnOffset:], o.Key[o.OwnOffset:]))
}

// Cursor is what one holds.
type Cursor struct {
	IssuedMs     float64 // Unix ms
	Binding      Binding
	Places       []Place // by shard
	MinPositions []int64 // by shard: the position, in Unix ms, that its rows must be read at or behind; 0 for none
}

// Bounds of what is taken.
const (
	MaxShards    = 1024
	MaxKeyBytes  = 2048 // bytes of a row's key
	MaxTextBytes = 8192 // bytes of a cursor as the client has it
	version      = 1
	headBytes    = 1 + 2 + idBytes // version, length, the key's name
	nonceBytes   = 12
)

// Nonce is what no two cursors may be sealed with.
type Nonce [nonceBytes]byte

var encoding = base64.RawURLEncoding.Strict()

// Seal makes a cursor's text; now is in Unix milliseconds.
func (r *Ring) Seal(c *Cursor, n Nonce) (string, error) {
	r.rotate(c.IssuedMs)
	plain, err := c.append(nil)
	if err != nil {
		return "", err
	}
	b := append([]byte{version, 0, 0}, r.sealingID[:]...)
	binary.BigEndian.PutUint16(b[1:], uint16(headBytes+nonceBytes+len(plain)+r.sealingKey.Overhead()))
	b = append(b, n[:]...)
	b = r.sealingKey.Seal(b, n[:], plain, b[:headBytes])
	if encoding.EncodedLen(len(b)) > MaxTextBytes {
		return "", ErrKeyTooLong
	}
	return encoding.EncodeToString(b), nil
}

// Open reads a cursor's text and holds it to what it must be of.
func (r *Ring) Open(text string, now float64, want *Binding) (*Cursor, error) {
	if len(text) > MaxTextBytes {
		return nil, ErrForged
	}
	b, err := encoding.DecodeString(text)
	switch {
	case len(b) == 0 || b[0] != version:
		return nil, ErrForged
	case err != nil || len(b) < headBytes+nonceBytes || int(binary.BigEndian.Uint16(b[1:])) != len(b):
		return nil, ErrTruncated
	}
	r.rotate(now)
	key := r.byID[[idBytes]byte(b[3:headBytes])]
	if key == nil {
		return nil, ErrUnknownKey
	}
	plain, err := key.Open(nil, b[headBytes:headBytes+nonceBytes], b[headBytes+nonceBytes:], b[:headBytes])
	if err != nil {
		return nil, ErrForged
	}
	c := &Cursor{}
	if err := c.read(plain); err != nil {
		return nil, err
	}
	switch {
	case now-c.IssuedMs > r.maxAgeMs:
		return nil, ErrExpired
	case c.Binding.Statement != want.Statement:
		return nil, ErrStatement
	case c.Binding.Reader != want.Reader:
		return nil, ErrReader
	case c.Binding.Order != want.Order:
		return nil, ErrOrder
	case c.Binding.Shards != want.Shards:
		return nil, ErrShards
	}
	return c, nil
}

// append appends what is sealed.
func (c *Cursor) append(dst []byte) ([]byte, error) {
	dst = binary.AppendUvarint(dst, uint64(max(0, c.IssuedMs)))
	for _, m := range []Digest{c.Binding.Statement, c.Binding.Reader, c.Binding.Order, c.Binding.Shards} {
		dst = append(dst, m[:]...)
	}
	dst = binary.AppendUvarint(dst, uint64(len(c.Places)))
	base := int64(0)
	for _, n := range c.MinPositions {
		if n > 0 && (base == 0 || n < base) {
			base = n
		}
	}
	dst = binary.AppendUvarint(dst, uint64(base))
	for _, n := range c.MinPositions {
		if n > 0 {
			n = n - base + 1
		}
		dst = binary.AppendUvarint(dst, uint64(n))
	}
	// The places that there are, the one that most have first.
	var points []*Place
	var have []int
	at := make([]int, len(c.Places))
	for i := range c.Places {
		k := slices.IndexFunc(points, func(p *Place) bool { return p.Compare(&c.Places[i]) == 0 })
		if k < 0 {
			k, points, have = len(points), append(points, &c.Places[i]), append(have, 0)
		}
		at[i] = k
		have[k]++
	}
	most := 0
	for k := range have {
		if have[k] > have[most] {
			most = k
		}
	}
	dst = binary.AppendUvarint(dst, uint64(len(points)))
	for _, p := range points {
		if len(p.Key) > MaxKeyBytes {
			return nil, ErrKeyTooLong
		}
		dst = binary.AppendUvarint(dst, uint64(len(p.Key)))
		dst = binary.AppendUvarint(dst, uint64(p.OwnOffset))
		dst = binary.AppendUvarint(dst, uint64(p.Shard))
		dst = append(dst, p.Key...)
	}
	dst = binary.AppendUvarint(dst, uint64(most))
	if len(points) > 1 {
		for i, k := range at {
			if k != most {
				dst = binary.AppendUvarint(binary.AppendUvarint(dst, uint64(i)), uint64(k))
			}
		}
	}
	return dst, nil
}

// read reads what was sealed. It is a fleet's own, so a fault is one of another version of the program.
func (c *Cursor) read(b []byte) error {
	bad := false
	number := func(most int) int {
		n, size := binary.Uvarint(b)
		if size <= 0 || n > uint64(most) {
			bad, b = true, nil
			return 0
		}
		b = b[size:]
		return int(n)
	}
	const longTime = 1 << 52
	c.IssuedMs = float64(number(longTime))
	for _, m := range []*Digest{&c.Binding.Statement, &c.Binding.Reader, &c.Binding.Order, &c.Binding.Shards} {
		if len(b) < len(m) {
			return ErrForged
		}
		b = b[copy(m[:], b):]
	}
	c.Places = make([]Place, number(MaxShards))
	c.MinPositions = make([]int64, len(c.Places))
	base := number(longTime)
	for i := range c.MinPositions {
		if n := number(longTime); n > 0 {
			c.MinPositions[i] = int64(base + n - 1)
		}
	}
	points := make([]Place, number(len(c.Places)))
	for i := range points {
		p := &points[i]
		n := number(MaxKeyBytes)
		p.OwnOffset, p.Shard = number(n), number(max(0, len(c.Places)-1))
		if n > len(b) {
			return ErrForged
		}
		if n > 0 {
			p.Key, b = b[:n:n], b[n:]
		}
	}
	if len(c.Places) == 0 || len(points) == 0 {
		return ErrForged
	}
	most := number(len(points) - 1)
	for i := range c.Places {
		c.Places[i] = points[most]
	}
	for len(b) > 0 {
		i, k := number(len(c.Places)-1), number(len(points)-1)
		c.Places[i] = points[k]
	}
	if bad {
		return ErrForged
	}
	return nil
}
