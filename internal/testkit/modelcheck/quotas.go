package modelcheck

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"

	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/invariant"
)

// QuotaSystem is a set of poolers that share a limit that must never be exceeded, with the messages between them. Each has its own clock,
// as fast or slow as the drift allows. Time advances in steps, with a tick of each running process; within a step the messages to one
// process arrive in the order of sending, or in any order (Unordered). Some are lost, duplicated or delayed by some steps. Processes
// crash, restart without state, are paused, and are partitioned.
type QuotaSystem struct {
	QuotaFaults
	LateSteps         int // delay of a delayed message
	CrashRestartIndex int // the only process that CrashRestart happens to, -1 for any
	Draining          int // number, from 1, of the process that drains and must not lease any more; 0 for none
	Isolated          int // process that a partition separates from the others

	ConcurrencyLimit bool // the limit is of concurrent uses, which last and are what Check counts

	Unordered        bool // messages to one process arrive in any order, not in the order of sending
	Settings         quota.Settings
	ChangeSettings   func(i, incarnation int, s *quota.Settings)                // a mutant: changes a process's settings
	KeepsID          bool                                                       // a mutant: a process restarts with its old ID
	VotesImmediately bool                                                       // a mutant: a process votes as soon as it has restarted
	AlterMessage     func(i int, q *quota.Quota, m *quota.Message) (again bool) // a mutant: changes a message before its delivery; again delivers it twice

	now         float64
	maxUsed     int // most that may be used at a time
	nodes       []*quotaNode
	messages    []quotaMessage
	partitioned bool
	halved      bool
	lingering   []lingeringUses
}

// QuotaFaults are the numbers of faults and events that may still happen.
type QuotaFaults struct {
	Lose, Duplicate, Delay, Crash, Restart, CrashRestart, Pause, Partition, Heal, ChangeDemand, HalveLimit int
}

type quotaNode struct {
	quota       *quota.Quota
	clockRate   float64 // of its clock, 1 for exact
	dead        bool
	pausedSteps int // steps for which it is still paused
	incarnation int
	demanded    float64
	used        int
}

// lingeringUses are uses admitted by a process that has ended, which continue.
type lingeringUses struct {
	count int
	until float64
}

type quotaMessage struct {
	to, from int
	age      int
	message  *quota.Message
	text     string
}

// QuotaName is the name of the limit.
const QuotaName = "shared"

// NewQuotaSystem returns a system of n poolers with a rate limit. Their clocks are, in turn, as fast as the drift allows, exact, and as slow
// as it allows.
func NewQuotaSystem(n, limit int, reserve float64, set quota.Settings) *QuotaSystem {
	set.ExpectedPoolers = n
	set.Limits = []quota.Limit{{Name: QuotaName, Kind: quota.Rate, Amount: float64(limit), Burst: float64(limit), Reserve: reserve}}
	s := &QuotaSystem{Settings: set, now: 100, maxUsed: limit, LateSteps: lateSteps, CrashRestartIndex: -1}
	for i := range n {
		s.nodes = append(s.nodes, &quotaNode{clockRate: 1 + set.ClockDrift*float64(1-i%3), demanded: 1})
	}
	return s
}

// Start starts all processes with the present settings.
func (s *QuotaSystem) Start() {
	if s.ConcurrencyLimit {
		s.Settings.Limits[0].Kind = quota.Concurrency
	}
	for i := range s.nodes {
		s.start(i)
	}
	for i := range s.nodes {
		_ = s.handle(i, s.members(i))
		_ = s.handle(i, quota.Demand{Limit: QuotaName, Wanted: s.nodes[i].demanded})
	}
}

func (s *QuotaSystem) id(i int) quota.ID {
	if s.KeepsID {
		return quota.ID(i + 1)
	}
	return quota.ID(100*s.nodes[i].incarnation + i + 1)
}

func (s *QuotaSystem) start(i int) {
	set := s.Settings
	if s.halved {
		set.Limits = s.halvedLimits()
	}
	if s.ChangeSettings != nil {
		s.ChangeSettings(i, s.nodes[i].incarnation, &set)
	}
	startedAt := s.clock(i)
	if s.VotesImmediately && s.nodes[i].incarnation > 0 {
		startedAt -= 1e6
	}
	s.nodes[i].quota = quota.New(set, s.id(i), startedAt)
}

