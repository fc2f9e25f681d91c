package database

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"beechgrade/internal/protocol/sqltext"

	"github.com/jackc/pgx/v5/pgproto3"
)

// plain is a setting's value as it is kept.
func plain(v string) string {
	v = strings.TrimSpace(v)
	if len(v) > 1 && v[0] == '\'' && v[len(v)-1] == '\'' {
		return strings.ReplaceAll(v[1:len(v)-1], "''", "'")
	}
	return v
}

var (
	selectKV  = regexp.MustCompile(`(?is)^\s*SELECT\s+content\s+FROM\s+kv\s+WHERE\s+name\s*=\s*(\$1|'[^']*')`)
	insertKV  = regexp.MustCompile(`(?is)^\s*INSERT\s+INTO\s+kv\s*\(name, content\)\s*VALUES\s*\((\$1|'[^']*'),\s*(\$2|'[^']*')\)\s*(RETURNING)?`)
	sleepFor  = regexp.MustCompile(`(?is)^\s*SELECT\s+pg_sleep\(([\d.]+)\)`)
	repeated  = regexp.MustCompile(`(?is)^\s*SELECT\s+repeat\('x', (\d+)\)\s+FROM\s+generate_series\(1, (\d+)\)`)
	copyFrom  = regexp.MustCompile(`(?is)^\s*COPY\s+"?kv"?\s.*FROM\s+STDIN`)
	copyTo    = regexp.MustCompile(`(?is)^\s*COPY\s+kv\s+TO\s+STDOUT`)
	currentOf = regexp.MustCompile(`(?is)^\s*SELECT\s+current_setting\('([^']*)'\)`)
)

// work does what a statement says.
func (x *session) work(d sqltext.Statement, sql string, args [][]byte, simple bool) (tag string, rows [][]byte, err error) {
	arg := func(s string) []byte {
		if s[0] == '$' {
			if i := int(s[1] - '1'); i < len(args) {
				return args[i]
			}
			return nil
		}
		return []byte(s[1 : len(s)-1])
	}
	switch d.Kind {
	case sqltext.Begin:
		if x.status == 'I' {
			x.implicit, x.status = false, 'T'
			x.readOnly = d.ReadOnly || x.readOnly
		}
		return "BEGIN", nil, nil
	case sqltext.Commit:
		if x.status == 'E' {
			x.rollback()
			return "ROLLBACK", nil, nil
		}
		x.implicit = false
		x.commit()
		return "COMMIT", nil, nil
	case sqltext.Rollback:
		x.implicit = false
		x.rollback()
		return "ROLLBACK", nil, nil
	case sqltext.Savepoint:
		x.points = append(x.points, point{d.Name, clone(x.settings), len(x.writes)})
		return "SAVEPOINT", nil, nil
	case sqltext.Release:
		return "RELEASE", nil, nil
	case sqltext.RollbackTo:
		for i := len(x.points) - 1; i >= 0; i-- {
			if p := x.points[i]; p.name == d.Name {
				for n, v := range p.settings {
					x.set(n, v)
				}
				x.writes, x.points, x.status = x.writes[:p.writes], x.points[:i+1], 'T'
				return "ROLLBACK", nil, nil
			}
		}
		return "", nil, fail("3B001", "savepoint %q does not exist", d.Name)
	case sqltext.Set:
		v := plain(d.Value)
		if d.Value == "" {
			if v = x.startup[d.Name]; v == "" {
				v = defaultSettings[d.Name]
			}
		}
		if d.Local {
			if x.local == nil {
				x.local = map[string]bool{}
			}
			x.local[d.Name] = true
		}
		x.set(d.Name, v)
		if strings.HasPrefix(strings.ToUpper(strings.TrimSpace(sql)), "SELECT") {
			return "SELECT 1", [][]byte{[]byte(v)}, nil
		}
		if strings.HasPrefix(strings.ToUpper(strings.TrimSpace(sql)), "RESET") {
			return "RESET", nil, nil
		}
		return "SET", nil, nil
	case sqltext.ResetAll:
		for n, v := range x.initial() {
			x.set(n, v)
		}
		return "RESET", nil, nil
	case sqltext.DiscardAll:
		for n, v := range x.initial() {
			x.set(n, v)
		}
		clear(x.stmts)
		return "DISCARD ALL", nil, nil
	case sqltext.Deallocate:
		if d.Name == "" {
			clear(x.stmts)
			return "DEALLOCATE ALL", nil, nil
		}
		delete(x.stmts, d.Name)
		return "DEALLOCATE", nil, nil
	case sqltext.Show:
		return "SHOW", [][]byte{[]byte(x.settings[strings.ToLower(strings.Fields(sql)[1])])}, nil
	}
	if m := currentOf.FindStringSubmatch(sql); m != nil {
		return "SELECT 1", [][]byte{[]byte(x.settings[m[1]])}, nil
	}
	if m := selectKV.FindStringSubmatch(sql); m != nil {
		return x.get(string(arg(m[1])))
	}
	if m := insertKV.FindStringSubmatch(sql); m != nil {
		if err := x.mayWrite(); err != nil {
			return "", nil, err
		}
		w := write{string(arg(m[1])), arg(m[2])}
		x.writes = append(x.writes, w)
		if m[3] != "" {
			return "INSERT 0 1", [][]byte{w.value}, nil
		}
		return "INSERT 0 1", nil, nil
	}
	if m := sleepFor.FindStringSubmatch(sql); m != nil {
		return x.sleep(sql, m[1])
	}
	if m := repeated.FindStringSubmatch(sql); m != nil {
		size, _ := strconv.Atoi(m[1])
		n, _ := strconv.Atoi(m[2])
		return x.stream(sql, min(size, 1<<20), min(n, 1<<20), simple)
	}
	if copyFrom.MatchString(sql) {
		return x.copyIn()
	}
	if copyTo.MatchString(sql) {
		x.be.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0, 0}})
		for i := range 3 {
			x.be.Send(&pgproto3.CopyData{Data: []byte(fmt.Sprintf("k%d\tv\n", i))})
		}
		x.be.Send(&pgproto3.CopyDone{})
		return "COPY 3", nil, nil
	}
	switch up := strings.ToUpper(strings.TrimSpace(sql)); {
	case strings.HasPrefix(up, "ALTER"):
		f := x.c.s.f
		f.mu.Lock()
		f.shape++
		f.mu.Unlock()
		return "ALTER TABLE", nil, nil
	case strings.HasPrefix(up, "CREATE"):
		return "CREATE TABLE", nil, nil
	case strings.HasPrefix(up, "LISTEN"):
		return "LISTEN", nil, nil
	case strings.HasPrefix(up, "SELECT PG_ADVISORY_LOCK"), strings.HasPrefix(up, "SELECT 1"):
		return "SELECT 1", [][]byte{[]byte("1")}, nil
	}
	return "", nil, fail("42601", "the stand-in does not know %.60q", sql)
}

