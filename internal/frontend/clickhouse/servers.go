package clickhouse

import "beechgrade/internal/decide"

// server is a ClickHouse server and its connections.
type server struct {
	id           string
	address      string     // empty if the server was removed from the endpoint list
	idle         []*link    // the most recently used one last
	waiting      []*attempt // attempts that wait for a connection, in the order of their starts
	dialingConns int        // connections that are being opened

	positionMs float64 // as of reportedAt, the server has all data that was written up to this time
	reportedAt float64 // when the server last reported its staleness, 0 for never
	drainedAt  float64 // when the endpoint list reported the server as draining, 0 if it is not
}

// SetAddress sets the address of a server, and adds the server if it is not known.
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

// CloseIdle closes the idle connections of a server that drains. Attempts that wait for a connection end as not sent, and the server's
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

// Forget removes a server that is no longer in the endpoint list.
func (f *Frontend) Forget(id string) {
	if s := f.servers[id]; s != nil {
		f.CloseIdle(id)
		s.address = ""
		delete(f.servers, id)
	}
}

// Retain removes all servers except those with the given IDs.
func (f *Frontend) Retain(ids map[string]bool) {
	for id := range f.servers {
		if !ids[id] {
			f.Forget(id)
		}
	}
}

// dialForWaiting opens a connection if more attempts wait than connections are being opened.
func (f *Frontend) dialForWaiting(s *server) {
	if s.dialingConns < len(s.waiting) && f.options.SpareDescriptors() > 0 {
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
