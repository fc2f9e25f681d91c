package pooling

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"beechgrade/internal/deadline"
	"beechgrade/internal/front"
	"beechgrade/internal/fronts/scatter/plan"
	"beechgrade/internal/loop"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/pooling/carry"
	"beechgrade/internal/pooling/share"
	"beechgrade/internal/record"
	"beechgrade/internal/slots"
	"beechgrade/internal/sqltext"
)

// client is a client's connection; it is the loop's Handler.
type client struct {
	f       *Front
	ref     slots.Ref
	conn    *loop.Conn
	in      pgwire.Reader
	out     []byte
	pool    *pool
	carry   *carry.Client
	params  map[string]string // as the client was told
	pid     uint32
	secret  uint32
	since   float64
	started bool
	closed  bool
	admin   bool

	txn     *txn  // that is asked for, or whose first answer is due
	link    *link // that is the client's now
	status  byte  // as the client was told: I, T or E
	skip    bool  // messages are dropped up to the next Sync
	open    bool  // messages of the extended protocol went out since the last Sync
	failed  bool  // a statement failed since the last ReadyForQuery
	again   bool  // what is held is being sent
	wrote   bool  // the transaction did more than is known to be reading
	began   float64
	after   float64 // position of the session's last write, Unix ms
	portals map[string]*carry.Text
	idle    *deadline.Timer // in a transaction
	limit   *deadline.Timer // of the transaction
	outside *outside        // its transaction has not been let in yet
	inside  bool            // it has been
	doorMs  float64         // it waited for that
	session uint64          // in records
	last    string          // server of its transaction before
	ended   string          // SQLSTATE with which the pooler ended it
	paused  *link           // its server is not read, as this client does not read
	opened  *txn            // the transaction that is open, where it has only begun
	opening []byte          // of it: what the client sent to begin
	leg     []byte          // of it: what the client sent since that is not answered yet
	pre     []byte          // answers that only prepare or begin, held back while all may be asked elsewhere
	hurry   bool            // the client wants all answers at once
	redo    bool            // what is sent was sent to another server before
	midst   bool            // the client has a message in part
	leaving bool            // the client has taken its leave, with answers due
	parked  bool            // the client is not read, as its server does not read
	bound   *bound          // a scattered read that is bound, and begins at the Sync
	page    *page           // ...that runs
}

// txn is a transaction on its way to a server; it is core's request. It is front.Client's and backend.Query's.
type txn struct {
	c       *client
	ref     slots.Ref
	open    bool // with core
	attempt *attempt
	asked   float64
	does    []sqltext.Statement // what its first message does
	sql     string
	held    []byte // the client's messages so far, for another server where the first did not run them
	spoke   bool   // the client has had something of its answer: nothing is asked again
	waited  bool   // the pool gave it no connection
	on      bool   // it has a connection
	sends   int    // how often what is held was sent
	again   int    // bytes of held with which it began before, 0 for a new one
	mute    bool   // it begins again: the client has heard that before
}

// outside is a transaction that waits to be let in.
type outside struct {
	raw   []byte
	does  []sqltext.Statement
	sql   string
	since float64
}

// AppendQuery is backend.Query's; a transaction is sent by its own front.
func (t *txn) AppendQuery(dst []byte, _ int) []byte { return dst }

// Served is front.Client's. The answer has gone out by itself.
func (t *txn) Served([]byte) { t.open = false }

// Refused is front.Client's.
func (t *txn) Refused(retryMs float64) {
	t.open = false
	text := "no server can take this now"
	if t.waited {
		text = "no connection came free in time"
	}
	detail := ""
	if retryMs > 0 {
		detail = strconv.Itoa(int(math.Ceil(retryMs)))
	}
	t.c.concluded(t, "53300", text, detail)
}

// CodeUnfunded is the SQLSTATE of what is refused as its tenant's prepaid funds are spent, or run low.
const CodeUnfunded = "PP001"

// Broke is front.Broke's.
func (t *txn) Broke(slowed bool, retryMs float64) {
	t.open = false
	detail := ""
	if retryMs > 0 {
		detail = strconv.Itoa(int(math.Ceil(retryMs)))
	}
	t.c.concluded(t, CodeUnfunded, front.Unfunded(slowed), detail)
}

// Failed is front.Client's.
func (t *txn) Failed() {
	t.open = false
	if t.waited {
		t.c.concluded(t, "53300", "no connection came free in time", "")
		return
	}
	t.c.concluded(t, "08007", "the transaction's outcome is unknown: its server gave no answer in time or broke off", "")
}

