package pooling

import (
	"slices"

	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/protocol/sqltext"
)

// message takes a message of a connection that is up.
func (l *link) message(m pgwire.Message) {
	switch m.Type {
	case 'S':
		l.parameter(m)
		return
	case 'N', 'A':
		if l.owner != nil && !l.ownTurn() {
			l.owner.out = append(l.owner.out, m.Raw...)
		}
		return
	case 'E':
		l.fault(m)
		return
	case 'Z':
		l.settled(m)
		return
	}
	if len(l.queue) == 0 {
		l.f.log.Warn("pooling: server sent what was not asked for", "store", l.store, "type", string(m.Type))
		l.close()
		return
	}
	if m.Part {
		l.stream(m)
		return
	}
	x := &l.queue[0]
	done, mere := false, x.kind != xQuery && x.kind != xExecute
	switch {
	case x.kind == xOwn:
		return
	case x.kind == xParse && m.Type == '1', x.kind == xClose && m.Type == '3':
		if x.own {
			l.pop()
			return
		}
		done = true
	case x.kind == xBind && m.Type == '2', x.kind == xDescribe && (m.Type == 'T' || m.Type == 'n'):
		done = true
	case x.kind == xDescribe && m.Type == 't', x.kind == xExecute && (m.Type == 'D' || m.Type == 'G' || m.Type == 'H' || m.Type == 'W' || m.Type == 'd' || m.Type == 'c'):
	case x.kind == xQuery && slices.Contains([]byte("TDGHWdc"), m.Type):
	case (x.kind == xQuery || x.kind == xExecute) && (m.Type == 'C' || m.Type == 'I' || m.Type == 's'):
		if c := l.owner; c != nil && m.Type != 's' && x.next < len(x.does) {
			tag, _ := pgwire.Text(m.Body)
			s := &x.does[x.next]
			mere = s.Kind == sqltext.Begin && x.next == 0
			x.next++
			c.did(s, tag)
		}
		done = x.kind == xExecute
	default:
		l.f.log.Warn("pooling: a message is not due", "store", l.store, "type", string(m.Type))
		l.close()
		return
	}
	l.say(m.Raw, mere)
	if m.More {
		l.stream(m)
	} else if done {
		l.pop()
	}
}

// ownTurn tells whether what comes now is due to the pooler's own text.
func (l *link) ownTurn() bool { return len(l.queue) > 0 && l.queue[0].kind == xOwn }

func (l *link) parameter(m pgwire.Message) {
	name, val, err := pgwire.Parameter(m.Body)
	if err != nil {
		return
	}
	l.params[name] = val
	c := l.owner
	if c == nil || l.ownTurn() || perAnswer(l.f, name) {
		return
	}
	if c.params[name] != val {
		c.params[name] = val
		c.out = append(c.out, m.Raw...)
	}
}

// tellParams tells a client what its new connection reports otherwise than the one before. What its own settings
// change is reported in answer to them.
func (l *link) tellParams(c *client) {
	tell := func() {
		for _, n := range sortedKeys(l.params) {
			if v := l.params[n]; !perAnswer(l.f, n) && c.params[n] != v && len(c.params) < sessionstate.MaxSettings {
				c.params[n] = v
				c.out = pgwire.AppendParameter(c.out, n, v)
			}
		}
	}
	if l.syncing == 0 {
		tell()
		return
	}
	x := &l.queue[len(l.queue)-1]
	then := x.then
	x.then = func() {
		if then != nil {
			then()
		}
		if l.owner == c {
			tell()
		}
	}
}

// stream takes note that a message comes in parts: nothing else may be said to its client before the end.
func (l *link) stream(m pgwire.Message) {
	c := l.owner
	if c == nil {
		return
	}
	if c.midst = m.More; m.Part {
		l.say(m.Raw, false)
	}
}

// say passes a message on to the client. What is mere, as it only prepares or begins, is held back for as long as all
// may be asked of another server.
func (l *link) say(b []byte, mere bool) {
	c := l.owner
	switch {
	case c == nil || c.txn != nil && c.txn.mute:
		return
	case mere && c.mayTell():
		c.pre = append(c.pre, b...)
		return
	}
	c.speaks()
	c.out = append(c.out, b...)
	if len(c.out) > muchUnsent {
		c.flush()
	}
}

