package overload

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/invariant"
)

// ProbeSettings configure how health checks ("probes") are shared. Times are in ms.
//
// Each server has a number of probers (Probers), the first processes of the view by rendezvous hashing of its name. A process that needs a
// probe and is no prober requests it from the first prober that is not skipped; a prober probes itself. A prober starts at most one probe
// of a server in MinInterval. It sends the result to all requesters for which it counts: those that asked before the probe started, or at
// most MaxResultAge after that; a result that is not healthy counts for all that asked before the probe's end. This needs no common clock:
// the prober reports how long before its answer the probe started, and the requester knows when it asked.
//
// An unhealthy result takes two probers: the requester asks the second after the first, and if that agrees the result is reported. If the
// second one is skipped, the requester probes itself; with a single prober its result is enough. If the second one finds the server
// healthy, the first one is skipped for that server for SkipTime: a prober that is cut off costs its requesters one second request in
// each SkipTime.
//
// A prober that has not answered within ProberTimeout, if only that a probe is in progress, is skipped for SkipTime, and the requester
// probes itself. So a prober that ends is replaced within ReplacementBound, and a process that receives nothing probes as without sharing,
// but that much later. Each request gets its result within LatencyBound.
//
// A server gets at most Probers*(1000/MinInterval) probes a second from probers (MaxRate), and those that requesters make themselves.
type ProbeSettings struct {
	Probers       int     // of each server
	MinInterval   float64 // between two probes of a server by one prober
	MaxResultAge  float64 // maximum time from the start of a probe to a request for which its result counts
	ProberTimeout float64 // time to wait for a prober's first message
	SkipTime      float64 // time for which a prober is skipped
	ProbeTimeout  float64 // the longest time of a probe
	TickInterval  float64
}

// DefaultProbes returns settings for poolers that are near each other.
func DefaultProbes() ProbeSettings {
	return ProbeSettings{Probers: 2, MinInterval: 20, MaxResultAge: 20, ProberTimeout: 120, SkipTime: 2000, ProbeTimeout: 300, TickInterval: 50}
}

// ReplacementBound bounds how long a requester waits for a prober that has ended.
func (s *ProbeSettings) ReplacementBound() float64 { return s.ProberTimeout + s.TickInterval }

// progressTimeout returns how long a requester waits for the result of a probe that is in progress.
func (s *ProbeSettings) progressTimeout() float64 {
	return max(s.ProbeTimeout, s.MinInterval) + 2*s.TickInterval
}

// LatencyBound bounds the time from a request until its result: each of two probers may have a probe in progress, and then make another
// one, and then this process probes itself.
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
	Unhealthy         // no answer, or not that of a healthy server
	InProgress        // only in a ProbeResult: the probe has not ended
)

// Finding is a result with the details that the pooler's core needs.
type Finding struct {
	Result   Result
	Kind     uint8   // a decide.Result
	Role     uint8   // a decide.Role
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
	StartedMsAgo float64 // time from the start of the probe to this answer
	Finding
}

// MaxServerNameBytes bounds a server's name.
const MaxServerNameBytes = 255

// ProbeAction is an output of a ProbeSharing, which its caller carries out: a probe, a message or the report of a result.
type ProbeAction struct {
	Probe    string // the server that this process is to probe; empty for none
	To       ID     // the receiver of Request or Response
	Addr     string
	Request  *ProbeRequest
	Response *ProbeResult
	Report   bool // Finding is the result for Server, at most Age ms old
	Server   string
	Age      float64
	Finding
}

// ProbeSharing is the state of shared probes in one process. Its methods append the actions that they cause to out. It is not safe for
// concurrent use.
type ProbeSharing struct {
	settings     ProbeSettings
	self         ID
	now          float64
	peers        []Peer
	addresses    map[ID]string
	servers      map[string]*probedServer
	names        []string // of servers, sorted
	skippedUntil map[ID]float64
	sequence     uint32

	checks                      *invariant.Checks
	checkInterval, checkCounter int
}