func newClient(f *Front) *client {
	c := &client{f: f, in: pgwire.NewReader(f.opt.MaxMessage), status: 'I', since: f.loop.Now(), portals: map[string]*carry.Text{}}
	c.in.Stream(inParts)
	return c
}

// Opened is loop's.
func (c *client) Opened(lc *loop.Conn) {
	c.conn = lc
	if c.f.opt.Spare() < 0 {
		c.fatal("53300", "too many clients")
	}
}

// Data is loop's.
func (c *client) Data(b []byte) {
	if c.closed {
		return
	}
	c.in.Feed(b)
	c.proceed()
	if !c.closed && c.in.Pending() > c.f.opt.MaxMessage && c.started && c.waiting() && c.conn.Park() {
		c.parked = true // what it sends ahead stays with it
	}
	if !c.closed && c.in.Pending() > 4*c.f.opt.MaxMessage {
		c.fatal("08P01", "too much sent ahead of the answers")
	}
}

// proceed takes the messages that are there, as far as it may.
func (c *client) proceed() {
	for !c.closed {
		if c.started && c.waiting() {
			break
		}
		more, err := c.step()
		if err != nil {
			c.fatal("08P01", err.Error())
			return
		}
		if !more {
			break
		}
	}
	c.flush()
}

// waiting tells whether the client's next message has to wait: for a connection, or for a server that does not read.
func (c *client) waiting() bool {
	return c.leaving || c.page != nil || c.outside != nil || c.txn != nil && (!c.txn.on || c.txn.mute) || c.link != nil && (c.link.syncing > 0 || c.link.bound || c.link.stuffed())
}

// owed tells whether an answer is due to what the client sent.
func (c *client) owed() bool {
	return c.page != nil || c.outside != nil || c.txn != nil || c.link != nil && len(c.link.queue) > 0
}

// busy tells whether the client is in the midst of something.
func (c *client) busy() bool {
	return c.page != nil || c.bound != nil || c.outside != nil || c.txn != nil || c.status != 'I' || c.link != nil && len(c.link.queue) > 0 || c.open
}

func (c *client) step() (bool, error) {
	if !c.started {
		return c.startup()
	}
	if typ, ok := c.in.Type(); ok && !c.in.Midst() && !strings.ContainsRune("QXSPBDECHFdcf", rune(typ)) {
		return false, fmt.Errorf("%w: type %q", pgwire.ErrMalformed, typ)
	}
	m, ok, err := c.in.Next()
	if err != nil || !ok {
		return false, err
	}
	return true, c.message(m)
}

func (c *client) startup() (bool, error) {
	s, ok, err := c.in.StartupMessage()
	if err != nil || !ok {
		return false, err
	}
	switch s.Kind {
	case pgwire.StartupEncrypt:
		c.send([]byte{'N'})
		return true, nil
	case pgwire.StartupCancel:
		c.f.cancel(s.PID, s.Secret)
		c.end()
		return false, nil
	}
	return true, c.begin(s)
}

// startupOnly are parameters of the startup message that are no settings.
var startupOnly = map[string]bool{"user": true, "database": true, "options": true, "replication": true}

func (c *client) begin(s pgwire.StartupMsg) error {
	c.started = true
	f, p := c.f, s.Params
	user, database := p["user"], p["database"]
	if database == "" {
		database = user
	}
	if len(s.Unknown) > 0 || s.Minor > 0 {
		c.out = pgwire.AppendNegotiate(c.out, s.Unknown)
	}
	switch {
	case user == "":
		c.fatal("28000", "no user name in the startup message")
		return nil
	case p["replication"] != "" && p["replication"] != "false" && p["replication"] != "off" && p["replication"] != "0":
		c.fatal("0A000", "replication is not taken by a pooler")
		return nil
	case f.draining:
		c.fatal("57P03", "the pooler is shutting down")
		return nil
	case database == "beechgrade":
		c.admin = true
	default:
		c.pool = f.poolOf(database, user, p["application_name"])
		if c.pool == nil {
			c.fatal("3D000", fmt.Sprintf("no pool for database %q and user %q", database, user))
			return nil
		}
		if c.pool.opt.Clients > 0 && c.pool.clients >= c.pool.opt.Clients {
			c.pool = nil
			c.fatal("53300", "too many clients in this pool")
			return nil
		}
		c.pool.clients++
	}
	settings := map[string]string{}
	for n, v := range p {
		if !startupOnly[n] && !strings.HasPrefix(n, "_pq_.") {
			settings[n] = v
		}
	}
	for n, v := range startupOptions(p["options"]) {
		settings[n] = v
	}
	if len(settings) > carry.MaxSettings {
		c.fatal("08P01", "too many settings in the startup message")
		return nil
	}
	c.carry = carry.NewClient(f.texts, settings)
	f.newKey(c)
	c.recordBegin()
	c.params = map[string]string{}
	c.out = append(c.out, 'R', 0, 0, 0, 8, 0, 0, 0, 0)
	for _, n := range sortedKeys(f.params) {
		c.params[n] = f.params[n]
	}
	if v, ok := settings["application_name"]; ok {
		c.params["application_name"] = v
	}
	if v, ok := settings["client_encoding"]; ok {
		c.params["client_encoding"] = v
	}
	for _, n := range sortedKeys(c.params) {
		c.out = pgwire.AppendParameter(c.out, n, c.params[n])
	}
	c.out = pgwire.AppendKey(c.out, c.pid, c.secret)
	c.out = pgwire.AppendReady(c.out)
	return nil
}

