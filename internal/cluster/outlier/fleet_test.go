package outlier

import (
	"fmt"
	"slices"
	"testing"

	"beechgrade/internal/invariant"
)

// Messages take wayMs between the poolers of a test's fleet, and a request workMs where it is answered; replicas are behindMs behind.
const (
	wayMs    = 5.0
	workMs   = 80.0
	behindMs = 40.0 // that replicas are
)

// fleet is some poolers and the servers that they ask, in a time of its own.
type fleet struct {
	t       *testing.T
	set     Settings
	now     float64
	checks  *invariant.Checks
	poolers []*pooler
	servers []Server
	leads   map[string]bool
	mail    []mail
	sent    int // messages
	cut     func(from, to *pooler) bool
	answers func(p *pooler, server string) bool
	refs    uint64
}

type pooler struct {
	f      *fleet
	id     ID
	zone   string
	v      *Detector
	down   map[string]bool
	knows  map[string]ServerReport // what its module was told, by server and role
	since  map[string]float64
	stands float64 // until then
	open   []attempt
	deaf   bool // it sends nothing of its own
}

type attempt struct {
	server string
	ref    uint64
	at     float64
}

type mail struct {
	at       float64
	from, to *pooler
	b        []byte
}

// newFleet has poolers in zones, and groups of four servers: s0 to s3 of group 0, s4 to s7 of group 1; the first of each leads.
func newFleet(t *testing.T, zones ...string) *fleet {
	f := &fleet{t: t, set: Defaults(), now: 1e6, leads: map[string]bool{"s0": true, "s4": true}, cut: func(_, _ *pooler) bool { return false },
		answers: func(*pooler, string) bool { return true }}
	f.set.MaxDelay = wayMs
	f.checks = invariant.New(func(b invariant.Breach) { t.Errorf("%s: %s", b.Name, b.State) })
	for i := range 8 {
		f.servers = append(f.servers, Server{Name: fmt.Sprintf("s%d", i), Group: i / 4, Start: 1000})
	}
	for i, z := range zones {
		f.poolers = append(f.poolers, &pooler{f: f, id: ID(i + 1), zone: z})
	}
	for _, p := range f.poolers {
		p.start()
	}
	return f
}

func (p *pooler) start() {
	p.v, p.down, p.knows, p.since, p.open = New(p.f.set, p.id, p.f.now), map[string]bool{}, map[string]ServerReport{}, map[string]float64{}, nil
	p.v.CheckInvariants(p.f.checks, 1)
	m := MembersChanged{Self: p.id}
	for _, o := range p.f.poolers {
		m.Peers = append(m.Peers, Peer{ID: o.id, Addr: fmt.Sprint(o.id), Zone: o.zone})
	}
	p.do(m)
	p.do(ServersListed{Servers: p.f.servers})
}

func (p *pooler) do(e Event) {
	f := p.f
	for _, a := range p.v.Handle(f.now, e, nil) {
		switch a.Kind {
		case Send:
			i := slices.IndexFunc(f.poolers, func(o *pooler) bool { return fmt.Sprint(o.id) == a.Addr })
			var b []byte
			if a.Observations != nil {
				b = a.Observations.Append(nil)
			} else {
				b = a.Assessments.Append(nil)
			}
			if len(b) > 1200 {
				f.t.Errorf("a message of %d bytes", len(b))
			}
			f.sent++
			f.mail = append(f.mail, mail{f.now + wayMs, p, f.poolers[i], b})
		case Eject:
			p.down[a.Server] = true
			p.since[a.Server] = f.now
		case Restore:
			delete(p.down, a.Server)
		case LearnReport:
			if a.Report.Role != RolePrimary && !f.leads[a.Server] && a.Report.Position > f.now-behindMs {
				f.t.Errorf("%s is taken to be at %v at %v, newer than it said", a.Server, a.Report.Position, f.now)
			}
			p.knows[fmt.Sprint(a.Server, a.Report.Role)] = a.Report
		case CheckHealth:
			f.mail = append(f.mail, mail{f.now + 1, p, nil, []byte(a.Server)})
		}
	}
}

// reportOf is what a server tells of itself now.
func (f *fleet) reportOf(server string) ServerReport {
	if f.leads[server] {
		return ServerReport{RolePrimary, f.now}
	}
	return ServerReport{RoleReplica, f.now - behindMs}
}

// ask has a pooler send a request.
func (p *pooler) ask(server string) {
	p.f.refs++
	p.open = append(p.open, attempt{server, p.f.refs, p.f.now})
	p.do(AttemptSent{Server: server, Ref: p.f.refs, Work: workMs})
}

// advance lets time go by; each pooler asks each server that it does not avoid once every each ms, at a time of its own; 0 for never.
func (f *fleet) advance(ms, each float64) {
	for end := f.now + ms; f.now < end; f.now += 5 {
		for _, p := range f.poolers {
			if f.now < p.stands {
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
			if each > 0 && !p.deaf {
				for k, s := range f.servers {
					if !p.down[s.Name] && int(f.now-1e6)%int(each) == (int(p.id)*35+k*15)%int(each)/5*5 {
						p.ask(s.Name)
					}
				}
			}
			if int(f.now-1e6)%50 == 0 {
				p.do(Tick{})
			}
		}
		box := f.mail
		f.mail = nil
		for _, m := range box {
			switch {
			case m.at > f.now || m.to != nil && f.now < m.to.stands || f.now < m.from.stands:
				f.mail = append(f.mail, m)
			case m.to == nil:
				m.from.do(HealthChecked{Server: string(m.b), OK: true, Report: f.reportOf(string(m.b))})
			case !f.cut(m.from, m.to):
				x, err := Decode(m.b)
				if err != nil {
					f.t.Fatal(err)
				}
				m.to.do(Received{From: m.from.id, Message: x})
			}
		}
	}
}

// countEjecting counts the poolers that avoid a server by others' word.
func (f *fleet) countEjecting(server string) (n int) {
	for _, p := range f.poolers {
		if p.ejects(server) {
			n++
		}
	}
	return n
}

func (p *pooler) ejects(server string) bool {
	return slices.ContainsFunc(p.v.Ejections(), func(s Ejection) bool { return s.Server == server })
}
