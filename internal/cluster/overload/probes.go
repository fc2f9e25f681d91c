package overload

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/invariant"
)

// ProbeSettings configure how health checks ("probes") are shared. Times are in ms.
//
// Each server has Probers, the first processes of the view by rendezvous hashing of its name. A process that needs a probe and is no prober
// requests it from the first prober that has answered lately; a prober probes itself. A prober starts at most one probe of a server each
// MinInterval. Its result goes to all requesters, for whom it counts: from a probe that started after their request, or at most
// MaxResultAge before; that a server does not answer counts as of the probe's end. No common clock is needed for that: the prober reports
// how long before its answer the probe started, and the requester knows when it asked.
//
// An unhealthy result takes two probers: after the first one's the second is asked, and if that agrees the result is reported. Where the
// second one is skipped, the requester probes itself; with a single prober its result is enough. Where the second one finds the server
// healthy, the first one is skipped for that server for SkipTime: a prober that is cut off costs its requesters a second request each
// SkipTime.
//
// A prober that has not answered within ProberTimeout, a message that a probe is in progress included, is skipped for SkipTime, and the
// requester probes itself. So a prober that ends is replaced within ReplacementBound, and a process that receives nothing probes as without
// sharing, so much later. Each request ends within LatencyBound of it.
//
// Probes that a server gets: at most Probers*(1000/MinInterval) a second from probers, and those that requesters make themselves (MaxRate).
type ProbeSettings struct {
	Probers       int
	MinInterval   float64
	MaxResultAge  float64
	ProberTimeout float64
	SkipTime      float64
	ProbeTimeout  float64 // the longest time of a probe
	TickInterval  float64
}

// DefaultProbes returns settings for poolers that are near each other.
func DefaultProbes() ProbeSettings {
	return ProbeSettings{Probers: 2, MinInterval: 20, MaxResultAge: 20, ProberTimeout: 120, SkipTime: 2000, ProbeTimeout: 300, TickInterval: 50}
}

// ReplacementBound bounds how long a prober that has ended is waited for.
func (s *ProbeSettings) ReplacementBound() float64 { return s.ProberTimeout + s.TickInterval }

// progressTimeout returns how long a probe that is in progress is waited for.
func (s *ProbeSettings) progressTimeout() float64 {
	return max(s.ProbeTimeout, s.MinInterval) + 2*s.TickInterval
}

// LatencyBound bounds the time from a request until its result: both probers may have one probe in progress, and then another, and then
// this process probes itself.
func (s *ProbeSettings) LatencyBound() float64 {
	return 2*(s.ProberTimeout+2*s.progressTimeout()+s.TickInterval) + s.ProbeTimeout
}

// MaxRate bounds the probes a second that a server gets from the probers of n poolers.
func (s *ProbeSettings) MaxRate(n int) float64 {
	return float64(min(n, s.Probers)) * 1000 / s.MinInterval
}

// Result is the result of a probe.
type Result uint8

// The results.
const (
	Healthy    Result = iota
	Unhealthy         // no answer, or none of a healthy server
	InProgress        // of a ProbeResult only: the probe has not ended
)

// Finding is a result with what the poolers' cores need of it.
type Finding struct {
	Result   Result
	Kind     uint8 // the decision module's result
	Role     uint8
	Position float64 // 0 for none
}

// ProbeRequest asks a prober for a probe of a server.
type ProbeRequest struct {
	Server   string
	Sequence uint32
}

// ProbeResult answers a ProbeRequest.
type ProbeResult struct {
	Server       string
	Sequence     uint32
	StartedMsAgo float64 // when the probe started, before this answer
	Finding
}

// MaxServerNameBytes bounds a server's name.
const MaxServerNameBytes = 255

// ProbeAction is something that a ProbeSharing asks its caller to do: a probe, a message or a report.
type ProbeAction struct {
	Probe    string // the server that this process is to probe
	To       ID     // the receiver of Request or Response
	Addr     string
	Request  *ProbeRequest
	Response *ProbeResult
	Report   bool // Finding is the result for Server, Age ms old
	Server   string
	Age      float64
	Finding
}

// ProbeSharing is one process's side of shared probes. Its methods append the actions that they cause to out. It is not safe for
// concurrent use.
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
	startedAt  float64 // of the last probe; -Inf for none
	probing    bool
	result     *Finding    // of the last probe that ended
	resultAt   float64     // the start of it
	requesters []requester // that wait for the next result
	again      bool        // a probe is due once MinInterval is over
	// as an asker
	wanted             bool
	requestedAt        float64
	askedProbers       []ID
	sequence           uint32
	waitsUntil         float64
	probesLocally      bool // this process probes itself
	unhealthyResult    *Finding
	unhealthyAge       float64
	unhealthyFrom      ID
	skippedProber      ID      // a prober whose unhealthy result another one contradicted: it is skipped...
	skippedProberUntil float64 // ...until then
	lastUsed           float64
}

