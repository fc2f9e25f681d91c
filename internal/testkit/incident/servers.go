package incident

import (
	"fmt"
	"math"

	"beechgrade/internal/decide"
	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

// Flags are the states that a server was in during a cell of time.
const (
	FlagPrimary = 1 << iota
	FlagReplica
	FlagDraining
	FlagBroken       // connections were refused or reset
	FlagUnresponsive // attempts timed out
	FlagWarmingUp
	FlagRemoved
)

// server is the state of a server, as the poolers observed it.
type server struct {
	ServerView
	group        *group
	role         decide.Role // as it reported last
	roleAt       float64     // time of that report
	probes       uint64
	started      float64 // by the endpoint list, Unix ms
	draining     bool
	removed      bool
	warmingUntil float64 // end of its warm-up, Unix ms

	firstConnectFailureAt float64 // time of the first of connectFailures, 0 for none
	connectFailures       int
	timeoutsInRow         int     // consecutive attempts that timed out, without an answer in between
	firstTimeoutFrom      float64 // start of the earliest of these
	lastTimeoutAt         float64 // end of the latest
	unresponsive          bool
	pendingReturn         *Return // a return whose position is not known yet

	cells []serverCell
}

// serverCell is a server during a cell of time.
type serverCell struct {
	ok, failed uint32
	lag        float32 // largest distance of its position, ms
	flags      uint8
}

// server returns the server of a name, and adds it where it is new.
func (m *Model) server(name string) *server {
	s := m.servers[name]
	if s == nil {
		s = &server{ServerView: ServerView{Name: name, Results: map[string]uint64{}, Group: -1}}
		m.servers[name] = s
	}
	return s
}

// cellAt returns the cell of a time, with the server's present state added to its flags. Cells that were skipped get that state
// too.
func (s *server) cellAt(m *Model, at float64) *serverCell {
	i := m.index(at)
	for len(s.cells) <= i {
		s.cells = append(s.cells, serverCell{flags: s.flags(m.from + float64(len(s.cells))*m.width)})
	}
	c := &s.cells[i]
	c.flags |= s.flags(at)
	return c
}

// flags returns the states that the server is in at a time.
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
	set(s.connectFailures >= unresponsiveAttempts, FlagBroken)
	set(s.unresponsive, FlagUnresponsive)
	set(at < s.warmingUntil, FlagWarmingUp)
	set(s.removed, FlagRemoved)
	return f
}

// extendToPresent adds cells with the present state up to the latest event.
func (s *server) extendToPresent(m *Model) { s.cellAt(m, m.to) }

// widen merges the cells in pairs.
func (s *server) widen() {
	n := (len(s.cells) + 1) / 2
	for i := range n {
		a := s.cells[2*i]
		if 2*i+1 < len(s.cells) {
			b := s.cells[2*i+1]
			a.ok, a.failed, a.flags, a.lag = a.ok+b.ok, a.failed+b.failed, a.flags|b.flags, max(a.lag, b.lag)
		}
		s.cells[i] = a
	}
	s.cells = s.cells[:n]
}

// observeServer takes the result of an attempt or a health check.
func (m *Model) observeServer(run *poolerRun, s *server, e *record.Event) {
	if e.Result == uint8(decide.NotSent) {
		return
	}
	if s.group == nil && e.Request != 0 {
		s.group, s.Group = m.group(e.Group), e.Group
		s.group.servers = append(s.group.servers, s)
	}
	s.Results[record.ResultName(uint32(e.Result))]++
	cell := s.cellAt(m, e.At)
	from := e.At - e.DurationMs
	switch decide.Result(e.Result) {
	case decide.Unreachable, decide.Reset:
		cell.failed++
		if s.connectFailures++; s.firstConnectFailureAt == 0 {
			s.firstConnectFailureAt = e.At
		}
	case decide.TimedOut, decide.Cancelled:
		cell.failed++
		s.onTimeout(m, from, e.At)
	default:
		cell.ok++
		s.onAnswer(m, run, e, from)
	}
	if e.Position != 0 {
		s.onPosition(m, run, e, cell)
	}
	reportedAt := e.At
	if e.Kind == recordpb.Kind_KIND_PROBE {
		reportedAt -= reportMs
	}
	if r := decide.Role(e.Role); r != decide.RoleUnknown && reportedAt >= s.roleAt {
		m.onRole(run, s, r, e.At)
		s.roleAt = reportedAt
		cell.flags |= s.flags(e.At)
	}
}

