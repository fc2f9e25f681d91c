package modelcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/cluster/zones"
	"beechgrade/internal/cluster/zones/follower"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/cluster/zones/planner"
)

// ZoneVoters is a set of voters that plan zones together, each in its own zone, with the messages between them and a shared log. The log is
// a worst case: proposals are committed in any order, late, once or twice, and each voter applies them at any time. Several voters may
// consider themselves the leader at once. A voter may be paused, and restarted from its disk, whose entries it applies at its start or
// later. Time advances in steps with a tick of each running voter. The checks see what voters apply and follow, not their state.
type ZoneVoters struct {
	Ticks, Pauses, ChangeLeader, Crash, Duplicate, DuplicateProposal int // faults and events that may still happen

	Settings                zones.Settings
	ZoneLostAt              float64 // time from which on the last zone has no servers
	MaxDelay                float64 // steps after which a message that has not arrived is lost
	LosesPlanNumber         bool    // a mutant: a restarted process does not find its stored plan number
	KnowsLeaderBeforeReplay bool    // a mutant: a process that starts knows a leader before it has applied the entries on its disk
	DropsAges               bool    // a mutant: plan updates arrive without their age
	AcceptsAnyPlan          bool    // a mutant: the state machine accepts any plan
	PlansNeverExpire        bool    // a mutant: plans do not expire

	now       float64
	log       []string // committed entries
	proposals []string // not committed yet
	messages  []zoneMessage
	processes []*zoneProcess
	observed  zoneObserved
}

// zoneMessage is an encoded message in progress.
type zoneMessage struct {
	from, to int
	text     string
	sentAt   float64
}

// zoneObserved is what was observed in all states up to this one.
type zoneObserved struct {
	plans   map[uint64]string  // encoded, by number
	applied map[uint64]float64 // by number: when a voter that knew a leader last applied an entry with the plan in force
}

// zoneProcess is a voter.
type zoneProcess struct {
	coordinator   *zones.Coordinator // nil if it must be rebuilt from events
	events        []zoneEvent
	key           uint64 // hash of all its events
	incarnation   int
	applied       int    // number of entries of the log that it has applied
	entriesOnDisk int    // how many of them were on its disk at its start
	storedNumber  uint64 // plan number in its file
	minPlan       uint64 // plan number in its file at its start
	startedAt     float64
	sampledAt     float64 // time of its last tick
	leader        int     // last leader that it was notified of, below 0 for none
	pendingStores []pendingStore
	clock         float64
	outgoing      []zoneMessage // sent in the current event
	proposals     []string

	followedNumber, followedSince uint64 // of the plan that it followed last; since is kept over restarts
}

// pendingStore is a write of a plan number to a voter's file that has not completed.
type pendingStore struct {
	number uint64
	done   func()
}

// zoneEvent is an event of a process.
type zoneEvent struct {
	now  float64
	kind zoneEventKind
	text string // an encoded message, an entry, or the name of the leader
	n    uint64 // ID of the sender, index of the leader, or index of the entry
}

// zoneEventKind is the kind of a zoneEvent.
type zoneEventKind uint8

const (
	zoneTick zoneEventKind = iota
	zoneReceived
	zoneApply
	zoneLeaderChanged
	zoneNumberStored
)

// ZoneSettings returns the settings of n zones, in steps instead of ms.
func ZoneSettings(zoneCount int) zones.Settings {
	settings := zones.Defaults()
	for i := range zoneCount {
		settings.Zones = append(settings.Zones, string(rune('a'+i)))
		settings.Voters = append(settings.Voters, fmt.Sprint("p", i))
	}
	settings.ReportInterval, settings.PlanLifetime = 1, 3
	plannerSettings := &settings.Planner
	plannerSettings.ReportLifetime, plannerSettings.Window, plannerSettings.LoadMemory, plannerSettings.StepInterval, plannerSettings.OutwardShare, plannerSettings.ReturnShare, plannerSettings.RenewInterval, plannerSettings.SettleTime, plannerSettings.ProposalTimeout = 3, 1, 1, 4, 1, 1, 1, 0, 1
	health := &plannerSettings.Health
	health.FailureTime, health.EvacuationTime, health.StrainTime, health.MinRest, health.MaxRest, health.RecoveryTime = 0, 0, 100, 100, 100, 1
	for range zoneCount {
		plannerSettings.Plan.Delay = append(plannerSettings.Plan.Delay, make([]float64, zoneCount))
	}
	plannerSettings.Plan.Classes = append(plannerSettings.Plan.Classes, plan.Class{Priority: 1})
	return settings
}