func (s *QuotaSystem) halvedLimits() []quota.Limit {
	l := slices.Clone(s.Settings.Limits)
	l[0].Amount, l[0].Burst = l[0].Amount/2, l[0].Burst/2
	return l
}

func (s *QuotaSystem) clock(i int) float64 { return s.now * s.nodes[i].clockRate }

// members returns the members in a process's view: all running ones, or those on its side of a partition.
func (s *QuotaSystem) members(i int) quota.MembersChanged {
	e := quota.MembersChanged{SendingPoolers: len(s.nodes)}
	for k, x := range s.nodes {
		if !x.dead && (!s.partitioned || (i == s.Isolated) == (k == s.Isolated)) {
			e.Peers = append(e.Peers, quota.Peer{ID: s.id(k), Addr: fmt.Sprint(k), Draining: s.Draining == k+1})
		}
	}
	return e
}

func (s *QuotaSystem) clone() *QuotaSystem {
	c := *s
	c.nodes = make([]*quotaNode, len(s.nodes))
	for i, x := range s.nodes {
		y := *x
		y.quota = x.quota.Clone()
		c.nodes[i] = &y
	}
	c.messages, c.lingering = slices.Clone(s.messages), slices.Clone(s.lingering)
	return &c
}

// Key implements System.
func (s *QuotaSystem) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.QuotaFaults, s.partitioned, s.halved, "|")
	lastSequence := func(id quota.ID) uint32 {
		for i, x := range s.nodes {
			if s.id(i) == id {
				return x.quota.LastSequence(QuotaName)
			}
		}
		return 0
	}
	for i, x := range s.nodes {
		fmt.Fprintf(&b, "%.3f", math.Mod(s.clock(i), 1))
		fmt.Fprint(&b, x.dead, x.pausedSteps, x.incarnation, x.demanded, x.quota.StateKey(lastSequence), "|")
	}
	for _, msg := range s.messages {
		fmt.Fprint(&b, msg.to, msg.age, msg.message.Kind, msg.message.From, msg.message.To, "|")
		requester, owner := msg.message.From, msg.to
		if msg.message.Kind != quota.LeaseRequest {
			requester, owner = msg.message.To, msg.from
		}
		for _, it := range msg.message.Items {
			it.Sequence, it.LastTaken = lastSequence(requester)-it.Sequence, lastSequence(requester)-it.LastTaken
			it.OwnerTime = math.Round((s.clock(owner)-it.OwnerTime)*1e6) / 1e6
			fmt.Fprint(&b, it)
		}
	}
	return b.String()
}

// handle passes an event to a process and enqueues the messages that it sends.
func (s *QuotaSystem) handle(i int, e quota.Event) error {
	x, c := s.nodes[i], invariant.New(nil)
	x.quota.CheckInvariants(c, 1)
	for _, a := range x.quota.Handle(s.clock(i), e, nil) {
		if a.Kind != quota.Send {
			continue
		}
		for k := range s.nodes {
			if a.Addr == fmt.Sprint(k) && k != i {
				s.enqueue(quotaMessage{to: k, from: i, message: a.Message})
			}
		}
	}
	for _, b := range c.Breaches() {
		return errors.New(b.String())
	}
	return nil
}

// enqueue sends a message unless a partition separates the two. Messages sent before a partition still arrive.
func (s *QuotaSystem) enqueue(msg quotaMessage) {
	if s.partitioned && (msg.to == s.Isolated) != (msg.from == s.Isolated) {
		return
	}
	m := *msg.message
	m.Items = slices.Clone(m.Items)
	for i := range m.Items {
		m.Items[i].OwnerTime = 0
	}
	msg.text = fmt.Sprint(m.Kind, m.From, m.To, m.Items)
	s.messages = append(s.messages, msg)
	sort.SliceStable(s.messages, func(a, b int) bool { return s.messages[a].to < s.messages[b].to })
}

