package overload

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/invariant"
)

// Controller is one process's side of it.
type Controller struct {
	settings       Settings
	self           ID
	now            float64
	peers          []Peer // by ID
	addresses      map[ID]string
	actions        []Action
	classes        []uint16 // keys by number
	tenants        []uint16
	priority       map[uint16]float64
	objective      map[uint16]float64 // s
	share          map[uint16]float64
	notIdempotent  map[uint16]bool
	work           map[uint16]float64 // this pooler's own guesses
	groups         map[int]*groupState
	sortedGroups   []*groupState // by number
	nextReport     float64
	sequence       uint32
	pendingReports []pendingReport
	collectorTimes map[ID]collectorTime // of collectors' last answers
	collectorOrder []uint16             // the order that it tells as a collector
	selfMessages   []Action             // what is for this process itself

	checks                      *invariant.Checks
	checkInterval, checkCounter int
}

type pendingReport struct {
	sequence uint32
	sentAt   float64
}

type collectorTime struct{ time, receivedAt float64 }

type loadCounts struct{ first, retries, admitted, served, ended, strain float64 }

// groupState is one of which something was asked lately, or told.
type groupState struct {
	id                        int
	counts, rates             []loadCounts // by class: since the last tell, and a second
	tenantCounts, tenantRates []float64
	openRequests              []float64 // by class
	ratesAt                   float64
	idleReports               int // tells without anything
	decisions                 []collectorDecision
	level                     float64
	budget                    float64
	decidedAt                 float64 // of the answer that the level is from
	applied                   appliedLevel
	reports                   []*peerReport // as a collector, by ID
	collected                 collected
	classOrder                []uint16
	beyondQuota               []KeyedValue
}

// collectorDecision is a collector's answer.
type collectorDecision struct {
	from       ID
	reportedAt float64 // of the tell that it answers: it is younger
	order      []uint16
	decision   ShedDecision
}

// appliedLevel is what the decision module was told last.
type appliedLevel struct {
	level       float64
	order       []uint16
	beyondQuota []KeyedValue
}

// New makes a process's side.
func New(set Settings, self ID, now float64) *Controller {
	controller := &Controller{self: self, now: now, groups: map[int]*groupState{}, addresses: map[ID]string{}, collectorTimes: map[ID]collectorTime{}, work: map[uint16]float64{}}
	controller.nextReport = now + float64(mixHash(uint64(self), 1)%1000)/1000*set.ReportInterval
	controller.updateSettings(set)
	return controller
}

// NameKey names a class or tenant between poolers.
func NameKey(name string) uint16 { return uint16(xxhash.Sum64String(name)) }

func mixHash(a, b uint64) uint64 {
	var x [16]byte
	for i := range 8 {
		x[i], x[8+i] = byte(a>>(8*i)), byte(b>>(8*i))
	}
	return xxhash.Sum64(x[:])
}

func (controller *Controller) updateSettings(set Settings) {
	controller.settings = set
	controller.classes, controller.tenants = nil, nil
	controller.objective = map[uint16]float64{}
	controller.priority, controller.share, controller.notIdempotent = map[uint16]float64{}, map[uint16]float64{}, map[uint16]bool{}
	for _, c := range set.Classes[:min(len(set.Classes), MaxClasses)] {
		k := NameKey(c.Name)
		controller.classes = append(controller.classes, k)
		controller.priority[k], controller.notIdempotent[k], controller.objective[k] = c.Priority, c.NotIdempotent, max(1, c.ObjectiveMs)/1000
	}
	for _, t := range set.Tenants {
		controller.tenants = append(controller.tenants, NameKey(t.Name))
		controller.share[NameKey(t.Name)] = t.Share
	}
	for _, group := range controller.sortedGroups {
		group.counts, group.rates = resized(group.counts, len(controller.classes)), resized(group.rates, len(controller.classes))
		group.openRequests = resized(group.openRequests, len(controller.classes))
		group.tenantCounts, group.tenantRates = resized(group.tenantCounts, len(controller.tenants)), resized(group.tenantRates, len(controller.tenants))
		group.applied = appliedLevel{level: -1}
	}
	controller.collectorOrder = nil
}

func resized[T any](x []T, n int) []T { return append(x, make([]T, max(0, n-len(x)))...)[:n] }

