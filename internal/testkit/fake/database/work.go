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

// unquote returns the value of a setting without surrounding blanks and quotes.
func unquote(v string) string {
	v = strings.TrimSpace(v)
	if len(v) > 1 && v[0] == '\'' && v[len(v)-1] == '\'' {
		return strings.ReplaceAll(v[1:len(v)-1], "''", "'")
	}
	return v
}

var (
	selectKV       = regexp.MustCompile(`(?is)^\s*SELECT\s+content\s+FROM\s+kv\s+WHERE\s+name\s*=\s*(\$1|'[^']*')`)
	insertKV       = regexp.MustCompile(`(?is)^\s*INSERT\s+INTO\s+kv\s*\(name, content\)\s*VALUES\s*\((\$1|'[^']*'),\s*(\$2|'[^']*')\)\s*(RETURNING)?`)
	sleepFor       = regexp.MustCompile(`(?is)^\s*SELECT\s+pg_sleep\(([\d.]+)\)`)
	repeated       = regexp.MustCompile(`(?is)^\s*SELECT\s+repeat\('x', (\d+)\)\s+FROM\s+generate_series\(1, (\d+)\)`)
	copyFrom       = regexp.MustCompile(`(?is)^\s*COPY\s+"?kv"?\s.*FROM\s+STDIN`)
	copyTo         = regexp.MustCompile(`(?is)^\s*COPY\s+kv\s+TO\s+STDOUT`)
	actAs          = regexp.MustCompile(`(?is)^\s*(?:SELECT|CALL)\s+act_as\('([^']*)'\)`) // code of the database that sets app.actor
	advisoryLock   = regexp.MustCompile(`(?is)^\s*SELECT\s+pg_advisory_lock\(`)
	currentSetting = regexp.MustCompile(`(?is)^\s*SELECT\s+current_setting\('([^']*)'\)`)
)

// work executes a statement.
func (sess *session) work(d sqltext.Statement, sql string, args [][]byte, simple bool) (tag string, rows [][]byte, err error) {
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
		if sess.status == 'I' {
			sess.implicit, sess.status = false, 'T'
			sess.readOnly = d.ReadOnly || sess.readOnly
		}
		return "BEGIN", nil, nil
	case sqltext.Commit:
		if sess.status == 'E' {
			sess.rollback()
			return "ROLLBACK", nil, nil
		}
		sess.implicit = false
		sess.commit()
		return "COMMIT", nil, nil
	case sqltext.Rollback:
		sess.implicit = false
		sess.rollback()
		return "ROLLBACK", nil, nil
	case sqltext.Savepoint:
		sess.points = append(sess.points, point{d.Name, clone(sess.settings), len(sess.writes)})
		return "SAVEPOINT", nil, nil
	case sqltext.Release:
		return "RELEASE", nil, nil
	case sqltext.RollbackTo:
		for i := len(sess.points) - 1; i >= 0; i-- {
			if p := sess.points[i]; p.name == d.Name {
				for n, v := range p.settings {
					sess.set(n, v)
				}
				sess.writes, sess.points, sess.status = sess.writes[:p.writes], sess.points[:i+1], 'T'
				return "ROLLBACK", nil, nil
			}
		}
		return "", nil, fail("3B001", "savepoint %q does not exist", d.Name)
	case sqltext.Set:
		v := unquote(d.Value)
		if d.Value == "" {
			if v = sess.startup[d.Name]; v == "" {
				v = defaultSettings[d.Name]
			}
		}
		if d.Local {
			if sess.local == nil {
				sess.local = map[string]bool{}
			}
			sess.local[d.Name] = true
		}
		sess.set(d.Name, v)
		if strings.HasPrefix(strings.ToUpper(strings.TrimSpace(sql)), "SELECT") {
			return "SELECT 1", [][]byte{[]byte(v)}, nil
		}
		if strings.HasPrefix(strings.ToUpper(strings.TrimSpace(sql)), "RESET") {
			return "RESET", nil, nil
		}
		return "SET", nil, nil
	case sqltext.ResetAll:
		for n, v := range sess.initial() {
			sess.set(n, v)
		}
		return "RESET", nil, nil
	case sqltext.DiscardAll:
		for n, v := range sess.initial() {
			sess.set(n, v)
		}
		clear(sess.stmts)
		return "DISCARD ALL", nil, nil
	case sqltext.Deallocate:
		if d.Name == "" {
			clear(sess.stmts)
			return "DEALLOCATE ALL", nil, nil
		}
		delete(sess.stmts, d.Name)
		return "DEALLOCATE", nil, nil
	case sqltext.Show:
		return "SHOW", [][]byte{[]byte(sess.settings[strings.ToLower(strings.Fields(sql)[1])])}, nil
	}
	if m := actAs.FindStringSubmatch(sql); m != nil {
		sess.set("app.actor", m[1])
		return "SELECT 1", [][]byte{[]byte("")}, nil
	}
	if advisoryLock.MatchString(sql) {
		return sess.lock(sql)
	}
	if m := currentSetting.FindStringSubmatch(sql); m != nil {
		return "SELECT 1", [][]byte{[]byte(sess.settings[m[1]])}, nil
	}
	if m := selectKV.FindStringSubmatch(sql); m != nil {
		return sess.get(string(arg(m[1])))
	}
	if m := insertKV.FindStringSubmatch(sql); m != nil {
		if err := sess.mayWrite(); err != nil {
			return "", nil, err
		}
		w := write{string(arg(m[1])), arg(m[2])}
		sess.writes = append(sess.writes, w)
		if m[3] != "" {
			return "INSERT 0 1", [][]byte{w.value}, nil
		}
		return "INSERT 0 1", nil, nil
	}
	if m := sleepFor.FindStringSubmatch(sql); m != nil {
		return sess.sleep(sql, m[1])
	}
	if m := repeated.FindStringSubmatch(sql); m != nil {
		size, _ := strconv.Atoi(m[1])
		n, _ := strconv.Atoi(m[2])
		return sess.stream(sql, min(size, 1<<20), min(n, 1<<20), simple)
	}
	if copyFrom.MatchString(sql) {
		return sess.copyIn()
	}
	if copyTo.MatchString(sql) {
		sess.be.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0, 0}})
		for i := range 3 {
			sess.be.Send(&pgproto3.CopyData{Data: []byte(fmt.Sprintf("k%d\tv\n", i))})
		}
		sess.be.Send(&pgproto3.CopyDone{})
		return "COPY 3", nil, nil
	}
	switch up := strings.ToUpper(strings.TrimSpace(sql)); {
	case strings.HasPrefix(up, "ALTER"):
		f := sess.c.s.f
		f.mu.Lock()
		f.schemaVersion++
		f.mu.Unlock()
		return "ALTER TABLE", nil, nil
	case strings.HasPrefix(up, "CREATE"):
		return "CREATE TABLE", nil, nil
	case strings.HasPrefix(up, "LISTEN"):
		return "LISTEN", nil, nil
	case strings.HasPrefix(up, "PREPARE "):
		return "PREPARE", nil, nil
	case strings.HasPrefix(up, "SELECT 1"):
		return "SELECT 1", [][]byte{[]byte("1")}, nil
	}
	return "", nil, fail("42601", "the stand-in does not know %.60q", sql)
}

