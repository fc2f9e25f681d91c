package scatter

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"

	"beechgrade/internal/protocol/pgwire"
)

// orderColumns say where in a shard's rows the order's columns are.
type orderColumns struct {
	indexes []int  // column of the row, by the order's
	binary  []bool // its form
	values  [][]byte
}

// row takes a shard's row. It comes by no event of its own: that would be an allocation for each.
func (s *Scatter) row(l *link, p *part, m pgwire.Message) {
	if s.ended || s.handling {
		if !s.ended {
			s.frontend.log.Error("scatter: a row came within an event")
		}
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
	if s.frontend.options.Checks.Enabled() {
		set := s.spec.MaxHeldBytes()
		s.frontend.options.Checks.That(s.frontend.heldBytesOf(s.specIndex) <= set, "scatter: bytes held of all pages are within their bound",
			func() string { return fmt.Sprintf("%d of %d", s.frontend.heldBytesOf(s.specIndex), set) })
	}
}

func (f *Frontend) heldBytesOf(no int) (n int) {
	for s := range f.running {
		if s.specIndex == no {
			n += s.heldBytes()
		}
	}
	return n
}

// heldBytes is how many bytes of rows are held: by the merge, and of what was read ahead.
func (s *Scatter) heldBytes() int {
	n := s.run.HeldBytes()
	for _, p := range s.parts {
		if p != nil && p.link != nil {
			n += p.link.input.Pending()
		}
	}
	return n
}

// rowKey is a row's key.
func (s *Scatter) rowKey(c *orderColumns, body []byte) (key []byte, own int, err error) {
	if len(body) < 2 || int(binary.BigEndian.Uint16(body)) != len(c.values) {
		return nil, 0, ErrColumns
	}
	at := 2
	for i := range c.values {
		if len(body)-at < 4 {
			return nil, 0, ErrColumns
		}
		n := int32(binary.BigEndian.Uint32(body[at:]))
		if at += 4; n < 0 {
			c.values[i] = nil
			continue
		}
		if len(body)-at < int(n) {
			return nil, 0, ErrColumns
		}
		c.values[i] = body[at : at+int(n)]
		at += int(n)
	}
	o := &s.spec.Order
	s.key = s.key[:0]
	for i := range o.Columns {
		if i == o.Own {
			own = len(s.key)
		}
		if s.key, err = o.Columns[i].Append(s.key, c.values[c.indexes[i]], c.binary[i]); err != nil {
			return nil, 0, err
		}
	}
	return s.key, own, nil
}

// describe takes a shard's description of its rows, and holds it to the order and to the other shards'.
func (s *Scatter) describe(l *link, m pgwire.Message) error {
	cols, names, oids, err := readColumns(m.Body)
	if err != nil {
		return err
	}
	o := &s.spec.Order
	l.columns = orderColumns{indexes: make([]int, len(o.Columns)), binary: make([]bool, len(o.Columns)), values: make([][]byte, len(cols))}
	for i := range o.Columns {
		c := &o.Columns[i]
		k := slices.Index(names, c.Name)
		switch {
		case k < 0:
			return fmt.Errorf("%w: there is no column %q", ErrColumns, c.Name)
		case !c.Type.Is(oids[k]):
			return fmt.Errorf("%w: column %q is not of type %s", ErrColumns, c.Name, c.Type)
		}
		l.columns.indexes[i], l.columns.binary[i] = k, cols[k] == 1
	}
	if s.description == nil {
		s.description = slices.Clone(m.Raw)
		s.reader.Describe(s.description)
		return nil
	}
	if c2, n2, o2, err := readColumns(s.description[5:]); err != nil || !slices.Equal(cols, c2) || !slices.Equal(names, n2) || !slices.Equal(oids, o2) {
		return fmt.Errorf("%w: its columns are not those of the other shards", ErrColumns)
	}
	return nil
}

// readColumns reads a RowDescription: forms, names and types.
func readColumns(b []byte) (forms []uint16, names []string, oids []uint32, err error) {
	if len(b) < 2 {
		return nil, nil, nil, ErrColumns
	}
	n := int(binary.BigEndian.Uint16(b))
	b = b[2:]
	for range n {
		name, rest, ok := bytes.Cut(b, []byte{0})
		if !ok || len(rest) < 18 {
			return nil, nil, nil, ErrColumns
		}
		names, oids = append(names, string(name)), append(oids, binary.BigEndian.Uint32(rest[6:]))
		forms, b = append(forms, binary.BigEndian.Uint16(rest[16:])), rest[18:]
	}
	return forms, names, oids, nil
}