// startupOptions reads settings out of the option "-c name=value".
func startupOptions(s string) map[string]string {
	out := map[string]string{}
	words := strings.Fields(s)
	for i, w := range words {
		switch {
		case w == "-c" && i+1 < len(words):
			w = words[i+1]
		case strings.HasPrefix(w, "--"):
			w = strings.ReplaceAll(w[2:], "-", "_")
		case strings.HasPrefix(w, "-c"):
			w = w[2:]
		default:
			continue
		}
		if n, v, ok := strings.Cut(w, "="); ok {
			out[n] = v
		}
	}
	return out
}

// message takes one message of a client that has started.
func (c *client) message(m pgwire.Message) error {
	if m.Part { // more of a copy's data
		if l := c.link; l != nil && l.partial {
			if l.over() {
				c.fatal("57P01", "the server of this transaction is being taken out; nothing of it was committed")
				return nil
			}
			l.write(m.Raw)
			l.partial = m.More
		}
		return nil
	}
	if c.skip && m.Type != 'S' && m.Type != 'X' {
		return nil
	}
	switch m.Type {
	case 'X':
		if c.leaving = c.owed(); !c.leaving {
			c.end()
		}
		return nil
	case 'Q':
		c.skip = false
		sql, err := pgwire.Text(m.Body)
		if err != nil {
			return err
		}
		if c.admin {
			c.adminQuery(sql)
			return nil
		}
		if c.f.opt.Scatter != nil && plan.Is(sql) {
			if took := c.scatterQuery(sql); took {
				return nil
			}
		}
		return c.query(sql, m)
	case 'S':
		if c.bound != nil && !c.skip {
			c.scatterSync()
			return nil
		}
		c.bound = nil
		if c.skip || c.link == nil {
			c.skip, c.open = false, false
			c.out = pgwire.AppendReadyIn(c.out, c.status)
			return nil
		}
	case 'H', 'd', 'c', 'f':
		if c.link == nil {
			return nil // to nobody: as a server does with what comes outside a copy
		}
	case 'F':
		c.complain("0A000", "function calls are not taken; use a query")
		return nil
	case 'C':
		if c.link == nil && len(m.Body) > 0 {
			if m.Body[0] == 'S' {
				name, _, _ := bytes.Cut(m.Body[1:], []byte{0})
				c.carry.Unprepare(string(name))
			}
			c.out = append(c.out, '3', 0, 0, 0, 4)
			return nil
		}
	}
	if c.admin {
		c.complain("0A000", "only simple queries are taken here")
		return nil
	}
	if c.f.opt.Scatter != nil && !c.admin {
		if took, err := c.scatterMessage(m); took || err != nil {
			return err
		}
	}
	if c.fresh() && !strings.ContainsRune("SHdcf", rune(m.Type)) {
		does, err := c.means(m)
		if err != nil {
			return err
		}
		return c.ask(m, does, "")
	}
	return c.forward(m)
}

// means is what a message of the extended protocol leads to.
func (c *client) means(m pgwire.Message) ([]sqltext.Statement, error) {
	switch m.Type {
	case 'P':
		_, sql, _, err := pgwire.ParseMessage(m.Body)
		if err != nil {
			return nil, err
		}
		return sqltext.Split(sql), nil
	case 'B':
		_, name, _, err := pgwire.BindMessage(m.Body)
		if err != nil {
			return nil, err
		}
		if t := c.carry.Statement(name); t != nil {
			return t.Does, nil
		}
	case 'D':
		if len(m.Body) > 1 && m.Body[0] == 'S' {
			name, _, _ := bytes.Cut(m.Body[1:], []byte{0})
			if t := c.carry.Statement(string(name)); t != nil {
				return t.Does, nil
			}
		}
	}
	return nil, nil
}

