package overload

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/invariant"
)

// ProbeSettings say how probes are shared. Times are in ms.
//
// Each server has Probers, the first processes of the view by rendezvous hashing of its name. Who wants a probe of it and is none of them
// asks the first of these that has answered lately; who wants one and is one makes it himself. A prober begins at most one probe of a server each
// Each, and what it finds goes to all that asked, and is what it is for them: found by a probe that began after they asked, or Age before at most; that
// a server does not answer is news as of the probe's end. Nobody's clock is needed for
// that: the prober says how long before its answer the probe began, and the asker knows when it asked.
//
// Bad news is taken only from two: after the first prober's the second is asked, and where that says the same, the asker
// is told. Where the second is passed over, it probes for itself; where there is but one, his word is enough. Where the second found it well, the
// first is passed over for that server for Shun: what a prober that is cut off says so costs its askers a second question each Shun.
//
// One that has not answered within Patience, a datagram that it is still at it included, is passed over for Shun, and the asker probes
// for itself. So a prober that dies is replaced within Replace = Patience + Step, and who hears nobody probes as ever, so much later. A probe that the
// module wants is never lost: there is an end to each want, within Latest of it.
//
// Probes that a server gets: at most Probers*(1000/Each) a second by the fleet's word, and those that askers make for themselves (Settings.Most).
type ProbeSettings struct {
	Probers  int
	Each     float64
	Age      float64
	Patience float64
	Shun     float64
	Probe    float64 // that a probe takes at most
	Step     float64
}

// DefaultProbes suit poolers that stand near each other.
func DefaultProbes() ProbeSettings {
	return ProbeSettings{Probers: 2, Each: 20, Age: 20, Patience: 120, Shun: 2000, Probe: 300, Step: 50}
}

// Replace bounds how long a prober that has died is waited for.
func (s *ProbeSettings) Replace() float64 { return s.Patience + s.Step }

// atIt is for how long one that is at a probe is waited for, from its word.
func (s *ProbeSettings) atIt() float64 { return max(s.Probe, s.Each) + 2*s.Step }

// Latest bounds the time from when a probe is wanted until the module is told: both probers may be at one, and then at the next, then it
// probes itself.
func (s *ProbeSettings) Latest() float64 { return 2*(s.Patience+2*s.atIt()+s.Step) + s.Probe }

// Most bounds the probes a second that a server gets from n poolers, all of which hear their probers: by these.
func (s *ProbeSettings) Most(n int) float64 { return float64(min(n, s.Probers)) * 1000 / s.Each }

// Result is what a probe found.
type Result uint8

// The results.
const (
	Good Result = iota
	Bad         // no answer, or none that tells it to be well
	Busy        // Found only: the prober is at it
)

// Finding is what a probe found: for the poolers' cores to read.
type Finding struct {
	Result   Result
	Kind     uint8 // of what went wrong, as the module has it
	Role     uint8
	Position float64 // 0 for none
}

// Want asks a prober about a server.
type Want struct {
	Server string
	Seq    uint32
}

// Found answers a Want.
type Found struct {
	Server string
	Seq    uint32
	Began  float64 // ms before this answer that the probe began
	Finding
}

// MostServer bounds a server's name, in bytes.
const MostServer = 255

// ProbeAction is something that is to be done.
type ProbeAction struct {
	Probe  string // this process is to probe it
	To     ID     // Want or Found goes there
	Addr   string
	Want   *Want
	Found  *Found
	Tell   bool // the module is told Finding of Server, as old as Age
	Server string
	Age    float64
	Finding
}

// Probes shares them. It is told by calls and appends to out what is to be done.
type Probes struct {
	set     ProbeSettings
	self    ID
	now     float64
	peers   []Peer
	addr    map[ID]string
	servers map[string]*server
	names   []string
	shunned map[ID]float64
	seq     uint32

	checks       *invariant.Checks
	every, walks int
}

type server struct {
	// as a prober
	began   float64 // of the last probe, -Inf for none
	probing bool
	found   *Finding // of the last that ended
	foundAt float64  // began of it
	askers  []asker  // that wait for the next
	again   bool     // a probe is due once Each is over
	// as an asker
	wanted bool
	wantAt float64
	asked  []ID
	seq    uint32
	until  float64
	own    bool // it probes itself
	bad    *Finding
	badAge float64
	badBy  ID
	avoid  ID      // said lately that it does not answer, where another found it well: it is passed over here...
	avoids float64 // ...until then
	last   float64
}

