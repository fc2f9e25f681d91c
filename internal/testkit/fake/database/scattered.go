package database

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"beechgrade/internal/testkit/fake/sortedtable"
)

// ScatterState are tables of which each group has a part, as a test fills them.
type ScatterState struct {
	tables map[string]*Table
	asked  func(server, sql string) ReadBehavior
	reads  []Read
	open   int // statements that run
	most   int
	hits   int // that a cancel or a closed connection ended
}

// Table is one that is scattered. Rows have a value for each column.
type Table struct {
	Name    string
	Columns sortedtable.Table
	Types   sortedtable.Row // a value of each column's type

	rows map[int][]*storedRow // by group
}

// storedRow is a row, which is there from one position of its group's log to another.
type storedRow struct {
	row       sortedtable.Row
	from, end float64
}

// ReadBehavior is how a server does with a statement.
type ReadBehavior struct {
	Silent  bool          // it says nothing
	Each    time.Duration // between two rows
	Endless bool          // it never ends, whatever limit it is told
	DieAt   int           // it breaks the connection before this row, from 1 on; 0 for never
}

// Read is a statement that a server worked on.
type Read struct {
	Server   string
	Group    int
	SQL      string
	At       float64 // when it was read
	Position float64
	Rows     int // that went out
	Cut      bool
}

// Scatter makes a table.
func (f *Fleet) Scatter(t *Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.scatters.tables == nil {
		f.scatters.tables = map[string]*Table{}
	}
	t.rows = map[int][]*storedRow{}
	f.scatters.tables[t.Name] = t
}

// Put writes a row at a group's primary, as of a position that it returns; initial has it be there from the beginning, as of 0.
func (f *Fleet) Put(table string, group int, row sortedtable.Row, initial bool) (from float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !initial {
		from = f.world.Groups[group].Write(f.clk.Now(), "scattered", nil)
	}
	t := f.scatters.tables[table]
	t.rows[group] = append(t.rows[group], &storedRow{row: row, from: from})
	return from
}

// Remove deletes the rows for which a function holds, as of a position that it returns.
func (f *Fleet) Remove(table string, group int, is func(sortedtable.Row) bool) (at float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at = f.world.Groups[group].Write(f.clk.Now(), "scattered", nil)
	for _, k := range f.scatters.tables[table].rows[group] {
		if k.end == 0 && is(k.row) {
			k.end = at
		}
	}
	return at
}

// OnStatement has a function say how servers do with a statement; nil for well.
func (f *Fleet) OnStatement(do func(server, sql string) ReadBehavior) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scatters.asked = do
}

// Reads are the statements that were worked on so far, with those that run at a time at most, and how many were cut off.
func (f *Fleet) Reads() (reads []Read, running, most, hits int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Read(nil), f.scatters.reads...), f.scatters.open, f.scatters.most, f.scatters.hits
}

var fromTable = regexp.MustCompile(`(?i)\sFROM\s+(\w+)\s`)

// table is the scattered table that a statement reads, nil for none.
func (x *session) table(sql string) *Table {
	f := x.c.s.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := fromTable.FindStringSubmatch(sql); m != nil {
		return f.scatters.tables[strings.ToLower(m[1])]
	}
	return nil
}

// form is how a column's values go out.
func form(forms []int16, i int) int16 {
	switch {
	case len(forms) == 0:
		return 0
	case len(forms) == 1:
		return forms[0]
	}
	return forms[i]
}

func (t *Table) describe(forms []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range t.Columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name:         []byte(c),
			DataTypeOID:  sortedtable.OID(t.Types[i]),
			DataTypeSize: -1,
			TypeModifier: -1,
			Format:       form(forms, i),
		})
	}
	return d
}

// scattered works on a read of a scattered table.
func (x *session) scattered(t *Table, sql string, args [][]byte, forms []int16, simple bool) (alive bool, err error) {
	f, s := x.c.s.f, x.c.s
	if simple {
		forms = nil
	}
	q, err := sortedtable.Read(sql)
	if err != nil {
		return true, fail("42601", "%v", err)
	}
	f.mu.Lock()
	if x.c.dead {
		f.mu.Unlock()
		return false, nil
	}
	now := f.clk.Now()
	at := s.Position(now)
	var there []sortedtable.Row
	for _, k := range t.rows[s.Group.ID] {
		if k.from <= at && (k.end == 0 || k.end > at) {
			there = append(there, k.row)
		}
	}
	manner := ReadBehavior{}
	if f.scatters.asked != nil {
		manner = f.scatters.asked(s.Name, sql)
	}
	cut := make(chan struct{})
	x.cancel, x.sql = func() { close(cut); x.cancel = nil }, sql
	f.scatters.open++
	f.scatters.most = max(f.scatters.most, f.scatters.open)
	f.mu.Unlock()
	rows, err := q.Run(t.Columns, there, args)
	read := Read{Server: s.Name, Group: s.Group.ID, SQL: sql, At: now, Position: at}
	defer func() {
		f.mu.Lock()
		x.cancel = nil
		f.scatters.open--
		if read.Cut {
			f.scatters.hits++
		}
		f.scatters.reads = append(f.scatters.reads, read)
		f.mu.Unlock()
	}()
	if err != nil {
		return true, fail("42601", "%v", err)
	}
	if simple {
		x.be.Send(t.describe(nil))
	}
	wait := func(d time.Duration) bool { // false where it was cut off
		if x.be.Flush() != nil {
			return false
		}
		select {
		case <-cut:
			return false
		case <-time.After(d):
			return true
		}
	}
	if manner.Silent {
		read.Cut = true
		for wait(50 * time.Millisecond) {
			f.mu.Lock()
			over := f.closed || !s.Up
			f.mu.Unlock()
			if over {
				break
			}
		}
		return false, nil
	}
	for i := 0; i < len(rows) || manner.Endless; i++ {
		if manner.DieAt > 0 && i+1 >= manner.DieAt {
			_ = x.be.Flush()
			x.c.reset()
			return false, nil
		}
		select {
		case <-cut:
			read.Cut = true
			return true, fail("57014", "canceling statement due to user request")
		default:
		}
		if manner.Each > 0 && !wait(manner.Each) {
			read.Cut = true
			return true, fail("57014", "canceling statement due to user request")
		}
		var vals [][]byte
		if i < len(rows) {
			for k, v := range rows[i] {
				if form(forms, k) == 1 {
					vals = append(vals, sortedtable.Binary(v))
					continue
				}
				vals = append(vals, sortedtable.Text(v))
			}
		} else {
			for range t.Columns {
				vals = append(vals, nil)
			}
		}
		x.be.Send(&pgproto3.DataRow{Values: vals})
		if read.Rows++; i%64 == 63 && x.be.Flush() != nil {
			read.Cut = true
			return false, nil
		}
	}
	if manner.DieAt > 0 {
		_ = x.be.Flush()
		x.c.reset()
		return false, nil
	}
	x.be.Send(&pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "SELECT %d", len(rows))})
	return true, nil
}
