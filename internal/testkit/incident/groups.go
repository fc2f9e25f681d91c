package incident

import (
	"fmt"

	"beechgrade/internal/decide"
	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

// group is what the records tell of a primary and its replicas.
type group struct {
	id      int64
	servers []*server
	asked   uint64 // writes
	last    string // server that served the last write...
	lastAt  float64
	bad     int     // writes since then that were not served
	badAt   float64 // the first of them
	gaps    []*gap
	more    int // gaps beyond the bound
}

// gap is a time in which a group served no write.
type gap struct {
	Gap
	right map[string]float64 // by pooler: when its list named the new primary
}

func (m *Model) group(id int64) *group {
	g := m.groups[id]
	if g == nil {
		g = &group{id: id}
		m.groups[id] = g
	}
	return g
}

// onWrite takes a write's attempt that ended.
func (g *group) onWrite(m *Model, s *server, e *record.Event) {
	if e.Result != uint8(decide.OK) {
		if e.Result != uint8(decide.NotSent) && e.Result != uint8(decide.Cancelled) {
			g.refused(e.At)
		}
		return
	}
	if e.At < g.lastAt {
		return // another pooler's clock, or a part that overlaps
	}
	long := e.At - g.lastAt
	switch other := s.Name != g.last; {
	case g.last == "" || g.bad == 0:
	case other && long >= gapMs, long >= stillMs:
		g.close(m, s, e.At)
	}
	g.last, g.lastAt, g.bad = s.Name, e.At, 0
}

// refused counts a write that was not served.
func (g *group) refused(at float64) {
	if g.bad++; g.bad == 1 {
		g.badAt = at
	}
}

func (g *group) close(m *Model, s *server, at float64) {
	x := &gap{Gap: Gap{Group: g.id, From: g.lastAt, To: at, FirstFailed: g.badAt, Old: g.last, New: s.Name, Unserved: g.bad, ListWrongMs: -1},
		right: map[string]float64{}}
	for _, r := range m.runs {
		if l := r.entries[s.Name]; l != nil && l.primary {
			x.right[r.Pooler] = l.primaryAt
		}
	}
	if len(g.gaps) == maxSpans {
		g.gaps = g.gaps[1:]
		g.more++
	}
	g.gaps = append(g.gaps, x)
	kind, text := "takeover", fmt.Sprintf("no write was served for %s: %s before, %s after", Span(at-x.From), x.Old, x.New)
	if x.Old == x.New {
		kind, text = "interruption", fmt.Sprintf("no write was served for %s, then by %s as before", Span(at-x.From), x.New)
	}
	m.find(Finding{At: x.From, To: at, Kind: kind, Group: g.id, Server: x.New, Grave: true, Text: text})
}

// named notes that a pooler's list has a primary of this name.
func (g *group) named(x *run, s *server, at float64) {
	for _, p := range g.gaps {
		if _, ok := p.right[x.Pooler]; !ok && p.New == s.Name && at >= p.From {
			p.right[x.Pooler] = at
		}
	}
}

// during tells whether a stretch meets a time in which the group served no write, one that goes on included.
func (g *group) during(from, to float64) bool {
	for _, p := range g.gaps {
		if from <= p.To && to >= p.From {
			return true
		}
	}
	return g.bad > 0 && to-g.lastAt >= gapMs && to >= g.badAt && g.last != ""
}

// lose books lost worth to the gaps that it falls into.
func (g *group) lose(from, to, worth float64) {
	for _, p := range g.gaps {
		if from <= p.To && to >= p.From {
			p.Lost += worth
			return
		}
	}
}

// cause says why a chain was not served, or not in time, as far as the records show it.
func (g *group) cause(ch *chain, end float64) string {
	primary := ch.class.Read == "write" || ch.class.Read == "fresh"
	cold, silent := false, false
	for _, s := range g.servers {
		cold = cold || s.cold > ch.first && s.started < end
		silent = silent || s.silent && s.muteFrom < end
		for _, p := range s.Silent {
			silent = silent || p.From < end && p.To > ch.first
		}
	}
	switch {
	case ch.lost:
		return CausePooler
	case primary && g.during(ch.first, end):
		return CauseNoPrimary
	case ch.final == recordpb.Final_FINAL_GONE && ch.mask == 0:
		return CauseClient
	case ch.mask&bitTimedOut != 0 || ch.mask&bitCalled != 0 && silent:
		return CauseSilent
	case ch.mask&(bitReset|bitUnreach) != 0:
		return CauseLostConn
	case ch.mask&bitFailed != 0:
		return CauseError
	case ch.mask&bitFull != 0:
		return CauseFull
	case ch.final == recordpb.Final_FINAL_REFUSED && ch.mask == 0 && !primary && g.during(ch.first, end):
		return CauseFewer // its reads crowd what is left of the group
	case cold && (ch.final == recordpb.Final_FINAL_REFUSED || ch.final == recordpb.Final_FINAL_SERVED):
		return CauseCold
	case ch.final == recordpb.Final_FINAL_REFUSED && ch.mask == 0:
		return CauseRefused
	case ch.mask&bitMissed != 0:
		return CauseMissed
	case ch.final == recordpb.Final_FINAL_SERVED:
		return CauseLate
	case ch.final == recordpb.Final_FINAL_GONE:
		return CauseClient
	}
	return CauseUnknown
}

// Causes of lost worth.
const (
	CausePooler    = "the pooler ended with the request open"
	CauseNoPrimary = "no primary: a takeover or an interruption"
	CauseSilent    = "a server gave no answer"
	CauseLostConn  = "a connection was refused or broke"
	CauseError     = "a server answered with an error"
	CauseFull      = "servers turned it away"
	CauseFewer     = "reads refused while the group changed its primary"
	CauseCold      = "servers were cold"
	CauseRefused   = "the pooler refused it: no room in time"
	CauseMissed    = "no server was fit: not the primary, or too far behind"
	CauseLate      = "answered late"
	CauseClient    = "the client left"
	CauseUnknown   = "unknown"
)
