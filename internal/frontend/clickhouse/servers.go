package clickhouse

import "beechgrade/internal/decide"

// server is the connections to one server.
type server struct {
	id      string
	address string
	idle    []*link // the one used last at the end
	waiting []*attempt
	dialing int

	positionMs float64 // its data is at least as new, as told at reportedAt
	reportedAt float64 // 0 for never

	drainedAt float64 // the list said then that it drains, 0 for not so
}

// SetAddress is core.Servers'.
func (f *Frontend) SetAddress(id, addr string) {
	s := f.servers[id]
	if s == nil {
		f.servers[id] = &server{id: id, address: addr}
		return
	}
	if s.address != addr {
		s.address = addr
		f.CloseIdle(id)
	}
}

// CloseIdle closes a server's idle connections, and gives up unsent what waits for one: it drains.
func (f *Frontend) CloseIdle(id string) {
	s := f.servers[id]
	if s == nil {
		return
	}
	if s.drainedAt == 0 {
		s.drainedAt = max(1, f.loop.Now())
	}
	for len(s.idle) > 0 {
		s.idle[0].close()
	}
	for len(s.waiting) > 0 {
		f.abort(s.waiting[0], decide.NotSent)
	}
	f.loseSessions(id)
}

// Forget is core.Servers'.
func (f *Frontend) Forget(id string) {
	if s := f.servers[id]; s != nil {
		f.CloseIdle(id)
		s.address = ""
		delete(f.servers, id)
	}
}

// Retain is core.Servers'.
func (f *Frontend) Retain(ids map[string]bool) {
	for id := range f.servers {
		if !ids[id] {
			f.Forget(id)
		}
	}
}
