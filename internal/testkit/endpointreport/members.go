// Package endpointreport tells from records what each source of the server list said of each server, what the server said of itself,
// and what was made of that.
package endpointreport

import (
	"cmp"
	"slices"
	"strings"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/testkit/records"
)

// Word is what a source said of a server last.
type Word struct {
	Source  string  `json:"source"`
	At      float64 `json:"at_ms"`
	Gone    bool    `json:"gone,omitempty"`
	Address string  `json:"address,omitempty"`
	Group   int64   `json:"group"`
	Health  string  `json:"health,omitempty"`
	Role    string  `json:"role,omitempty"`
	Started float64 `json:"started_ms,omitempty"`
	Times   int     `json:"times"` // it said something new
}

// Own is what a server said of itself last.
type Own struct {
	At       float64 `json:"at_ms"`
	Role     string  `json:"role,omitempty"`
	Position float64 `json:"position_ms,omitempty"`
}

// Entry is what the list has.
type Entry struct {
	At      float64 `json:"at_ms"`
	State   string  `json:"state"`
	Primary bool    `json:"primary"`
	Address string  `json:"address,omitempty"`
}

// Judgement is a decision with its reason.
type Judgement struct {
	At     float64 `json:"at_ms"`
	Pooler string  `json:"pooler"`
	Server string  `json:"server,omitempty"`
	Group  int64   `json:"group"`
	Source string  `json:"source,omitempty"`
	What   string  `json:"what"`
	Why    string  `json:"why"`
}

// Server is one server as one pooler had it.
type Server struct {
	Pooler string  `json:"pooler"`
	Name   string  `json:"server"`
	Group  int64   `json:"group"`
	Words  []*Word `json:"words"`
	Own    *Own    `json:"own,omitempty"`
	Entry  *Entry  `json:"entry,omitempty"`

	Judgements int     `json:"judgements"`
	Denied     float64 `json:"denied_ms"` // for so long a source called it the primary and it said otherwise, or the other way round
	deniedAt   float64
}

// View is what the records tell.
type View struct {
	Servers    []*Server      `json:"servers"`
	Judgements []Judgement    `json:"judgements"`
	Counts     map[string]int `json:"counts"` // of judgements, by what they are about
	Left       int            `json:"judgements_left_out"`
	To         float64        `json:"to_ms"`
}

// Bounds on what is kept, whatever the records hold.
const (
	maxJudgements = 5000
	maxServers    = 50000
)

// Model takes records in; it is records.Sink.
type Model struct {
	only    string // of one server
	servers map[key]*Server
	view    View
}

type key struct{ pooler, server string }

// New makes a model; where server is not empty, judgements are of that alone.
func New(server string) *Model {
	return &Model{only: server, servers: map[key]*Server{}, view: View{Counts: map[string]int{}}}
}

// Begin is records.Sink's.
func (m *Model) Begin(*records.Run) {}

// End is records.Sink's.
func (m *Model) End(*records.Run, bool) {}

// Fault is records.Sink's.
func (m *Model) Fault(records.Fault) {}

func (m *Model) server(r *records.Run, name string) *Server {
	k := key{r.Pooler, name}
	s := m.servers[k]
	if s == nil {
		s = &Server{Pooler: r.Pooler, Name: name}
		if len(m.servers) < maxServers {
			m.servers[k] = s
		}
	}
	return s
}

var healths = []string{"passing", "warning", "critical", "maintenance"}

func roleName(r uint8) string {
	return [...]string{"", "primary", "replica"}[min(r, 2)]
}

// Event is records.Sink's.
func (m *Model) Event(r *records.Run, e *record.Event) {
	m.view.To = max(m.view.To, e.At)
	switch e.Kind {
	case recordpb.Kind_KIND_SAID:
		s := m.server(r, e.Server)
		w := s.word(e.Source)
		w.At, w.Gone = e.At, e.State == stateGone
		w.Times++
		if !w.Gone {
			w.Address, w.Group, w.Health, w.Role, w.Started = e.Text, e.Group, healths[min(int(e.Health), 3)], roleName(e.Role), float64(e.Number)
			s.Group = e.Group
		}
		s.differ(e.At)
	case recordpb.Kind_KIND_ENTRY:
		s := m.server(r, e.Server)
		s.Entry = &Entry{At: e.At, State: [...]string{"serving", "draining", "gone"}[min(e.State, 2)], Primary: e.Primary, Address: e.Text}
		s.Group = e.Group
	case recordpb.Kind_KIND_ATTEMPT, recordpb.Kind_KIND_PROBE:
		if e.Role == 0 || e.Server == "" {
			return
		}
		s := m.server(r, e.Server)
		s.Own = &Own{At: e.At, Role: roleName(e.Role), Position: e.Position}
		s.differ(e.At)
	case recordpb.Kind_KIND_JUDGED:
		what, why, _ := strings.Cut(e.Text, ": ")
		if e.Server != "" {
			m.server(r, e.Server).Judgements++
		}
		if m.only != "" && e.Server != m.only {
			return
		}
		m.view.Counts[what]++
		if len(m.view.Judgements) == maxJudgements {
			m.view.Left++
			return
		}
		m.view.Judgements = append(m.view.Judgements, Judgement{e.At, r.Pooler, e.Server, e.Group, e.Source, what, why})
	}
}

const stateGone = 2

func (s *Server) word(source string) *Word {
	for _, w := range s.Words {
		if w.Source == source {
			return w
		}
	}
	w := &Word{Source: source}
	s.Words = append(s.Words, w)
	slices.SortFunc(s.Words, func(a, b *Word) int { return cmp.Compare(a.Source, b.Source) })
	return w
}

// differ measures for how long a source's word on the role stood against the server's own.
func (s *Server) differ(now float64) {
	against := false
	for _, w := range s.Words {
		against = against || s.Own != nil && !w.Gone && w.Role != "" && w.Role != s.Own.Role
	}
	switch {
	case against && s.deniedAt == 0:
		s.deniedAt = now
	case !against && s.deniedAt != 0:
		s.Denied += now - s.deniedAt
		s.deniedAt = 0
	}
}

// View is what the records told.
func (m *Model) View() *View {
	v := m.view
	for _, s := range m.servers {
		if m.only != "" && s.Name != m.only {
			continue
		}
		x := *s
		if x.deniedAt != 0 {
			x.Denied += v.To - x.deniedAt
		}
		v.Servers = append(v.Servers, &x)
	}
	slices.SortFunc(v.Servers, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.Pooler, b.Pooler), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Name, b.Name))
	})
	return &v
}