// onRole takes the role that a server reports, and reports a change.
func (m *Model) onRole(run *poolerRun, s *server, role decide.Role, at float64) {
	if role != s.role && s.role != decide.RoleUnknown {
		m.addFinding(Finding{At: at, Kind: "role", Server: s.Name, Group: s.Group, Pooler: run.Pooler, Text: "answers as " + roleName(role) + " now"})
	}
	if role == decide.RolePrimary && s.role != role {
		s.Primary = append(s.Primary, TimeSpan{From: at})
		s.Primary = s.Primary[max(0, len(s.Primary)-maxSpans):]
	}
	if role != decide.RolePrimary && s.role == decide.RolePrimary && len(s.Primary) > 0 {
		s.Primary[len(s.Primary)-1].To = at
	}
	s.role = role
	s.Role = roleName(role)
}

// onTimeout counts an attempt that the server did not answer. After unresponsiveAttempts in a row over at least unresponsiveMs the
// server counts as unresponsive, from the first of them on.
func (s *server) onTimeout(m *Model, from, at float64) {
	if s.timeoutsInRow++; s.timeoutsInRow == 1 {
		s.firstTimeoutFrom = from
	}
	s.firstTimeoutFrom, s.lastTimeoutAt = min(s.firstTimeoutFrom, from), max(s.lastTimeoutAt, at)
	if s.timeoutsInRow >= unresponsiveAttempts && s.lastTimeoutAt-s.firstTimeoutFrom >= unresponsiveMs && !s.unresponsive {
		s.unresponsive = true
		for i := m.index(s.firstTimeoutFrom); i < len(s.cells); i++ {
			s.cells[i].flags |= FlagUnresponsive
		}
	}
}

// onAnswer takes an answer to an attempt that began at from, and ends spans in which the server was unresponsive or down.
func (s *server) onAnswer(m *Model, run *poolerRun, e *record.Event, from float64) {
	if s.unresponsive && from > s.firstTimeoutFrom {
		span := TimeSpan{From: s.firstTimeoutFrom, To: e.At}
		if len(s.Silent) < maxSpans {
			s.Silent = append(s.Silent, span)
		}
		m.addFinding(Finding{At: span.From, To: span.To, Kind: "silent", Server: s.Name, Group: s.Group, Grave: true,
			Text: fmt.Sprintf("took requests and answered none for %s (%d ran out)", Span(span.To-span.From), s.timeoutsInRow)})
	}
	if from >= s.firstTimeoutFrom {
		s.timeoutsInRow, s.unresponsive = 0, false
	}
	if s.firstConnectFailureAt == 0 || from < s.firstConnectFailureAt {
		return
	}
	if span := (TimeSpan{From: s.firstConnectFailureAt, To: e.At}); s.connectFailures >= unresponsiveAttempts && span.To-span.From >= unresponsiveMs {
		r := Return{TimeSpan: span, Server: s.Name, BehindMs: -1}
		if s.started > s.firstConnectFailureAt-firstCellMs {
			r.StartedMs = s.started
			s.markWarmingUp(run, s.started)
		}
		s.Returns = append(s.Returns, r)
		s.Returns = s.Returns[max(0, len(s.Returns)-maxSpans):]
		s.pendingReturn = &s.Returns[len(s.Returns)-1]
		m.addFinding(Finding{At: span.From, To: span.To, Kind: "down", Server: s.Name, Group: s.Group, Grave: true,
			Text: fmt.Sprintf("could not be reached for %s (%d tries)", Span(span.To-span.From), s.connectFailures)})
	}
	s.firstConnectFailureAt, s.connectFailures = 0, 0
}

// markWarmingUp takes a start of the server, after which it is warming up.
func (s *server) markWarmingUp(run *poolerRun, started float64) {
	s.started = started
	s.warmingUntil = max(s.warmingUntil, started+float64(run.Header.ColdUs)/1000)
}

// onPosition takes a reported position. The first one after a return shows how far behind the server came back.
func (s *server) onPosition(m *Model, run *poolerRun, e *record.Event, cell *serverCell) {
	behind := e.At - e.Position
	if decide.Role(e.Role) == decide.RolePrimary {
		p := run.pooler
		p.leastLagMs, p.hasPosition = min(p.leastLagMs, behind), true
		behind = max(0, behind)
	}
	cell.lag = max(cell.lag, float32(behind))
	if behind > s.MostBehindMs {
		s.MostBehindMs, s.MostBehindAt = behind, e.At
	}
	s.Position, s.PositionAt = max(s.Position, e.Position), e.At
	if b := s.pendingReturn; b != nil {
		b.BehindMs, s.pendingReturn = math.Max(0, behind), nil
		text := fmt.Sprintf("was back after %s, %s behind", Span(b.To-b.From), Span(b.BehindMs))
		if b.StartedMs != 0 {
			text += ", started anew and cold"
		}
		m.addFinding(Finding{At: b.To, Kind: "return", Server: s.Name, Group: s.Group, Text: text, Grave: b.BehindMs > staleAheadMs})
	}
}

