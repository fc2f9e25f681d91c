package clickhouse

import "beechgrade/internal/decide"

// store is the connections to one server.
type store struct {
	id      string
	addr    string
	idle    []*link // the one used last at the end
	waiting []*attempt
	dialing int

	position float64 // its data is at least as new, as told at toldAt
	toldAt   float64 // 0 for never

	barredAt float64 // the list said then that it drains, 0 for not so
}

// SetAddress is core.Servers'.
func (f *Front) SetAddress(id, addr string) {
	s := f.stores[id]
	if s == nil {
		f.stores[id] = &store{id: id, addr: addr}
		return
	}
	if s.addr != addr {
		s.addr = addr
		f.CloseIdle(id)
	}
}

// CloseIdle closes a server's idle connections, and gives up unsent what waits for one: it drains.
func (f *Front) CloseIdle(id string) {
	s := f.stores[id]
	if s == nil {
		return
	}
	if s.barredAt == 0 {
		s.barredAt = max(1, f.loop.Now())
	}
	for len(s.idle) > 0 {
		s.idle[0].close()
	}
	for len(s.waiting) > 0 {
		f.drop(s.waiting[0], decide.NotSent)
	}
	f.lose(id)
}

// Forget is core.Servers'.
func (f *Front) Forget(id string) {
	if s := f.stores[id]; s != nil {
		f.CloseIdle(id)
		s.addr = ""
		delete(f.stores, id)
	}
}

// Retain is core.Servers'.
func (f *Front) Retain(ids map[string]bool) {
	for id := range f.stores {
		if !ids[id] {
			f.Forget(id)
		}
	}
}
