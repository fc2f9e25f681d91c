package outlier

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/invariant"
)

// Detector is a process's side: as an observer, as a collector, and as one that heeds what collectors say.
type Detector struct {
	settings          Settings
	self              ID
	now               float64
	peers             []Peer
	hashPeers         []overload.Peer // the same, for hashing
	peerByID          map[ID]*Peer
	zoneCount         int // in which poolers stand
	byKey             map[uint32]*serverState
	byName            map[string]*serverState
	servers           []*serverState // by key
	groups            map[int][]*serverState
	collectorsByBlock map[int][]ID // collectors, by block
	distrustedUntil   map[ID]float64
	sequence          uint32
	lastTick          float64
	nextReport        float64
	nextRefresh       float64
	actions           []Action

	checks        *invariant.Checks // nil where nothing is checked
	checkInterval int
	checkCounter  int
}

// serverState is what is known of one.
type serverState struct {
	Server
	key              uint32
	own              localEvidence
	reported         Observation // as last told, by what changes it: see news
	observers        []*observer // by observer
	changed          bool        // something was filed since it was judged
	assessments      map[ID]*assessment
	published        Assessment // as last published
	healthCheckedAt  float64
	ejection         ejection
	learnedPositions [2]float64 // positions that the module was told: of whatever role, and as the primary
	reportedAt       float64
	down             bool // in this pooler's module
}

// observer is what an observer told of a server, in this process's time.
type observer struct {
	id                                         ID
	sequence, answeredSequence, reportSequence uint32
	receivedAt                                 float64
	answeredAt, soleAnswersSince               float64 // since: its answers since then are all that there were
	unanswered                                 int
	firstUnanswered, lastUnanswered, work      float64
	report                                     ServerReport
	reportedAt                                 float64
	zone                                       string
}

// New makes a process's side.
func New(set Settings, self ID, now float64) *Detector {
	return &Detector{settings: set, self: self, now: now, peerByID: map[ID]*Peer{}, byKey: map[uint32]*serverState{}, byName: map[string]*serverState{}, groups: map[int][]*serverState{}, collectorsByBlock: map[int][]ID{},
		distrustedUntil: map[ID]float64{}, nextReport: now, nextRefresh: now}
}

// Handle takes one event at time now and appends what is to be done to out.
func (detector *Detector) Handle(now float64, e Event, out []Action) []Action {
	if detector.lastTick > 0 && now-detector.lastTick > maxPauseMs { // it stood still: what was out may have its answer in a socket
		detector.discardOpenAttempts()
	}
	detector.now, detector.actions = max(now, detector.now), out
	switch e := e.(type) {
	case Tick:
		detector.lastTick = detector.now
		detector.tick()
	case MembersChanged:
		detector.updateMembers(e)
	case ServersListed:
		detector.updateServers(e.Servers)
	case AttemptSent:
		if server := detector.byName[e.Server]; server != nil {
			server.own.attemptSent(detector.now, e.Ref, e.Work)
		}
	case AttemptEnded:
		detector.attemptEnded(&e)
	case HealthChecked:
		detector.healthChecked(&e)
	case ServersDown:
		for _, server := range detector.servers {
			_, server.down = slices.BinarySearch(e.Servers, server.Name)
		}
	case Received:
		detector.handleMessage(e.From, e.Message)
	}
	if detector.checks.Enabled() {
		detector.checks.Walk(&detector.checkCounter, detector.checkInterval, "verdicts: the walk", detector.checkState)
	}
	out, detector.actions = detector.actions, nil
	return out
}

// maxPauseMs is how long after its last tick a process stood still.
const maxPauseMs = 500

// discardOpenAttempts has nothing count that was out while this process stood still, and what it heard before be as old as it is.
func (detector *Detector) discardOpenAttempts() {
	for _, server := range detector.servers {
		server.own.openAttempts = server.own.openAttempts[:0]
		server.own.unanswered = 0
	}
}

func (detector *Detector) updateMembers(e MembersChanged) {
	detector.self = e.Self
	detector.peers = slices.Clone(e.Peers[:min(len(e.Peers), MaxPeers)])
	detector.hashPeers = detector.hashPeers[:0]
	clear(detector.peerByID)
	clear(detector.collectorsByBlock)
	zones := map[string]bool{}
	for i := range detector.peers {
		p := &detector.peers[i]
		detector.peerByID[p.ID] = p
		detector.hashPeers = append(detector.hashPeers, overload.Peer{ID: p.ID, Addr: p.Addr})
		zones[p.Zone] = true
	}
	detector.zoneCount = len(zones)
	detector.nextRefresh = min(detector.nextRefresh, detector.now+detector.settings.TickInterval) // somebody may be new
}

// collectors are those of a server's block.
func (detector *Detector) collectors(server *serverState) []ID {
	block := server.Group / GroupsPerBlock
	ids, ok := detector.collectorsByBlock[block]
	if !ok {
		ids = overload.RendezvousPeers(uint64(block)*0x9e3779b97f4a7c15+1, detector.settings.Collectors, detector.hashPeers)
		detector.collectorsByBlock[block] = ids
	}
	return ids
}

