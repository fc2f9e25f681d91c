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
	log       []string
	proposals []string // not committed yet
	messages  []zoneMessage
	processes []*zoneProcess
	observed  zoneObserved
}

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

type zoneProcess struct {
	coordinator   *zones.Coordinator // nil if it must be rebuilt from events
	events        []zoneEvent
	key           uint64 // hash of all its events
	incarnation   int
	applied       int    // number of entries of the log that it has applied
	disk          int    // how many of them were on its disk at its start
	file          uint64 // plan number in its file
	minPlan       uint64 // plan number in its file at its start
	startedAt     float64
	sampledAt     float64 // time of its last tick
	leader        int     // last leader that it was notified of, below 0 for none
	pendingStores []pendingStore
	clock         float64
	outgoing      []zoneMessage // sent in the current event
	proposals     []string

	number, since uint64 // of the plan that it followed last; since is kept over restarts
}

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

type zoneEventKind uint8

const (
	zoneTick zoneEventKind = iota
	zoneReceived
	zoneApply
	zoneLeaderChanged
	zoneNumberStored
)

// ZoneSettings returns the settings of n zones, in steps instead of ms.
func ZoneSettings(n int) zones.Settings {
	s := zones.Defaults()
	for i := range n {
		s.Zones = append(s.Zones, string(rune('a'+i)))
		s.Voters = append(s.Voters, fmt.Sprint("p", i))
	}
	s.ReportInterval, s.PlanLifetime = 1, 3
	c := &s.Planner
	c.ReportLifetime, c.Window, c.LoadMemory, c.StepInterval, c.OutwardShare, c.ReturnShare, c.RenewInterval, c.SettleTime, c.ProposalTimeout = 3, 1, 1, 4, 1, 1, 1, 0, 1
	st := &c.Health
	st.FailureTime, st.EvacuationTime, st.StrainTime, st.MinRest, st.MaxRest, st.RecoveryTime = 0, 0, 100, 100, 100, 1
	for range n {
		c.Plan.Delay = append(c.Plan.Delay, make([]float64, n))
	}
	c.Plan.Classes = append(c.Plan.Classes, plan.Class{Priority: 1})
	return s
}

// NewZoneVoters returns voters that have just started, without a leader.
func NewZoneVoters(set zones.Settings) *ZoneVoters {
	s := &ZoneVoters{Settings: set, ZoneLostAt: 2, MaxDelay: 1, now: 1, observed: zoneObserved{map[uint64]string{}, map[uint64]float64{}}}
	for range set.Zones {
		s.processes = append(s.processes, &zoneProcess{leader: -1, startedAt: s.now, clock: s.now})
	}
	return s
}

// zoneHost is the environment of a voter's coordinator.
type zoneHost struct {
	system *ZoneVoters
	index  int
}

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
	for z := range h.system.Settings.Zones {
		c := planner.Cell{Zone: z, Cores: 4, FullCores: 4, Attempts: 20}
		if z == len(h.system.Settings.Zones)-1 && h.process().clock >= h.system.ZoneLostAt {
			c.Cores, c.Lost = 0, 20
		}
		cells = append(cells, c)
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
	x := s.processes[i]
	set := s.Settings
	set.Zone, set.Name, set.MinPlan = set.Zones[i], set.Voters[i], x.minPlan
	if s.LosesPlanNumber {
		set.MinPlan = 0
	}
	if s.PlansNeverExpire {
		set.PlanLifetime = 1e9
	}
	h := zoneHost{s, i}
	clock := x.clock
	x.clock, x.pendingStores = x.startedAt, nil
	z := zones.New(set, h, h, h)
	z.State().AcceptsAnyPlan = s.AcceptsAnyPlan
	var all []view.Record
	for k, name := range set.Voters {
		all = append(all, view.Record{ID: view.ID(k + 1), Name: name, Addr: name, Zone: set.Zones[k], State: view.Alive})
	}
	z.UpdateMembers(view.ID(i+1), all, view.Counts{})
	if s.KnowsLeaderBeforeReplay && x.disk > 0 {
		z.SetLeader(set.Voters[(i+1)%len(set.Voters)])
	}
	for k := range x.disk {
		z.Apply(uint64(k+1), []byte(s.log[k]))
	}
	for _, e := range x.events {
		x.clock = e.now
		x.apply(z, s, &e)
	}
	x.clock, x.outgoing, x.proposals = clock, nil, nil
	return z
}

