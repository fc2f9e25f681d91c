package database

import "fmt"

func (sess *session) begin() {
	sess.saved, sess.points, sess.writes, sess.readOnly = clone(sess.settings), nil, nil, sess.settings["default_transaction_read_only"] == "on"
}

func clone(m map[string]string) map[string]string {
	out := make(map[string]string, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

var errConnectionClosed = fmt.Errorf("connection closed")

// endImplicit ends the implicit transaction of statements that ran outside a BEGIN block: it rolls back on an error, and commits otherwise.
func (sess *session) endImplicit(err error) {
	if !sess.implicit {
		return
	}
	sess.implicit = false
	if err != nil {
		sess.rollback()
		return
	}
	sess.commit()
}

func (sess *session) commit() {
	f, s := sess.c.s.f, sess.c.s
	f.mu.Lock()
	for _, w := range sess.writes {
		if s.Group.Primary == s.Server && !sess.c.dead {
			sess.committed = s.Group.Write(f.clk.Now(), w.key, w.value)
			f.watch.Committed[w.key]++
		}
	}
	f.mu.Unlock()
	for n := range sess.local {
		sess.set(n, sess.saved[n])
	}
	sess.writes, sess.status, sess.local = nil, 'I', nil
	clear(sess.portals)
}

func (sess *session) rollback() {
	for n, v := range sess.saved {
		sess.set(n, v)
	}
	for n := range sess.settings {
		if _, ok := sess.saved[n]; !ok {
			delete(sess.settings, n)
		}
	}
	sess.writes, sess.status, sess.local = nil, 'I', nil
	clear(sess.portals)
}

func (sess *session) mayWrite() error {
	f, s := sess.c.s.f, sess.c.s
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Group.Primary != s.Server || sess.readOnly {
		return fail("25006", "cannot execute INSERT in a read-only transaction")
	}
	return nil
}
