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
	Probers      int
	MinInterval  float64
	MaxResultAge float64
	Patience     float64
	SkipTime     float64
	ProbeTimeout float64 // that a probe takes at most
	TickInterval float64
}

// DefaultProbes suit poolers that stand near each other.
func DefaultProbes() ProbeSettings {
	return ProbeSettings{Probers: 2, MinInterval: 20, MaxResultAge: 20, Patience: 120, SkipTime: 2000, ProbeTimeout: 300, TickInterval: 50}
}

// ReplacementBound bounds how long a prober that has died is waited for.
func (s *ProbeSettings) ReplacementBound() float64 { return s.Patience + s.TickInterval }

// progressTimeout is for how long one that is at a probe is waited for, from its word.
func (s *ProbeSettings) progressTimeout() float64 {
	return max(s.ProbeTimeout, s.MinInterval) + 2*s.TickInterval
}

// LatencyBound bounds the time from when a probe is wanted until the module is told: both probers may be at one, and then at the next, then it
// probes itself.
func (s *ProbeSettings) LatencyBound() float64 {
	return 2*(s.Patience+2*s.progressTimeout()+s.TickInterval) + s.ProbeTimeout
}

// MaxRate bounds the probes a second that a server gets from n poolers, all of which hear their probers: by these.
func (s *ProbeSettings) MaxRate(n int) float64 {
	return float64(min(n, s.Probers)) * 1000 / s.MinInterval
}

// Result is what a probe found.
type Result uint8

// The results.
const (
	Healthy    Result = iota
	Unhealthy         // no answer, or none that tells it to be well
	InProgress        // Found only: the prober is at it
)

// Finding is what a probe found: for the poolers' cores to read.
type Finding struct {
	Result   Result
	Kind     uint8 // of what went wrong, as the module has it
	Role     uint8
	Position float64 // 0 for none
}

// ProbeRequest asks a prober about a server.
type ProbeRequest struct {
	Server   string
	Sequence uint32
}

// ProbeResult answers a Want.
type ProbeResult struct {
	Server       string
	Sequence     uint32
	StartedMsAgo float64 // ms before this answer that the probe began
	Finding
}

// MaxServerNameBytes bounds a server's name, in bytes.
const MaxServerNameBytes = 255

// ProbeAction is something that is to be done.
type ProbeAction struct {
	Probe    string // this process is to probe it
	To       ID     // Want or Found goes there
	Addr     string
	Request  *ProbeRequest
	Response *ProbeResult
	Report   bool // the module is told Finding of Server, as old as Age
	Server   string
	Age      float64
	Finding
}

// ProbeSharing shares them. It is told by calls and appends to out what is to be done.
type ProbeSharing struct {
	settings     ProbeSettings
	self         ID
	now          float64
	peers        []Peer
	addresses    map[ID]string
	servers      map[string]*probedServer
	names        []string
	skippedUntil map[ID]float64
	sequence     uint32

	checks                      *invariant.Checks
	checkInterval, checkCounter int
}

type probedServer struct {
	// as a prober
	startedAt  float64 // of the last probe, -Inf for none
	probing    bool
	result     *Finding    // of the last that ended
	resultAt   float64     // began of it
	requesters []requester // that wait for the next
	again      bool        // a probe is due once Each is over
	// as an asker
	wanted             bool
	requestedAt        float64
	askedProbers       []ID
	sequence           uint32
	waitsUntil         float64
	probesLocally      bool // it probes itself
	unhealthyResult    *Finding
	unhealthyAge       float64
	unhealthyFrom      ID
	skippedProber      ID      // said lately that it does not answer, where another found it well: it is passed over here...
	skippedProberUntil float64 // ...until then
	lastUsed           float64
}

type requester struct {
	id          ID
	sequence    uint32
	local       bool
	requestedAt float64
	notified    bool // it was told that this one is at it
}

// NewProbes makes a process's side.
func NewProbes(set ProbeSettings, self ID, now float64) *ProbeSharing {
	return &ProbeSharing{settings: set, self: self, now: now, servers: map[string]*probedServer{}, skippedUntil: map[ID]float64{}, addresses: map[ID]string{}}
}

// UpdateMembers brings those that can be reached.
func (sharing *ProbeSharing) UpdateMembers(self ID, peers []Peer) {
	sharing.self = self
	sharing.peers = peers[:min(len(peers), MaxPeers)]
	clear(sharing.addresses)
	for _, x := range sharing.peers {
		sharing.addresses[x.ID] = x.Addr
	}
	for _, server := range sharing.servers { // each by itself
		server.requesters = slices.DeleteFunc(server.requesters, func(a requester) bool { return !a.local && sharing.addresses[a.id] == "" })
	}
}

// ProbersOf are those of a server.
func (sharing *ProbeSharing) ProbersOf(name string) []ID {
	return ProbersOf(name, sharing.settings.Probers, sharing.peers)
}