// probedServer is the state of probes of a server.
type probedServer struct {
	// State of a prober.
	startedAt  float64 // of the last probe; -Inf for none
	probing    bool
	result     *Finding    // of the last probe that ended
	resultAt   float64     // start of that probe
	requesters []requester // requesters that wait for the next result
	again      bool        // a probe is due once MinInterval is over
	// State of a process that requests probes.
	wanted             bool // a request of this process has no result yet
	requestedAt        float64
	askedProbers       []ID     // for this request, the last one at the end
	sequence           uint32   // of the last ProbeRequest
	waitsUntil         float64  // timeout of that request
	probesLocally      bool     // this process probes itself
	unhealthyResult    *Finding // of the first of two probers
	unhealthyAge       float64
	unhealthyFrom      ID
	skippedProber      ID      // a prober whose unhealthy result another one contradicted: it is skipped...
	skippedProberUntil float64 // ...until this time
	lastUsed           float64
}

// requester is a process that waits for a result: this process (local) or another one.
type requester struct {
	id          ID
	sequence    uint32
	local       bool
	requestedAt float64
	notified    bool // it was notified that the probe is in progress
}

// NewProbes returns the ProbeSharing of a process without state, at time now in ms.
func NewProbes(settings ProbeSettings, self ID, now float64) *ProbeSharing {
	return &ProbeSharing{settings: settings, self: self, now: now, servers: map[string]*probedServer{}, skippedUntil: map[ID]float64{}, addresses: map[ID]string{}}
}

// UpdateMembers sets the processes that can be reached, this one included.
func (sharing *ProbeSharing) UpdateMembers(self ID, peers []Peer) {
	sharing.self = self
	sharing.peers = peers[:min(len(peers), MaxPeers)]
	clear(sharing.addresses)
	for _, peer := range sharing.peers {
		sharing.addresses[peer.ID] = peer.Addr
	}
	for _, server := range sharing.servers { // the order does not matter
		server.requesters = slices.DeleteFunc(server.requesters, func(r requester) bool { return !r.local && sharing.addresses[r.id] == "" })
	}
}

// ProbersOf returns the probers of a server.
func (sharing *ProbeSharing) ProbersOf(name string) []ID {
	return ProbersOf(name, sharing.settings.Probers, sharing.peers)
}

// ProbersOf returns n probers of a server from the processes that can be reached.
func ProbersOf(name string, n int, peers []Peer) []ID {
	return RendezvousPeers(xxhash.Sum64String(name), n, peers)
}

const maxServers = 4096

// server returns the state of a server and creates it for an unknown one; nil beyond maxServers servers.
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

// requestFromNextProber sends the request to the next prober that is not skipped. Without one it reports the unhealthy result that the
// asked probers agree on, or makes this process probe.
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

// probeLocally makes this process probe the server itself.
func (sharing *ProbeSharing) probeLocally(name string, server *probedServer, out []ProbeAction) []ProbeAction {
	server.probesLocally, server.waitsUntil = true, math.Inf(1)
	return sharing.serveRequester(name, server, requester{local: true, requestedAt: sharing.now}, out)
}

// serveRequester sends a requester the last result if that is recent enough; otherwise the requester waits for the next one.
func (sharing *ProbeSharing) serveRequester(name string, server *probedServer, r requester, out []ProbeAction) []ProbeAction {
	if server.result != nil && sharing.now-server.resultAt <= sharing.settings.MaxResultAge {
		return sharing.sendResult(name, server, r, out)
	}
	i := slices.IndexFunc(server.requesters, func(other requester) bool { return other.id == r.id && other.local == r.local })
	switch {
	case i >= 0:
		server.requesters[i] = r
	case len(server.requesters) < MaxPeers:
		server.requesters = append(server.requesters, r)
	}
	return sharing.startProbe(name, server, out)
}

