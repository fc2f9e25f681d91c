package fleet

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"beechgrade/internal/sqltext"
)

// Watch is what the stand-ins saw of ordinary sessions, over all servers.
type Watch struct {
	Statements   int            `json:"statements"`
	Preparations int            `json:"preparations"`
	Twice        int            `json:"prepared_twice"` // the same text on one connection, while it was prepared there
	Mismatches   []string       `json:"mismatches"`     // statements that ran under other settings than they wanted
	Cancelled    []string       `json:"cancelled"`      // statements that a cancel hit
	ByText       map[string]int `json:"-"`
	Sessions     int            `json:"sessions"` // that began
	Open         int            `json:"open"`
	MostOpen     int            `json:"most_open"`
	DuringDrain  int            `json:"during_drain"` // messages behind the grace of a drain
}

// Watched is what has been seen so far.
func (f *Fleet) Watched() Watch {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.watch
	w.Mismatches, w.Cancelled = slices.Clone(w.Mismatches), slices.Clone(w.Cancelled)
	w.ByText = map[string]int{}
	for k, n := range f.watch.ByText {
		w.ByText[k] = n
	}
	return w
}

// Before has a function called before each statement of an ordinary session; where it returns false, the connection
// breaks there and then. Tests cause their failures with it.
func (f *Fleet) Before(do func(server, sql string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before = do
}

// reported are the settings whose changes are reported, as the protocol spells them.
var reported = map[string]string{"application_name": "application_name", "timezone": "TimeZone", "datestyle": "DateStyle", "client_encoding": "client_encoding"}

var defaults = map[string]string{"application_name": "", "timezone": "UTC", "datestyle": "ISO, MDY", "client_encoding": "UTF8", "search_path": "public",
	"work_mem": "4MB", "default_transaction_read_only": "off", "statement_timeout": "0", "role": "none"}

// full is an ordinary session at a stand-in server.
type full struct {
	c         *conn
	be        *pgproto3.Backend
	pid       uint32
	key       uint32
	startup   map[string]string
	settings  map[string]string
	saved     map[string]string // as they were when the transaction began
	points    []point
	stmts     map[string]*prepared
	portals   map[string]*portal
	status    byte
	writes    []write // of the transaction
	readOnly  bool
	implicit  bool
	skip      bool
	cancel    context.CancelFunc
	forms     []int16         // of the results of the portal that runs
	sql       string          // that may be cancelled
	local     map[string]bool // settings of the transaction alone
	committed float64         // of the last write
}

type point struct {
	name     string
	settings map[string]string
	writes   int
}

type write struct {
	key   string
	value []byte
}

type prepared struct {
	sql    string
	params int
	shape  int // of the table, as it was then
}

type portal struct {
	sql   string
	args  [][]byte
	forms []int16 // of results
}

// sqlError is an error as a server words it.
type sqlError struct{ code, text string }

func (e *sqlError) Error() string { return e.code + ": " + e.text }

func fail(code, format string, args ...any) error {
	return &sqlError{code, fmt.Sprintf(format, args...)}
}

// serveFull speaks the whole protocol to an ordinary client, from its startup message on.
func (c *conn) serveFull(params map[string]string) {
	s, f := c.s, c.s.f
	x := &full{c: c, be: pgproto3.NewBackend(c.in, c), startup: map[string]string{}, stmts: map[string]*prepared{}, portals: map[string]*portal{}, status: 'I'}
	for n, v := range params {
		if n != "user" && n != "database" {
			x.startup[strings.ToLower(n)] = v
		}
	}
	x.settings = x.initial()
	f.mu.Lock()
	f.lastPID++
	x.pid, x.key = f.lastPID, f.world.Uint32()
	f.fulls[x.pid] = x
	f.watch.Sessions++
	f.watch.Open++
	f.watch.MostOpen = max(f.watch.MostOpen, f.watch.Open)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.fulls, x.pid)
		f.watch.Open--
		f.mu.Unlock()
	}()
	x.be.Send(&pgproto3.AuthenticationOk{})
	for n, v := range map[string]string{"server_version": "15.0", "server_encoding": "UTF8", "integer_datetimes": "on", "standard_conforming_strings": "on"} {
		x.be.Send(&pgproto3.ParameterStatus{Name: n, Value: v})
	}
	for n, as := range reported {
		x.be.Send(&pgproto3.ParameterStatus{Name: as, Value: x.settings[n]})
	}
	x.be.Send(&pgproto3.BackendKeyData{ProcessID: x.pid, SecretKey: binary.BigEndian.AppendUint32(nil, x.key)})
	x.ready()
	if x.be.Flush() != nil {
		return
	}
	for {
		m, err := x.be.Receive()
		if err != nil {
			return
		}
		if s.isHung() {
			_, _ = io.Copy(io.Discard, x.c.in) // until its connection is reset
			return
		}
		if _, end := m.(*pgproto3.Terminate); end || !x.take(m) {
			return
		}
	}
}

