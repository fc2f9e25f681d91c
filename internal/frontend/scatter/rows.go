package scatter

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"

	"beechgrade/internal/protocol/pgwire"
)

// orderColumns are the places of the order's columns in a shard's rows.
type orderColumns struct {
	indexes []int  // by column of the order: its index in the row
	binary  []bool // by column of the order: whether its values are in the binary format
	values  [][]byte
}

// row handles a shard's row. It is not passed as an event, which would need an allocation for each row.
func (s *PageRead) row(l *link, p *part, m pgwire.Message) {
	if s.ended {
		return
	}
	if s.handling {
		s.frontend.log.Error("scatter: a row came while an event was handled")
		return
	}
	key, own, err := s.rowKey(&l.columns, m.Body)
	if err != nil {
		p.rejectRows(err)
		return
	}
	s.handling = true
	s.perform(s.run.Row(p.action.Shard, p.action.Attempt, key, own, m.Raw, s.frontend.loop.Now()))
	s.handlePending()
	s.handling = false
	s.checkHeldBytes()
}

func (s *PageRead) checkHeldBytes() {
	checks := s.frontend.options.Checks
	if !checks.Enabled() {
		return
	}
	limit := s.spec.MaxHeldBytes()
	checks.That(s.frontend.heldBytesOf(s.specIndex) <= limit, "scatter: bytes held of all pages are within their bound",
		func() string { return fmt.Sprintf("%d of %d", s.frontend.heldBytesOf(s.specIndex), limit) })
}

// heldBytesOf returns the bytes of rows that are held for the pages of a spec.
func (f *Frontend) heldBytesOf(specIndex int) (n int) {
	for s := range f.running {
		if s.specIndex == specIndex {
			n += s.heldBytes()
		}
	}
	return n
}

// rowKey returns the key of a DataRow, and where the shard's own part of it begins. The key is valid until the next call.
func (s *PageRead) rowKey(columns *orderColumns, body []byte) (key []byte, own int, err error) {
	if err := readValues(columns.values, body); err != nil {
		return nil, 0, err
	}
	order := &s.spec.Order
	s.key = s.key[:0]
	for i := range order.Columns {
		if i == order.OwnIndex {
			own = len(s.key)
		}
		s.key, err = order.Columns[i].Append(s.key, columns.values[columns.indexes[i]], columns.binary[i])
		if err != nil {
			return nil, 0, err
		}
	}
	return s.key, own, nil
}

// readValues reads the values of a DataRow, nil for NULL.
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

// describe handles a shard's RowDescription, which must have the columns of the order, and be the same for all shards.
func (s *PageRead) describe(l *link, m pgwire.Message) error {
	columns, err := readColumns(m.Body)
	if err != nil {
		return err
	}
	order := &s.spec.Order
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
		case !column.Type.MatchesOID(columns[index].typeID):
			return fmt.Errorf("%w: column %q is not of type %s", ErrColumns, column.Name, column.Type)
		}
		l.columns.indexes[i] = index
		l.columns.binary[i] = columns[index].format == formatBinary
	}
	if s.description == nil {
		s.description = slices.Clone(m.Raw)
		s.reader.Describe(s.description)
		return nil
	}
	first, err := readColumns(s.description[messageHeadBytes:])
	if err != nil || !slices.Equal(columns, first) {
		return fmt.Errorf("%w: its columns are not those of the other shards", ErrColumns)
	}
	return nil
}

// messageHeadBytes is the length of a message's type and length.
const messageHeadBytes = 5

const formatBinary = 1

// A column in a RowDescription is its name, and fields of this length with the type and the format at these offsets.
const (
	columnFieldBytes   = 18
	columnTypeOffset   = 6
	columnFormatOffset = 16
)

// rowColumn is a column of a RowDescription.
type rowColumn struct {
	name   string
	typeID uint32
	format uint16
}

// readColumns reads a RowDescription.
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
			name:   string(name),
			typeID: binary.BigEndian.Uint32(fields[columnTypeOffset:]),
			format: binary.BigEndian.Uint16(fields[columnFormatOffset:]),
		})
		body = fields[columnFieldBytes:]
	}
	return columns, nil
}
