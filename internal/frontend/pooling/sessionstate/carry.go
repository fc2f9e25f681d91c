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

// Texts keeps prepared statements once for each distinct text and list of types, over all clients.
type Texts struct {
	byText map[string]*Text
	byID   map[uint64]*Text
	last   uint64
	bytes  int
}

// Text is a statement that clients have prepared.
type Text struct {
	ID    uint64
	SQL   string
	Types []byte // the types as Parse has them: their number and each
	Does  []sqltext.Statement
	users int // clients that have it by a name, and server connections that have it prepared
	texts *Texts
}

// Name is what the statement is called at servers.
func (t *Text) Name() string { return fmt.Sprintf("bg_%d", t.ID) }

// Size is what it takes, about, in bytes.
func (t *Text) Size() int { return len(t.SQL) + len(t.Types) + 64 }

// NewTexts makes an empty collection.
func NewTexts() *Texts { return &Texts{byText: map[string]*Text{}, byID: map[uint64]*Text{}} }

// Len is the number of distinct statements.
func (x *Texts) Len() int { return len(x.byText) }

// Bytes is what all statements take, about.
func (x *Texts) Bytes() int { return x.bytes }

func (x *Texts) take(sql string, types []byte) *Text {
	key := string(types) + sql
	t := x.byText[key]
	if t == nil {
		x.last++
		t = &Text{texts: x, ID: x.last, SQL: strings.Clone(sql), Types: slices.Clone(types), Does: sqltext.Split(sql)}
		if s, ok := sqltext.SetConfig(sql); ok {
			t.Does = []sqltext.Statement{s}
		}
		x.byText[key], x.byID[t.ID] = t, t
		x.bytes += t.Size()
	}
	t.users++
	return t
}

func (x *Texts) leave(t *Text) {
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
	texts    *Texts
	settings map[string]string // as SQL; what is not there is the server's default
	startup  map[string]string
	stmts    map[string]*Text
	pending  []change
	Pins     sqltext.StickyReason
	pinsOpen sqltext.StickyReason // set within the transaction that is open
}

// NewClient makes a client whose startup message had these settings.
func NewClient(texts *Texts, startup map[string]string) *Client {
	c := &Client{texts: texts, settings: map[string]string{}, startup: map[string]string{}, stmts: map[string]*Text{}}
	for n, v := range startup {
		n = strings.ToLower(n)
		c.startup[n], c.settings[n] = sqltext.Quote(v), sqltext.Quote(v)
	}
	return c
}

// Close gives up what the client holds.
func (c *Client) Close() { c.forget() }

func (c *Client) forget() {
	for n, t := range c.stmts {
		c.texts.leave(t)
		delete(c.stmts, n)
	}
}

// ErrTooMany says that a client would carry more than it may.
type ErrTooMany string

func (e ErrTooMany) Error() string { return "too many " + string(e) }

// Prepare keeps a statement under a client's name for it. The empty name may be taken again, another not.
func (c *Client) Prepare(name, sql string, types []byte) (t *Text, twice bool, err error) {
	old := c.stmts[name]
	if old != nil && name != "" {
		return nil, true, nil
	}
	if old == nil && len(c.stmts) >= MaxStatements {
		return nil, false, ErrTooMany("prepared statements")
	}
	t = c.texts.take(sql, types)
	if old != nil {
		c.texts.leave(old)
	}
	c.stmts[strings.Clone(name)] = t
	return t, false, nil
}

// Statement is what a client has prepared under a name, or nil.
func (c *Client) Statement(name string) *Text { return c.stmts[name] }

// Unprepare gives a statement up.
func (c *Client) Unprepare(name string) bool {
	t := c.stmts[name]
	if t != nil {
		c.texts.leave(t)
		delete(c.stmts, name)
	}
	return t != nil
}

// Lift takes a statement from its name, nil where there is none; Lower ends that, by giving it up or back.
func (c *Client) Lift(name string) *Text {
	t := c.stmts[name]
	delete(c.stmts, name)
	return t
}

// Lower gives up a statement that was lifted, or gives it back to its name where nothing else has that by now.
func (c *Client) Lower(name string, t *Text, back bool) {
	if back && c.stmts[name] == nil {
		c.stmts[name] = t
		return
	}
	t.Leave()
}

// Leave gives up a statement that was lifted.
func (t *Text) Leave() { t.texts.leave(t) }

// UnprepareAll gives all statements up.
func (c *Client) UnprepareAll() { c.forget() }

// Did takes note of a statement that a server has completed.
func (c *Client) Did(s *sqltext.Statement) {
	c.pinsOpen |= s.Sticky
	add := func(x change) {
		if len(c.pending) >= maxPending || len(x.value) > MaxValue {
			c.pinsOpen |= sqltext.StickyUnknownSetting // it can't be carried
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
	c.pending, c.Pins, c.pinsOpen = nil, 0, 0
	c.forget()
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
				c.pinsOpen |= sqltext.StickyUnknownSetting
				continue
			}
			c.settings[x.name], s.settings[x.name] = x.value, x.value
		}
	}
	c.Pins |= c.pinsOpen
	c.pending, c.pinsOpen = nil, 0
}

// Abort drops the transaction's changes. Locks of the session, cursors that are held and what can't be read may have
// stayed all the same.
func (c *Client) Abort() {
	c.Pins |= c.pinsOpen & (sqltext.StickyAdvisoryLock | sqltext.StickyPrepare | sqltext.StickyUnknownSetting)
	c.pending, c.pinsOpen = nil, 0
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

// Wiped takes note of DISCARD ALL.
func (s *Server) Wiped() {
	s.settings = map[string]string{}
	s.Forgot()
}

// Sync is the text that gives the connection the client's settings, empty where it has them. Only what differs is said.
// The server's side is as asked only once the text was answered: Synced says so.
func (c *Client) Sync(s *Server) string {
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
	slices.SortFunc(names, order)
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

// order puts who one is before what one may set, and a role behind its session's authorization.
func order(a, b string) int {
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
func (s *Server) Has(t *Text) bool {
	e := s.prepared[t.ID]
	if e != nil {
		s.order.MoveToFront(e)
	}
	return e != nil
}

// Add takes note of a statement that is prepared now, and returns those that must be closed to keep within the bounds.
func (s *Server) Add(t *Text) (evict []*Text) {
	if s.Has(t) {
		return nil
	}
	t.users++ // its name stays its text's for as long as a server knows it
	s.prepared[t.ID] = s.order.PushFront(t)
	s.bytes += t.Size()
	for (s.order.Len() > s.MaxCount || s.bytes > s.MaxBytes) && s.order.Len() > 1 {
		old := s.order.Back().Value.(*Text)
		s.Drop(old)
		evict = append(evict, old)
	}
	return evict
}

// Drop takes note of a statement that is not prepared there any more.
func (s *Server) Drop(t *Text) {
	if e := s.prepared[t.ID]; e != nil {
		s.order.Remove(e)
		delete(s.prepared, t.ID)
		s.bytes -= t.Size()
		t.texts.leave(t)
	}
}

// Prepared is the number of statements that are prepared there.
func (s *Server) Prepared() int { return s.order.Len() }

// Forgot takes note of DEALLOCATE ALL, or of the connection's end.
func (s *Server) Forgot() {
	for e := s.order.Front(); e != nil; e = e.Next() {
		t := e.Value.(*Text)
		t.texts.leave(t)
	}
	s.prepared, s.bytes = map[uint64]*list.Element{}, 0
	s.order.Init()
}