func (x *full) initial() map[string]string {
	out := map[string]string{}
	for n, v := range defaults {
		out[n] = v
	}
	for n, v := range x.startup {
		out[n] = v
	}
	return out
}

// ready ends an answer: role, position, ReadyForQuery.
func (x *full) ready() {
	f, s := x.c.s.f, x.c.s
	f.mu.Lock()
	now := f.clk.Now()
	at, role := math.Floor(s.Position(now)), s.Role()
	if x.committed > 0 {
		at = x.committed
		x.committed = 0
	}
	f.mu.Unlock()
	x.be.Send(&pgproto3.ParameterStatus{Name: "role", Value: role})
	x.be.Send(&pgproto3.ParameterStatus{Name: "applied_ms", Value: strconv.FormatInt(int64(at), 10)})
	x.be.Send(&pgproto3.ReadyForQuery{TxStatus: x.status})
}

// take works on one message; false where the connection ends.
func (x *full) take(m pgproto3.FrontendMessage) bool {
	f, s := x.c.s.f, x.c.s
	f.mu.Lock()
	if now := f.clk.Now(); s.drainTold != 0 && now-s.drainTold > f.cfg.GraceMs+wayMs {
		f.watch.DuringDrain++
	}
	f.mu.Unlock()
	if x.skip {
		if _, ok := m.(*pgproto3.Sync); !ok {
			return true
		}
	}
	var err error
	switch m := m.(type) {
	case *pgproto3.Query:
		return x.simple(m.String)
	case *pgproto3.Parse:
		err = x.parse(m)
	case *pgproto3.Bind:
		p := x.stmts[m.PreparedStatement]
		if p == nil {
			err = fail("26000", "prepared statement %q does not exist", m.PreparedStatement)
			break
		}
		f.mu.Lock()
		changed := p.shape != f.shape && column(p.sql) != ""
		f.mu.Unlock()
		if changed {
			err = fail("0A000", "cached plan must not change result type")
			break
		}
		args := make([][]byte, len(m.Parameters))
		for i, a := range m.Parameters {
			args[i] = slices.Clone(a)
		}
		x.portals[m.DestinationPortal] = &portal{p.sql, args, slices.Clone(m.ResultFormatCodes)}
		x.be.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		err = x.describe(m)
	case *pgproto3.Execute:
		p := x.portals[m.Portal]
		if p == nil {
			err = fail("34000", "portal %q does not exist", m.Portal)
			break
		}
		var alive bool
		x.forms = p.forms
		alive, err = x.run(p.sql, p.args, false)
		if !alive {
			return false
		}
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(x.stmts, m.Name)
		} else {
			delete(x.portals, m.Name)
		}
		x.be.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		x.skip = false
		x.endImplicit(nil)
		if x.status == 'I' { // no portal outlives its transaction
			clear(x.portals)
		}
		x.ready()
		return x.be.Flush() == nil
	case *pgproto3.Flush:
		return x.be.Flush() == nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
	default:
		err = fail("0A000", "%T is not taken", m)
	}
	if err != nil {
		x.skip = true
		x.complain(err)
		return x.be.Flush() == nil
	}
	return true
}

func (x *full) complain(err error) {
	code, text := "XX000", err.Error()
	if e, ok := err.(*sqlError); ok {
		code, text = e.code, e.text
	}
	x.be.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: text})
	if x.status == 'T' {
		x.status = 'E'
	}
	if x.implicit {
		x.endImplicit(err)
	}
}

func (x *full) simple(sql string) bool {
	does := sqltext.Split(sql)
	if len(does) == 1 && does[0].Kind == sqltext.Empty {
		x.be.Send(&pgproto3.EmptyQueryResponse{})
		x.ready()
		return x.be.Flush() == nil
	}
	for _, d := range does {
		alive, err := x.run(sql[d.From:d.To]+wantOf(sql), nil, true)
		if !alive {
			return false
		}
		if err != nil {
			x.complain(err)
			break
		}
	}
	x.endImplicit(nil)
	if x.status == 'I' {
		clear(x.portals)
	}
	x.ready()
	return x.be.Flush() == nil
}

