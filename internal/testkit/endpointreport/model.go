// Package endpointreport reads from records what each source of the endpoint list reported of each server, what the servers reported
// of themselves, and what was decided.
package endpointreport

import (
	"cmp"
	"slices"
	"strings"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/testkit/records"
)

// SourceReport is the last report of a source on a server.
type SourceReport struct {
	Source      string  `json:"source"`
	AtMs        float64 `json:"at_ms"`
	Removed     bool    `json:"gone,omitempty"`
	Address     string  `json:"address,omitempty"`
	Group       int64   `json:"group"`
	Health      string  `json:"health,omitempty"`
	Role        string  `json:"role,omitempty"`
	StartedAtMs float64 `json:"started_ms,omitempty"`
	Count       int     `json:"times"` // new reports
}

// SelfReport is the last report of a server on itself.
type SelfReport struct {
	AtMs       float64 `json:"at_ms"`
	Role       string  `json:"role,omitempty"`
	PositionMs float64 `json:"position_ms,omitempty"`
}

// Entry is the entry of a server in the endpoint list.
type Entry struct {
	AtMs    float64 `json:"at_ms"`
	State   string  `json:"state"`
	Primary bool    `json:"primary"`
	Address string  `json:"address,omitempty"`
}

// Decision is a decision with its reason.
type Decision struct {
	At     float64 `json:"at_ms"`
	Pooler string  `json:"pooler"`
	Server string  `json:"server,omitempty"`
	Group  int64   `json:"group"`
	Source string  `json:"source,omitempty"`
	Kind   string  `json:"what"`
	Reason string  `json:"why"`
}

// Server is one server as one pooler observed it.
type Server struct {
	Pooler     string          `json:"pooler"`
	Name       string          `json:"server"`
	Group      int64           `json:"group"`
	Reports    []*SourceReport `json:"words"`
	SelfReport *SelfReport     `json:"own,omitempty"`
	Entry      *Entry          `json:"entry,omitempty"`

	DecisionCount int     `json:"judgements"`
	DeniedMs      float64 `json:"denied_ms"` // time for which a source and the server reported different roles
	deniedAt      float64
}

// View is the content of the records.
type View struct {
	Servers          []*Server      `json:"servers"`
	Decisions        []Decision     `json:"judgements"`
	Counts           map[string]int `json:"counts"` // of decisions, by their kinds
	OmittedDecisions int            `json:"judgements_left_out"`
	ToMs             float64        `json:"to_ms"`
}

// Bounds of a view, for any size of the records.
const (
	maxDecisions = 5000
	maxServers   = 50000
)

// Model reads records; it is a records.Sink.
type Model struct {
	onlyServer string // empty for all
	servers    map[key]*Server
	view       View
}

type key struct{ pooler, server string }

// New returns a model. If server is not empty, the view is limited to that server.
func New(server string) *Model {
	return &Model{onlyServer: server, servers: map[key]*Server{}, view: View{Counts: map[string]int{}}}
}

// Begin ignores the beginnings of runs.
func (m *Model) Begin(*records.Run) {}

// End ignores the ends of runs.
func (m *Model) End(*records.Run, bool) {}

// Fault ignores faults of the records.
func (m *Model) Fault(records.Fault) {}

// server returns the state of a server as a pooler observed it. With maxServers states stored, further ones are not stored.
func (m *Model) server(run *records.Run, name string) *Server {
	id := key{run.Pooler, name}
	server := m.servers[id]
	if server == nil {
		server = &Server{Pooler: run.Pooler, Name: name}
		if len(m.servers) < maxServers {
			m.servers[id] = server
		}
	}
	return server
}

// Names of the numeric values in records.
var (
	healthNames = [...]string{"passing", "warning", "critical", "maintenance"}
	roleNames   = [...]string{"", "primary", "replica"}
	stateNames  = [...]string{"serving", "draining", "gone"}
)

func roleName(role uint8) string { return roleNames[min(int(role), len(roleNames)-1)] }