// ProbersOf are so many probers of a server, of processes that can be reached.
func ProbersOf(name string, n int, peers []Peer) []ID {
	return RendezvousPeers(xxhash.Sum64String(name), n, peers)
}

const maxServers = 4096

func (sharing *ProbeSharing) server(name string) *probedServer {
	server := sharing.servers[name]
	if server == nil {
		if len(sharing.names) >= maxServers {
			return nil
		}
		server = &probedServer{startedAt: math.Inf(-1), resultAt: math.Inf(-1)}
		sharing.servers[name] = server
		i, _ := slices.BinarySearch(sharing.names, name)
		sharing.names = slices.Insert(sharing.names, i, name)
	}
	server.lastUsed = sharing.now
	return server
}

// RequestProbe has the module want a probe.
func (sharing *ProbeSharing) RequestProbe(now float64, name string, out []ProbeAction) []ProbeAction {
	sharing.now = max(now, sharing.now)
	server := sharing.server(name)
	if server == nil || len(name) > MaxServerNameBytes {
		return append(out, ProbeAction{Probe: name})
	}
	if server.wanted {
		return out
	}
	server.wanted, server.requestedAt, server.askedProbers, server.unhealthyResult, server.probesLocally = true, sharing.now, server.askedProbers[:0], nil, false
	return sharing.requestFromNextProber(name, server, out)
}

// requestFromNextProber asks the next prober that may answer, or has this process probe.
func (sharing *ProbeSharing) requestFromNextProber(name string, server *probedServer, out []ProbeAction) []ProbeAction {
	ids := sharing.ProbersOf(name)
	if slices.Contains(ids, sharing.self) || len(ids) == 0 {
		return sharing.probeLocally(name, server, out)
	}
	for _, id := range ids {
		if slices.Contains(server.askedProbers, id) || sharing.now < sharing.skippedUntil[id] || id == server.skippedProber && sharing.now < server.skippedProberUntil {
			continue
		}
		sharing.sequence++
		server.askedProbers = append(server.askedProbers, id)
		server.sequence, server.requestedAt, server.waitsUntil = sharing.sequence, sharing.now, sharing.now+sharing.settings.Patience
		return append(out, ProbeAction{To: id, Addr: sharing.addresses[id], Request: &ProbeRequest{name, server.sequence}})
	}
	if server.unhealthyResult != nil && len(server.askedProbers) >= min(2, len(ids)) {
		return sharing.reportResult(name, server, *server.unhealthyResult, server.unhealthyAge, out)
	}
	return sharing.probeLocally(name, server, out)
}

// probeLocally has this process probe for itself.
func (sharing *ProbeSharing) probeLocally(name string, server *probedServer, out []ProbeAction) []ProbeAction {
	server.probesLocally, server.waitsUntil = true, math.Inf(1)
	return sharing.serveRequester(name, server, requester{local: true, requestedAt: sharing.now}, out)
}

// serveRequester has somebody told of a probe that is young enough, or of the next.
func (sharing *ProbeSharing) serveRequester(name string, server *probedServer, a requester, out []ProbeAction) []ProbeAction {
	if server.result != nil && sharing.now-server.resultAt <= sharing.settings.MaxResultAge {
		return sharing.sendResult(name, server, a, out)
	}
	i := slices.IndexFunc(server.requesters, func(x requester) bool { return x.id == a.id && x.local == a.local })
	switch {
	case i >= 0:
		server.requesters[i] = a
	case len(server.requesters) < MaxPeers:
		server.requesters = append(server.requesters, a)
	}
	return sharing.startProbe(name, server, out)
}

func (sharing *ProbeSharing) startProbe(name string, server *probedServer, out []ProbeAction) []ProbeAction {
	if server.probing || len(server.requesters) == 0 || sharing.now-server.startedAt < sharing.settings.MinInterval {
		return out
	}
	server.probing, server.startedAt = true, sharing.now
	return append(out, ProbeAction{Probe: name})
}

// sendResult tells an asker what was found.
func (sharing *ProbeSharing) sendResult(name string, server *probedServer, a requester, out []ProbeAction) []ProbeAction {
	age := sharing.now - server.resultAt
	if a.local {
		return sharing.reportResult(name, server, *server.result, age, out)
	}
	return append(out, ProbeAction{To: a.id, Addr: sharing.addresses[a.id], Response: &ProbeResult{name, a.sequence, age, *server.result}})
}

// reportResult tells the module.
func (sharing *ProbeSharing) reportResult(name string, server *probedServer, f Finding, age float64, out []ProbeAction) []ProbeAction {
	if server.unhealthyResult != nil && f.Result == Healthy {
		server.skippedProber, server.skippedProberUntil = server.unhealthyFrom, sharing.now+sharing.settings.SkipTime
	}
	server.wanted, server.probesLocally, server.unhealthyResult, server.waitsUntil = false, false, nil, 0
	return append(out, ProbeAction{Report: true, Server: name, Age: age, Finding: f})
}