// roleName returns the name of a role in reports, empty where the role is unknown.
func roleName(r decide.Role) string {
	switch r {
	case decide.RolePrimary:
		return "primary"
	case decide.RoleReplica:
		return "replica"
	}
	return ""
}

// onEntry takes an entry of a pooler's endpoint list.
func (m *Model) onEntry(run *poolerRun, e *record.Event) {
	server := m.server(e.Server)
	if server.group == nil {
		server.group, server.Group = m.group(e.Group), e.Group
		server.group.servers = append(server.group.servers, server)
	}
	if e.Text != "" {
		server.Address = e.Text
	}
	entry := run.entries[e.Server]
	if entry == nil {
		entry = &listEntry{}
		run.entries[e.Server] = entry
	}
	previous := *entry
	if entry.primary = e.Primary; entry.primary && !previous.primary {
		entry.primaryAt = e.At
		server.group.onPrimaryListed(run, server, e.At)
	}
	started := float64(e.Number)
	if !e.Restated && started > server.started {
		if server.started != 0 || started > m.from-firstCellMs {
			m.addFinding(Finding{At: started, Kind: "start of server", Server: server.Name, Group: server.Group, Pooler: run.Pooler,
				Text: fmt.Sprintf("started anew, heard of %s later", Span(max(0, e.At-started)))})
		}
		server.markWarmingUp(run, started)
		if n := len(server.Returns); n > 0 && server.Returns[n-1].From <= started+firstCellMs {
			server.Returns[n-1].StartedMs = started
		}
	}
	server.started = max(server.started, started)
	m.onListedState(run, server, entry, e)
	server.cellAt(m, e.At)
}

// onListedState takes the state of a server in a pooler's endpoint list, and reports drains and removals.
func (m *Model) onListedState(run *poolerRun, server *server, entry *listEntry, e *record.Event) {
	switch decide.ServerState(e.State) {
	case decide.Draining:
		if entry.drainingSinceMs == 0 {
			entry.drainingSinceMs = e.At
			if e.Restated {
				entry.drainingSinceMs = math.Inf(1) // learned before these records, at an unknown time
			}
		}
		if !server.draining {
			server.draining = true
			server.Drains = append(server.Drains, TimeSpan{From: e.At})
			server.Drains = server.Drains[max(0, len(server.Drains)-maxSpans):]
			m.addFinding(Finding{
				At:     e.At,
				Kind:   "drain",
				Server: server.Name,
				Group:  server.Group,
				Pooler: run.Pooler,
				Text:   "drains, as the list has it",
			})
		}
	case decide.Removed:
		delete(run.entries, e.Server)
		if !server.removed {
			m.addFinding(Finding{
				At:     e.At,
				Kind:   "gone",
				Server: server.Name,
				Group:  server.Group,
				Pooler: run.Pooler,
				Text:   "has left the list",
			})
		}
		server.removed = true
		server.endDraining(e.At)
	default:
		entry.drainingSinceMs = 0
		server.removed = false
		server.endDraining(e.At)
	}
}

// endDraining ends a drain, if there is one.
func (s *server) endDraining(at float64) {
	if s.draining {
		s.draining = false
		s.Drains[len(s.Drains)-1].To = at
	}
}

// checkDrain reports an attempt that began after the grace period of a drain that its pooler knew of.
func (m *Model) checkDrain(run *poolerRun, s *server, e *record.Event) {
	entry := run.entries[s.Name]
	if entry == nil || entry.drainingSinceMs == 0 || run.Header.GraceUs == 0 {
		return
	}
	switch decide.Result(e.Result) {
	case decide.NotSent, decide.Unreachable:
		return
	}
	if over := e.At - e.DurationMs - entry.drainingSinceMs - float64(run.Header.GraceUs)/1000; over > 0 {
		m.addFinding(Finding{
			At:     e.At - e.DurationMs,
			Kind:   "sent after drain",
			Server: s.Name,
			Group:  s.Group,
			Pooler: run.Pooler,
			Grave:  true,
			Text:   fmt.Sprintf("an attempt began %s after the grace had passed", Span(over)),
		})
	}
}
