// Package sessionstate is what a client's session carries from one server connection to the next: its settings and its
// prepared statements. It does no I/O; what it says is done by the front.
package sessionstate

import (
	"container/list"
	"fmt"
	"slices"
	"strings"

	"beechgrade/internal/protocol/sqltext"
)

// Bounds on what one client may have carried.
const (
	MaxSettings   = 200
	MaxValue      = 8 << 10 // bytes of a setting's value
	MaxStatements = 5000    // prepared statements of one client
	maxPending    = 1000    // changes within one transaction
)

// Statements keeps prepared statements once for each distinct text and list of types, over all clients.
type Statements struct {
	byText map[string]*Statement
	byID   map[uint64]*Statement
	last   uint64
	bytes  int
}

// Statement is a statement that clients have prepared.
type Statement struct {
	ID       uint64
	SQL      string
	Types    []byte // the types as Parse has them: their number and each
	Effects  []sqltext.Statement
	users    int // clients that have it by a name, and server connections that have it prepared
	registry *Statements
}

// Name is what the statement is called at servers.
func (t *Statement) Name() string { return fmt.Sprintf("bg_%d", t.ID) }

// Size is what it takes, about, in bytes.
func (t *Statement) Size() int { return len(t.SQL) + len(t.Types) + 64 }

// NewStatements makes an empty collection.
func NewStatements() *Statements {
	return &Statements{byText: map[string]*Statement{}, byID: map[uint64]*Statement{}}
}

// Len is the number of distinct statements.
func (x *Statements) Len() int { return len(x.byText) }

// Bytes is what all statements take, about.
func (x *Statements) Bytes() int { return x.bytes }

func (x *Statements) acquire(sql string, types []byte) *Statement {
	key := string(types) + sql
	t := x.byText[key]
	if t == nil {
		x.last++
		t = &Statement{registry: x, ID: x.last, SQL: strings.Clone(sql), Types: slices.Clone(types), Effects: sqltext.Split(sql)}
		if s, ok := sqltext.SetConfig(sql); ok {
			t.Effects = []sqltext.Statement{s}
		}
		x.byText[key], x.byID[t.ID] = t, t
		x.bytes += t.Size()
	}
	t.users++
	return t
}

func (x *Statements) release(t *Statement) {
	if t.users--; t.users == 0 {
		delete(x.byText, string(t.Types)+t.SQL)
		delete(x.byID, t.ID)
		x.bytes -= t.Size()
	}
}

// change is a setting that was changed, or a savepoint, within a transaction.
type change struct {
	name, value string
	savepoint   bool
	all         bool // every setting to its default
}

// Client is what one client's session carries.
type Client struct {
	statements    *Statements
	settings      map[string]string // as SQL; what is not there is the server's default
	startup       map[string]string
	prepared      map[string]*Statement
	pending       []change
	Sticky        sqltext.StickyReason
	stickyPending sqltext.StickyReason // set within the transaction that is open
}

// NewClient makes a client whose startup message had these settings.
func NewClient(texts *Statements, startup map[string]string) *Client {
	c := &Client{statements: texts, settings: map[string]string{}, startup: map[string]string{}, prepared: map[string]*Statement{}}
	for n, v := range startup {
		n = strings.ToLower(n)
		c.startup[n], c.settings[n] = sqltext.Quote(v), sqltext.Quote(v)
	}
	return c
}

// Close gives up what the client holds.
func (c *Client) Close() { c.releaseAll() }

func (c *Client) releaseAll() {
	for n, t := range c.prepared {
		c.statements.release(t)
		delete(c.prepared, n)
	}
}

// ErrTooMany says that a client would carry more than it may.
type ErrTooMany string

func (e ErrTooMany) Error() string { return "too many " + string(e) }

// Prepare keeps a statement under a client's name for it. The empty name may be taken again, another not.
func (c *Client) Prepare(name, sql string, types []byte) (t *Statement, twice bool, err error) {
	old := c.prepared[name]
	if old != nil && name != "" {
		return nil, true, nil
	}
	if old == nil && len(c.prepared) >= MaxStatements {
		return nil, false, ErrTooMany("prepared statements")
	}
	t = c.statements.acquire(sql, types)
	if old != nil {
		c.statements.release(old)
	}
	c.prepared[strings.Clone(name)] = t
	return t, false, nil
}