// NewZoneVoters returns voters that have just started, without a leader.
func NewZoneVoters(settings zones.Settings) *ZoneVoters {
	s := &ZoneVoters{Settings: settings, ZoneLostAt: 2, MaxDelay: 1, now: 1, observed: zoneObserved{map[uint64]string{}, map[uint64]float64{}}}
	for range settings.Zones {
		s.processes = append(s.processes, &zoneProcess{leader: -1, startedAt: s.now, clock: s.now})
	}
	return s
}

// zoneHost is the environment of a voter's coordinator.
type zoneHost struct {
	system *ZoneVoters
	index  int
}

// process returns the voter.
func (h zoneHost) process() *zoneProcess { return h.system.processes[h.index] }

// Now implements module.Transport.
func (h zoneHost) Now() float64 { return h.process().clock }

// Send implements module.Transport.
func (h zoneHost) Send(addr string, _ view.ID, _ view.Kind, msg module.Message) {
	h.process().outgoing = append(h.process().outgoing, zoneMessage{h.index, slices.Index(h.system.Settings.Voters, addr), string(msg.Append(nil)), h.process().clock})
}

// SendStream implements module.Transport.
func (h zoneHost) SendStream(string, view.ID, view.Kind, module.Message, func(bool)) {}

// Propose implements zones.Log.
func (h zoneHost) Propose(entry []byte) {
	h.process().proposals = append(h.process().proposals, string(entry))
}

// Sample implements zones.Pooler: there is a small load everywhere, and from ZoneLostAt on the last zone has no servers.
func (h zoneHost) Sample(float64) (cells []planner.Cell, asks []planner.Demand) {
	for zone := range h.system.Settings.Zones {
		cell := planner.Cell{Zone: zone, Cores: 4, FullCores: 4, Attempts: 20}
		if zone == len(h.system.Settings.Zones)-1 && h.process().clock >= h.system.ZoneLostAt {
			cell.Cores, cell.Lost = 0, 20
		}
		cells = append(cells, cell)
	}
	return cells, []planner.Demand{{Load: 0.5}}
}

// ApplyStatus implements zones.Pooler.
func (h zoneHost) ApplyStatus(follower.Status) {}

// StorePlanNumber implements zones.Pooler.
func (h zoneHost) StorePlanNumber(number uint64, done func()) {
	h.process().pendingStores = append(h.process().pendingStores, pendingStore{number, done})
}

// newCoordinator returns a process's coordinator after its events so far.
func (s *ZoneVoters) newCoordinator(i int) *zones.Coordinator {
	process := s.processes[i]
	settings := s.Settings
	settings.Zone, settings.Name, settings.MinPlan = settings.Zones[i], settings.Voters[i], process.minPlan
	if s.LosesPlanNumber {
		settings.MinPlan = 0
	}
	if s.PlansNeverExpire {
		settings.PlanLifetime = 1e9
	}
	host := zoneHost{s, i}
	clock := process.clock
	process.clock, process.pendingStores = process.startedAt, nil
	coordinator := zones.New(settings, host, host, host)
	coordinator.State().AcceptsAnyPlan = s.AcceptsAnyPlan
	var all []view.Record
	for k, name := range settings.Voters {
		all = append(all, view.Record{ID: view.ID(k + 1), Name: name, Addr: name, Zone: settings.Zones[k], State: view.Alive})
	}
	coordinator.UpdateMembers(view.ID(i+1), all, view.Counts{})
	if s.KnowsLeaderBeforeReplay && process.entriesOnDisk > 0 {
		coordinator.SetLeader(settings.Voters[(i+1)%len(settings.Voters)])
	}
	for k := range process.entriesOnDisk {
		coordinator.Apply(uint64(k+1), []byte(s.log[k]))
	}
	for _, event := range process.events {
		process.clock = event.now
		process.apply(coordinator, s, &event)
	}
	process.clock, process.outgoing, process.proposals = clock, nil, nil
	return coordinator
}