// Handle takes one event and appends what is to be done.
func (controller *Controller) Handle(now float64, e Event, out []Action) []Action {
	controller.now, controller.actions = max(now, controller.now), out
	switch e := e.(type) {
	case Tick:
		controller.tick()
	case MembersChanged:
		controller.updateMembers(e)
	case RequestReceived:
		if group := controller.group(e.Group); group != nil && e.Class >= 0 && e.Class < len(group.counts) {
			if e.Retry {
				group.counts[e.Class].retries++
			} else {
				group.counts[e.Class].first++
			}
			if e.Admitted {
				group.counts[e.Class].admitted++
				group.openRequests[e.Class]++
			}
			if e.Tenant >= 0 && e.Tenant < len(group.tenantCounts) {
				group.tenantCounts[e.Tenant]++
			}
		}
	case RequestEnded:
		if group := controller.group(e.Group); group != nil && e.Class >= 0 && e.Class < len(group.counts) && finite(e.Strain) {
			f := &group.counts[e.Class]
			if group.openRequests[e.Class] = max(0, group.openRequests[e.Class]-1); e.ClientGone {
				break
			}
			f.ended++
			f.strain += min(1, e.Strain)
			if e.Served {
				f.served++
			}
		}
	case WorkLearned:
		for i, w := range e.Work {
			if i < len(controller.classes) && finite(w) {
				controller.work[controller.classes[i]] = w
			}
		}
	case ReportReceived:
		controller.handleReport(e.From, e.Report)
	case DecisionsReceived:
		controller.handleDecisions(e.From, e.Decisions)
	case SettingsChanged:
		controller.updateSettings(e.Settings)
	}
	for len(controller.selfMessages) > 0 { // at most one step deep: an answer leads to nothing
		a := controller.selfMessages[0]
		controller.selfMessages = controller.selfMessages[1:]
		if a.Kind == SendReport {
			controller.handleReport(controller.self, a.Report)
		} else {
			controller.handleDecisions(controller.self, a.Decisions)
		}
	}
	if _, ticked := e.(Tick); ticked && controller.checks.Enabled() {
		controller.checks.Walk(&controller.checkCounter, controller.checkInterval, "overload: a walk", controller.checkState)
	}
	return controller.actions
}