type requester struct {
	id          ID
	sequence    uint32
	local       bool
	requestedAt float64
	notified    bool // that the probe is in progress
}

// NewProbes returns the ProbeSharing of a process that knows nothing, at time now in ms.
func NewProbes(set ProbeSettings, self ID, now float64) *ProbeSharing {
	return &ProbeSharing{settings: set, self: self, now: now, servers: map[string]*probedServer{}, skippedUntil: map[ID]float64{}, addresses: map[ID]string{}}
}

// UpdateMembers sets the processes that can be reached, this one included.
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

// ProbersOf returns the probers of a server.
func (sharing *ProbeSharing) ProbersOf(name string) []ID {
	return ProbersOf(name, sharing.settings.Probers, sharing.peers)
}

// ProbersOf returns n probers of a server, of processes that can be reached.
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

// RequestProbe requests a probe of a server.
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

// requestFromNextProber sends the request to the next prober that is not skipped. Without one it reports the unhealthy result that two
// probers agree on, or probes itself.
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
		server.sequence, server.requestedAt, server.waitsUntil = sharing.sequence, sharing.now, sharing.now+sharing.settings.ProberTimeout
		return append(out, ProbeAction{To: id, Addr: sharing.addresses[id], Request: &ProbeRequest{name, server.sequence}})
	}
	if server.unhealthyResult != nil && len(server.askedProbers) >= min(2, len(ids)) {
		return sharing.reportResult(name, server, *server.unhealthyResult, server.unhealthyAge, out)
	}
	return sharing.probeLocally(name, server, out)
}

// probeLocally makes this process probe for itself.
func (sharing *ProbeSharing) probeLocally(name string, server *probedServer, out []ProbeAction) []ProbeAction {
	server.probesLocally, server.waitsUntil = true, math.Inf(1)
	return sharing.serveRequester(name, server, requester{local: true, requestedAt: sharing.now}, out)
}

// serveRequester sends a requester the last result if that is recent enough, otherwise the next one.
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

// sendResult sends the last result to a requester.
func (sharing *ProbeSharing) sendResult(name string, server *probedServer, a requester, out []ProbeAction) []ProbeAction {
	age := sharing.now - server.resultAt
	if a.local {
		return sharing.reportResult(name, server, *server.result, age, out)
	}
	return append(out, ProbeAction{To: a.id, Addr: sharing.addresses[a.id], Response: &ProbeResult{name, a.sequence, age, *server.result}})
}

// reportResult ends a request of this process with a result.
func (sharing *ProbeSharing) reportResult(name string, server *probedServer, f Finding, age float64, out []ProbeAction) []ProbeAction {
	if server.unhealthyResult != nil && f.Result == Healthy {
		server.skippedProber, server.skippedProberUntil = server.unhealthyFrom, sharing.now+sharing.settings.SkipTime
	}
	server.wanted, server.probesLocally, server.unhealthyResult, server.waitsUntil = false, false, nil, 0
	return append(out, ProbeAction{Report: true, Server: name, Age: age, Finding: f})
}

// ProbeEnded takes the result of a probe that this process made. Those who asked after its start wait for the next one, unless it started
// at most MaxResultAge before.
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
			a.notified = false // the next probe is another one
			server.requesters = append(server.requesters, a)
		}
	}
	return sharing.startProbe(name, server, out)
}

// Receive handles a message: *ProbeRequest or *ProbeResult.
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
		if server.probing && sharing.now-server.startedAt > sharing.settings.MaxResultAge && len(out) == n { // the requester must not take this process for unresponsive
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

// notifyInProgress tells the requesters that a probe is in progress.
func (sharing *ProbeSharing) notifyInProgress(name string, server *probedServer, out []ProbeAction) []ProbeAction {
	for i := range server.requesters {
		if a := &server.requesters[i]; !a.local && !a.notified {
			a.notified = true
			out = append(out, ProbeAction{To: a.id, Addr: sharing.addresses[a.id], Response: &ProbeResult{name, a.sequence, 0, Finding{Result: InProgress}}})
		}
	}
	return out
}

// Tick reports that time has passed.
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
		sharing.checks.Walk(&sharing.checkCounter, sharing.checkInterval, "probes: the state", sharing.checkState)
	}
	return out
}

// Due returns when a probe that waits for MinInterval may start, in ms; +Inf for none.
func (sharing *ProbeSharing) Due() float64 {
	due := math.Inf(1)
	for _, name := range sharing.names {
		if server := sharing.servers[name]; !server.probing && len(server.requesters) > 0 {
			due = min(due, server.startedAt+sharing.settings.MinInterval)
		}
	}
	return due
}