// Statement is what a client has prepared under a name, or nil.
func (c *Client) Statement(name string) *Statement { return c.prepared[name] }

// Unprepare gives a statement up.
func (c *Client) Unprepare(name string) bool {
	t := c.prepared[name]
	if t != nil {
		c.statements.release(t)
		delete(c.prepared, name)
	}
	return t != nil
}

// Detach takes a statement from its name, nil where there is none; Lower ends that, by giving it up or back.
func (c *Client) Detach(name string) *Statement {
	t := c.prepared[name]
	delete(c.prepared, name)
	return t
}

// Reattach gives up a statement that was lifted, or gives it back to its name where nothing else has that by now.
func (c *Client) Reattach(name string, t *Statement, back bool) {
	if back && c.prepared[name] == nil {
		c.prepared[name] = t
		return
	}
	t.Release()
}

// Release gives up a statement that was lifted.
func (t *Statement) Release() { t.registry.release(t) }

// UnprepareAll gives all statements up.
func (c *Client) UnprepareAll() { c.releaseAll() }

// Completed takes note of a statement that a server has completed.
func (c *Client) Completed(s *sqltext.Statement) {
	c.stickyPending |= s.Sticky
	add := func(x change) {
		if len(c.pending) >= maxPending || len(x.value) > MaxValue {
			c.stickyPending |= sqltext.StickyUnknownSetting // it can't be carried
			return
		}
		c.pending = append(c.pending, x)
	}
	switch s.Kind {
	case sqltext.Set:
		if !s.Local {
			add(change{name: s.Name, value: s.Value})
		}
	case sqltext.ResetAll:
		add(change{all: true})
	case sqltext.Savepoint:
		add(change{name: s.Name, savepoint: true})
	case sqltext.RollbackTo:
		for i := len(c.pending) - 1; i >= 0; i-- {
			if c.pending[i].savepoint && c.pending[i].name == s.Name {
				c.pending = c.pending[:i+1]
				return
			}
		}
	case sqltext.DiscardAll:
		c.Reset()
	}
}

// Reset is what DISCARD ALL does: the session is as it began.
func (c *Client) Reset() {
	c.pending, c.Sticky, c.stickyPending = nil, 0, 0
	c.releaseAll()
	c.settings = map[string]string{}
	for n, v := range c.startup {
		c.settings[n] = v
	}
}

// Commit makes the transaction's changes the session's. The server has them too.
func (c *Client) Commit(s *Server) {
	for _, x := range c.pending {
		switch {
		case x.savepoint:
		case x.all:
			for n := range c.settings {
				if _, ok := c.startup[n]; !ok {
					delete(c.settings, n)
				}
			}
			for n, v := range c.startup {
				c.settings[n] = v
			}
			s.settings = map[string]string{} // the startup's are given again before the next statement
		case x.value == "":
			delete(c.settings, x.name)
			if v, ok := c.startup[x.name]; ok {
				c.settings[x.name] = v
			}
			delete(s.settings, x.name)
		default:
			if _, ok := c.settings[x.name]; !ok && len(c.settings) >= MaxSettings {
				c.stickyPending |= sqltext.StickyUnknownSetting
				continue
			}
			c.settings[x.name], s.settings[x.name] = x.value, x.value
		}
	}
	c.Sticky |= c.stickyPending
	c.pending, c.stickyPending = nil, 0
}

// Abort drops the transaction's changes. Locks of the session, cursors that are held and what can't be read may have
// stayed all the same.
func (c *Client) Abort() {
	c.Sticky |= c.stickyPending & (sqltext.StickyAdvisoryLock | sqltext.StickyPrepare | sqltext.StickyUnknownSetting)
	c.pending, c.stickyPending = nil, 0
}

// Setting is a client's setting as SQL, empty for the server's default.
func (c *Client) Setting(name string) string { return c.settings[name] }

// Server is what is known of a server's connection.
type Server struct {
	settings map[string]string
	prepared map[uint64]*list.Element
	order    *list.List // of *Text, the one used last in front
	bytes    int
	MaxCount int
	MaxBytes int
}