func (x *full) parse(m *pgproto3.Parse) error {
	if m.Name != "" && x.stmts[m.Name] != nil {
		return fail("42P05", "prepared statement %q already exists", m.Name)
	}
	if len(sqltext.Split(m.Query)) > 1 {
		return fail("42601", "cannot insert multiple commands into a prepared statement")
	}
	if strings.Contains(m.Query, "SYNTAX ERROR") {
		return fail("42601", "syntax error")
	}
	f := x.c.s.f
	f.mu.Lock()
	f.watch.Preparations++
	f.watch.ByText[m.Query]++
	for _, p := range x.stmts {
		if p.sql == m.Query && m.Name != "" {
			f.watch.Twice++
		}
	}
	f.mu.Unlock()
	n := 0
	for _, found := range paramRef.FindAllStringSubmatch(m.Query, -1) {
		k, _ := strconv.Atoi(found[1])
		n = max(n, k)
	}
	f.mu.Lock()
	x.stmts[m.Name] = &prepared{m.Query, n, f.shape}
	f.mu.Unlock()
	x.be.Send(&pgproto3.ParseComplete{})
	return nil
}

var paramRef = regexp.MustCompile(`\$(\d+)`)

func (x *full) describe(m *pgproto3.Describe) error {
	sql, forms := "", []int16(nil)
	if m.ObjectType == 'S' {
		p := x.stmts[m.Name]
		if p == nil {
			return fail("26000", "prepared statement %q does not exist", m.Name)
		}
		oids := make([]uint32, p.params)
		for i := range oids {
			oids[i] = 25
		}
		x.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		sql = p.sql
	} else {
		p := x.portals[m.Name]
		if p == nil {
			return fail("34000", "portal %q does not exist", m.Name)
		}
		sql, forms = p.sql, p.forms
	}
	if t := x.table(sql); t != nil {
		x.be.Send(t.describe(forms))
	} else if col := column(sql); col != "" {
		x.be.Send(rowDescription(col))
	} else {
		x.be.Send(&pgproto3.NoData{})
	}
	return nil
}

func rowDescription(col string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte(col), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}}
}

// column names the one column of a statement's rows, empty where it has none.
func column(sql string) string {
	up := strings.ToUpper(strings.TrimSpace(sql))
	switch {
	case strings.HasPrefix(up, "SHOW"):
		return strings.ToLower(strings.Fields(up)[1])
	case strings.HasPrefix(up, "SELECT"):
		return "content"
	case strings.Contains(up, "RETURNING"):
		return "content"
	}
	return ""
}

var want = regexp.MustCompile(`/\* want ([a-z_.]+)=([^*]*?) \*/`)

// wantOf are the wishes that a text holds, for each of its statements.
func wantOf(sql string) string {
	return strings.Join(want.FindAllString(sql, -1), "")
}

