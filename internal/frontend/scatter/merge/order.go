// Package merge merges the sorted rows of shards into one order. It does no I/O, has no clock and no goroutines.
//
// An Order lists the columns by which rows are sorted, followed by the columns of the shard's own order, which distinguish the rows within
// a shard. The values of a row are encoded as a key: bytes that compare as the values do at the servers. The keys of a shard must be
// strictly ascending; a row whose key is not is an error. Rows are sorted by the order's columns, then by the number of the shard, then by
// the shard's own order, so that the result does not depend on the times at which rows arrive.
//
// No row is returned while any open shard has none. Whether such a shard is slow or has failed is for the caller to decide. A shard is full
// once a window of bytes is held of it, and must not be read then; this bounds the bytes held to MaxHeldBytes.
package merge

import "slices"

// Type is the type of a column.
type Type uint8

// The types that rows can be sorted by.
const (
	Int       Type = iota // int2, int4, int8
	Float                 // float8: NaN is the largest, 0 and -0 are equal
	Text                  // sorted by bytes, as in the C collation
	Bytea                 // sorted by bytes
	Timestamp             // timestamp without time zone
	Instant               // timestamp with time zone
	UUID                  // sorted by bytes
	types
)

var typeNames = [types]string{"int8", "float8", "text", "bytea", "timestamp", "timestamptz", "uuid"}

// String returns the type's name in PostgreSQL. Cursors depend on it.
func (t Type) String() string { return typeNames[min(t, types-1)] }

// TypeNamed returns the type with a name in PostgreSQL, which may be an alias of an integer type.
func TypeNamed(name string) (Type, bool) {
	switch name {
	case "int2", "int4", "smallint", "integer", "bigint":
		return Int, true
	}
	i := slices.Index(typeNames[:], name)
	return Type(max(0, i)), i >= 0
}

// oids are the object IDs (OIDs) that a RowDescription has for each type.
var oids = [types][]uint32{
	Int:       {20, 21, 23},
	Float:     {701},
	Text:      {25, 1043},
	Bytea:     {17},
	Timestamp: {1114},
	Instant:   {1184},
	UUID:      {2950},
}

// MatchesOID reports whether an object ID denotes the type.
func (t Type) MatchesOID(oid uint32) bool { return slices.Contains(oids[t], oid) }

// Column is a column of an order.
type Column struct {
	Name       string // name in the rows
	Expr       string // SQL expression in the statement, empty for the name
	Type       Type
	Desc       bool
	NullsFirst bool
}

// Order lists the columns by which rows are sorted. Those from OwnIndex on are the shard's own order.
//
// Cursors depend on the text of an Order (fmt.Sprint): the types of its fields and their sequence must not change.
type Order struct {
	Columns  []Column
	OwnIndex int
}
