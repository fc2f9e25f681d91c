package database

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"beechgrade/internal/testkit/fake/sortedtable"
)

// ScatterState holds the scattered tables, of which each group has a part, and the reads of them.
type ScatterState struct {
	tables   map[string]*Table
	behavior func(server, sql string) ReadBehavior
	reads    []Read
	open     int // number of statements that run
	most     int
	cutOff   int // number of statements that a cancel request or a closed connection ended
}

// Table is a scattered table. Its rows have a value for each column.
type Table struct {
	Name    string
	Columns sortedtable.Table
	Types   sortedtable.Row // a value of each column's type

	rows map[int][]*storedRow // by group
}

// storedRow is a row that is visible from one position of its group's log up to another; an end of 0 means that it was not deleted.
type storedRow struct {
	row       sortedtable.Row
	from, end float64
}

// ReadBehavior describes how a server answers a statement. The zero value is no fault.
type ReadBehavior struct {
	Silent  bool          // no answer is sent
	Each    time.Duration // delay before each row
	Endless bool          // rows are sent without end, whatever the limit of the statement
	DieAt   int           // the connection is reset before this row, counted from 1; 0 for never
}

// Read records a statement that a server executed.
type Read struct {
	Server   string
	Group    int
	SQL      string
	At       float64 // time at which its rows were read
	Position float64
	Rows     int // number of rows sent
	Cut      bool
}

// Scatter creates a scattered table.
func (f *Fleet) Scatter(t *Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.scatters.tables == nil {
		f.scatters.tables = map[string]*Table{}
	}
	t.rows = map[int][]*storedRow{}
	f.scatters.tables[t.Name] = t
}

// Put writes a row at a group's primary and returns its log position. If initial is true, the row is visible from position 0.
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

// Remove deletes the rows for which matches returns true, and returns the log position of the deletion.
func (f *Fleet) Remove(table string, group int, matches func(sortedtable.Row) bool) (at float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at = f.world.Groups[group].Write(f.clk.Now(), "scattered", nil)
	for _, stored := range f.scatters.tables[table].rows[group] {
		if stored.end == 0 && matches(stored.row) {
			stored.end = at
		}
	}
	return at
}

// OnStatement sets a function that selects how a server answers a statement; nil for no faults. It is called under the fleet's lock.
func (f *Fleet) OnStatement(behavior func(server, sql string) ReadBehavior) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scatters.behavior = behavior
}

// Reads returns the statements that ended so far, the number that run now, the most that ran at a time, and the number that were cut off.
func (f *Fleet) Reads() (reads []Read, running, most, cutOff int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Read(nil), f.scatters.reads...), f.scatters.open, f.scatters.most, f.scatters.cutOff
}

var fromTable = regexp.MustCompile(`(?i)\sFROM\s+(\w+)\s`)

// table returns the scattered table that a statement reads, nil for none.
func (sess *session) table(sql string) *Table {
	f := sess.c.s.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := fromTable.FindStringSubmatch(sql); m != nil {
		return f.scatters.tables[strings.ToLower(m[1])]
	}
	return nil
}

// formatOf returns the format code of a column's values: 0 for text, 1 for binary.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	}
	return formats[i]
}

func (t *Table) describe(formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range t.Columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name:         []byte(c),
			DataTypeOID:  sortedtable.OID(t.Types[i]),
			DataTypeSize: -1,
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		})
	}
	return d
}

// scattered executes a read of a scattered table; alive is false if the connection ends.
func (sess *session) scattered(t *Table, sql string, args [][]byte, formats []int16, simple bool) (alive bool, err error) {
	f, s := sess.c.s.f, sess.c.s
	if simple {
		formats = nil
	}
	q, err := sortedtable.Read(sql)
	if err != nil {
		return true, fail("42601", "%v", err)
	}
	f.mu.Lock()
	if sess.c.dead {
		f.mu.Unlock()
		return false, nil
	}
	now := f.clk.Now()
	at := s.Position(now)
	var visible []sortedtable.Row
	for _, stored := range t.rows[s.Group.ID] {
		if stored.from <= at && (stored.end == 0 || stored.end > at) {
			visible = append(visible, stored.row)
		}
	}
	behavior := ReadBehavior{}
	if f.scatters.behavior != nil {
		behavior = f.scatters.behavior(s.Name, sql)
	}
	cut := make(chan struct{})
	sess.cancel, sess.sql = func() { close(cut); sess.cancel = nil }, sql
	f.scatters.open++
	f.scatters.most = max(f.scatters.most, f.scatters.open)
	f.mu.Unlock()
	rows, err := q.Run(t.Columns, visible, args)
	read := Read{Server: s.Name, Group: s.Group.ID, SQL: sql, At: now, Position: at}
	defer func() {
		f.mu.Lock()
		sess.cancel = nil
		f.scatters.open--
		if read.Cut {
			f.scatters.cutOff++
		}
		f.scatters.reads = append(f.scatters.reads, read)
		f.mu.Unlock()
	}()
	if err != nil {
		return true, fail("42601", "%v", err)
	}
	if simple {
		sess.be.Send(t.describe(nil))
	}
	wait := func(d time.Duration) bool { // returns false if the statement was cut off
		if sess.be.Flush() != nil {
			return false
		}
		select {
		case <-cut:
			return false
		case <-time.After(d):
			return true
		}
	}
	if behavior.Silent {
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
	for i := 0; i < len(rows) || behavior.Endless; i++ {
		if behavior.DieAt > 0 && i+1 >= behavior.DieAt {
			_ = sess.be.Flush()
			sess.c.reset()
			return false, nil
		}
		select {
		case <-cut:
			read.Cut = true
			return true, fail("57014", "canceling statement due to user request")
		default:
		}
		if behavior.Each > 0 && !wait(behavior.Each) {
			read.Cut = true
			return true, fail("57014", "canceling statement due to user request")
		}
		var vals [][]byte
		if i < len(rows) {
			for k, v := range rows[i] {
				if formatOf(formats, k) == 1 {
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
		sess.be.Send(&pgproto3.DataRow{Values: vals})
		if read.Rows++; i%64 == 63 && sess.be.Flush() != nil {
			read.Cut = true
			return false, nil
		}
	}
	if behavior.DieAt > 0 {
		_ = sess.be.Flush()
		sess.c.reset()
		return false, nil
	}
	sess.be.Send(&pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "SELECT %d", len(rows))})
	return true, nil
}
