package clickhouse

import "beechgrade/internal/decide"

// server is a ClickHouse server, and the connections to it.
type server struct {
	id      string
	address string     // empty if it was removed from the endpoint list
	idle    []*link    // the one used last at the end
	waiting []*attempt // for a connection, in the order of their starts
	dialing int

	positionMs float64 // the server has all data that was written up to this time, as of reportedAt
	reportedAt float64 // 0 for never
	drainedAt  float64 // when the endpoint list reported it as draining, 0 if it is not
}

// SetAddress sets the address of a server, which is new where it was not known.
func (f *Frontend) SetAddress(id, address string) {
	s := f.servers[id]
	if s == nil {
		f.servers[id] = &server{id: id, address: address}
		return
	}
	if s.address != address {
		s.address = address
		f.CloseIdle(id)
	}
}

// CloseIdle closes the idle connections of a server that drains. Attempts that wait for a connection end unsent, and the server's
// sessions are lost.
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

// Forget removes a server that is not in the endpoint list any more.
func (f *Frontend) Forget(id string) {
	if s := f.servers[id]; s != nil {
		f.CloseIdle(id)
		s.address = ""
		delete(f.servers, id)
	}
}

// Retain removes all servers but those of the given IDs.
func (f *Frontend) Retain(ids map[string]bool) {
	for id := range f.servers {
		if !ids[id] {
			f.Forget(id)
		}
	}
}

// dialForWaiting opens a connection if attempts wait for more than are being opened.
func (f *Frontend) dialForWaiting(s *server) {
	if s.dialing < len(s.waiting) && f.options.SpareDescriptors() > 0 {
		f.dial(s)
	}
}

func (s *server) removeIdle(l *link) {
	for i := range s.idle {
		if s.idle[i] == l {
			s.idle = append(s.idle[:i:i], s.idle[i+1:]...)
			return
		}
	}
}

func (s *server) removeWaiting(a *attempt) {
	for i := range s.waiting {
		if s.waiting[i] == a {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
			return
		}
	}
}