// apply applies an event to the process's coordinator.
func (x *zoneProcess) apply(coordinator *zones.Coordinator, system *ZoneVoters, event *zoneEvent) {
	switch event.kind {
	case zoneTick:
		coordinator.Tick()
	case zoneReceived:
		message, err := coordinator.Decode([]byte(event.text))
		if err != nil {
			panic(err)
		}
		if update, ok := message.(*zones.PlanUpdate); ok && system.DropsAges {
			update.AgeMs = 0
		}
		coordinator.Receive(view.ID(event.n), message)
	case zoneApply:
		coordinator.Apply(event.n, []byte(event.text))
	case zoneLeaderChanged:
		coordinator.SetLeader(event.text)
	case zoneNumberStored:
		store := x.pendingStores[0]
		x.pendingStores = slices.Delete(slices.Clone(x.pendingStores), 0, 1)
		store.done()
	}
}

// handle records an event and checks the process.
func (s *ZoneVoters) handle(i int, event zoneEvent) error {
	s.record(i, event)
	return s.checkProcess(i)
}

// record passes an event to a process and collects its messages and proposals.
func (s *ZoneVoters) record(i int, event zoneEvent) {
	process := s.processes[i]
	if process.coordinator == nil {
		process.coordinator = s.newCoordinator(i)
	}
	event.now, process.clock = s.now, s.now
	if event.kind == zoneTick {
		process.sampledAt = s.now
	}
	process.apply(process.coordinator, s, &event)
	process.events = append(process.events, event)
	process.key = xxhash.Sum64String(fmt.Sprint(process.key, event))
	for _, msg := range process.outgoing {
		if !slices.Contains(s.messages, msg) && msg.to >= 0 {
			s.messages = append(s.messages, msg)
		}
	}
	for _, proposal := range process.proposals {
		if !slices.Contains(s.proposals, proposal) {
			s.proposals = append(s.proposals, proposal)
		}
	}
	process.outgoing, process.proposals = nil, nil
}

// checkProcess checks what a voter has applied and follows.
func (s *ZoneVoters) checkProcess(i int) error {
	process := s.processes[i]
	status, followed := process.coordinator.Status()
	for _, observation := range []struct {
		what   string
		number uint64
		text   string
	}{{"has", 0, ""}, {"follows", 0, ""}} {
		if applied := process.coordinator.State().Plan; observation.what == "has" && applied != nil {
			observation.number, observation.text = applied.Number, string(applied.Append(nil))
		} else if observation.what == "follows" && followed != nil {
			observation.number, observation.text = followed.Number, string(followed.Append(nil))
		}
		if was, known := s.observed.plans[observation.number]; known && was != observation.text {
			return fmt.Errorf("voter %d %s another plan %d than the one observed before", i, observation.what, observation.number)
		}
		if observation.number > 0 {
			s.observed.plans[observation.number] = observation.text
		}
	}
	if followed == nil {
		return nil
	}
	if followed.Number < process.followedNumber {
		return fmt.Errorf("voter %d follows plan %d after plan %d", i, followed.Number, process.followedNumber)
	}
	if followed.Since < process.followedSince {
		return fmt.Errorf("voter %d follows plan %d, whose target dates from plan %d, after a target that dates from plan %d", i, followed.Number, followed.Since, process.followedSince)
	}
	process.followedNumber, process.followedSince = followed.Number, followed.Since
	if appliedAt, known := s.observed.applied[status.PlanNumber]; status.Reason == follower.Planned && process.sampledAt == s.now && (!known || s.now >= appliedAt+s.Settings.PlanLifetime+s.MaxDelay) {
		return fmt.Errorf("voter %d uses expired plan %d at %v; it was last applied at %v", i, status.PlanNumber, s.now, appliedAt)
	}
	if status.Zone != i && followed.Matrix[i][status.Zone] == 0 {
		return fmt.Errorf("voter %d goes to zone %d, where plan %d sends nothing", i, status.Zone, followed.Number)
	}
	return nil
}

