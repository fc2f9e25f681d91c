package scatter

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"

	"beechgrade/internal/protocol/pgwire"
)

// orderColumns locates the order's columns in the rows of a shard.
type orderColumns struct {
	indexes []int    // by column of the order: its index in the row
	binary  []bool   // by column of the order: whether its values are in the binary format
	values  [][]byte // buffer of rowKey, by index in the row
}

// row handles a DataRow of a shard. It does not use handle, as the closure would need an allocation for each row.
func (r *PageRead) row(l *link, p *part, m pgwire.Message) {
	if r.ended {
		return
	}
	if r.handling {
		r.frontend.log.Error("scatter: dropping a row that was received while an event was being handled")
		return
	}
	key, ownOffset, err := r.rowKey(&l.columns, m.Body)
	if err != nil {
		p.rejectRows(err)
		return
	}
	r.handling = true
	r.perform(r.run.Row(p.action.Shard, p.action.Attempt, key, ownOffset, m.Raw, r.frontend.loop.Now()))
	r.handlePending()
	r.handling = false
	r.checkHeldBytes()
}

func (r *PageRead) checkHeldBytes() {
	checks := r.frontend.options.Checks
	if !checks.Enabled() {
		return
	}
	limit := r.spec.MaxHeldBytes()
	checks.That(r.frontend.heldBytesOf(r.specIndex) <= limit, "scatter: bytes held of all pages are within their bound",
		func() string { return fmt.Sprintf("%d of %d", r.frontend.heldBytesOf(r.specIndex), limit) })
}

// heldBytesOf returns the number of bytes of rows held for the pages of a spec.
func (f *Frontend) heldBytesOf(specIndex int) (n int) {
	for r := range f.running {
		if r.specIndex == specIndex {
			n += r.heldBytes()
		}
	}
	return n
}

// rowKey returns the sort key of a DataRow, and the offset at which the shard's own part of the key begins. The key is valid until the
// next call.
func (r *PageRead) rowKey(columns *orderColumns, body []byte) (key []byte, ownOffset int, err error) {
	if err := readValues(columns.values, body); err != nil {
		return nil, 0, err
	}
	order := &r.spec.Order
	r.key = r.key[:0]
	for i := range order.Columns {
		if i == order.OwnIndex {
			ownOffset = len(r.key)
		}
		r.key, err = order.Columns[i].Append(r.key, columns.values[columns.indexes[i]], columns.binary[i])
		if err != nil {
			return nil, 0, err
		}
	}
	return r.key, ownOffset, nil
}

// readValues sets values to those of a DataRow, nil for NULL.
func readValues(values [][]byte, body []byte) error {
	if len(body) < 2 || int(binary.BigEndian.Uint16(body)) != len(values) {
		return ErrColumns
	}
	body = body[2:]
	for i := range values {
		if len(body) < 4 {
			return ErrColumns
		}
		length := int(int32(binary.BigEndian.Uint32(body)))
		body = body[4:]
		if length < 0 {
			values[i] = nil
			continue
		}
		if len(body) < length {
			return ErrColumns
		}
		values[i] = body[:length]
		body = body[length:]
	}
	return nil
}

// describe handles a shard's RowDescription. It must contain the columns of the order, and its columns must be the same for all shards.
func (r *PageRead) describe(l *link, m pgwire.Message) error {
	columns, err := readColumns(m.Body)
	if err != nil {
		return err
	}
	order := &r.spec.Order
	l.columns = orderColumns{
		indexes: make([]int, len(order.Columns)),
		binary:  make([]bool, len(order.Columns)),
		values:  make([][]byte, len(columns)),
	}
	for i := range order.Columns {
		column := &order.Columns[i]
		index := slices.IndexFunc(columns, func(c rowColumn) bool { return c.name == column.Name })
		switch {
		case index < 0:
			return fmt.Errorf("%w: there is no column %q", ErrColumns, column.Name)
		case !column.Type.MatchesOID(columns[index].typeOID):
			return fmt.Errorf("%w: column %q is not of type %s", ErrColumns, column.Name, column.Type)
		}
		l.columns.indexes[i] = index
		l.columns.binary[i] = columns[index].format == formatBinary
	}
	if r.description == nil {
		r.description = slices.Clone(m.Raw)
		r.reader.Describe(r.description)
		return nil
	}
	first, err := readColumns(r.description[messageHeadBytes:])
	if err != nil || !slices.Equal(columns, first) {
		return fmt.Errorf("%w: its columns are not those of the other shards", ErrColumns)
	}
	return nil
}

// messageHeadBytes is the length of the type and length fields of a message.
const messageHeadBytes = 5

const formatBinary = 1

// A column in a RowDescription is its name, followed by columnFieldBytes of fixed fields. The type and the format are at these offsets in
// the fixed fields.
const (
	columnFieldBytes   = 18
	columnTypeOffset   = 6
	columnFormatOffset = 16
)

// rowColumn is a column in a RowDescription.
type rowColumn struct {
	name    string
	typeOID uint32
	format  uint16
}

// readColumns parses a RowDescription.
func readColumns(body []byte) ([]rowColumn, error) {
	if len(body) < 2 {
		return nil, ErrColumns
	}
	var columns []rowColumn
	count := int(binary.BigEndian.Uint16(body))
	body = body[2:]
	for range count {
		name, fields, ok := bytes.Cut(body, []byte{0})
		if !ok || len(fields) < columnFieldBytes {
			return nil, ErrColumns
		}
		columns = append(columns, rowColumn{
			name:    string(name),
			typeOID: binary.BigEndian.Uint32(fields[columnTypeOffset:]),
			format:  binary.BigEndian.Uint16(fields[columnFormatOffset:]),
		})
		body = fields[columnFieldBytes:]
	}
	return columns, nil
}
