package outlier

import (
	"cmp"
	"slices"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/invariant"
)

// maxPauseMs is the time since its last tick after which a process counts as paused.
const maxPauseMs = 500

// Detector is the outlier detection of one process, which is an observer, a collector, and a pooler that applies the collectors'
// assessments. It is not safe for concurrent use.
type Detector struct {
	settings          Settings
	self              ID
	now               float64
	peers             []Peer
	hashPeers         []overload.Peer // the same peers, for rendezvous hashing
	peerByID          map[ID]*Peer
	zoneCount         int // number of zones with poolers
	byKey             map[uint32]*serverState
	byName            map[string]*serverState
	servers           []*serverState // by key
	groups            map[int][]*serverState
	collectorsByBlock map[int][]ID
	distrustedUntil   map[ID]float64
	sequence          uint32 // of the last sent message
	lastTick          float64
	nextReport        float64
	nextRefresh       float64
	actions           []Action

	checks        *invariant.Checks // nil if invariants are not checked
	checkInterval int               // in events
	checkCounter  int
}

// serverState is the state of one process of a server. Times are in ms, on this process's clock.
type serverState struct {
	Server
	key  uint32 // hash of the name and the start
	down bool   // marked down by this pooler's decision module

	// State of an observer.
	own        localEvidence
	reported   Observation // the last sent one
	reportedAt float64     // time of the last one that was sent at once

	// State of a collector.
	observers       []*observer // by ID
	changed         bool        // evidence arrived since the last assessment
	published       Assessment  // the last sent one, with times instead of ages
	healthCheckedAt float64

	// State of a pooler that applies assessments.
	assessments     map[ID]*assessment // by collector
	ejection        ejection
	learnedPosition float64 // the newest one passed to the decision module, in any role
	primaryPosition float64 // the newest one passed to it as the primary
}

// observer is the evidence of one observer about a server. Times are on this process's clock.
type observer struct {
	id               ID
	zone             string
	sequence         uint32 // of the message with the unanswered attempts
	answeredSequence uint32 // of the message with the answer
	reportSequence   uint32 // of the message with the server's report
	receivedAt       float64
	answeredAt       float64
	soleAnswersSince float64 // no other observer received an answer after this time
	unanswered       int
	firstUnanswered  float64
	lastUnanswered   float64
	work             float64 // ms that one of the unanswered attempts should have taken
	report           ServerReport
	reportedAt       float64
}

// New returns the Detector of a process without state, at time now in ms.
func New(settings Settings, self ID, now float64) *Detector {
	return &Detector{
		settings: settings, self: self, now: now, nextReport: now, nextRefresh: now,
		peerByID: map[ID]*Peer{}, byKey: map[uint32]*serverState{}, byName: map[string]*serverState{},
		groups: map[int][]*serverState{}, collectorsByBlock: map[int][]ID{}, distrustedUntil: map[ID]float64{},
	}
}

// Handle processes one event at time now, in ms, and appends the actions that it causes to out.
func (detector *Detector) Handle(now float64, e Event, out []Action) []Action {
	if detector.lastTick > 0 && now-detector.lastTick > maxPauseMs {
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
	case ServerReported:
		if server := detector.byName[e.Server]; server != nil {
			detector.recordReport(server, e.Report)
		}
	case ServersDown:
		for _, server := range detector.servers {
			_, server.down = slices.BinarySearch(e.Servers, server.Name)
		}
	case Received:
		detector.handleMessage(e.From, e.Message)
	}
	if detector.checks.Enabled() {
		detector.checks.Walk(&detector.checkCounter, detector.checkInterval, "outlier: the state", detector.checkState)
	}
	out, detector.actions = detector.actions, nil
	return out
}

// discardOpenAttempts drops the attempts that were open while this process was paused: their answers may still be in a socket.
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
	detector.nextRefresh = min(detector.nextRefresh, detector.now+detector.settings.TickInterval) // new members have no evidence yet
}

// collectors returns the collectors of a server: those of its block of groups.
func (detector *Detector) collectors(server *serverState) []ID {
	block := server.Group / GroupsPerBlock
	ids, ok := detector.collectorsByBlock[block]
	if !ok {
		ids = overload.RendezvousPeers(uint64(block)*blockHashFactor+1, detector.settings.Collectors, detector.hashPeers)
		detector.collectorsByBlock[block] = ids
	}
	return ids
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

// removeStale drops evidence and assessments that no longer count, and those of processes that have ended.
func (detector *Detector) removeStale() {
	for id, until := range detector.distrustedUntil {
		if detector.now >= until {
			delete(detector.distrustedUntil, id)
		}
	}
	for _, server := range detector.servers {
		server.observers = slices.DeleteFunc(server.observers, func(o *observer) bool {
			return detector.now-o.receivedAt > 2*detector.settings.EjectionTime || detector.peerByID[o.id] == nil
		})
		server.changed = true
		for id, a := range server.assessments {
			if detector.now-a.receivedAt > detector.settings.EjectionTime || detector.peerByID[id] == nil {
				delete(server.assessments, id)
			}
		}
	}
}

// handleMessage records the items about servers that this process knows. Messages of this process to itself do not pass here.
func (detector *Detector) handleMessage(from ID, message any) {
	if detector.peerByID[from] == nil || from == detector.self {
		return
	}
	switch m := message.(type) {
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

// receivedTime converts the age of an event, in a message that arrived now, to a time.
func (detector *Detector) receivedTime(age float64) float64 {
	if detector.settings.Fault == AgeFromReceipt {
		return detector.now
	}
	return detector.now - age
}

// split passes the items to send in parts of at most maxPacketBytes each.
func split[T any](items []T, size func(*T) int, send func([]T)) {
	for len(items) > 0 {
		n, total := 0, 0
		for n < len(items) && (n == 0 || total+size(&items[n]) <= maxPacketBytes) {
			total += size(&items[n])
			n++
		}
		send(items[:n:n])
		items = items[n:]
	}
}

// Withholds reports whether this pooler sends a server no requests though its health check succeeds: the server is ejected, and it is not
// this pooler's turn to test it.
func (detector *Detector) Withholds(name string) bool {
	server := detector.byName[name]
	return server != nil && server.ejection.active && !server.ejection.testing
}

// publicEjection returns a server's ejection as it is reported to operators.
func (server *serverState) publicEjection() Ejection {
	e := &server.ejection
	return Ejection{Server: server.Name, Reason: e.reason, ReportedBy: e.observers, UntilMs: e.until}
}

// Ejections returns the servers that are ejected on shared evidence, by name.
func (detector *Detector) Ejections() (out []Ejection) {
	for _, server := range detector.servers {
		if server.ejection.active {
			out = append(out, server.publicEjection())
		}
	}
	slices.SortFunc(out, func(a, b Ejection) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// LocallyUnreachable counts the servers that answer others and not this pooler. If there are many, this pooler's own links fail.
func (detector *Detector) LocallyUnreachable() (n int) {
	for _, server := range detector.servers {
		if server.own.unanswered > 0 && server.down && !server.ejection.active && server.answersOthers() {
			n++
		}
	}
	return n
}

// answersOthers reports whether a collector knows of an answer after this pooler's last unanswered attempt.
func (server *serverState) answersOthers() bool {
	for _, a := range server.assessments {
		if !a.unhealthy && a.answeredAt > server.own.lastUnanswered {
			return true
		}
	}
	return false
}
