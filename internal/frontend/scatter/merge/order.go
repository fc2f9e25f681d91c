// Package merge merges the sorted rows of shards into one order. It does no I/O, has no clock and no goroutines.
//
// An Order names the columns by which rows are sorted, and after these the columns of the shard's own order, which distinguish the rows
// of a shard. A row's values become a key: bytes that compare as the values do at the servers. The keys of a shard must rise; a row
// whose key does not is an error. Rows are returned by the order's columns, then by the number of the shard, then by the shard's own
// order, so that the result does not depend on the time at which rows come.
//
// While a shard that is open has no row, no row is returned; whether such a shard is slow or has failed is for the caller to decide. A
// shard of which a window of bytes is held is full, and must not be read; MaxHeldBytes is the bound of what is held then.
package merge

import "slices"

// Type is the type of a column.
type Type uint8

// The types whose order is known.
const (
	Int       Type = iota // int2, int4, int8
	Float                 // float8: NaN is the largest, 0 and -0 are equal
	Text                  // in the C collation: by bytes
	Bytea                 // by bytes
	Timestamp             // without time zone
	Instant               // with time zone
	UUID                  // by bytes
	types
)

var typeNames = [types]string{"int8", "float8", "text", "bytea", "timestamp", "timestamptz", "uuid"}

// String returns the type's name in PostgreSQL. Cursors depend on it.
func (t Type) String() string { return typeNames[min(t, types-1)] }

// TypeNamed returns the type of a name in PostgreSQL.
func TypeNamed(name string) (Type, bool) {
	switch name {
	case "int2", "int4", "smallint", "integer", "bigint":
		return Int, true
	}
	i := slices.Index(typeNames[:], name)
	return Type(max(0, i)), i >= 0
}

// objectIDs are the types' object IDs in a RowDescription.
var objectIDs = [types][]uint32{
	Int:       {20, 21, 23},
	Float:     {701},
	Text:      {25, 1043},
	Bytea:     {17},
	Timestamp: {1114},
	Instant:   {1184},
	UUID:      {2950},
}

// MatchesOID reports whether an object ID is of the type.
func (t Type) MatchesOID(objectID uint32) bool { return slices.Contains(objectIDs[t], objectID) }

// Column is a column of an order.
type Column struct {
	Name       string // in the rows
	Expr       string // in the statement; empty for the name
	Type       Type
	Desc       bool
	NullsFirst bool
}

// Order has the columns by which rows are sorted. Those from Own on are the shard's own order.
//
// Cursors depend on the text of an Order (fmt.Sprint): its fields and their order must not change.
type Order struct {
	Columns  []Column
	OwnIndex int
}