// query takes a simple query.
func (c *client) query(sql string, m pgwire.Message) error {
	does := sqltext.Split(sql)
	if s, ok := sqltext.SetConfig(sql); ok {
		does = []sqltext.Statement{s}
	}
	if len(does) == 1 && c.link == nil && c.status == 'I' {
		switch s := does[0]; s.Kind {
		case sqltext.Empty:
			c.out = pgwire.AppendReady(pgwire.AppendEmpty(c.out))
			return nil
		case sqltext.Deallocate:
			if s.Name == "" {
				c.carry.UnprepareAll()
				c.out = pgwire.AppendReady(pgwire.AppendComplete(c.out, "DEALLOCATE ALL"))
				return nil
			}
			if c.carry.Unprepare(s.Name) {
				c.out = pgwire.AppendReady(pgwire.AppendComplete(c.out, "DEALLOCATE"))
				return nil
			}
		case sqltext.DiscardAll:
			c.carry.Reset()
			c.out = pgwire.AppendReady(pgwire.AppendComplete(c.out, "DISCARD ALL"))
			return nil
		}
	}
	if c.fresh() {
		return c.ask(m, does, sql)
	}
	return c.forward(m)
}

// fresh tells whether what comes next begins a transaction.
func (c *client) fresh() bool {
	return c.link == nil || c.status == 'I' && len(c.link.queue) == 0 && c.txn == nil && !c.open
}

// reading tells whether a transaction that begins so is known to change nothing.
func reading(does []sqltext.Statement) bool {
	if len(does) == 0 {
		return false
	}
	if does[0].Kind == sqltext.Begin {
		return does[0].ReadOnly // and the server holds it to that
	}
	for _, s := range does {
		if s.Kind != sqltext.Read || s.Pin != 0 {
			return false
		}
	}
	return true
}

// ask puts a transaction that begins with this message to the decision module.
func (c *client) ask(m pgwire.Message, does []sqltext.Statement, sql string) error {
	if c.opened != nil {
		return c.beginAgain(m.Raw, false)
	}
	if c.pool.opt.RefusePins && c.pool.opt.Mode == Transaction {
		for _, s := range does {
			if s.Pin != 0 {
				c.complain("0A000", fmt.Sprintf("%s can't be had in a pool by transaction", s.Pin))
				if m.Type == 'Q' {
					c.skip = false
					c.out = pgwire.AppendReadyIn(c.out, c.status)
				}
				return nil
			}
		}
	}
	if !c.inside {
		kind := "writes"
		if reading(does) {
			kind = "reads"
		}
		c.outside = &outside{raw: slices.Clone(m.Raw), does: does, sql: sql, since: c.f.loop.Now()}
		c.f.expire()
		c.f.do(c.pool, c.pool.share.Enter(c.id(), kind, c.f.loop.Now()))
		return nil
	}
	return c.put(&txn{c: c, held: slices.Clone(m.Raw), does: does, sql: sql})
}

func (c *client) id() share.ID { return share.ID(refNumber(c.ref)) }

// admitted goes on with a transaction that has been let in.
func (c *client) admitted() {
	x := c.outside
	if c.closed || x == nil {
		return
	}
	c.outside, c.inside = nil, true
	c.doorMs = c.f.loop.Now() - x.since
	if err := c.put(&txn{c: c, held: x.raw, does: x.does, sql: x.sql}); err != nil {
		c.fatal("08P01", err.Error())
		return
	}
	c.proceed()
}

// turnedAway ends a transaction that was not let in.
func (c *client) turnedAway() {
	x := c.outside
	if c.closed || x == nil {
		return
	}
	c.outside = nil
	c.recordHand(record.HandRefused, nil, c.f.loop.Now()-x.since, false)
	c.txn = &txn{c: c, held: x.raw}
	c.concluded(c.txn, "53300", "no connection came free in time", "")
}

// leave has another be let in.
func (c *client) leave() {
	if c.pool != nil && (c.inside || c.outside != nil) {
		c.inside, c.outside = false, nil
		c.f.do(c.pool, c.pool.share.Exit(c.id()))
	}
}