// apply applies an event to a coordinator.
func (x *zoneProcess) apply(z *zones.Coordinator, s *ZoneVoters, e *zoneEvent) {
	switch e.kind {
	case zoneTick:
		z.Tick()
	case zoneReceived:
		m, err := z.Decode([]byte(e.text))
		if err != nil {
			panic(err)
		}
		if msg, ok := m.(*zones.PlanUpdate); ok && s.DropsAges {
			msg.AgeMs = 0
		}
		z.Receive(view.ID(e.n), m)
	case zoneApply:
		z.Apply(e.n, []byte(e.text))
	case zoneLeaderChanged:
		z.SetLeader(e.text)
	case zoneNumberStored:
		k := x.pendingStores[0]
		x.pendingStores = slices.Delete(slices.Clone(x.pendingStores), 0, 1)
		k.done()
	}
}

// handle passes an event to a process and collects its messages.
func (s *ZoneVoters) handle(i int, e zoneEvent) error {
	s.record(i, e)
	return s.checkProcess(i)
}

func (s *ZoneVoters) record(i int, e zoneEvent) {
	x := s.processes[i]
	if x.coordinator == nil {
		x.coordinator = s.newCoordinator(i)
	}
	e.now, x.clock = s.now, s.now
	if e.kind == zoneTick {
		x.sampledAt = s.now
	}
	x.apply(x.coordinator, s, &e)
	x.events = append(x.events, e)
	x.key = xxhash.Sum64String(fmt.Sprint(x.key, e))
	for _, msg := range x.outgoing {
		if !slices.Contains(s.messages, msg) && msg.to >= 0 {
			s.messages = append(s.messages, msg)
		}
	}
	for _, a := range x.proposals {
		if !slices.Contains(s.proposals, a) {
			s.proposals = append(s.proposals, a)
		}
	}
	x.outgoing, x.proposals = nil, nil
}

// checkProcess checks what a voter has applied and follows.
func (s *ZoneVoters) checkProcess(i int) error {
	x := s.processes[i]
	status, p := x.coordinator.Status()
	for _, q := range []struct {
		what   string
		number uint64
		text   string
	}{{"has", 0, ""}, {"follows", 0, ""}} {
		if b := x.coordinator.State().Plan; q.what == "has" && b != nil {
			q.number, q.text = b.Number, string(b.Append(nil))
		} else if q.what == "follows" && p != nil {
			q.number, q.text = p.Number, string(p.Append(nil))
		}
		if was, known := s.observed.plans[q.number]; known && was != q.text {
			return fmt.Errorf("voter %d %s another plan %d than was observed before", i, q.what, q.number)
		}
		if q.number > 0 {
			s.observed.plans[q.number] = q.text
		}
	}
	if p == nil {
		return nil
	}
	if p.Number < x.number {
		return fmt.Errorf("voter %d follows plan %d after %d", i, p.Number, x.number)
	}
	if p.Since < x.since {
		return fmt.Errorf("voter %d follows plan %d, whose target dates from plan %d, after a target that dates from plan %d", i, p.Number, p.Since, x.since)
	}
	x.number, x.since = p.Number, p.Since
	if at, known := s.observed.applied[status.PlanNumber]; status.Reason == follower.Planned && x.sampledAt == s.now && (!known || s.now >= at+s.Settings.PlanLifetime+s.MaxDelay) {
		return fmt.Errorf("voter %d uses expired plan %d at %v; it was last applied at %v", i, status.PlanNumber, s.now, at)
	}
	if status.Zone != i && p.Matrix[i][status.Zone] == 0 {
		return fmt.Errorf("voter %d goes to zone %d, where plan %d sends nothing", i, status.Zone, p.Number)
	}
	return nil
}

func (s *ZoneVoters) clone() *ZoneVoters {
	c := *s
	c.log, c.proposals, c.messages = slices.Clip(s.log), slices.Clone(s.proposals), slices.Clone(s.messages)
	c.observed = zoneObserved{maps.Clone(s.observed.plans), maps.Clone(s.observed.applied)}
	c.processes = make([]*zoneProcess, len(s.processes))
	for i, x := range s.processes {
		y := *x
		y.coordinator, y.events = nil, slices.Clip(x.events)
		c.processes[i] = &y
	}
	return &c
}

// Key implements System: states are equal if each voter had the same events in the same order and the same messages are in progress.
func (s *ZoneVoters) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.now, s.Ticks, s.Pauses, s.ChangeLeader, s.Crash, s.Duplicate, s.DuplicateProposal, len(s.log))
	for _, x := range s.processes {
		fmt.Fprintf(&b, "|%x %d %d %d", x.key, x.applied, x.disk, x.minPlan)
	}
	rest := slices.Concat(s.proposals, s.log)
	for _, msg := range s.messages {
		rest = append(rest, fmt.Sprint(msg))
	}
	slices.Sort(rest)
	fmt.Fprintf(&b, "%q", rest)
	return b.String()
}

// Check implements System: errors are found by the moves.
func (s *ZoneVoters) Check() error { return nil }

// advance advances time by a step, except for a paused voter. Messages that are too late are lost.
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