func (s *QuotaSystem) deliver(msg quotaMessage) error {
	x := s.nodes[msg.to]
	if x.dead {
		return nil
	}
	m := *msg.message
	m.Items = slices.Clone(m.Items)
	if s.AlterMessage != nil && s.AlterMessage(msg.to, x.quota, &m) {
		if err := s.handle(msg.to, quota.Received{Message: &m}); err != nil {
			return err
		}
	}
	return s.handle(msg.to, quota.Received{Message: &m})
}

// Moves implements System.
func (s *QuotaSystem) Moves() (out []Move) {
	move := func(name string, do func(c *QuotaSystem) error) {
		out = append(out, Move{name, func() (System, error) {
			c := s.clone()
			return c, do(c)
		}})
	}
	first := -1
	for k, msg := range s.messages {
		if msg.age < 0 || s.nodes[msg.to].pausedSteps > 0 || first >= 0 && (!s.Unordered || s.messages[first].to != msg.to) {
			continue
		}
		if first < 0 {
			first = k
		}
		what := fmt.Sprintf("%d to %d: %.70s", msg.from, msg.to, msg.text)
		remove := func(c *QuotaSystem) { c.messages = slices.Delete(c.messages, k, k+1) }
		move("deliver "+what, func(c *QuotaSystem) error { remove(c); return c.deliver(msg) })
		if s.Lose > 0 {
			move("lose "+what, func(c *QuotaSystem) error { remove(c); c.Lose--; return nil })
		}
		if s.Duplicate > 0 {
			move("duplicate "+what, func(c *QuotaSystem) error { c.Duplicate--; c.messages[k].age = -2; return c.deliver(msg) })
		}
		if s.Delay > 0 {
			move("delay "+what, func(c *QuotaSystem) error { c.Delay--; c.messages[k].age = -c.LateSteps; return nil })
		}
	}
	if first >= 0 {
		return out
	}
	move("advance time", (*QuotaSystem).advance)
	for i, x := range s.nodes {
		switch {
		case !x.dead && s.Crash > 0:
			move(fmt.Sprint("crash ", i), func(c *QuotaSystem) error { c.Crash--; c.kill(i); return c.updateMembers() })
		case x.dead && s.Restart > 0:
			move(fmt.Sprint("restart ", i), func(c *QuotaSystem) error { c.Restart--; return c.restart(i) })
		}
		if !x.dead && s.CrashRestart > 0 && (s.CrashRestartIndex < 0 || s.CrashRestartIndex == i) {
			move(fmt.Sprint("crash and restart ", i), func(c *QuotaSystem) error { c.CrashRestart--; return c.restart(i) })
		}
		if !x.dead && x.pausedSteps == 0 && s.Pause > 0 {
			move(fmt.Sprint("pause ", i), func(c *QuotaSystem) error { c.Pause--; c.nodes[i].pausedSteps = pauseSteps; return nil })
		}
		if s.ChangeDemand > 0 && !x.dead {
			move(fmt.Sprint("demand at ", i), func(c *QuotaSystem) error { return c.changeDemand(i) })
		}
	}
	if s.Partition > 0 && !s.partitioned {
		move("partition", func(c *QuotaSystem) error { c.Partition--; c.partitioned = true; return c.updateMembers() })
	}
	if s.Heal > 0 && s.partitioned {
		move("heal", func(c *QuotaSystem) error { c.Heal--; c.partitioned = false; return c.updateMembers() })
	}
	if s.HalveLimit > 0 && !s.halved {
		move("halve the limit", func(c *QuotaSystem) error {
			c.HalveLimit--
			c.halved = true
			for i, x := range c.nodes {
				if !x.dead {
					_ = c.handle(i, quota.LimitsChanged{Limits: c.halvedLimits()})
				}
			}
			return nil
		})
	}
	return out
}

const pauseSteps = 4

func (s *QuotaSystem) kill(i int) {
	x := s.nodes[i]
	x.dead, x.pausedSteps = true, 0
	if x.used > 0 {
		s.lingering = append(s.lingering, lingeringUses{x.used, s.now + s.Settings.UseTimeout})
		x.used = 0
	}
}

