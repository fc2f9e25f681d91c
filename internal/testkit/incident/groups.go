package incident

import (
	"fmt"

	"beechgrade/internal/decide"
	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

// group is a primary with its replicas.
type group struct {
	id              int64
	servers         []*server
	writes          uint64 // requests that write
	lastWriter      string // name of the server that served the last write
	lastWriteAt     float64
	unservedWrites  int     // since the last served write
	firstUnservedAt float64 // time of the first of them
	gaps            []*gap
	unlistedGaps    int // gaps beyond the bound
}

// gap is a time in which a group served no write although some were received.
type gap struct {
	Gap
	listedAt map[string]float64 // by pooler: when its endpoint list named the new primary
}

// group returns the group of an id, and adds it where it is new.
func (m *Model) group(id int64) *group {
	g := m.groups[id]
	if g == nil {
		g = &group{id: id}
		m.groups[id] = g
	}
	return g
}

// onWrite takes the end of a write attempt. The first served write after unserved ones may end a gap.
func (g *group) onWrite(m *Model, s *server, e *record.Event) {
	if e.Result != uint8(decide.OK) {
		if e.Result != uint8(decide.NotSent) && e.Result != uint8(decide.Cancelled) {
			g.onUnservedWrite(e.At)
		}
		return
	}
	if e.At < g.lastWriteAt {
		return // recorded by a pooler whose clock is behind
	}
	if g.endsGap(s, e.At) {
		g.closeGap(m, s, e.At)
	}
	g.lastWriter = s.Name
	g.lastWriteAt = e.At
	g.unservedWrites = 0
}

// endsGap reports whether a write that a server serves ends a takeover or an interruption.
func (g *group) endsGap(s *server, at float64) bool {
	if g.lastWriter == "" || g.unservedWrites == 0 {
		return false
	}
	if s.Name != g.lastWriter {
		return at-g.lastWriteAt >= takeoverMs
	}
	return at-g.lastWriteAt >= interruptionMs
}

// onUnservedWrite counts a write that was not served.
func (g *group) onUnservedWrite(at float64) {
	if g.unservedWrites++; g.unservedWrites == 1 {
		g.firstUnservedAt = at
	}
}

// closeGap reports a gap that ends with a write that server s served.
func (g *group) closeGap(m *Model, s *server, at float64) {
	x := &gap{Gap: Gap{
		Group:       g.id,
		From:        g.lastWriteAt,
		To:          at,
		FirstFailed: g.firstUnservedAt,
		Old:         g.lastWriter,
		New:         s.Name,
		Unserved:    g.unservedWrites,
		ListWrongMs: -1,
	},
		listedAt: map[string]float64{}}
	for _, r := range m.runs {
		if l := r.entries[s.Name]; l != nil && l.primary {
			x.listedAt[r.Pooler] = l.primaryAt
		}
	}
	if len(g.gaps) == maxSpans {
		g.gaps = g.gaps[1:]
		g.unlistedGaps++
	}
	g.gaps = append(g.gaps, x)
	kind, text := "takeover", fmt.Sprintf("no write was served for %s: %s before, %s after", Span(at-x.From), x.Old, x.New)
	if x.Old == x.New {
		kind, text = "interruption", fmt.Sprintf("no write was served for %s, then by %s as before", Span(at-x.From), x.New)
	}
	m.addFinding(Finding{At: x.From, To: at, Kind: kind, Group: g.id, Server: x.New, Grave: true, Text: text})
}

// onPrimaryListed notes that a pooler's endpoint list names server s as the primary.
func (g *group) onPrimaryListed(run *poolerRun, s *server, at float64) {
	for _, p := range g.gaps {
		if _, ok := p.listedAt[run.Pooler]; !ok && p.New == s.Name && at >= p.From {
			p.listedAt[run.Pooler] = at
		}
	}
}

// inWriteGap reports whether a span overlaps a gap, including one that has not ended.
func (g *group) inWriteGap(from, to float64) bool {
	for _, p := range g.gaps {
		if from <= p.To && to >= p.From {
			return true
		}
	}
	inOpenGap := g.lastWriter != "" && g.unservedWrites > 0
	return inOpenGap && to >= g.firstUnservedAt && to-g.lastWriteAt >= takeoverMs
}

// addLoss adds lost worth to the first gap that a span overlaps.
func (g *group) addLoss(from, to, worth float64) {
	for _, p := range g.gaps {
		if from <= p.To && to >= p.From {
			p.Lost += worth
			return
		}
	}
}

// cause returns why a chain was not served, or not in time, as far as the records show it. The first case that applies counts.
func (g *group) cause(chain *retryChain, end float64) string {
	primary := chain.class.Read == "write" || chain.class.Read == "fresh"
	warmingUp, unresponsive := false, false
	for _, s := range g.servers {
		warmingUp = warmingUp || s.warmingUntil > chain.firstAt && s.started < end
		unresponsive = unresponsive || s.unresponsive && s.firstTimeoutFrom < end
		for _, p := range s.Silent {
			unresponsive = unresponsive || p.From < end && p.To > chain.firstAt
		}
	}
	switch {
	case chain.answerLost:
		return CausePooler
	case primary && g.inWriteGap(chain.firstAt, end):
		return CauseNoPrimary
	case chain.final == recordpb.Final_FINAL_GONE && chain.resultBits == 0:
		return CauseClient
	case chain.resultBits&bitTimedOut != 0 || chain.resultBits&bitCancelled != 0 && unresponsive:
		return CauseUnresponsive
	case chain.resultBits&(bitReset|bitUnreachable) != 0:
		return CauseLostConn
	case chain.resultBits&bitFailed != 0:
		return CauseError
	case chain.resultBits&bitOverloaded != 0:
		return CauseServerRejected
	case chain.final == recordpb.Final_FINAL_REFUSED && chain.resultBits == 0 && !primary && g.inWriteGap(chain.firstAt, end):
		return CauseReducedCapacity // the remaining servers do not have the capacity for its reads
	case warmingUp && (chain.final == recordpb.Final_FINAL_REFUSED || chain.final == recordpb.Final_FINAL_SERVED):
		return CauseWarmingUp
	case chain.final == recordpb.Final_FINAL_REFUSED && chain.resultBits == 0:
		return CausePoolerRejected
	case chain.resultBits&bitMisdirected != 0:
		return CauseMissed
	case chain.final == recordpb.Final_FINAL_SERVED:
		return CauseLate
	case chain.final == recordpb.Final_FINAL_GONE:
		return CauseClient
	}
	return CauseUnknown
}

// Causes of lost worth, as reports name them.
const (
	CausePooler          = "the pooler ended with the request open"
	CauseNoPrimary       = "no primary: a takeover or an interruption"
	CauseUnresponsive    = "a server gave no answer"
	CauseLostConn        = "a connection was refused or broke"
	CauseError           = "a server answered with an error"
	CauseServerRejected  = "servers turned it away"
	CauseReducedCapacity = "reads refused while the group changed its primary"
	CauseWarmingUp       = "servers were cold"
	CausePoolerRejected  = "the pooler refused it: no room in time"
	CauseMissed          = "no server was fit: not the primary, or too far behind"
	CauseLate            = "answered late"
	CauseClient          = "the client left"
	CauseUnknown         = "unknown"
)
