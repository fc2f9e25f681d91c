package outlier

import (
	"fmt"
	"slices"
	"testing"

	"beechgrade/internal/invariant"
)

const (
	delayMs = 5.0  // transit time of messages between poolers
	workMs  = 80.0 // time until a request is answered
	lagMs   = 40.0 // replication lag of replicas
)

// fleet simulates poolers and the servers to which they send requests, in virtual time.
type fleet struct {
	t         *testing.T
	settings  Settings
	now       float64
	checks    *invariant.Checks
	poolers   []*pooler
	servers   []Server
	primaries map[string]bool                     // by server
	messages  []message                           // in transit
	sent      int                                 // number of messages sent
	cut       func(from, to *pooler) bool         // whether the link between two poolers is cut
	answers   func(p *pooler, server string) bool // whether a server answers a pooler's requests
	lastRef   uint64
}

// pooler is a pooler of the fleet with the state that its decision module would have.
type pooler struct {
	f           *fleet
	id          ID
	zone        string
	detector    *Detector
	down        map[string]bool
	learned     map[string]ServerReport // reports that its decision module learned, by server and role
	ejectedAt   map[string]float64      // by server
	pausedUntil float64
	open        []attempt
	idle        bool // it sends no requests
}

type attempt struct {
	server string
	ref    uint64
	at     float64
}

// message is a message in transit. Without a receiver it is the result of a health check of the server named by content.
type message struct {
	at       float64 // arrival
	from, to *pooler
	content  []byte
}

// newFleet returns poolers in the given zones, and two groups of four servers: s0 to s3 of group 0, s4 to s7 of group 1. The first server
// of each group is its primary.
func newFleet(t *testing.T, zones ...string) *fleet {
	f := &fleet{t: t, settings: Defaults(), now: 1e6, primaries: map[string]bool{"s0": true, "s4": true}, cut: func(_, _ *pooler) bool { return false },
		answers: func(*pooler, string) bool { return true }}
	f.settings.MaxDelay = delayMs
	f.checks = invariant.New(func(b invariant.Breach) { t.Errorf("invariant %q does not hold: %s", b.Name, b.State) })
	for i := range 8 {
		f.servers = append(f.servers, Server{Name: fmt.Sprintf("s%d", i), Group: i / 4, Start: 1000})
	}
	for i, zone := range zones {
		f.poolers = append(f.poolers, &pooler{f: f, id: ID(i + 1), zone: zone})
	}
	for _, p := range f.poolers {
		p.start()
	}
	return f
}

// start starts the process of a pooler, without state.
func (p *pooler) start() {
	p.detector, p.down, p.learned, p.ejectedAt, p.open = New(p.f.settings, p.id, p.f.now), map[string]bool{}, map[string]ServerReport{}, map[string]float64{}, nil
	p.detector.CheckInvariants(p.f.checks, 1)
	m := MembersChanged{Self: p.id}
	for _, o := range p.f.poolers {
		m.Peers = append(m.Peers, Peer{ID: o.id, Addr: fmt.Sprint(o.id), Zone: o.zone})
	}
	p.do(m)
	p.do(ServersListed{Servers: p.f.servers})
}

// do passes an event to a pooler and carries out the actions.
func (p *pooler) do(e Event) {
	f := p.f
	for _, a := range p.detector.Handle(f.now, e, nil) {
		switch a.Kind {
		case Send:
			i := slices.IndexFunc(f.poolers, func(o *pooler) bool { return fmt.Sprint(o.id) == a.Addr })
			var content []byte
			if a.Observations != nil {
				content = a.Observations.Append(nil)
			} else {
				content = a.Assessments.Append(nil)
			}
			if len(content) > 1200 {
				f.t.Errorf("a message has %d bytes, want at most 1200", len(content))
			}
			f.sent++
			f.messages = append(f.messages, message{f.now + delayMs, p, f.poolers[i], content})
		case Eject:
			p.down[a.Server] = true
			p.ejectedAt[a.Server] = f.now
		case Restore:
			delete(p.down, a.Server)
		case LearnReport:
			if a.Report.Role != RolePrimary && !f.primaries[a.Server] && a.Report.Position > f.now-lagMs {
				f.t.Errorf("replica %s is learned to be at position %v at %v, newer than it reported", a.Server, a.Report.Position, f.now)
			}
			p.learned[fmt.Sprint(a.Server, a.Report.Role)] = a.Report
		case CheckHealth:
			f.messages = append(f.messages, message{f.now + 1, p, nil, []byte(a.Server)})
		}
	}
}

// reportOf returns what a server reports of itself now.
func (f *fleet) reportOf(server string) ServerReport {
	if f.primaries[server] {
		return ServerReport{RolePrimary, f.now}
	}
	return ServerReport{RoleReplica, f.now - lagMs}
}

// send sends a request to a server.
func (p *pooler) send(server string) {
	p.f.lastRef++
	p.open = append(p.open, attempt{server, p.f.lastRef, p.f.now})
	p.do(AttemptSent{Server: server, Ref: p.f.lastRef, Work: workMs})
}

// advance simulates a time. Each pooler sends each server that it has not marked down a request every interval ms, at a phase of its own;
// with interval 0 it sends none.
func (f *fleet) advance(ms, interval float64) {
	for end := f.now + ms; f.now < end; f.now += 5 {
		for _, p := range f.poolers {
			if f.now < p.pausedUntil {
				continue
			}
			p.open = slices.DeleteFunc(p.open, func(a attempt) bool {
				switch took := f.now - a.at; {
				case took >= workMs && f.answers(p, a.server):
					p.do(AttemptEnded{Server: a.server, Ref: a.ref, Outcome: Answered, Report: f.reportOf(a.server)})
					return true
				case took >= 1500:
					p.do(AttemptEnded{Server: a.server, Ref: a.ref, Outcome: Inconclusive})
					return true
				}
				return false
			})
			if interval > 0 && !p.idle {
				for k, s := range f.servers {
					if !p.down[s.Name] && int(f.now-1e6)%int(interval) == (int(p.id)*35+k*15)%int(interval)/5*5 {
						p.send(s.Name)
					}
				}
			}
			if int(f.now-1e6)%50 == 0 {
				p.do(Tick{})
			}
		}
		messages := f.messages
		f.messages = nil
		for _, m := range messages {
			switch {
			case m.at > f.now || m.to != nil && f.now < m.to.pausedUntil || f.now < m.from.pausedUntil:
				f.messages = append(f.messages, m)
			case m.to == nil:
				m.from.do(HealthChecked{Server: string(m.content), OK: true, Report: f.reportOf(string(m.content))})
			case !f.cut(m.from, m.to):
				content, err := Decode(m.content)
				if err != nil {
					f.t.Fatalf("decoding of a message from pooler %d to pooler %d: %v", m.from.id, m.to.id, err)
				}
				m.to.do(Received{From: m.from.id, Message: content})
			}
		}
	}
}

// countEjecting returns the number of poolers that eject a server.
func (f *fleet) countEjecting(server string) (n int) {
	for _, p := range f.poolers {
		if p.ejects(server) {
			n++
		}
	}
	return n
}

func (p *pooler) ejects(server string) bool {
	return slices.ContainsFunc(p.detector.Ejections(), func(e Ejection) bool { return e.Server == server })
}