// NewServer is a connection that is just up.
func NewServer(maxCount, maxBytes int) *Server {
	return &Server{settings: map[string]string{}, prepared: map[uint64]*list.Element{}, order: list.New(), MaxCount: maxCount, MaxBytes: maxBytes}
}

// DiscardedAll takes note of DISCARD ALL.
func (s *Server) DiscardedAll() {
	s.settings = map[string]string{}
	s.DeallocatedAll()
}

// SyncQuery is the text that gives the connection the client's settings, empty where it has them. Only what differs is said.
// The server's side is as asked only once the text was answered: Synced says so.
func (c *Client) SyncQuery(s *Server) string {
	var names []string
	for n := range s.settings {
		if _, ok := c.settings[n]; !ok {
			names = append(names, n)
		}
	}
	for n, v := range c.settings {
		if s.settings[n] != v {
			names = append(names, n)
		}
	}
	slices.SortFunc(names, compareSettings)
	var b strings.Builder
	for _, n := range names {
		if b.Len() > 0 {
			b.WriteString("; ")
		}
		switch v, ok := c.settings[n]; {
		case !ok && n == "session_authorization":
			b.WriteString("RESET SESSION AUTHORIZATION")
		case !ok:
			b.WriteString("RESET " + quoteName(n))
		case n == "session_authorization":
			b.WriteString("SET SESSION AUTHORIZATION " + v)
		case n == "timezone":
			b.WriteString("SET TIME ZONE " + v)
		case n == "role":
			b.WriteString("SET ROLE " + v)
		default:
			b.WriteString("SET " + quoteName(n) + " TO " + v)
		}
	}
	return b.String()
}

// compareSettings puts who one is before what one may set, and a role behind its session's authorization.
func compareSettings(a, b string) int {
	rank := func(n string) int {
		switch n {
		case "session_authorization":
			return 0
		case "role":
			return 2
		}
		return 1
	}
	if x := rank(a) - rank(b); x != 0 {
		return x
	}
	return strings.Compare(a, b)
}

// Synced takes note that the connection has the client's settings now.
func (c *Client) Synced(s *Server) {
	s.settings = make(map[string]string, len(c.settings))
	for n, v := range c.settings {
		s.settings[n] = v
	}
}

func quoteName(n string) string {
	parts := strings.Split(n, ".")
	for i, p := range parts {
		parts[i] = sqltext.Ident(p)
	}
	return strings.Join(parts, ".")
}

// Has tells whether a statement is prepared on the connection, and counts as its use.
func (s *Server) Has(t *Statement) bool {
	e := s.prepared[t.ID]
	if e != nil {
		s.order.MoveToFront(e)
	}
	return e != nil
}

// Add takes note of a statement that is prepared now, and returns those that must be closed to keep within the bounds.
func (s *Server) Add(t *Statement) (evict []*Statement) {
	if s.Has(t) {
		return nil
	}
	t.users++ // its name stays its text's for as long as a server knows it
	s.prepared[t.ID] = s.order.PushFront(t)
	s.bytes += t.Size()
	for (s.order.Len() > s.MaxCount || s.bytes > s.MaxBytes) && s.order.Len() > 1 {
		old := s.order.Back().Value.(*Statement)
		s.Drop(old)
		evict = append(evict, old)
	}
	return evict
}

// Drop takes note of a statement that is not prepared there any more.
func (s *Server) Drop(t *Statement) {
	if e := s.prepared[t.ID]; e != nil {
		s.order.Remove(e)
		delete(s.prepared, t.ID)
		s.bytes -= t.Size()
		t.registry.release(t)
	}
}

// Prepared is the number of statements that are prepared there.
func (s *Server) Prepared() int { return s.order.Len() }

// DeallocatedAll takes note of DEALLOCATE ALL, or of the connection's end.
func (s *Server) DeallocatedAll() {
	for e := s.order.Front(); e != nil; e = e.Next() {
		t := e.Value.(*Statement)
		t.registry.release(t)
	}
	s.prepared, s.bytes = map[uint64]*list.Element{}, 0
	s.order.Init()
}