// apply applies the next entry at a voter.
func (s *ZoneVoters) apply(i int) error {
	x := s.processes[i]
	x.applied++
	s.record(i, zoneEvent{kind: zoneApply, text: s.log[x.applied-1], n: uint64(x.applied)})
	if p := x.coordinator.State().Plan; p != nil && x.leader >= 0 {
		s.observed.applied[p.Number] = s.now
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
	x := s.processes[i]
	if x.coordinator == nil {
		x.coordinator = s.newCoordinator(i)
	}
	x.file = max(x.file, x.pendingStores[0].number)
	return s.handle(i, zoneEvent{kind: zoneNumberStored})
}

// crash restarts a voter, which applies the given number of entries of its log at once and the others later.
func (s *ZoneVoters) crash(i, entries int) {
	x := s.processes[i]
	s.processes[i] = &zoneProcess{
		incarnation: x.incarnation + 1,
		key:         xxhash.Sum64String(fmt.Sprint(x.key, entries, s.now)),
		applied:     entries,
		disk:        entries,
		file:        x.file,
		minPlan:     x.file,
		leader:      -1,
		startedAt:   s.now,
		clock:       s.now,
		since:       x.since,
	}
}

// commitProposal appends a proposal to the log.
func (s *ZoneVoters) commitProposal(k int, keep bool) {
	s.log = append(s.log, s.proposals[k])
	if !keep {
		s.proposals = slices.Delete(s.proposals, k, k+1)
	}
}

func (s *ZoneVoters) deliver(k int, keep bool) error {
	msg := s.messages[k]
	if !keep {
		s.messages = slices.Delete(s.messages, k, k+1)
	}
	return s.handle(msg.to, zoneEvent{kind: zoneReceived, text: msg.text, n: uint64(msg.from + 1)})
}

// Moves implements System.
func (s *ZoneVoters) Moves() (moves []Move) {
	add := func(name string, do func(c *ZoneVoters) error) {
		moves = append(moves, Move{name, func() (System, error) {
			c := s.clone()
			return c, do(c)
		}})
	}
	if s.Ticks > 0 {
		for i := -1; i < len(s.processes) && (i < 0 || s.Pauses > 0); i++ {
			add(fmt.Sprintf("advance time, voter %d paused", i), func(c *ZoneVoters) error {
				if c.Ticks--; i >= 0 {
					c.Pauses--
				}
				return c.advance(i)
			})
		}
	}
	for k, msg := range s.messages {
		name := fmt.Sprintf("%d to %d, sent at %v, type %x", msg.from, msg.to, msg.sentAt, msg.text[0])
		add(name, func(c *ZoneVoters) error { return c.deliver(k, false) })
		if s.Duplicate > 0 {
			add(name+" duplicated", func(c *ZoneVoters) error {
				c.Duplicate--
				return c.deliver(k, true)
			})
		}
	}
	for k := range s.proposals {
		add(fmt.Sprintf("proposal %d is agreed", k), func(c *ZoneVoters) error {
			c.commitProposal(k, false)
			return nil
		})
		if s.DuplicateProposal > 0 {
			add(fmt.Sprintf("proposal %d is agreed, and may be agreed again", k), func(c *ZoneVoters) error {
				c.DuplicateProposal--
				c.commitProposal(k, true)
				return nil
			})
		}
	}
	for i, x := range s.processes {
		if x.applied < len(s.log) {
			add(fmt.Sprintf("%d applies entry %d", i, x.applied+1), func(c *ZoneVoters) error { return c.apply(i) })
		}
		if len(x.pendingStores) > 0 {
			add(fmt.Sprintf("%d has kept %d", i, x.pendingStores[0].number), func(c *ZoneVoters) error { return c.numberStored(i) })
		}
		if s.Crash > 0 {
			for _, n := range slices.Compact([]int{0, x.applied}) {
				add(fmt.Sprintf("%d restarts with %d entries", i, n), func(c *ZoneVoters) error {
					c.Crash--
					c.crash(i, n)
					return nil
				})
			}
		}
		for leader := range s.processes {
			if leader != x.leader && s.ChangeLeader > 0 {
				add(fmt.Sprintf("%d learns that %d leads", i, leader), func(c *ZoneVoters) error {
					c.ChangeLeader--
					return c.setLeader(i, leader)
				})
			}
		}
	}
	return moves
}

// RandomWalk makes up to the given number of random moves and returns their names.
func (s *ZoneVoters) RandomWalk(pick func(n int) int, steps int) ([]string, error) {
	var names []string
	for x := s; len(names) < steps; {
		moves := x.Moves()
		if len(moves) == 0 {
			break
		}
		m := moves[pick(len(moves))]
		names = append(names, m.Name)
		next, err := m.Do()
		if err != nil {
			return names, err
		}
		x = next.(*ZoneVoters)
	}
	return names, nil
}