func (s *ZoneVoters) clone() *ZoneVoters {
	clone := *s
	clone.log, clone.proposals, clone.messages = slices.Clip(s.log), slices.Clone(s.proposals), slices.Clone(s.messages)
	clone.observed = zoneObserved{maps.Clone(s.observed.plans), maps.Clone(s.observed.applied)}
	clone.processes = make([]*zoneProcess, len(s.processes))
	for i, process := range s.processes {
		processCopy := *process
		processCopy.coordinator, processCopy.events = nil, slices.Clip(process.events)
		clone.processes[i] = &processCopy
	}
	return &clone
}

// Key implements System: states are equal if each voter had the same events in the same order and the same messages are in progress.
func (s *ZoneVoters) Key() string {
	var key strings.Builder
	fmt.Fprint(&key, s.now, s.Ticks, s.Pauses, s.ChangeLeader, s.Crash, s.Duplicate, s.DuplicateProposal, len(s.log))
	for _, process := range s.processes {
		fmt.Fprintf(&key, "|%x %d %d %d", process.key, process.applied, process.entriesOnDisk, process.minPlan)
	}
	rest := slices.Concat(s.proposals, s.log)
	for _, msg := range s.messages {
		rest = append(rest, fmt.Sprint(msg))
	}
	slices.Sort(rest)
	fmt.Fprintf(&key, "%q", rest)
	return key.String()
}

// Check implements System: errors are found by the moves.
func (s *ZoneVoters) Check() error { return nil }

// advance advances time by a step, with a tick of each voter but the paused one, which is -1 for none. Messages that are too late are lost.
func (s *ZoneVoters) advance(paused int) error {
	s.now++
	s.messages = slices.DeleteFunc(s.messages, func(msg zoneMessage) bool { return s.now-msg.sentAt > s.MaxDelay })
	for i := range s.processes {
		if i == paused {
			continue
		}
		if err := s.handle(i, zoneEvent{kind: zoneTick}); err != nil {
			return err
		}
	}
	return nil
}

// apply applies the next committed entry at a voter.
func (s *ZoneVoters) apply(i int) error {
	process := s.processes[i]
	process.applied++
	s.record(i, zoneEvent{kind: zoneApply, text: s.log[process.applied-1], n: uint64(process.applied)})
	if applied := process.coordinator.State().Plan; applied != nil && process.leader >= 0 {
		s.observed.applied[applied.Number] = s.now
	}
	return s.checkProcess(i)
}

// setLeader notifies a voter of a leader.
func (s *ZoneVoters) setLeader(i, leader int) error {
	s.processes[i].leader = leader
	return s.handle(i, zoneEvent{kind: zoneLeaderChanged, text: s.Settings.Voters[leader], n: uint64(leader)})
}

// numberStored completes the write of a plan number to a voter's file.
func (s *ZoneVoters) numberStored(i int) error {
	process := s.processes[i]
	if process.coordinator == nil {
		process.coordinator = s.newCoordinator(i)
	}
	process.storedNumber = max(process.storedNumber, process.pendingStores[0].number)
	return s.handle(i, zoneEvent{kind: zoneNumberStored})
}

// crash restarts a voter, which applies the given number of entries from its disk at its start and the others later.
func (s *ZoneVoters) crash(i, entries int) {
	process := s.processes[i]
	s.processes[i] = &zoneProcess{
		incarnation:   process.incarnation + 1,
		key:           xxhash.Sum64String(fmt.Sprint(process.key, entries, s.now)),
		applied:       entries,
		entriesOnDisk: entries,
		storedNumber:  process.storedNumber,
		minPlan:       process.storedNumber,
		leader:        -1,
		startedAt:     s.now,
		clock:         s.now,
		followedSince: process.followedSince,
	}
}