// put puts a transaction to the decision module, beginning with what it holds.
func (c *client) put(t *txn) error {
	f, o, now := c.f, c.pool.opt, c.f.loop.Now()
	q := front.Request{ID: fmt.Sprintf("pool-%d-%d", c.pid, f.Counts.Transactions), Class: o.Class, Group: o.Group, Writes: true, After: c.after,
		Session: sessionKey(c.pid)}
	if c.pool.opt.Mode == Transaction && o.Reads != "" && reading(t.does) {
		q.Class, q.Writes = o.Reads, false
	}
	wait := o.TxnMs
	if st, err := pgwire.ParseStatement(t.sql); err == nil { // the platform's comment goes before the settings
		q.Class, q.Group, q.Writes, wait = st.Class, st.Group, st.Writes, st.WaitMs
	}
	if wait <= 0 {
		wait = 600000
	}
	q.Due = now + wait
	t.asked, t.open, q.Query = now, true, t
	f.Counts.Transactions++
	c.txn, c.began, c.wrote, c.failed = t, now, !reading(t.does), false
	ref, err := f.desk.Ask(q, t)
	switch {
	case err != nil:
		t.open, c.txn = false, nil
		if t.again > 0 {
			c.fatal("58000", err.Error())
			return nil
		}
		c.leave()
		c.complain("58000", err.Error())
		if t.held[0] == 'Q' {
			c.skip = false
			c.out = pgwire.AppendReadyIn(c.out, c.status)
		}
	case t.open && c.closed:
		f.desk.Gone(ref)
	case t.open:
		t.ref = ref
	}
	return nil
}

// stay has a client that keeps its connection go on with it, where its server is the one decided on.
func (c *client) stay(a *attempt) bool {
	l := c.link
	if l == nil {
		return false
	}
	if l.store != a.store {
		if c.carry.Pins != 0 && l.ends == 0 {
			c.resume(a, l) // what binds it can't move
			return true
		}
		c.f.Counts.Moves++
		c.link = nil
		l.owner = nil
		l.free()
		return false
	}
	if l.ends != 0 {
		c.link, l.owner = nil, nil
		l.free()
		return false
	}
	c.resume(a, l)
	return true
}

// assign gives the client a connection, and sends what the transaction has so far.
func (c *client) assign(a *attempt, l *link) {
	other := l.last != 0 && l.last != c.session
	l.owner, c.link, l.last = c, l, c.session
	if c.closed {
		c.link, l.owner = nil, nil
		l.free()
		return
	}
	c.recordHand(record.HandGiven, l, c.doorMs+c.f.loop.Now()-a.t.asked, other)
	c.last = l.store
	c.resume(a, l)
}

func (c *client) resume(a *attempt, l *link) {
	a.link = l
	if c.pool.opt.TxnMs > 0 {
		c.f.loop.Stop(c.limit)
		c.limit = c.f.loop.At(c.began+c.pool.opt.TxnMs, func() {
			if c.busy() {
				c.fatal("57014", "the transaction took longer than this pool allows")
			}
		})
	}
	if sql := c.carry.Sync(l.server); sql != "" {
		c.f.Counts.Syncs++
		l.own(sql, func() { c.carry.Synced(l.server) })
	}
	t := c.txn
	if t == nil || c.link != l { // the connection broke at the settings: what is held is still to be sent, or answered
		return
	}
	l.tellParams(c)
	t.on = true
	if err := c.sendHeld(t); err != nil {
		c.fatal("08P01", err.Error())
		return
	}
	if l.conn != nil && l.conn.Unsent() == 0 {
		c.f.events.AttemptWritten(a.tag)
	}
	c.soon()
}

// concluded ends a transaction that the decision module has given up.
func (c *client) concluded(t *txn, code, text, detail string) {
	if c.closed || c.txn != t {
		return
	}
	if t.spoke || c.link != nil && len(c.link.queue) > 0 || c.status != 'I' {
		c.fatal(code, text)
		return
	}
	c.txn = nil
	c.f.loop.Stop(c.limit)
	defer c.leave()
	if l := c.link; l != nil && c.pool.opt.Mode == Transaction && c.carry.Pins == 0 {
		c.link, l.owner = nil, nil
		l.free()
	}
	c.out = pgwire.AppendError(c.out, "ERROR", code, text, detail)
	// Of what was held, all up to the first point at which an answer is due is done with; what comes behind is new.
	c.skip, c.open = true, false
	held := t.held
	t.held, c.pre = nil, nil
	r := pgwire.NewReader(max(c.f.opt.MaxMessage, len(held)+1))
	r.Feed(held)
	for {
		m, ok, err := r.Next()
		if err != nil || !ok {
			break
		}
		if name, _, _, err := pgwire.ParseMessage(m.Body); m.Type == 'P' && err == nil && t.sends > 0 {
			c.carry.Unprepare(name) // the client hears of no ParseComplete
		}
		if c.skip && (m.Type == 'Q' || m.Type == 'S') {
			c.skip = false
			c.out = pgwire.AppendReadyIn(c.out, c.status)
			continue
		}
		if !c.skip {
			c.fatal(code, text)
			return
		}
	}
	c.flush()
	c.soon()
}