type asker struct {
	id  ID
	seq uint32
	own bool
	at  float64
	hi  bool // it was told that this one is at it
}

// NewProbes makes a process's side.
func NewProbes(set ProbeSettings, self ID, now float64) *Probes {
	return &Probes{set: set, self: self, now: now, servers: map[string]*server{}, shunned: map[ID]float64{}, addr: map[ID]string{}}
}

// Members brings those that can be reached.
func (p *Probes) Members(self ID, peers []Peer) {
	p.self = self
	p.peers = peers[:min(len(peers), MostPeers)]
	clear(p.addr)
	for _, x := range p.peers {
		p.addr[x.ID] = x.Addr
	}
	for _, s := range p.servers { // each by itself
		s.askers = slices.DeleteFunc(s.askers, func(a asker) bool { return !a.own && p.addr[a.id] == "" })
	}
}

// ProbersOf are those of a server.
func (p *Probes) ProbersOf(name string) []ID { return ProbersOf(name, p.set.Probers, p.peers) }

// ProbersOf are so many probers of a server, of processes that can be reached.
func ProbersOf(name string, n int, peers []Peer) []ID {
	return First(xxhash.Sum64String(name), n, peers)
}

const mostServers = 4096

func (p *Probes) server(name string) *server {
	s := p.servers[name]
	if s == nil {
		if len(p.names) >= mostServers {
			return nil
		}
		s = &server{began: math.Inf(-1), foundAt: math.Inf(-1)}
		p.servers[name] = s
		i, _ := slices.BinarySearch(p.names, name)
		p.names = slices.Insert(p.names, i, name)
	}
	s.last = p.now
	return s
}

// Wanted has the module want a probe.
func (p *Probes) Wanted(now float64, name string, out []ProbeAction) []ProbeAction {
	p.now = max(now, p.now)
	s := p.server(name)
	if s == nil || len(name) > MostServer {
		return append(out, ProbeAction{Probe: name})
	}
	if s.wanted {
		return out
	}
	s.wanted, s.wantAt, s.asked, s.bad, s.own = true, p.now, s.asked[:0], nil, false
	return p.ask(name, s, out)
}

// ask asks the next prober that may answer, or has this process probe.
func (p *Probes) ask(name string, s *server, out []ProbeAction) []ProbeAction {
	ids := p.ProbersOf(name)
	if slices.Contains(ids, p.self) || len(ids) == 0 {
		return p.mine(name, s, out)
	}
	for _, id := range ids {
		if slices.Contains(s.asked, id) || p.now < p.shunned[id] || id == s.avoid && p.now < s.avoids {
			continue
		}
		p.seq++
		s.asked = append(s.asked, id)
		s.seq, s.wantAt, s.until = p.seq, p.now, p.now+p.set.Patience
		return append(out, ProbeAction{To: id, Addr: p.addr[id], Want: &Want{name, s.seq}})
	}
	if s.bad != nil && len(s.asked) >= min(2, len(ids)) {
		return p.end(name, s, *s.bad, s.badAge, out)
	}
	return p.mine(name, s, out)
}

// mine has this process probe for itself.
func (p *Probes) mine(name string, s *server, out []ProbeAction) []ProbeAction {
	s.own, s.until = true, math.Inf(1)
	return p.serve(name, s, asker{own: true, at: p.now}, out)
}

// serve has somebody told of a probe that is young enough, or of the next.
func (p *Probes) serve(name string, s *server, a asker, out []ProbeAction) []ProbeAction {
	if s.found != nil && p.now-s.foundAt <= p.set.Age {
		return p.give(name, s, a, out)
	}
	i := slices.IndexFunc(s.askers, func(x asker) bool { return x.id == a.id && x.own == a.own })
	switch {
	case i >= 0:
		s.askers[i] = a
	case len(s.askers) < MostPeers:
		s.askers = append(s.askers, a)
	}
	return p.begin(name, s, out)
}

func (p *Probes) begin(name string, s *server, out []ProbeAction) []ProbeAction {
	if s.probing || len(s.askers) == 0 || p.now-s.began < p.set.Each {
		return out
	}
	s.probing, s.began = true, p.now
	return append(out, ProbeAction{Probe: name})
}

// give tells an asker what was found.
func (p *Probes) give(name string, s *server, a asker, out []ProbeAction) []ProbeAction {
	age := p.now - s.foundAt
	if a.own {
		return p.end(name, s, *s.found, age, out)
	}
	return append(out, ProbeAction{To: a.id, Addr: p.addr[a.id], Found: &Found{name, a.seq, age, *s.found}})
}