// commitProposal appends a proposal to the log. With keep it may be committed again.
func (s *ZoneVoters) commitProposal(index int, keep bool) {
	s.log = append(s.log, s.proposals[index])
	if !keep {
		s.proposals = slices.Delete(s.proposals, index, index+1)
	}
}

// deliver delivers a message. With keep it may be delivered again.
func (s *ZoneVoters) deliver(index int, keep bool) error {
	msg := s.messages[index]
	if !keep {
		s.messages = slices.Delete(s.messages, index, index+1)
	}
	return s.handle(msg.to, zoneEvent{kind: zoneReceived, text: msg.text, n: uint64(msg.from + 1)})
}

// Moves implements System.
func (s *ZoneVoters) Moves() (moves []Move) {
	add := func(name string, do func(next *ZoneVoters) error) {
		moves = append(moves, Move{name, func() (System, error) {
			next := s.clone()
			return next, do(next)
		}})
	}
	if s.Ticks > 0 {
		for i := -1; i < len(s.processes) && (i < 0 || s.Pauses > 0); i++ {
			add(fmt.Sprintf("advance time, voter %d paused", i), func(next *ZoneVoters) error {
				if next.Ticks--; i >= 0 {
					next.Pauses--
				}
				return next.advance(i)
			})
		}
	}
	for index, msg := range s.messages {
		name := fmt.Sprintf("%d to %d, sent at %v, type %x", msg.from, msg.to, msg.sentAt, msg.text[0])
		add(name, func(next *ZoneVoters) error { return next.deliver(index, false) })
		if s.Duplicate > 0 {
			add(name+" duplicated", func(next *ZoneVoters) error {
				next.Duplicate--
				return next.deliver(index, true)
			})
		}
	}
	for index := range s.proposals {
		add(fmt.Sprintf("proposal %d is committed", index), func(next *ZoneVoters) error {
			next.commitProposal(index, false)
			return nil
		})
		if s.DuplicateProposal > 0 {
			add(fmt.Sprintf("proposal %d is committed, and may be committed again", index), func(next *ZoneVoters) error {
				next.DuplicateProposal--
				next.commitProposal(index, true)
				return nil
			})
		}
	}
	for i, process := range s.processes {
		if process.applied < len(s.log) {
			add(fmt.Sprintf("%d applies entry %d", i, process.applied+1), func(next *ZoneVoters) error { return next.apply(i) })
		}
		if len(process.pendingStores) > 0 {
			add(fmt.Sprintf("%d has stored plan number %d", i, process.pendingStores[0].number), func(next *ZoneVoters) error { return next.numberStored(i) })
		}
		if s.Crash > 0 {
			for _, entries := range slices.Compact([]int{0, process.applied}) {
				add(fmt.Sprintf("%d restarts with %d entries", i, entries), func(next *ZoneVoters) error {
					next.Crash--
					next.crash(i, entries)
					return nil
				})
			}
		}
		for leader := range s.processes {
			if leader != process.leader && s.ChangeLeader > 0 {
				add(fmt.Sprintf("%d learns that %d leads", i, leader), func(next *ZoneVoters) error {
					next.ChangeLeader--
					return next.setLeader(i, leader)
				})
			}
		}
	}
	return moves
}

// RandomWalk makes up to the given number of random moves and returns their names.
func (s *ZoneVoters) RandomWalk(pick func(n int) int, steps int) ([]string, error) {
	var names []string
	for current := s; len(names) < steps; {
		moves := current.Moves()
		if len(moves) == 0 {
			break
		}
		move := moves[pick(len(moves))]
		names = append(names, move.Name)
		next, err := move.Do()
		if err != nil {
			return names, err
		}
		current = next.(*ZoneVoters)
	}
	return names, nil
}
