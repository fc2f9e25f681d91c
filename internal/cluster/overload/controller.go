package overload

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/invariant"
)

// Controller is the overload state of one process, which is both a pooler that reports and sheds, and a collector. It is not safe for
// concurrent use.
type Controller struct {
	settings       Settings
	self           ID
	now            float64
	peers          []Peer // by ID
	addresses      map[ID]string
	actions        []Action
	classes        []uint16 // keys, by number
	tenants        []uint16
	priority       map[uint16]float64
	objective      map[uint16]float64 // s
	share          map[uint16]float64
	notIdempotent  map[uint16]bool
	work           map[uint16]float64 // this pooler's own estimates
	groups         map[int]*groupState
	sortedGroups   []*groupState // by number
	nextReport     float64
	sequence       uint32
	pendingReports []pendingReport
	collectorTimes map[ID]collectorTime // from the last answers
	collectorOrder []uint16             // the order of shedding of classes, as a collector
	selfMessages   []Action             // messages to this process itself that are not handled yet

	checks        *invariant.Checks // nil if invariants are not checked
	checkInterval int               // in ticks
	checkCounter  int
}

// pendingReport is a sent report whose answer is still accepted.
type pendingReport struct {
	sequence uint32
	sentAt   float64
}

// collectorTime is the collector's time in its last answer, and the time at which that arrived here.
type collectorTime struct{ time, receivedAt float64 }

// loadCounts are numbers of requests of a class, or rates per second.
type loadCounts struct{ first, retries, admitted, served, ended, strain float64 }

// groupState is the state of a group with recent requests or reports.
type groupState struct {
	id int

	// State of a pooler that reports.
	counts       []loadCounts // by class, since ratesAt
	rates        []loadCounts // by class
	tenantCounts []float64
	tenantRates  []float64
	openRequests []float64 // by class
	ratesAt      float64
	idleReports  int // report intervals without requests

	// State of a pooler that sheds.
	decisions   []collectorDecision
	level       float64
	budget      float64
	decidedAt   float64 // time of the last decision on the level
	classOrder  []uint16
	beyondQuota []KeyedValue
	applied     appliedLevel

	// State of a collector.
	reports   []*peerReport // by ID
	collector collectorState
}

// collectorDecision is the last decision of a collector.
type collectorDecision struct {
	from       ID
	reportedAt float64 // sending time of the report that it answers
	order      []uint16
	decision   ShedDecision
}

// appliedLevel is the shedding that the decision module was last given.
type appliedLevel struct {
	level       float64
	order       []uint16
	beyondQuota []KeyedValue
}

// phases is the number of phases of a report interval over which processes are spread.
const phases = 1000

// New returns the Controller of a process without state, at time now in ms.
func New(settings Settings, self ID, now float64) *Controller {
	controller := &Controller{
		self: self, now: now, groups: map[int]*groupState{}, addresses: map[ID]string{},
		collectorTimes: map[ID]collectorTime{}, work: map[uint16]float64{},
	}
	controller.nextReport = now + float64(mixHash(uint64(self), 1)%phases)/phases*settings.ReportInterval
	controller.updateSettings(settings)
	return controller
}

// NameKey returns the hash by which messages identify a class or a tenant.
func NameKey(name string) uint16 { return uint16(xxhash.Sum64String(name)) }

func mixHash(a, b uint64) uint64 {
	var x [16]byte
	for i := range 8 {
		x[i], x[8+i] = byte(a>>(8*i)), byte(b>>(8*i))
	}
	return xxhash.Sum64(x[:])
}

func (controller *Controller) updateSettings(settings Settings) {
	controller.settings = settings
	controller.classes, controller.tenants = nil, nil
	controller.objective = map[uint16]float64{}
	controller.priority, controller.share, controller.notIdempotent = map[uint16]float64{}, map[uint16]float64{}, map[uint16]bool{}
	for _, class := range settings.Classes[:min(len(settings.Classes), MaxClasses)] {
		key := NameKey(class.Name)
		controller.classes = append(controller.classes, key)
		controller.priority[key] = class.Priority
		controller.notIdempotent[key] = class.NotIdempotent
		controller.objective[key] = max(1, class.ObjectiveMs) / msPerSecond
	}
	for _, tenant := range settings.Tenants {
		key := NameKey(tenant.Name)
		controller.tenants = append(controller.tenants, key)
		controller.share[key] = tenant.Share
	}
	for _, group := range controller.sortedGroups {
		group.counts = resized(group.counts, len(controller.classes))
		group.rates = resized(group.rates, len(controller.classes))
		group.openRequests = resized(group.openRequests, len(controller.classes))
		group.tenantCounts = resized(group.tenantCounts, len(controller.tenants))
		group.tenantRates = resized(group.tenantRates, len(controller.tenants))
		group.applied = appliedLevel{level: -1}
	}
	controller.collectorOrder = nil
}

func resized[T any](x []T, n int) []T { return append(x, make([]T, max(0, n-len(x)))...)[:n] }