// get reads a row as this server has it, the transaction's own writes included.
func (x *session) get(key string) (string, [][]byte, error) {
	for i := len(x.writes) - 1; i >= 0; i-- {
		if x.writes[i].key == key {
			return "SELECT 1", [][]byte{x.writes[i].value}, nil
		}
	}
	f, s := x.c.s.f, x.c.s
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = s.Position(f.clk.Now()) // applies what has come
	v := s.Read(key)
	if v == nil {
		return "SELECT 0", [][]byte{}, nil
	}
	return "SELECT 1", [][]byte{v}, nil
}

// sleep waits, unless it is cancelled or its client goes.
func (x *session) sleep(sql, seconds string) (string, [][]byte, error) {
	d, _ := strconv.ParseFloat(seconds, 64)
	if err := x.be.Flush(); err != nil {
		return "", nil, errConnectionClosed
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(min(d, 60)*float64(time.Second)))
	f := x.c.s.f
	f.mu.Lock()
	if x.cancel, x.sql = cancel, sql; x.c.dead {
		cancel()
	}
	f.mu.Unlock()
	<-ctx.Done()
	f.mu.Lock()
	x.cancel = nil
	hit, dead := ctx.Err() == context.Canceled, x.c.dead
	f.mu.Unlock()
	cancel()
	if dead {
		return "", nil, errConnectionClosed
	}
	if hit {
		return "", nil, fail("57014", "canceling statement due to user request")
	}
	return "SELECT 1", [][]byte{[]byte("")}, nil
}

// stream sends many rows, without keeping them.
func (x *session) stream(sql string, size, n int, simple bool) (string, [][]byte, error) {
	if simple {
		x.be.Send(rowDescription("content"))
	}
	row := []byte(strings.Repeat("x", size))
	for i := range n {
		x.be.Send(&pgproto3.DataRow{Values: [][]byte{row}})
		if i%16 == 0 {
			if x.be.Flush() != nil {
				return "", nil, errConnectionClosed
			}
			x.c.s.f.mu.Lock()
			x.c.s.f.streamed += 16 * size
			x.c.s.f.mu.Unlock()
		}
	}
	return fmt.Sprintf("SELECT %d", n), nil, nil
}

// copyIn takes rows as text or binary and counts their messages.
func (x *session) copyIn() (string, [][]byte, error) {
	if err := x.mayWrite(); err != nil {
		return "", nil, err
	}
	x.be.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0, 0}})
	if x.be.Flush() != nil {
		return "", nil, errConnectionClosed
	}
	n := 0
	for {
		m, err := x.be.Receive()
		if err != nil {
			return "", nil, errConnectionClosed
		}
		f := x.c.s.f
		f.mu.Lock()
		before, dead := f.before, x.c.dead
		f.mu.Unlock()
		if dead {
			return "", nil, errConnectionClosed
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			if before != nil && !before(x.c.s.Name, "(copy data)") {
				x.c.reset()
				return "", nil, errConnectionClosed
			}
			n += len(m.Data)
		case *pgproto3.CopyDone:
			return fmt.Sprintf("COPY %d", n), nil, nil
		case *pgproto3.CopyFail:
			return "", nil, fail("57014", "COPY from stdin failed: %s", m.Message)
		case *pgproto3.Sync, *pgproto3.Flush:
		default:
			return "", nil, fail("08P01", "%T within a copy", m)
		}
	}
}