// startProbe starts a probe if there are requesters, none is in progress and MinInterval is over.
func (sharing *ProbeSharing) startProbe(name string, server *probedServer, out []ProbeAction) []ProbeAction {
	if server.probing || len(server.requesters) == 0 || sharing.now-server.startedAt < sharing.settings.MinInterval {
		return out
	}
	server.probing, server.startedAt = true, sharing.now
	return append(out, ProbeAction{Probe: name})
}

// sendResult sends the last result to a requester.
func (sharing *ProbeSharing) sendResult(name string, server *probedServer, r requester, out []ProbeAction) []ProbeAction {
	age := sharing.now - server.resultAt
	if r.local {
		return sharing.reportResult(name, server, *server.result, age, out)
	}
	return append(out, ProbeAction{To: r.id, Addr: sharing.addresses[r.id], Response: &ProbeResult{name, r.sequence, age, *server.result}})
}

// reportResult ends a request of this process with a result.
func (sharing *ProbeSharing) reportResult(name string, server *probedServer, finding Finding, age float64, out []ProbeAction) []ProbeAction {
	if server.unhealthyResult != nil && finding.Result == Healthy {
		server.skippedProber, server.skippedProberUntil = server.unhealthyFrom, sharing.now+sharing.settings.SkipTime
	}
	server.wanted, server.probesLocally, server.unhealthyResult, server.waitsUntil = false, false, nil, 0
	return append(out, ProbeAction{Report: true, Server: name, Age: age, Finding: finding})
}

// ProbeEnded records the result of a probe that this process made and sends it to the requesters. Those that asked more than MaxResultAge
// after its start wait for the next probe, unless the result is not healthy.
func (sharing *ProbeSharing) ProbeEnded(now float64, name string, finding Finding, out []ProbeAction) []ProbeAction {
	sharing.now = max(now, sharing.now)
	server := sharing.server(name)
	if server == nil {
		return append(out, ProbeAction{Report: true, Server: name, Finding: finding})
	}
	if !server.probing {
		return out
	}
	server.probing, server.result, server.resultAt = false, &finding, server.startedAt
	requesters := server.requesters
	server.requesters = nil
	for _, r := range requesters {
		if r.requestedAt <= server.startedAt || r.requestedAt-server.startedAt <= sharing.settings.MaxResultAge || finding.Result != Healthy {
			out = sharing.sendResult(name, server, r, out)
		} else {
			r.notified = false // the next probe is another one
			server.requesters = append(server.requesters, r)
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
		if server.probing && sharing.now-server.startedAt > sharing.settings.MaxResultAge && len(out) == n { // otherwise the requester would time out and skip this prober
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

// notifyInProgress notifies the requesters, each once, that a probe is in progress.
func (sharing *ProbeSharing) notifyInProgress(name string, server *probedServer, out []ProbeAction) []ProbeAction {
	for i := range server.requesters {
		if r := &server.requesters[i]; !r.local && !r.notified {
			r.notified = true
			out = append(out, ProbeAction{To: r.id, Addr: sharing.addresses[r.id], Response: &ProbeResult{name, r.sequence, 0, Finding{Result: InProgress}}})
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
		unused := !server.wanted && !server.probing && len(server.requesters) == 0 && sharing.now-server.lastUsed > 60000
		if unused {
			delete(sharing.servers, name)
		}
		return unused
	})
	for id, until := range sharing.skippedUntil { // the order does not matter
		if sharing.now >= until {
			delete(sharing.skippedUntil, id)
		}
	}
	if sharing.checks.Enabled() {
		sharing.checks.Walk(&sharing.checkCounter, sharing.checkInterval, "probes: the state", sharing.checkState)
	}
	return out
}

// Due returns the time, in ms, at which the next probe that waits for MinInterval may start; +Inf for none.
func (sharing *ProbeSharing) Due() float64 {
	due := math.Inf(1)
	for _, name := range sharing.names {
		if server := sharing.servers[name]; !server.probing && len(server.requesters) > 0 {
			due = min(due, server.startedAt+sharing.settings.MinInterval)
		}
	}
	return due
}
