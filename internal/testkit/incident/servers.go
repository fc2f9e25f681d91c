package incident

import (
	"fmt"
	"math"

	"beechgrade/internal/decide"
	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

// Flags of a server in a stretch of time.
const (
	FlagPrimary = 1 << iota
	FlagReplica
	FlagDraining
	FlagBroken // connections were refused or broke
	FlagSilent // requests ran out without an answer
	FlagCold
	FlagGone
)

// server is what the records tell of one.
type server struct {
	ServerView
	group    *group
	role     decide.Role
	roleAt   float64
	probes   uint64
	started  float64 // as the list has it
	draining bool
	gone     bool
	cold     float64 // until then

	brokeAt  float64 // first of an unbroken run of refused or broken connections, 0 for none
	broke    int
	mute     int     // attempts in a row that ran out
	muteFrom float64 // start of the earliest
	muteTo   float64 // end of the latest
	silent   bool
	back     *Return // of which its position is still to be told

	cells []serverCell
}

type serverCell struct {
	ok, bad uint32
	lag     float32 // largest told, ms
	flags   uint8
}

func (m *Model) server(name string) *server {
	s := m.servers[name]
	if s == nil {
		s = &server{ServerView: ServerView{Name: name, Results: map[string]uint64{}, Group: -1}}
		m.servers[name] = s
	}
	return s
}

// at is the server's cell of a time, with its present state in it.
func (s *server) at(m *Model, at float64) *serverCell {
	i := m.index(at)
	for len(s.cells) <= i {
		s.cells = append(s.cells, serverCell{flags: s.flags(m.from + float64(len(s.cells))*m.width)})
	}
	c := &s.cells[i]
	c.flags |= s.flags(at)
	return c
}

func (s *server) flags(at float64) (f uint8) {
	switch s.role {
	case decide.RolePrimary:
		f = FlagPrimary
	case decide.RoleReplica:
		f = FlagReplica
	}
	set := func(on bool, flag uint8) {
		if on {
			f |= flag
		}
	}
	set(s.draining, FlagDraining)
	set(s.broke >= silentTries, FlagBroken)
	set(s.silent, FlagSilent)
	set(at < s.cold, FlagCold)
	set(s.gone, FlagGone)
	return f
}

// settle carries the server's state on to the present.
func (s *server) settle(m *Model) { s.at(m, m.to) }

func (s *server) widen() {
	n := (len(s.cells) + 1) / 2
	for i := range n {
		a := s.cells[2*i]
		if 2*i+1 < len(s.cells) {
			b := s.cells[2*i+1]
			a.ok, a.bad, a.flags, a.lag = a.ok+b.ok, a.bad+b.bad, a.flags|b.flags, max(a.lag, b.lag)
		}
		s.cells[i] = a
	}
	s.cells = s.cells[:n]
}

// heard takes what an attempt or a probe told of a server.
func (m *Model) heard(x *run, s *server, e *record.Event) {
	if e.Result == uint8(decide.NotSent) {
		return
	}
	if s.group == nil && e.Request != 0 {
		s.group, s.Group = m.group(e.Group), e.Group
		s.group.servers = append(s.group.servers, s)
	}
	s.Results[record.ResultName(uint32(e.Result))]++
	cell := s.at(m, e.At)
	from := e.At - e.DurationMs
	switch decide.Result(e.Result) {
	case decide.Unreachable, decide.Reset:
		cell.bad++
		if s.broke++; s.brokeAt == 0 {
			s.brokeAt = e.At
		}
	case decide.TimedOut, decide.Cancelled:
		cell.bad++
		s.ran(m, from, e.At)
	default:
		cell.ok++
		s.answered(m, x, e, from)
	}
	if e.Position != 0 {
		s.placed(m, x, e, cell)
	}
	told := e.At
	if e.Kind == recordpb.Kind_KIND_PROBE {
		told -= reportMs
	}
	if r := decide.Role(e.Role); r != decide.RoleUnknown && told >= s.roleAt {
		if r != s.role && s.role != decide.RoleUnknown {
			m.find(Finding{At: e.At, Kind: "role", Server: s.Name, Group: s.Group, Pooler: x.Pooler, Text: "answers as " + roleName(r) + " now"})
		}
		if r == decide.RolePrimary && s.role != r {
			s.Primary = append(s.Primary, Stretch{From: e.At})
			s.Primary = s.Primary[max(0, len(s.Primary)-maxSpans):]
		}
		if r != decide.RolePrimary && s.role == decide.RolePrimary && len(s.Primary) > 0 {
			s.Primary[len(s.Primary)-1].To = e.At
		}
		s.role, s.roleAt = r, told
		s.Role = roleName(r)
		cell.flags |= s.flags(e.At)
	}
}

// ran counts an attempt that a server let run out.
func (s *server) ran(m *Model, from, at float64) {
	if s.mute++; s.mute == 1 {
		s.muteFrom = from
	}
	s.muteFrom, s.muteTo = min(s.muteFrom, from), max(s.muteTo, at)
	if s.mute >= silentTries && s.muteTo-s.muteFrom >= silentMs && !s.silent {
		s.silent = true
		for i := m.index(s.muteFrom); i < len(s.cells); i++ {
			s.cells[i].flags |= FlagSilent
		}
	}
}

// answered ends what was thought of a server that gave no answers.
func (s *server) answered(m *Model, x *run, e *record.Event, from float64) {
	if s.silent && from > s.muteFrom {
		span := Stretch{From: s.muteFrom, To: e.At}
		if len(s.Silent) < maxSpans {
			s.Silent = append(s.Silent, span)
		}
		m.find(Finding{At: span.From, To: span.To, Kind: "silent", Server: s.Name, Group: s.Group, Grave: true,
			Text: fmt.Sprintf("took requests and answered none for %s (%d ran out)", Span(span.To-span.From), s.mute)})
	}
	if from >= s.muteFrom {
		s.mute, s.silent = 0, false
	}
	if s.brokeAt == 0 || from < s.brokeAt {
		return
	}
	if span := (Stretch{From: s.brokeAt, To: e.At}); s.broke >= silentTries && span.To-span.From >= silentMs {
		r := Return{Stretch: span, Server: s.Name, BehindMs: -1}
		if s.started > s.brokeAt-firstCellMs {
			r.StartedMs = s.started
			s.warm(x, s.started)
		}
		s.Returns = append(s.Returns, r)
		s.Returns = s.Returns[max(0, len(s.Returns)-maxSpans):]
		s.back = &s.Returns[len(s.Returns)-1]
		m.find(Finding{At: span.From, To: span.To, Kind: "down", Server: s.Name, Group: s.Group, Grave: true,
			Text: fmt.Sprintf("could not be reached for %s (%d tries)", Span(span.To-span.From), s.broke)})
	}
	s.brokeAt, s.broke = 0, 0
}

// warm has the server count as cold from its start on.
func (s *server) warm(x *run, started float64) {
	s.started = started
	s.cold = max(s.cold, started+float64(x.Header.ColdUs)/1000)
}

// placed takes a position that was told.
func (s *server) placed(m *Model, x *run, e *record.Event, cell *serverCell) {
	behind := e.At - e.Position
	if decide.Role(e.Role) == decide.RolePrimary {
		p := x.pooler
		p.least, p.told = min(p.least, behind), true
		behind = max(0, behind)
	}
	cell.lag = max(cell.lag, float32(behind))
	if behind > s.MostBehindMs {
		s.MostBehindMs, s.MostBehindAt = behind, e.At
	}
	s.Position, s.PositionAt = max(s.Position, e.Position), e.At
	if b := s.back; b != nil {
		b.BehindMs, s.back = math.Max(0, behind), nil
		text := fmt.Sprintf("was back after %s, %s behind", Span(b.To-b.From), Span(b.BehindMs))
		if b.StartedMs != 0 {
			text += ", started anew and cold"
		}
		m.find(Finding{At: b.To, Kind: "return", Server: s.Name, Group: s.Group, Text: text, Grave: b.BehindMs > staleAheadMs})
	}
}

func roleName(r decide.Role) string {
	switch r {
	case decide.RolePrimary:
		return "primary"
	case decide.RoleReplica:
		return "replica"
	}
	return ""
}

// onEntry takes an entry of a pooler's list.
func (m *Model) onEntry(x *run, e *record.Event) {
	s := m.server(e.Server)
	if s.group == nil {
		s.group, s.Group = m.group(e.Group), e.Group
		s.group.servers = append(s.group.servers, s)
	}
	if e.Text != "" {
		s.Address = e.Text
	}
	l := x.entries[e.Server]
	if l == nil {
		l = &listed{}
		x.entries[e.Server] = l
	}
	was := *l
	if l.primary = e.Primary; l.primary && !was.primary {
		l.primaryAt = e.At
		s.group.named(x, s, e.At)
	}
	started := float64(e.Number)
	if !e.Restated && started > s.started {
		if s.started != 0 || started > m.from-firstCellMs {
			m.find(Finding{At: started, Kind: "start of server", Server: s.Name, Group: s.Group, Pooler: x.Pooler,
				Text: fmt.Sprintf("started anew, heard of %s later", Span(max(0, e.At-started)))})
		}
		s.warm(x, started)
		if n := len(s.Returns); n > 0 && s.Returns[n-1].From <= started+firstCellMs {
			s.Returns[n-1].StartedMs = started
		}
	}
	s.started = max(s.started, started)
	switch decide.ServerState(e.State) {
	case decide.Draining:
		if l.draining == 0 {
			l.draining = e.At
			if e.Restated {
				l.draining = math.Inf(1) // heard before what is here: from when on is not known
			}
		}
		if !s.draining {
			s.draining = true
			s.Drains = append(s.Drains, Stretch{From: e.At})
			s.Drains = s.Drains[max(0, len(s.Drains)-maxSpans):]
			m.find(Finding{At: e.At, Kind: "drain", Server: s.Name, Group: s.Group, Pooler: x.Pooler, Text: "drains, as the list has it"})
		}
	case decide.Removed:
		delete(x.entries, e.Server)
		if !s.gone {
			m.find(Finding{At: e.At, Kind: "gone", Server: s.Name, Group: s.Group, Pooler: x.Pooler, Text: "has left the list"})
		}
		s.gone = true
		s.undrain(e.At)
	default:
		l.draining = 0
		s.gone = false
		s.undrain(e.At)
	}
	s.at(m, e.At)
}

func (s *server) undrain(at float64) {
	if s.draining {
		s.draining = false
		s.Drains[len(s.Drains)-1].To = at
	}
}

// checkDrain holds a send to the grace that was left when the pooler had heard of a drain.
func (m *Model) checkDrain(x *run, s *server, e *record.Event) {
	l := x.entries[s.Name]
	if l == nil || l.draining == 0 || x.Header.GraceUs == 0 {
		return
	}
	switch decide.Result(e.Result) {
	case decide.NotSent, decide.Unreachable:
		return
	}
	if over := e.At - e.DurationMs - l.draining - float64(x.Header.GraceUs)/1000; over > 0 {
		m.find(Finding{At: e.At - e.DurationMs, Kind: "sent after drain", Server: s.Name, Group: s.Group, Pooler: x.Pooler, Grave: true,
			Text: fmt.Sprintf("an attempt began %s after the grace had passed", Span(over))})
	}
}