// complain answers with an error; what follows is skipped up to Sync.
func (c *client) complain(code, text string) {
	c.skip = true
	c.out = pgwire.AppendError(c.out, "ERROR", code, text, "")
}

// forward sends a message to the client's server, with statements under their names there.
func (c *client) forward(m pgwire.Message) error {
	l := c.link
	c.f.loop.Stop(c.idle)
	c.idle = nil
	if l.over() && c.part() {
		return c.beginAgain(m.Raw, false)
	}
	c.keep(m)
	if l.skipping {
		if m.Type != 'S' { // as the server does after an error in a pipeline
			return nil
		}
		l.skipping = false
	}
	if l.over() { // the grace has passed: nothing more is sent there
		c.fatal("57P01", "the server of this transaction is being taken out; nothing of it was committed")
		return nil
	}
	switch m.Type {
	case 'Q':
		sql, err := pgwire.Text(m.Body)
		if err != nil {
			return err
		}
		does := sqltext.Split(sql)
		if s, ok := sqltext.SetConfig(sql); ok {
			does = []sqltext.Statement{s}
		}
		c.note(does)
		l.bound = l.parses > 0
		l.expect(expected{kind: xQuery, does: does})
		l.write(m.Raw)
		c.f.Counts.Executed++
	case 'P':
		return c.forwardParse(m)
	case 'B':
		return c.forwardBind(m)
	case 'D':
		if len(m.Body) < 2 {
			return fmt.Errorf("%w: Describe", pgwire.ErrMalformed)
		}
		c.open = true
		if m.Body[0] == 'S' {
			name, _, _ := bytes.Cut(m.Body[1:], []byte{0})
			l.expect(expected{kind: xDescribe, statement: true})
			if t := c.carry.Statement(string(name)); t != nil {
				l.queue = l.queue[:len(l.queue)-1]
				l.ensure(t)
				l.expect(expected{kind: xDescribe, statement: true})
				l.write(pgwire.AppendDescribeStatement(nil, t.Name()))
				return nil
			}
		} else {
			l.expect(expected{kind: xDescribe})
		}
		l.write(m.Raw)
	case 'E':
		name, _, _ := bytes.Cut(m.Body, []byte{0})
		var does []sqltext.Statement
		if t := c.portals[string(name)]; t != nil {
			does = t.Does
			c.note(does)
		} else {
			c.wrote = true
		}
		c.open = true
		l.expect(expected{kind: xExecute, does: does})
		l.write(m.Raw)
		c.f.Counts.Executed++
	case 'C':
		if len(m.Body) < 2 {
			return fmt.Errorf("%w: Close", pgwire.ErrMalformed)
		}
		c.open = true
		name, _, _ := bytes.Cut(m.Body[1:], []byte{0})
		if m.Body[0] == 'S' { // it stays at the server, for whoever prepares the same again
			l.expect(expected{kind: xSay, say: []byte{'3', 0, 0, 0, 4}, name: string(name), closed: c.carry.Lift(string(name))})
			l.speak()
			return nil
		}
		delete(c.portals, string(name))
		l.expect(expected{kind: xClose})
		l.write(m.Raw)
	case 'S':
		c.open = false
		l.bound = l.parses > 0
		l.expect(expected{kind: xReady})
		l.write(m.Raw)
	default: // Flush, and the data of a copy
		l.write(m.Raw)
		l.partial = m.More
	}
	return nil
}

// lower ends the closing of a statement: it is gone, or still there where the pipeline failed before.
func (c *client) lower(x *expected, back bool) {
	if x.closed == nil {
		return
	}
	if c == nil {
		x.closed.Leave()
	} else {
		c.carry.Lower(x.name, x.closed, back && !c.closed)
	}
	x.closed = nil
}