// pop takes the answer that has come whole out, and says what stands behind it.
func (l *link) pop() {
	l.parsed(&l.queue[0], false)
	l.queue = l.queue[1:]
	l.speak()
}

// prepares tells whether it is not known yet whether a statement is prepared.
func (x *expected) prepares() bool {
	return x.kind == xParse && x.text != nil || x.kind == xSay && (x.client || x.closed != nil)
}

// parsed takes note that it is known whether a statement is prepared.
func (l *link) parsed(x *expected, failed bool) {
	due := x.prepares()
	l.owner.lower(x, failed)
	if !due {
		return
	}
	if l.parses--; l.parses == 0 && l.bound {
		l.bound = false
		if l.owner != nil {
			l.owner.soon()
		}
	}
}

// speak says what is due without the server's doing.
func (l *link) speak() {
	for len(l.queue) > 0 && l.queue[0].kind == xSay {
		x := l.queue[0]
		l.queue = l.queue[1:]
		l.parsed(&x, false)
		l.say(x.say, true)
	}
	if len(l.queue) == 0 {
		l.queue = nil
	}
}

// fault takes an error.
func (l *link) fault(m pgwire.Message) {
	if l.ownTurn() {
		l.f.log.Warn("pooling: a client's settings can't be had at a server", "store", l.store, "code", pgwire.ErrorCode(m.Body))
		l.broken = true
		if c := l.owner; c != nil { // its settings are not in force: nothing may run under others
			c.fatal(pgwire.ErrorCode(m.Body), "the session's settings cannot be carried to this server connection")
		}
		return
	}
	c := l.owner
	if c != nil {
		c.failed = true
	}
	if len(l.queue) == 0 { // of the server's own accord: its end
		if c != nil {
			c.out = append(c.out, m.Raw...)
		}
		return
	}
	// All up to the Sync is skipped by the server: what was to be prepared is not.
	pipeline := l.queue[0].kind != xQuery
	var dropped []expected
	for pipeline && len(l.queue) > 0 && l.queue[0].kind != xReady && l.queue[0].kind != xOwn {
		dropped = append(dropped, l.queue[0])
		l.queue = l.queue[1:]
	}
	for i := len(dropped) - 1; i >= 0; i-- { // undone from its end
		x := &dropped[i]
		if x.client && c != nil {
			c.carry.Unprepare(x.name)
		}
		if x.kind == xParse && x.text != nil {
			l.server.Drop(x.text)
		}
		if x.kind == xClose && x.text != nil {
			l.broken = true // it is still prepared there, uncounted
		}
		l.parsed(x, true)
	}
	l.skipping = pipeline && len(l.queue) == 0
	if pipeline && pgwire.ErrorCode(m.Body) == "0A000" { // a plan here is out of date: nobody else is to meet it
		l.broken = true
	}
	if c == nil {
		return
	}
	if r, again := l.unrun(c, m); again { // it surely did not run, and the client has heard nothing
		l.elsewhere(c, r)
		return
	}
	l.say(m.Raw, false)
}

// settled takes a ReadyForQuery.
func (l *link) settled(m pgwire.Message) {
	if len(m.Body) != 1 || len(l.queue) == 0 {
		l.close()
		return
	}
	x := l.queue[0]
	if x.kind != xQuery && x.kind != xReady && x.kind != xOwn {
		l.f.log.Warn("pooling: ReadyForQuery is not due", "store", l.store)
		l.close()
		return
	}
	l.queue = l.queue[1:]
	if len(l.queue) == 0 {
		l.queue = nil
	}
	if x.kind == xOwn {
		l.syncing--
		if x.then != nil && !l.broken {
			x.then()
		}
		if m.Body[0] != 'I' {
			l.broken = true
		}
		if c := l.owner; c != nil && l.syncing == 0 && c.conn != nil {
			l.f.loop.At(l.f.loop.Now(), c.proceed)
		}
	} else if c := l.owner; c != nil {
		c.ready(l, m.Body[0])
		c.flush() // by now the connection may be another's
		c.shed()
	}
	l.speak()
	if l.waiting && l.syncing == 0 && l.cancels == 0 {
		l.waiting = false
		l.free()
	}
}
