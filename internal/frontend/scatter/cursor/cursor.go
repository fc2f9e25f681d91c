// Package cursor encrypts and authenticates the place at which a scattered read continues. The client receives the resulting text with a
// page, and returns it to read the next page. The package does no I/O and has no clock; the caller provides nonces.
//
// # Contents
//
// A cursor has a Place for each shard, and the minimum position of the log at which the shard's next rows must be read. Rows are sorted by
// the order's columns, then by shard, then by the shard's own order. Therefore the last row of a page determines the places of all shards:
// the shards before that of the row are past all rows with equal columns, the shards after it have all of these rows left, and the shard of
// the row continues directly after it. Only a shard that was missing has a place of its own. A cursor thus usually has the key of one row,
// whatever the number of shards.
//
// # Guarantees
//
// Without a secret of the Ring, a cursor can be neither made, changed nor read. It is bound to one statement with its parameters, one
// reader (tenant, class, user, database), one order and one list of shards, and expires after the Ring's maximum age. Each violation has
// an error of its own; a text that cannot be decoded or authenticated is ErrForged. Poolers store nothing about cursors: any pooler that
// has the secret can open a cursor, any number of times.
package cursor

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"errors"
)

// Errors of sealing and opening a cursor.
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

// Digest is a digest of something that a cursor is bound to.
type Digest [6]byte

// Binding identifies the reads that a cursor is valid for.
type Binding struct {
	Statement Digest // statement and parameters
	Reader    Digest // tenant, class, user and database
	Order     Digest
	Shards    Digest
}

func (b *Binding) digests() []*Digest { return []*Digest{&b.Statement, &b.Reader, &b.Order, &b.Shards} }

// check returns the error for the first digest that differs from the wanted one.
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

// Place is the place at which the rows of a shard continue: after the row that was delivered last, which may belong to another shard. The
// zero Place is before all rows.
type Place struct {
	Key       []byte // sort key of the row
	OwnOffset int    // offset of the shard's own part of Key
	Shard     int    // the shard that the row belongs to
}

// Compare compares places in the order in which rows are delivered. The zero Place is the lowest.
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
	IssuedMs     float64 // time of issue, in Unix ms
	Binding      Binding
	Places       []Place // by shard
	MinPositions []int64 // by shard: minimum position at which its next rows must be read, in Unix ms; 0 for any
}

// Limits of cursors.
const (
	MaxShards    = 1024
	MaxKeyBytes  = 2048 // length of the key of a row
	MaxTextBytes = 8192 // length of the text of a cursor
)

// A sealed cursor consists of a head (version, length, ID of the key), the nonce and the encrypted contents. The head is authenticated,
// but not encrypted.
const (
	version      = 1
	lengthOffset = 1
	idOffset     = 3
	headBytes    = idOffset + idBytes
	nonceBytes   = 12
)

// Nonce is a random number that must be different for each sealed cursor.
type Nonce [nonceBytes]byte

var encoding = base64.RawURLEncoding.Strict()

// Seal encrypts a cursor, and returns its text.
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

// Open decrypts the text of a cursor, which must have the wanted binding. now is in Unix ms.
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