// note takes in what statements do before they run.
func (c *client) note(does []sqltext.Statement) {
	if len(does) == 0 {
		c.wrote = true
	}
	for _, s := range does {
		switch s.Kind {
		case sqltext.Read, sqltext.Show, sqltext.Begin, sqltext.Commit, sqltext.Rollback, sqltext.Empty, sqltext.Savepoint, sqltext.Set:
		default:
			c.wrote = true
		}
	}
}

func (c *client) forwardParse(m pgwire.Message) error {
	name, sql, types, err := pgwire.ParseMessage(m.Body)
	if err != nil {
		return err
	}
	l := c.link
	c.open = true
	if c.redo && name != "" {
		c.carry.Unprepare(name)
	}
	var old *carry.Text // that the unnamed one replaces, unless the pipeline fails before
	if name == "" {
		old = c.carry.Lift(name)
	}
	t, twice, err := c.carry.Prepare(name, sql, types)
	switch {
	case err != nil:
		c.lower(&expected{closed: old}, false)
		c.fatal("54000", err.Error())
		return nil
	case twice: // the server itself says so, in its place among the answers
		old := c.carry.Statement(name)
		l.ensure(old)
		l.expect(expected{kind: xParse})
		l.write(pgwire.AppendParse(nil, old.Name(), sql, types))
		return nil
	case l.server.Has(t):
		l.expect(expected{kind: xSay, say: []byte{'1', 0, 0, 0, 4}, name: name, client: true, closed: old})
		l.speak()
		return nil
	}
	l.evict(l.server.Add(t))
	c.f.Counts.Prepared++
	l.expect(expected{kind: xParse, text: t, name: name, client: true, closed: old})
	l.write(pgwire.AppendParse(nil, t.Name(), sql, types))
	return nil
}

func (c *client) forwardBind(m pgwire.Message) error {
	portal, name, rest, err := pgwire.BindMessage(m.Body)
	if err != nil {
		return err
	}
	l := c.link
	c.open = true
	t := c.carry.Statement(name)
	if t == nil { // the server says that there is none, under the client's name for it
		l.expect(expected{kind: xBind})
		l.write(m.Raw)
		return nil
	}
	l.ensure(t)
	if len(c.portals) < carry.MaxStatements {
		c.portals[portal] = t
	}
	l.expect(expected{kind: xBind})
	l.write(pgwire.AppendBind(nil, portal, t.Name(), rest))
	return nil
}

// did takes note of a statement that a server has completed.
func (c *client) did(s *sqltext.Statement, tag string) {
	switch s.Kind {
	case sqltext.Commit:
		if strings.HasPrefix(tag, "ROLLBACK") {
			c.carry.Abort()
		} else {
			c.carry.Commit(c.link.server)
		}
	case sqltext.Rollback:
		c.carry.Abort()
	case sqltext.DiscardAll:
		c.carry.Reset()
		c.link.server.Wiped()
	case sqltext.Deallocate:
		if s.Name == "" {
			c.carry.UnprepareAll()
			c.link.server.Forgot()
		} else {
			c.carry.Unprepare(s.Name)
		}
	default:
		c.carry.Did(s)
	}
}

// ready takes a ReadyForQuery that is the client's.
func (c *client) ready(l *link, status byte) {
	if t := c.txn; t != nil && t.mute {
		c.unmute(l, status)
		return
	}
	c.settledAt(c.txn, status)
	c.status = status
	if status == 'I' {
		if c.failed {
			c.carry.Abort()
		} else {
			c.carry.Commit(l.server)
		}
		clear(c.portals)
		if c.wrote && !c.failed {
			c.after = max(c.after, l.written())
		}
	}
	c.failed = false
	c.out = pgwire.AppendReadyIn(c.out, status)
	if t := c.txn; t != nil && (status != 'I' || len(l.queue) == 0) {
		c.txn = nil
		t.spoke = true
		if a := t.attempt; a != nil {
			c.f.end(a, 0, l) // OK
		}
	}
	switch {
	case status != 'I':
		if c.pool.opt.IdleTxnMs > 0 && len(l.queue) == 0 {
			c.f.loop.Stop(c.idle)
			c.idle = c.f.loop.At(c.f.loop.Now()+c.pool.opt.IdleTxnMs, func() {
				if c.status != 'I' && c.txn == nil && (c.link == nil || len(c.link.queue) == 0) {
					c.fatal("25P03", "the transaction was idle for longer than this pool allows")
				}
			})
		}
	case len(l.queue) == 0 && !c.open:
		c.f.loop.Stop(c.limit)
		c.wrote = false
		c.release()
	}
}