// Handle processes one event at time now, in ms, and appends the actions that it causes to out.
func (controller *Controller) Handle(now float64, event Event, out []Action) []Action {
	controller.now, controller.actions = max(now, controller.now), out
	switch e := event.(type) {
	case Tick:
		controller.tick()
	case MembersChanged:
		controller.updateMembers(e)
	case RequestReceived:
		controller.countRequest(&e)
	case RequestEnded:
		controller.countEnd(&e)
	case WorkLearned:
		controller.learnWork(e.Work)
	case ReportReceived:
		controller.handleReport(e.From, e.Report)
	case DecisionsReceived:
		controller.handleDecisions(e.From, e.Decisions)
	case SettingsChanged:
		controller.updateSettings(e.Settings)
	}
	controller.handleSelfMessages()
	if _, ticked := event.(Tick); ticked && controller.checks.Enabled() {
		controller.checks.Walk(&controller.checkCounter, controller.checkInterval, "overload: the state", controller.checkState)
	}
	return controller.actions
}

// handleSelfMessages handles the messages to this process itself. A report causes one answer, and that causes none.
func (controller *Controller) handleSelfMessages() {
	for len(controller.selfMessages) > 0 {
		message := controller.selfMessages[0]
		controller.selfMessages = controller.selfMessages[1:]
		if message.Kind == SendReport {
			controller.handleReport(controller.self, message.Report)
		} else {
			controller.handleDecisions(controller.self, message.Decisions)
		}
	}
}

func (controller *Controller) countRequest(request *RequestReceived) {
	group := controller.group(request.Group)
	if group == nil || !group.hasClass(request.Class) {
		return
	}
	counts := &group.counts[request.Class]
	if request.Retry {
		counts.retries++
	} else {
		counts.first++
	}
	if request.Admitted {
		counts.admitted++
		group.openRequests[request.Class]++
	}
	if request.Tenant >= 0 && request.Tenant < len(group.tenantCounts) {
		group.tenantCounts[request.Tenant]++
	}
}

func (controller *Controller) countEnd(request *RequestEnded) {
	group := controller.group(request.Group)
	if group == nil || !group.hasClass(request.Class) || !finite(request.Strain) {
		return
	}
	group.openRequests[request.Class] = max(0, group.openRequests[request.Class]-1)
	if request.ClientGone {
		return
	}
	counts := &group.counts[request.Class]
	counts.ended++
	counts.strain += min(1, request.Strain)
	if request.Served {
		counts.served++
	}
}

func (controller *Controller) learnWork(work []float64) {
	for class, estimate := range work {
		if class < len(controller.classes) && finite(estimate) {
			controller.work[controller.classes[class]] = estimate
		}
	}
}

func (group *groupState) hasClass(class int) bool { return class >= 0 && class < len(group.counts) }

// group returns the state of a group and creates it for an unknown one. It returns nil for an invalid number or beyond MaxGroups groups.
func (controller *Controller) group(id int) *groupState {
	group := controller.groups[id]
	if group == nil && len(controller.sortedGroups) < MaxGroups && id >= 0 {
		classes, tenants := len(controller.classes), len(controller.tenants)
		group = &groupState{
			id: id, ratesAt: controller.now, counts: make([]loadCounts, classes), rates: make([]loadCounts, classes),
			openRequests: make([]float64, classes), tenantCounts: make([]float64, tenants), tenantRates: make([]float64, tenants),
		}
		controller.groups[id] = group
		i, _ := slices.BinarySearchFunc(controller.sortedGroups, id, func(group *groupState, id int) int { return cmp.Compare(group.id, id) })
		controller.sortedGroups = slices.Insert(controller.sortedGroups, i, group)
	}
	return group
}

func (controller *Controller) updateMembers(e MembersChanged) {
	controller.self = e.Self
	controller.peers = append(controller.peers[:0], e.Peers[:min(len(e.Peers), MaxPeers)]...)
	slices.SortFunc(controller.peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	clear(controller.addresses)
	for _, peer := range controller.peers {
		controller.addresses[peer.ID] = peer.Addr
	}
	maps.DeleteFunc(controller.collectorTimes, func(id ID, _ collectorTime) bool {
		return id != controller.self && controller.addresses[id] == ""
	})
}

// RendezvousPeers returns the first n peers by rendezvous hashing of a key.
func RendezvousPeers(key uint64, n int, peers []Peer) []ID {
	type scored struct {
		id    ID
		score uint64
	}
	best := make([]scored, 0, n+1)
	for _, peer := range peers {
		score := mixHash(key, uint64(peer.ID))
		i := len(best)
		for i > 0 && (score > best[i-1].score || score == best[i-1].score && peer.ID > best[i-1].id) {
			i--
		}
		if i < n {
			best = slices.Insert(best, i, scored{peer.ID, score})
			best = best[:min(len(best), n)]
		}
	}
	out := make([]ID, len(best))
	for i := range best {
		out[i] = best[i].id
	}
	return out
}

// CollectorsOf returns the collectors of a group, by this process's view.
func (controller *Controller) CollectorsOf(group int) []ID {
	return RendezvousPeers(uint64(group/GroupsPerBlock)<<8|1, controller.settings.Collectors, controller.peers)
}

func (controller *Controller) tick() {
	if controller.now >= controller.nextReport {
		interval := controller.settings.ReportInterval
		controller.nextReport = max(controller.nextReport+interval, controller.now+interval/2)
		controller.sendReports()
		controller.collect()
	}
	for _, group := range controller.sortedGroups {
		controller.updateLevel(group)
	}
	controller.sortedGroups = slices.DeleteFunc(controller.sortedGroups, func(group *groupState) bool {
		unused := group.idleReports > forgetAfterReports && group.level == 0 && len(group.reports) == 0
		if unused {
			delete(controller.groups, group.id)
		}
		return unused
	})
}