// ProbeEnded tells what a probe of this process's own found. Who asked after it began waits for the next, unless it is young enough.
func (sharing *ProbeSharing) ProbeEnded(now float64, name string, f Finding, out []ProbeAction) []ProbeAction {
	sharing.now = max(now, sharing.now)
	server := sharing.server(name)
	if server == nil {
		return append(out, ProbeAction{Report: true, Server: name, Finding: f})
	}
	if !server.probing {
		return out
	}
	server.probing, server.result, server.resultAt = false, &f, server.startedAt
	askers := server.requesters
	server.requesters = nil
	for _, a := range askers {
		if a.requestedAt <= server.startedAt || a.requestedAt-server.startedAt <= sharing.settings.MaxResultAge || f.Result != Healthy {
			out = sharing.sendResult(name, server, a, out)
		} else {
			a.notified = false // of the next probe it is to be told by itself
			server.requesters = append(server.requesters, a)
		}
	}
	return sharing.startProbe(name, server, out)
}

// Receive takes a message.
func (sharing *ProbeSharing) Receive(now float64, from ID, m any, out []ProbeAction) []ProbeAction {
	sharing.now = max(now, sharing.now)
	if sharing.addresses[from] == "" {
		return out
	}
	switch m := m.(type) {
	case *ProbeRequest:
		server := sharing.server(m.Server)
		if server == nil {
			return out
		}
		n := len(out)
		out = sharing.serveRequester(m.Server, server, requester{id: from, sequence: m.Sequence, requestedAt: sharing.now}, out)
		if server.probing && sharing.now-server.startedAt > sharing.settings.MaxResultAge && len(out) == n { // it takes its time: say so
			out = sharing.notifyInProgress(m.Server, server, out)
		}
	case *ProbeResult:
		server := sharing.servers[m.Server]
		if server == nil || !server.wanted || server.probesLocally || server.sequence != m.Sequence || len(server.askedProbers) == 0 || server.askedProbers[len(server.askedProbers)-1] != from {
			return out
		}
		delete(sharing.skippedUntil, from)
		switch age := sharing.now - server.requestedAt + m.StartedMsAgo; {
		case m.Result == InProgress:
			server.waitsUntil = sharing.now + sharing.settings.progressTimeout()
		case m.Result == Healthy:
			return sharing.reportResult(m.Server, server, m.Finding, age, out)
		default:
			server.unhealthyResult, server.unhealthyAge, server.unhealthyFrom = &m.Finding, age, from
			return sharing.requestFromNextProber(m.Server, server, out)
		}
	}
	return out
}

// notifyInProgress tells those who wait that a probe is under way.
func (sharing *ProbeSharing) notifyInProgress(name string, server *probedServer, out []ProbeAction) []ProbeAction {
	for i := range server.requesters {
		if a := &server.requesters[i]; !a.local && !a.notified {
			a.notified = true
			out = append(out, ProbeAction{To: a.id, Addr: sharing.addresses[a.id], Response: &ProbeResult{name, a.sequence, 0, Finding{Result: InProgress}}})
		}
	}
	return out
}

// Tick tells that time has passed.
func (sharing *ProbeSharing) Tick(now float64, out []ProbeAction) []ProbeAction {
	sharing.now = max(now, sharing.now)
	for _, name := range sharing.names {
		server := sharing.servers[name]
		if server.wanted && !server.probesLocally && sharing.now >= server.waitsUntil {
			if n := len(server.askedProbers); n > 0 {
				sharing.skippedUntil[server.askedProbers[n-1]] = sharing.now + sharing.settings.SkipTime
			}
			out = sharing.probeLocally(name, server, out)
		}
		if server.probing && sharing.now-server.startedAt > sharing.settings.MaxResultAge {
			out = sharing.notifyInProgress(name, server, out)
		}
		out = sharing.startProbe(name, server, out)
	}
	sharing.names = slices.DeleteFunc(sharing.names, func(name string) bool {
		server := sharing.servers[name]
		old := !server.wanted && !server.probing && len(server.requesters) == 0 && sharing.now-server.lastUsed > 60000
		if old {
			delete(sharing.servers, name)
		}
		return old
	})
	for id, until := range sharing.skippedUntil { // each on its own
		if sharing.now >= until {
			delete(sharing.skippedUntil, id)
		}
	}
	if sharing.checks.Enabled() {
		sharing.checks.Walk(&sharing.checkCounter, sharing.checkInterval, "probes: a walk", sharing.checkState)
	}
	return out
}

// Due is when a probe that waits for its turn may begin, +Inf for none.
func (sharing *ProbeSharing) Due() float64 {
	due := math.Inf(1)
	for _, name := range sharing.names {
		if server := sharing.servers[name]; !server.probing && len(server.requesters) > 0 {
			due = min(due, server.startedAt+sharing.settings.MinInterval)
		}
	}
	return due
}