// end tells the module.
func (p *Probes) end(name string, s *server, f Finding, age float64, out []ProbeAction) []ProbeAction {
	if s.bad != nil && f.Result == Good {
		s.avoid, s.avoids = s.badBy, p.now+p.set.Shun
	}
	s.wanted, s.own, s.bad, s.until = false, false, nil, 0
	return append(out, ProbeAction{Tell: true, Server: name, Age: age, Finding: f})
}

// Ended tells what a probe of this process's own found. Who asked after it began waits for the next, unless it is young enough.
func (p *Probes) Ended(now float64, name string, f Finding, out []ProbeAction) []ProbeAction {
	p.now = max(now, p.now)
	s := p.server(name)
	if s == nil {
		return append(out, ProbeAction{Tell: true, Server: name, Finding: f})
	}
	if !s.probing {
		return out
	}
	s.probing, s.found, s.foundAt = false, &f, s.began
	askers := s.askers
	s.askers = nil
	for _, a := range askers {
		if a.at <= s.began || a.at-s.began <= p.set.Age || f.Result != Good {
			out = p.give(name, s, a, out)
		} else {
			a.hi = false // of the next probe it is to be told by itself
			s.askers = append(s.askers, a)
		}
	}
	return p.begin(name, s, out)
}

// Heard takes a message.
func (p *Probes) Heard(now float64, from ID, m any, out []ProbeAction) []ProbeAction {
	p.now = max(now, p.now)
	if p.addr[from] == "" {
		return out
	}
	switch m := m.(type) {
	case *Want:
		s := p.server(m.Server)
		if s == nil {
			return out
		}
		n := len(out)
		out = p.serve(m.Server, s, asker{id: from, seq: m.Seq, at: p.now}, out)
		if s.probing && p.now-s.began > p.set.Age && len(out) == n { // it takes its time: say so
			out = p.busy(m.Server, s, out)
		}
	case *Found:
		s := p.servers[m.Server]
		if s == nil || !s.wanted || s.own || s.seq != m.Seq || len(s.asked) == 0 || s.asked[len(s.asked)-1] != from {
			return out
		}
		delete(p.shunned, from)
		switch age := p.now - s.wantAt + m.Began; {
		case m.Result == Busy:
			s.until = p.now + p.set.atIt()
		case m.Result == Good:
			return p.end(m.Server, s, m.Finding, age, out)
		default:
			s.bad, s.badAge, s.badBy = &m.Finding, age, from
			return p.ask(m.Server, s, out)
		}
	}
	return out
}

// busy tells those who wait that a probe is under way.
func (p *Probes) busy(name string, s *server, out []ProbeAction) []ProbeAction {
	for i := range s.askers {
		if a := &s.askers[i]; !a.own && !a.hi {
			a.hi = true
			out = append(out, ProbeAction{To: a.id, Addr: p.addr[a.id], Found: &Found{name, a.seq, 0, Finding{Result: Busy}}})
		}
	}
	return out
}

// Tick tells that time has passed.
func (p *Probes) Tick(now float64, out []ProbeAction) []ProbeAction {
	p.now = max(now, p.now)
	for _, name := range p.names {
		s := p.servers[name]
		if s.wanted && !s.own && p.now >= s.until {
			if n := len(s.asked); n > 0 {
				p.shunned[s.asked[n-1]] = p.now + p.set.Shun
			}
			out = p.mine(name, s, out)
		}
		if s.probing && p.now-s.began > p.set.Age {
			out = p.busy(name, s, out)
		}
		out = p.begin(name, s, out)
	}
	p.names = slices.DeleteFunc(p.names, func(name string) bool {
		s := p.servers[name]
		old := !s.wanted && !s.probing && len(s.askers) == 0 && p.now-s.last > 60000
		if old {
			delete(p.servers, name)
		}
		return old
	})
	for id, until := range p.shunned { // each on its own
		if p.now >= until {
			delete(p.shunned, id)
		}
	}
	if p.checks.Enabled() {
		p.checks.Walk(&p.walks, p.every, "probes: a walk", p.walk)
	}
	return out
}

// Due is when a probe that waits for its turn may begin, +Inf for none.
func (p *Probes) Due() float64 {
	due := math.Inf(1)
	for _, name := range p.names {
		if s := p.servers[name]; !s.probing && len(s.askers) > 0 {
			due = min(due, s.began+p.set.Each)
		}
	}
	return due
}