func (detector *Detector) updateServers(all []Server) {
	named := map[string]bool{}
	for _, x := range all {
		if named[x.Name] || len(named) >= MaxServers {
			continue
		}
		if o := detector.byKey[detector.keyOf(x)]; o != nil && o.Name != x.Name { // it shares its key: it goes without
			continue
		}
		named[x.Name] = true
		server := detector.byName[x.Name]
		if server == nil || server.Start != x.Start && detector.settings.Fault != KeepsOldEvidence || server.Group != x.Group {
			if server != nil && server.ejection.active {
				detector.endEjection(server, false)
			}
			down := server != nil && server.down
			if server != nil {
				delete(detector.byKey, server.key)
			}
			server = &serverState{Server: x, key: detector.keyOf(x), assessments: map[ID]*assessment{}, down: down}
			server.own.clear()
			detector.byName[x.Name], detector.byKey[server.key] = server, server
		}
		server.Start = x.Start
	}
	detector.servers, detector.groups = detector.servers[:0], map[int][]*serverState{}
	for name, server := range detector.byName { // sorted below
		if !named[name] {
			delete(detector.byName, name)
			delete(detector.byKey, server.key)
			continue
		}
		detector.servers = append(detector.servers, server)
	}
	slices.SortFunc(detector.servers, func(a, b *serverState) int { return cmp.Compare(a.key, b.key) })
	for _, server := range detector.servers {
		detector.groups[server.Group] = append(detector.groups[server.Group], server)
	}
	for _, server := range detector.servers { // a group that has lost a member spares fewer
		if server.ejection.active {
			detector.updateEjection(server)
		}
	}
}

// keyOf names a server's process.
func (detector *Detector) keyOf(x Server) uint32 {
	if detector.settings.Fault == KeepsOldEvidence {
		x.Start = 0
	}
	return uint32(xxhash.Sum64String(fmt.Sprintf("%s %.0f", x.Name, x.Start)))
}

func (detector *Detector) tick() {
	for _, server := range detector.servers {
		detector.updateEjection(server)
	}
	if detector.now < detector.nextReport {
		return
	}
	detector.nextReport = detector.now + detector.settings.ReportInterval
	full := detector.now >= detector.nextRefresh
	if full {
		detector.nextRefresh = detector.now + detector.settings.RefreshInterval
		detector.removeStale()
	}
	detector.reportChanges(full)
	detector.publish(full)
}

// removeStale forgets what counts for nothing any more.
func (detector *Detector) removeStale() {
	for id, until := range detector.distrustedUntil { // each on its own
		if detector.now >= until {
			delete(detector.distrustedUntil, id)
		}
	}
	for _, server := range detector.servers {
		server.observers = slices.DeleteFunc(server.observers, func(x *observer) bool {
			return detector.now-x.receivedAt > 2*detector.settings.EjectionTime || detector.peerByID[x.id] == nil
		})
		server.changed = true
		for id, word := range server.assessments {
			if detector.now-word.receivedAt > detector.settings.EjectionTime || detector.peerByID[id] == nil {
				delete(server.assessments, id)
			}
		}
	}
}

func (detector *Detector) handleMessage(from ID, m any) {
	if detector.peerByID[from] == nil || from == detector.self {
		return
	}
	switch m := m.(type) {
	case *Observations:
		for i := range m.Items {
			if server := detector.byKey[m.Items[i].Key]; server != nil {
				detector.recordObservation(server, from, m.Sequence, &m.Items[i], detector.settings.MaxDelay)
			}
		}
	case *Assessments:
		for i := range m.Items {
			if server := detector.byKey[m.Items[i].Key]; server != nil {
				detector.recordAssessment(server, from, m.Sequence, &m.Items[i])
			}
		}
	}
}

// split sends items in as many messages as it takes.
func split[T any](items []T, size func(*T) int, send func([]T)) {
	for len(items) > 0 {
		n, all := 0, 0
		for n < len(items) && (n == 0 || all+size(&items[n]) <= maxPacketBytes) {
			all += size(&items[n])
			n++
		}
		send(items[:n:n])
		items = items[n:]
	}
}

// Withholds tells whether a probe's success at a server is no reason to send requests there: others find that it takes none, and it is not this
// pooler's turn to try.
func (detector *Detector) Withholds(name string) bool {
	server := detector.byName[name]
	return server != nil && server.ejection.active && !server.ejection.testing
}

func (server *serverState) publicEjection() Ejection {
	return Ejection{Server: server.Name, Reason: server.ejection.reason, ReportedBy: server.ejection.observers, UntilMs: server.ejection.until}
}

// Ejections tell what is avoided by others' word.
func (detector *Detector) Ejections() (out []Ejection) {
	for _, server := range detector.servers {
		if server.ejection.active {
			out = append(out, server.publicEjection())
		}
	}
	slices.SortFunc(out, func(a, b Ejection) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// LocallyUnreachable counts the servers that this pooler gets no answer from and others do: where there are many, it is its own links.
func (detector *Detector) LocallyUnreachable() (n int) {
	for _, server := range detector.servers {
		if server.own.unanswered > 0 && server.down && !server.ejection.active {
			for _, word := range server.assessments {
				if !word.unhealthy && word.answeredAt > server.own.lastUnanswered {
					n++
					break
				}
			}
		}
	}
	return n
}