// group finds or files a group; nil where there are too many.
func (controller *Controller) group(id int) *groupState {
	group := controller.groups[id]
	if group == nil && len(controller.sortedGroups) < MaxGroups && id >= 0 {
		group = &groupState{id: id, ratesAt: controller.now, counts: make([]loadCounts, len(controller.classes)), rates: make([]loadCounts, len(controller.classes)), openRequests: make([]float64, len(controller.classes)), tenantCounts: make([]float64, len(controller.tenants)), tenantRates: make([]float64, len(controller.tenants))}
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
	for _, p := range controller.peers {
		controller.addresses[p.ID] = p.Addr
	}
	maps.DeleteFunc(controller.collectorTimes, func(id ID, _ collectorTime) bool { return id != controller.self && controller.addresses[id] == "" })
}

// RendezvousPeers are the n first of the peers by rendezvous hashing of a key.
func RendezvousPeers(key uint64, n int, peers []Peer) []ID {
	type scored struct {
		id ID
		s  uint64
	}
	best := make([]scored, 0, n+1)
	for _, p := range peers {
		s := mixHash(key, uint64(p.ID))
		i := len(best)
		for i > 0 && (s > best[i-1].s || s == best[i-1].s && p.ID > best[i-1].id) {
			i--
		}
		if i < n {
			best = slices.Insert(best, i, scored{p.ID, s})
			best = best[:min(len(best), n)]
		}
	}
	out := make([]ID, len(best))
	for i := range best {
		out[i] = best[i].id
	}
	return out
}

// CollectorsOf are those of a group, where these processes can all be reached.
func (controller *Controller) CollectorsOf(id int) []ID {
	return RendezvousPeers(uint64(id/GroupsPerBlock)<<8|1, controller.settings.Collectors, controller.peers)
}

func (controller *Controller) tick() {
	if controller.now >= controller.nextReport {
		controller.nextReport = max(controller.nextReport+controller.settings.ReportInterval, controller.now+controller.settings.ReportInterval/2)
		controller.sendReports()
		controller.collect()
	}
	for _, group := range controller.sortedGroups {
		controller.updateLevel(group)
	}
	controller.sortedGroups = slices.DeleteFunc(controller.sortedGroups, func(group *groupState) bool {
		old := group.idleReports > 200 && group.level == 0 && len(group.reports) == 0
		if old {
			delete(controller.groups, group.id)
		}
		return old
	})
}

// sendReports brings rates up to now and tells them.
func (controller *Controller) sendReports() {
	var block []*groupState
	flush := func() {
		if len(block) == 0 {
			return
		}
		for _, id := range controller.CollectorsOf(block[0].id) {
			controller.sendReport(id, block)
		}
		block = nil
	}
	for _, group := range controller.sortedGroups {
		if controller.updateRates(group); group.idleReports > 20 && group.level == 0 {
			continue
		}
		size := controller.settings.groupReportBytes()
		if len(block) > 0 && (block[0].id/GroupsPerBlock != group.id/GroupsPerBlock || size*(len(block)+1) > maxReportBytes) {
			flush()
		}
		block = append(block, group)
	}
	flush()
}

func (controller *Controller) updateRates(group *groupState) {
	dt := controller.now - group.ratesAt
	if dt <= 0 {
		return
	}
	keep := math.Exp(-dt / controller.settings.RateMemory)
	in := (1 - keep) * 1000 / dt
	busy := false
	for i := range group.counts {
		n, r := &group.counts[i], &group.rates[i]
		busy = busy || n.first+n.retries+n.ended > 0
		r.first, r.retries, r.served = r.first*keep+n.first*in, r.retries*keep+n.retries*in, r.served*keep+n.served*in
		r.admitted = r.admitted*keep + n.admitted*in
		r.ended, r.strain = r.ended*keep+n.ended*in, r.strain*keep+n.strain*in
		*n = loadCounts{}
	}
	for i := range group.tenantCounts {
		group.tenantRates[i] = group.tenantRates[i]*keep + group.tenantCounts[i]*in
		group.tenantCounts[i] = 0
	}
	group.ratesAt = controller.now
	if group.idleReports++; busy {
		group.idleReports = 0
	}
}

const maxReportBytes = 1000 // bytes about groups in a datagram

const maxPendingReports = 64 // tells whose answers are taken

func (controller *Controller) sendReport(to ID, block []*groupState) {
	controller.sequence++
	if controller.pendingReports = append(controller.pendingReports, pendingReport{controller.sequence, controller.now}); len(controller.pendingReports) > maxPendingReports {
		controller.pendingReports = controller.pendingReports[1:]
	}
	t := &LoadReport{Sequence: controller.sequence}
	if s, ok := controller.collectorTimes[to]; ok {
		t.CollectorTime, t.HeldMs = s.time, controller.now-s.receivedAt
	}
	for _, k := range controller.classes {
		if w := controller.work[k]; w > 0 {
			t.Work = append(t.Work, KeyedValue{k, decodeWork(encodeWork(w))})
		}
	}
	for _, group := range block {
		p := GroupLoad{Group: group.id, Budget: group.budget, Level: group.level}
		for i, k := range controller.classes {
			if r := group.rates[i]; r.first+r.retries+r.ended+group.openRequests[i] >= minRate {
				p.Classes = append(p.Classes, ClassLoad{k, r.first, r.retries, r.admitted, r.served, r.ended, r.strain, group.openRequests[i]})
			}
		}
		p.Tenants = controller.topTenants(group)
		t.Groups = append(t.Groups, p)
	}
	controller.enqueue(Action{Kind: SendReport, To: to, Report: t})
}

const minRate = 1.0 / 64 // a second: less is nothing

// topTenants are the tenants that ask for most.
func (controller *Controller) topTenants(group *groupState) (out []KeyedValue) {
	for i, k := range controller.tenants {
		if group.tenantRates[i] >= minRate {
			out = append(out, KeyedValue{k, group.tenantRates[i]})
		}
	}
	slices.SortStableFunc(out, func(a, b KeyedValue) int { return cmp.Compare(b.Value, a.Value) })
	return out[:min(len(out), MaxTenants)]
}

func (controller *Controller) enqueue(a Action) {
	if a.To == controller.self {
		controller.selfMessages = append(controller.selfMessages, a)
	} else if a.Addr = controller.addresses[a.To]; a.Addr != "" {
		controller.actions = append(controller.actions, a)
	}
}

// handleDecisions takes a collector's answer.
func (controller *Controller) handleDecisions(from ID, a *ShedDecisions) {
	i := slices.IndexFunc(controller.pendingReports, func(s pendingReport) bool { return s.sequence == a.Sequence })
	if i < 0 || controller.now-controller.pendingReports[i].sentAt > controller.settings.StaleAfter {
		return
	}
	at := controller.pendingReports[i].sentAt
	if from != controller.self && controller.addresses[from] == "" || !finite(a.CollectorTime) {
		return
	}
	if s, ok := controller.collectorTimes[from]; !ok || a.CollectorTime > s.time {
		controller.collectorTimes[from] = collectorTime{a.CollectorTime, controller.now}
	}
	for _, v := range a.Groups {
		group := controller.groups[v.Group]
		v.Level = min(v.Level, float64(4*len(a.Order))) // a collector's word is none on classes that it does not know
		if group == nil || !finite(v.Level) || !finite(v.Budget) || !slices.Contains(controller.CollectorsOf(v.Group), from) {
			continue
		}
		k := slices.IndexFunc(group.decisions, func(x collectorDecision) bool { return x.from == from })
		switch {
		case k < 0:
			group.decisions = append(group.decisions, collectorDecision{from, at, a.Order, v})
		case at >= group.decisions[k].reportedAt:
			group.decisions[k] = collectorDecision{from, at, a.Order, v}
		default: // overtaken
			continue
		}
		controller.updateLevel(group)
	}
}

// updateLevel goes by the answer with the middle level, or lets the level fall where there is none.
func (controller *Controller) updateLevel(group *groupState) {
	group.decisions = slices.DeleteFunc(group.decisions, func(x collectorDecision) bool { return controller.now-x.reportedAt > controller.settings.StaleAfter })
	if len(group.decisions) > 0 {
		slices.SortStableFunc(group.decisions, func(a, b collectorDecision) int {
			return cmp.Or(cmp.Compare(a.decision.Level, b.decision.Level), cmp.Compare(a.from, b.from))
		})
		x := group.decisions[(len(group.decisions)-1)/2]
		budgets := make([]float64, len(group.decisions)) // apart: of equal levels one could be a liar's
		for i := range group.decisions {
			budgets[i] = group.decisions[i].decision.Budget
		}
		group.level, group.budget, group.decidedAt, group.classOrder, group.beyondQuota = x.decision.Level, medianBudget(budgets), controller.now, x.order, x.decision.BeyondQuota
		controller.applyShedding(group, group.level)
		return
	}
	if group.level > 0 {
		fall := min(1, max(0, (controller.now-group.decidedAt-controller.settings.HoldTime)/controller.settings.FadeTime))
		if controller.applyShedding(group, group.level*(1-fall)); fall == 1 {
			group.level, group.budget = 0, 0
		}
	}
}

// applyShedding tells the decision module, where that is news.
func (controller *Controller) applyShedding(group *groupState, level float64) {
	p := &group.applied
	if level == p.level && (level == 0 || slices.Equal(p.order, group.classOrder) && slices.Equal(p.beyondQuota, group.beyondQuota)) {
		return
	}
	if level == 0 && p.level <= 0 {
		p.level = 0
		return
	}
	*p = appliedLevel{level, group.classOrder, group.beyondQuota}
	if level == 0 {
		controller.actions = append(controller.actions, Action{Kind: Shed, Group: group.id})
		return
	}
	x := &Shedding{Level: level, Cells: make([][4]int, len(controller.classes)), BeyondQuota: make([]float64, len(controller.tenants)), SessionPeriod: controller.settings.SessionPeriod}
	c := cellsOf(group.classOrder, controller.notIdempotent)
	for i, k := range controller.classes {
		at, ok := c.byClass[k]
		if !ok { // a class that the collector does not know is shed last
			at = [4]int{c.count, c.count, c.count, c.count}
		}
		x.Cells[i] = at
	}
	for i, k := range controller.tenants {
		for _, b := range group.beyondQuota {
			if b.Key == k {
				x.BeyondQuota[i] = min(1, b.Value)
			}
		}
	}
	controller.actions = append(controller.actions, Action{Kind: Shed, Group: group.id, Shedding: x})
}

// Statuses tell how groups stand here.
func (controller *Controller) Statuses() (out []Status) {
	for _, group := range controller.sortedGroups {
		out = append(out, Status{Group: group.id, Level: max(0, group.applied.level), Cells: 4 * len(controller.classes), Budget: group.budget, Answers: len(group.decisions)})
	}
	return out
}