// get reads a row as of this server's position, including the transaction's own writes.
func (sess *session) get(key string) (string, [][]byte, error) {
	for i := len(sess.writes) - 1; i >= 0; i-- {
		if sess.writes[i].key == key {
			return "SELECT 1", [][]byte{sess.writes[i].value}, nil
		}
	}
	f, s := sess.c.s.f, sess.c.s
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = s.Position(f.clk.Now()) // applies the log entries received so far
	v := s.Read(key)
	if v == nil {
		return "SELECT 0", [][]byte{}, nil
	}
	return "SELECT 1", [][]byte{v}, nil
}

// lock takes a lock of the session, which a rollback does not release. The rest of a statement that divides by zero fails.
func (sess *session) lock(sql string) (string, [][]byte, error) {
	f := sess.c.s.f
	f.mu.Lock()
	sess.locks++
	f.watch.Locks++
	f.mu.Unlock()
	if strings.Contains(sql, "1/0") {
		return "", nil, fail("22012", "division by zero")
	}
	return "SELECT 1", [][]byte{[]byte("1")}, nil
}

// sleep waits until the time has passed or the statement is cancelled, at most 60 s.
func (sess *session) sleep(sql, seconds string) (string, [][]byte, error) {
	d, _ := strconv.ParseFloat(seconds, 64)
	if err := sess.be.Flush(); err != nil {
		return "", nil, errConnectionClosed
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(min(d, 60)*float64(time.Second)))
	f := sess.c.s.f
	f.mu.Lock()
	if sess.cancel, sess.sql = cancel, sql; sess.c.dead {
		cancel()
	}
	f.mu.Unlock()
	<-ctx.Done()
	f.mu.Lock()
	sess.cancel = nil
	cancelled, dead := ctx.Err() == context.Canceled, sess.c.dead
	f.mu.Unlock()
	cancel()
	if dead {
		return "", nil, errConnectionClosed
	}
	if cancelled {
		return "", nil, fail("57014", "canceling statement due to user request")
	}
	return "SELECT 1", [][]byte{[]byte("")}, nil
}

// stream sends many rows without holding the result in memory.
func (sess *session) stream(sql string, size, n int, simple bool) (string, [][]byte, error) {
	if simple {
		sess.be.Send(rowDescription("content"))
	}
	row := []byte(strings.Repeat("x", size))
	for i := range n {
		sess.be.Send(&pgproto3.DataRow{Values: [][]byte{row}})
		if i%16 == 0 {
			if sess.be.Flush() != nil {
				return "", nil, errConnectionClosed
			}
			sess.c.s.f.mu.Lock()
			sess.c.s.f.streamed += 16 * size
			sess.c.s.f.mu.Unlock()
		}
	}
	return fmt.Sprintf("SELECT %d", n), nil, nil
}

// copyIn receives COPY data, discards it and counts its bytes.
func (sess *session) copyIn() (string, [][]byte, error) {
	if err := sess.mayWrite(); err != nil {
		return "", nil, err
	}
	sess.be.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0, 0}})
	if sess.be.Flush() != nil {
		return "", nil, errConnectionClosed
	}
	n := 0
	for {
		m, err := sess.be.Receive()
		if err != nil {
			return "", nil, errConnectionClosed
		}
		f := sess.c.s.f
		f.mu.Lock()
		before, dead := f.before, sess.c.dead
		f.mu.Unlock()
		if dead {
			return "", nil, errConnectionClosed
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			if before != nil && !before(sess.c.s.Name, "(copy data)") {
				sess.c.reset()
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
