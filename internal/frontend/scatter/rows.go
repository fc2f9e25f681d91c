package scatter

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"

	"beechgrade/internal/protocol/pgwire"
)

// columns say where in a shard's rows the order's columns are.
type columns struct {
	at     []int  // column of the row, by the order's
	binary []bool // its form
	vals   [][]byte
}

// row takes a shard's row. It comes by no event of its own: that would be an allocation for each.
func (s *Scatter) row(l *link, p *part, m pgwire.Message) {
	if s.over || s.busy {
		if !s.over {
			s.f.log.Error("scatter: a row came within an event")
		}
		return
	}
	key, own, err := s.keyOf(&l.cols, m.Body)
	if err != nil {
		p.wrong(err)
		return
	}
	s.busy = true
	s.do(s.run.Row(p.a.Shard, p.a.Try, key, own, m.Raw, s.f.loop.Now()))
	s.drain()
	s.busy = false
	if s.f.opt.Checks.Enabled() {
		set := s.spec.Held()
		s.f.opt.Checks.That(s.f.heldOf(s.no) <= set, "scatter: bytes held of all pages are within their bound",
			func() string { return fmt.Sprintf("%d of %d", s.f.heldOf(s.no), set) })
	}
}

func (f *Front) heldOf(no int) (n int) {
	for s := range f.running {
		if s.no == no {
			n += s.held()
		}
	}
	return n
}

// held is how many bytes of rows are held: by the merge, and of what was read ahead.
func (s *Scatter) held() int {
	n := s.run.Held()
	for _, p := range s.parts {
		if p != nil && p.link != nil {
			n += p.link.in.Pending()
		}
	}
	return n
}

// keyOf is a row's key.
func (s *Scatter) keyOf(c *columns, body []byte) (key []byte, own int, err error) {
	if len(body) < 2 || int(binary.BigEndian.Uint16(body)) != len(c.vals) {
		return nil, 0, ErrColumns
	}
	at := 2
	for i := range c.vals {
		if len(body)-at < 4 {
			return nil, 0, ErrColumns
		}
		n := int32(binary.BigEndian.Uint32(body[at:]))
		if at += 4; n < 0 {
			c.vals[i] = nil
			continue
		}
		if len(body)-at < int(n) {
			return nil, 0, ErrColumns
		}
		c.vals[i] = body[at : at+int(n)]
		at += int(n)
	}
	o := &s.spec.Order
	s.key = s.key[:0]
	for i := range o.Columns {
		if i == o.Own {
			own = len(s.key)
		}
		if s.key, err = o.Columns[i].Append(s.key, c.vals[c.at[i]], c.binary[i]); err != nil {
			return nil, 0, err
		}
	}
	return s.key, own, nil
}

// described takes a shard's description of its rows, and holds it to the order and to the other shards'.
func (s *Scatter) described(l *link, m pgwire.Message) error {
	cols, names, oids, err := readColumns(m.Body)
	if err != nil {
		return err
	}
	o := &s.spec.Order
	l.cols = columns{at: make([]int, len(o.Columns)), binary: make([]bool, len(o.Columns)), vals: make([][]byte, len(cols))}
	for i := range o.Columns {
		c := &o.Columns[i]
		k := slices.Index(names, c.Name)
		switch {
		case k < 0:
			return fmt.Errorf("%w: there is no column %q", ErrColumns, c.Name)
		case !c.Type.Is(oids[k]):
			return fmt.Errorf("%w: column %q is not of type %s", ErrColumns, c.Name, c.Type)
		}
		l.cols.at[i], l.cols.binary[i] = k, cols[k] == 1
	}
	if s.heard == nil {
		s.heard = slices.Clone(m.Raw)
		s.reader.Describe(s.heard)
		return nil
	}
	if c2, n2, o2, err := readColumns(s.heard[5:]); err != nil || !slices.Equal(cols, c2) || !slices.Equal(names, n2) || !slices.Equal(oids, o2) {
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