// release gives the connection back between transactions, unless the client keeps it.
func (c *client) release() {
	l := c.link
	if l == nil || c.pool.opt.Mode == Session && l.ends == 0 || c.carry.Pins != 0 && l.ends == 0 {
		if c.f.draining {
			c.fatal("57P01", "the pooler is shutting down")
		}
		return
	}
	if c.carry.Pins != 0 {
		c.fatal("57P01", fmt.Sprintf("the server is being taken out, and %s can't be carried to another", c.carry.Pins))
		return
	}
	c.link, l.owner = nil, nil
	l.free()
	c.leave()
	if c.f.draining {
		c.fatal("57P01", "the pooler is shutting down")
	}
}

// lost tells that the client's server connection has ended.
func (c *client) lost(l *link) {
	c.link = nil
	if c.closed {
		return
	}
	t := c.txn
	if t != nil && t.attempt != nil && !t.spoke { // the decision module says what becomes of it
		return
	}
	if t == nil && c.opened != nil && c.leg == nil && len(l.queue) == 0 && c.movable() {
		return // nothing but a beginning is lost: it begins again
	}
	busy := len(l.queue) > 0 || c.status != 'I' || c.open
	switch {
	case !busy && c.carry.Pins == 0:
		c.leave()
		return // a session's connection between its transactions: the next one gets another
	case !busy:
		c.fatal("57P01", fmt.Sprintf("the server connection ended, and with it %s", c.carry.Pins))
	case l.committing() || c.status == 'I' && c.wrote:
		c.fatal("08007", "the connection to the server broke; whether the transaction was committed is unknown")
	default:
		c.fatal("08006", "the connection to the server broke; nothing of the transaction was committed")
	}
}

// beat lets time pass.
func (c *client) beat() {
	switch {
	case c.closed || c.conn == nil:
	case c.leaving && !c.owed():
		c.end()
	case !c.started && c.f.loop.Now()-c.since > startupMs:
		c.fatal("08P01", "the startup message is not whole in time")
	case c.paused != nil && c.conn.Unsent() < littleLeft:
		l := c.paused
		c.paused = nil
		l.unpark()
	}
	if c.started && !c.closed && (!c.waiting() || c.parked && c.conn.Unsent() > 0) {
		if c.parked { // it hears what there is, and is read on
			c.parked = false
			c.conn.Unpark()
		}
		if c.in.Pending() > 0 && !c.waiting() {
			c.proceed()
		}
	}
}

func (c *client) send(b []byte) {
	if !c.closed && c.conn != nil && len(b) > 0 {
		_ = c.conn.Write(b) // a failed write closes the connection
	}
}

// flush writes what has gathered.
func (c *client) flush() {
	b := c.out
	c.out = c.out[:0]
	c.send(b)
	if cap(b) > littleLeft {
		c.out = nil
	}
	if !c.closed && c.link != nil && c.paused == nil && c.conn.Unsent() > muchUnsent && c.link.park() {
		c.paused = c.link
	}
}

// fatal ends the connection with a word.
func (c *client) fatal(code, text string) {
	if c.closed {
		return
	}
	c.ended = code
	if !c.midst { // there is no place for a word within a message
		c.out = pgwire.AppendError(c.out, "FATAL", code, text, "")
	}
	c.end()
}

// end closes the connection, once what is written has gone out.
func (c *client) end() {
	c.flush()
	if !c.closed && c.conn != nil {
		c.conn.Close()
	}
}

// Closed is loop's.
func (c *client) Closed(error) {
	if c.closed {
		return
	}
	c.closed = true
	f := c.f
	f.clients.Drop(c.ref)
	delete(f.keys, c.pid)
	f.loop.Stop(c.idle)
	f.loop.Stop(c.limit)
	if c.paused != nil {
		c.paused.unpark()
		c.paused = nil
	}
	if c.pool != nil {
		c.pool.clients--
	}
	c.recordEnd()
	c.scatterGone()
	defer c.leave()
	t := c.txn
	c.txn = nil
	if l := c.link; l != nil {
		c.link, l.owner = nil, nil
		switch {
		case len(l.queue) > 0 || c.open || c.carry.Pins != 0 || t != nil:
			l.close() // in the midst of something, or with what must not be left to another
		case c.status != 'I':
			l.own("ROLLBACK", nil)
			l.free()
		default:
			l.free()
		}
	}
	if t != nil && t.open {
		t.open = false
		f.desk.Gone(t.ref)
	}
	if c.carry != nil {
		c.carry.Close()
	}
}

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// number reads a big-endian number.
func number(b []byte) uint32 { return binary.BigEndian.Uint32(b) }