// run works on one statement; false where its connection breaks in the midst of it.
func (x *full) run(sql string, args [][]byte, simple bool) (alive bool, err error) {
	f, s := x.c.s.f, x.c.s
	f.mu.Lock()
	f.watch.Statements++
	for _, w := range want.FindAllStringSubmatch(sql, -1) {
		if have := x.settings[w[1]]; have != w[2] && len(f.watch.Mismatches) < 100 {
			f.watch.Mismatches = append(f.watch.Mismatches, fmt.Sprintf("%s: %s is %q, wanted %q", sql, w[1], have, w[2]))
		}
	}
	before := f.before
	f.mu.Unlock()
	if before != nil && !before(s.Name, sql) {
		x.c.reset()
		return false, nil
	}
	d := sqltext.Split(sql)[0]
	if set, ok := sqltext.SetConfig(want.ReplaceAllString(sql, "")); ok {
		d = set
	}
	if x.status == 'E' && d.Kind != sqltext.Rollback && d.Kind != sqltext.Commit && d.Kind != sqltext.RollbackTo {
		return true, fail("25P02", "current transaction is aborted")
	}
	if x.status == 'I' && !x.implicit {
		x.begin()
		x.implicit = true
	}
	if t := x.table(sql); t != nil {
		return x.scattered(t, sql, args, x.forms, simple)
	}
	tag, rows, err := x.work(d, sql, args, simple)
	if err == errGone {
		return false, nil
	}
	if err != nil {
		return true, err
	}
	if rows != nil {
		if simple {
			x.be.Send(rowDescription(column(sql)))
		}
		for _, r := range rows {
			x.be.Send(&pgproto3.DataRow{Values: [][]byte{r}})
		}
	}
	if tag != "" {
		x.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	return true, nil
}

func (x *full) begin() {
	x.saved, x.points, x.writes, x.readOnly = clone(x.settings), nil, nil, x.settings["default_transaction_read_only"] == "on"
}

func clone(m map[string]string) map[string]string {
	out := make(map[string]string, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

var errGone = fmt.Errorf("the connection is gone")

// endImplicit ends the transaction round statements that had none.
func (x *full) endImplicit(err error) {
	if !x.implicit {
		return
	}
	x.implicit = false
	if err != nil {
		x.rollback()
		return
	}
	x.commit()
}

func (x *full) commit() {
	f, s := x.c.s.f, x.c.s
	f.mu.Lock()
	for _, w := range x.writes {
		if s.Group.Primary == s.Server {
			x.committed = s.Group.Write(f.clk.Now(), w.key, w.value)
		}
	}
	f.mu.Unlock()
	for n := range x.local {
		x.set(n, x.saved[n])
	}
	x.writes, x.status, x.local = nil, 'I', nil
	clear(x.portals)
}

func (x *full) rollback() {
	for n, v := range x.saved {
		x.set(n, v)
	}
	for n := range x.settings {
		if _, ok := x.saved[n]; !ok {
			delete(x.settings, n)
		}
	}
	x.writes, x.status, x.local = nil, 'I', nil
	clear(x.portals)
}

func (x *full) set(name, value string) {
	if x.settings[name] == value {
		return
	}
	x.settings[name] = value
	if as := reported[name]; as != "" {
		x.be.Send(&pgproto3.ParameterStatus{Name: as, Value: value})
	}
}

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
func (x *full) work(d sqltext.Statement, sql string, args [][]byte, simple bool) (tag string, rows [][]byte, err error) {
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
				v = defaults[d.Name]
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

func (x *full) mayWrite() error {
	f, s := x.c.s.f, x.c.s
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Group.Primary != s.Server || x.readOnly {
		return fail("25006", "cannot execute INSERT in a read-only transaction")
	}
	return nil
}

// get reads a row as this server has it, the transaction's own writes included.
func (x *full) get(key string) (string, [][]byte, error) {
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
func (x *full) sleep(sql, seconds string) (string, [][]byte, error) {
	d, _ := strconv.ParseFloat(seconds, 64)
	if err := x.be.Flush(); err != nil {
		return "", nil, errGone
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(min(d, 60)*float64(time.Second)))
	f := x.c.s.f
	f.mu.Lock()
	x.cancel, x.sql = cancel, sql
	f.mu.Unlock()
	<-ctx.Done()
	f.mu.Lock()
	x.cancel = nil
	hit := ctx.Err() == context.Canceled
	f.mu.Unlock()
	cancel()
	if hit {
		return "", nil, fail("57014", "canceling statement due to user request")
	}
	return "SELECT 1", [][]byte{[]byte("")}, nil
}

// stream sends many rows, without keeping them.
func (x *full) stream(sql string, size, n int, simple bool) (string, [][]byte, error) {
	if simple {
		x.be.Send(rowDescription("content"))
	}
	row := []byte(strings.Repeat("x", size))
	for i := range n {
		x.be.Send(&pgproto3.DataRow{Values: [][]byte{row}})
		if i%16 == 0 {
			if x.be.Flush() != nil {
				return "", nil, errGone
			}
			x.c.s.f.mu.Lock()
			x.c.s.f.streamed += 16 * size
			x.c.s.f.mu.Unlock()
		}
	}
	return fmt.Sprintf("SELECT %d", n), nil, nil
}

// Streamed is how many bytes of long results went out.
func (f *Fleet) Streamed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.streamed
}

// copyIn takes rows as text or binary and counts their messages.
func (x *full) copyIn() (string, [][]byte, error) {
	if err := x.mayWrite(); err != nil {
		return "", nil, err
	}
	x.be.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0, 0}})
	if x.be.Flush() != nil {
		return "", nil, errGone
	}
	n := 0
	for {
		m, err := x.be.Receive()
		if err != nil {
			return "", nil, errGone
		}
		f := x.c.s.f
		f.mu.Lock()
		before := f.before
		f.mu.Unlock()
		switch m := m.(type) {
		case *pgproto3.CopyData:
			if before != nil && !before(x.c.s.Name, "(copy data)") {
				x.c.reset()
				return "", nil, errGone
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

// hitBy cancels what a session runs.
func (f *Fleet) hitBy(pid, key uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x := f.fulls[pid]; x != nil && x.key == key && x.cancel != nil {
		f.watch.Cancelled = append(f.watch.Cancelled, x.sql)
		x.cancel()
	}
}