// Event reads one event.
func (m *Model) Event(r *records.Run, event *record.Event) {
	m.view.ToMs = max(m.view.ToMs, event.At)
	switch event.Kind {
	case recordpb.Kind_KIND_SAID:
		m.readSourceReport(r, event)
	case recordpb.Kind_KIND_ENTRY:
		server := m.server(r, event.Server)
		state := stateNames[min(int(event.State), len(stateNames)-1)]
		server.Entry = &Entry{AtMs: event.At, State: state, Primary: event.Primary, Address: event.Text}
		server.Group = event.Group
	case recordpb.Kind_KIND_ATTEMPT, recordpb.Kind_KIND_PROBE:
		if event.Role == 0 || event.Server == "" {
			return
		}
		server := m.server(r, event.Server)
		server.SelfReport = &SelfReport{AtMs: event.At, Role: roleName(event.Role), PositionMs: event.Position}
		server.trackDenial(event.At)
	case recordpb.Kind_KIND_JUDGED:
		m.readDecision(r, event)
	}
}

func (m *Model) readSourceReport(r *records.Run, event *record.Event) {
	server := m.server(r, event.Server)
	report := server.report(event.Source)
	report.AtMs = event.At
	report.Removed = event.State == stateRemoved
	report.Count++
	if !report.Removed {
		report.Address = event.Text
		report.Group = event.Group
		report.Health = healthNames[min(int(event.Health), len(healthNames)-1)]
		report.Role = roleName(event.Role)
		report.StartedAtMs = float64(event.Number)
		server.Group = event.Group
	}
	server.trackDenial(event.At)
}

func (m *Model) readDecision(r *records.Run, event *record.Event) {
	kind, reason, _ := strings.Cut(event.Text, ": ")
	if event.Server != "" {
		m.server(r, event.Server).DecisionCount++
	}
	if m.onlyServer != "" && event.Server != m.onlyServer {
		return
	}
	m.view.Counts[kind]++
	if len(m.view.Decisions) == maxDecisions {
		m.view.OmittedDecisions++
		return
	}
	m.view.Decisions = append(m.view.Decisions, Decision{
		At:     event.At,
		Pooler: r.Pooler,
		Server: event.Server,
		Group:  event.Group,
		Source: event.Source,
		Kind:   kind,
		Reason: reason,
	})
}

const stateRemoved = 2 // value in the schema of the records, see stateNames

// report returns the state of a source's reports on a server.
func (s *Server) report(source string) *SourceReport {
	for _, report := range s.Reports {
		if report.Source == source {
			return report
		}
	}
	report := &SourceReport{Source: source}
	s.Reports = append(s.Reports, report)
	slices.SortFunc(s.Reports, func(a, b *SourceReport) int { return cmp.Compare(a.Source, b.Source) })
	return report
}

// trackDenial measures for how long a source and the server have reported different roles.
func (s *Server) trackDenial(now float64) {
	denied := s.isDenied()
	switch {
	case denied && s.deniedAt == 0:
		s.deniedAt = now
	case !denied && s.deniedAt != 0:
		s.DeniedMs += now - s.deniedAt
		s.deniedAt = 0
	}
}

// isDenied reports whether a source and the server report different roles.
func (s *Server) isDenied() bool {
	if s.SelfReport == nil {
		return false
	}
	return slices.ContainsFunc(s.Reports, func(report *SourceReport) bool {
		return !report.Removed && report.Role != "" && report.Role != s.SelfReport.Role
	})
}

// View returns the content of the records read so far.
func (m *Model) View() *View {
	view := m.view
	for _, server := range m.servers {
		if m.onlyServer != "" && server.Name != m.onlyServer {
			continue
		}
		copied := *server
		if copied.deniedAt != 0 {
			copied.DeniedMs += view.ToMs - copied.deniedAt
		}
		view.Servers = append(view.Servers, &copied)
	}
	slices.SortFunc(view.Servers, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.Pooler, b.Pooler), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Name, b.Name))
	})
	return &view
}
