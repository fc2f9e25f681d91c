package database

import "fmt"

func (x *session) begin() {
	x.saved, x.points, x.writes, x.readOnly = clone(x.settings), nil, nil, x.settings["default_transaction_read_only"] == "on"
}

func clone(m map[string]string) map[string]string {
	out := make(map[string]string, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

var errConnectionClosed = fmt.Errorf("the connection is gone")

// endImplicit ends the transaction round statements that had none.
func (x *session) endImplicit(err error) {
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

func (x *session) commit() {
	f, s := x.c.s.f, x.c.s
	f.mu.Lock()
	for _, w := range x.writes {
		if s.Group.Primary == s.Server && !x.c.dead {
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

func (x *session) rollback() {
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

func (x *session) mayWrite() error {
	f, s := x.c.s.f, x.c.s
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Group.Primary != s.Server || x.readOnly {
		return fail("25006", "cannot execute INSERT in a read-only transaction")
	}
	return nil
}