// use makes a process admit a use if n is 1, or end one if n is -1.
func (s *QuotaSystem) use(i, n int) {
	x := s.nodes[i]
	if n > 0 && x.used >= int(x.quota.Usable(QuotaName, s.clock(i))+1e-9) || x.used+n < 0 || x.dead || x.pausedSteps > 0 {
		return
	}
	x.used += n
	_ = s.handle(i, s.demand(i))
}

func (s *QuotaSystem) demand(i int) quota.Demand {
	return quota.Demand{Limit: QuotaName, Wanted: s.nodes[i].demanded, Used: float64(s.nodes[i].used)}
}

// expireLingering ends uses that have lasted for UseTimeout after the end of their lease or process.
func (s *QuotaSystem) expireLingering() {
	s.lingering = slices.DeleteFunc(s.lingering, func(g lingeringUses) bool { return s.now >= g.until })
	for i, x := range s.nodes {
		if n := int(x.quota.Usable(QuotaName, s.clock(i)) + 1e-9); x.used > n && s.clock(i) >= x.quota.Statuses()[0].LeaseEnds+s.Settings.UseTimeout {
			x.used = n
		}
	}
}

func (s *QuotaSystem) restart(i int) error {
	s.kill(i)
	x := s.nodes[i]
	x.incarnation++
	x.dead = false
	s.start(i)
	_ = s.handle(i, quota.Demand{Limit: QuotaName, Wanted: x.demanded})
	return s.updateMembers()
}

// changeDemand makes one process demand the whole limit, and the others nothing.
func (s *QuotaSystem) changeDemand(i int) error {
	s.ChangeDemand--
	for k, x := range s.nodes {
		if x.demanded = 0; k == i {
			x.demanded = float64(s.maxUsed)
		}
		if !x.dead && x.pausedSteps == 0 {
			_ = s.handle(k, s.demand(k))
		}
	}
	return nil
}

// updateMembers passes the members to all processes.
func (s *QuotaSystem) updateMembers() error {
	for i, x := range s.nodes {
		if !x.dead && x.pausedSteps == 0 {
			_ = s.handle(i, s.members(i))
		}
	}
	return nil
}

// advance advances time by a step.
func (s *QuotaSystem) advance() error {
	s.now++
	for i := range s.messages {
		s.messages[i].age = min(0, s.messages[i].age+1)
	}
	s.expireLingering()
	for i, x := range s.nodes {
		if x.pausedSteps > 0 {
			if x.pausedSteps--; x.pausedSteps == 0 {
				_ = s.handle(i, s.members(i))
			}
			continue
		}
		if !x.dead {
			_ = s.handle(i, quota.Tick{})
			if s.ConcurrencyLimit {
				_ = s.handle(i, s.demand(i))
			}
		}
	}
	return nil
}

// Settle advances time without faults.
func (s *QuotaSystem) Settle(steps int) error {
	for range steps {
		_ = s.advance()
		for len(s.messages) > 0 {
			msg := s.messages[0]
			s.messages = s.messages[1:]
			_ = s.deliver(msg)
		}
		if err := s.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Allowances returns what each process may use.
func (s *QuotaSystem) Allowances() (each []float64) {
	for i, x := range s.nodes {
		n := 0.0
		if !x.dead && x.pausedSteps == 0 {
			n = x.quota.Usable(QuotaName, s.clock(i))
		}
		each = append(each, n)
	}
	return each
}

// Check implements System: all processes together never use more than the limit.
func (s *QuotaSystem) Check() error {
	if s.ConcurrencyLimit {
		sum := 0
		for _, g := range s.lingering {
			sum += g.count
		}
		for _, x := range s.nodes {
			sum += x.used
		}
		if sum > s.maxUsed {
			return fmt.Errorf("at %g there are %d uses, of %d allowed; allowances %v", s.now, sum, s.maxUsed, s.Allowances())
		}
		return nil
	}
	sum := 0.0
	for _, n := range s.Allowances() {
		sum += n
	}
	if sum > float64(s.maxUsed)+1e-9 {
		return fmt.Errorf("at %g the allowances %v exceed the limit of %d", s.now, s.Allowances(), s.maxUsed)
	}
	return nil
}
