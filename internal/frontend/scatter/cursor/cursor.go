// Package cursor seals the place at which a scattered read continues into a text, which the client receives with a page and returns for
// the next one. It does no I/O and has no clock; nonces are given to it.
//
// # Contents
//
// A cursor has for each shard a Place, and the position of the log that its next rows must be read at. Rows are ordered by the order's
// columns, then by shard, then by the shard's own order, so that the last row of a page determines the places of all shards: those before
// its shard are past all rows with its columns, those after it are before them, and its own shard is behind that very row. Only a shard
// that was missing has a place of its own. So a cursor has one row's key, whatever the number of shards.
//
// # Guarantees
//
// Without a secret of the Ring, a cursor can be neither made, changed nor read. It is bound to one statement with its parameters, one
// reader (tenant, class, user, database), one order and one list of shards, and expires after the Ring's age. Each violation has an error
// of its own; a text that cannot be opened at all is ErrForged. Nothing is stored: any pooler opens a cursor, as often as it is returned.
package cursor

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"errors"
)

// Errors of a cursor that is rejected.
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

// Digest is a digest of texts that a cursor is bound to.
type Digest [6]byte

// Binding is what a cursor is valid for.
type Binding struct {
	Statement Digest // with its parameters
	Reader    Digest // tenant, class, user and database
	Order     Digest
	Shards    Digest
}

func (b *Binding) digests() []*Digest { return []*Digest{&b.Statement, &b.Reader, &b.Order, &b.Shards} }

// check returns the error of the first digest that is not as wanted.
func (b *Binding) check(want *Binding) error {
	switch {
	case b.Statement != want.Statement:
		return ErrStatement
	case b.Reader != want.Reader:
		return ErrReader
	case b.Order != want.Order:
		return ErrOrder
	case b.Shards != want.Shards:
		return ErrShards
	}
	return nil
}

// Place is the place of a shard: behind the row that was delivered last, which may be of another shard. The zero Place is before all
// rows.
type Place struct {
	Key       []byte // of the row, in the order of the read
	OwnOffset int    // where the shard's own part of Key begins
	Shard     int    // of the row
}

// Compare compares places by their progress.
func (p *Place) Compare(o *Place) int {
	if p.Key == nil || o.Key == nil {
		return cmp.Compare(len(p.Key), len(o.Key))
	}
	return cmp.Or(
		bytes.Compare(p.Key[:p.OwnOffset], o.Key[:o.OwnOffset]),
		cmp.Compare(p.Shard, o.Shard),
		bytes.Compare(p.Key[p.OwnOffset:], o.Key[o.OwnOffset:]),
	)
}

// Cursor is the contents of a cursor.
type Cursor struct {
	IssuedMs     float64 // Unix ms
	Binding      Binding
	Places       []Place // by shard
	MinPositions []int64 // by shard: the position that its next rows must be read at, in Unix ms; 0 for any
}

// Bounds of cursors.
const (
	MaxShards    = 1024
	MaxKeyBytes  = 2048 // of a row's key
	MaxTextBytes = 8192 // of the text
)

// A sealed cursor has a head (version, length, ID of the key), the nonce and the encrypted contents. The head is authenticated.
const (
	version      = 1
	lengthOffset = 1
	idOffset     = 3
	headBytes    = idOffset + idBytes
	nonceBytes   = 12
)

// Nonce is a random number that no two cursors may be sealed with.
type Nonce [nonceBytes]byte

var encoding = base64.RawURLEncoding.Strict()

// Seal returns the text of a cursor.
func (r *Ring) Seal(c *Cursor, nonce Nonce) (string, error) {
	r.rotate(c.IssuedMs)
	plain, err := c.append(nil)
	if err != nil {
		return "", err
	}
	length := headBytes + nonceBytes + len(plain) + r.sealingKey.Overhead()
	sealed := append([]byte{version, 0, 0}, r.sealingID[:]...)
	binary.BigEndian.PutUint16(sealed[lengthOffset:], uint16(length))
	sealed = append(sealed, nonce[:]...)
	sealed = r.sealingKey.Seal(sealed, nonce[:], plain, sealed[:headBytes])
	if encoding.EncodedLen(len(sealed)) > MaxTextBytes {
		return "", ErrKeyTooLong
	}
	return encoding.EncodeToString(sealed), nil
}

// Open opens the text of a cursor, which must have the wanted binding. now is in Unix ms.
func (r *Ring) Open(text string, now float64, want *Binding) (*Cursor, error) {
	if len(text) > MaxTextBytes {
		return nil, ErrForged
	}
	sealed, err := encoding.DecodeString(text)
	switch {
	case len(sealed) == 0 || sealed[0] != version:
		return nil, ErrForged
	case err != nil || len(sealed) < headBytes+nonceBytes:
		return nil, ErrTruncated
	case int(binary.BigEndian.Uint16(sealed[lengthOffset:])) != len(sealed):
		return nil, ErrTruncated
	}
	r.rotate(now)
	key := r.byID[[idBytes]byte(sealed[idOffset:headBytes])]
	if key == nil {
		return nil, ErrUnknownKey
	}
	head, rest := sealed[:headBytes], sealed[headBytes:]
	plain, err := key.Open(nil, rest[:nonceBytes], rest[nonceBytes:], head)
	if err != nil {
		return nil, ErrForged
	}
	c := &Cursor{}
	if err := c.read(plain); err != nil {
		return nil, err
	}
	if now-c.IssuedMs > r.maxAgeMs {
		return nil, ErrExpired
	}
	if err := c.Binding.check(want); err != nil {
		return nil, err
	}
	return c, nil
}
