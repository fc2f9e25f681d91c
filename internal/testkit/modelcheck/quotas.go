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
	processes   []*quotaProcess
	messages    []quotaMessage
	partitioned bool
	halved      bool
	orphaned    []orphanedUses // uses of processes that have ended
}

// QuotaFaults are the numbers of faults and events that may still happen.
type QuotaFaults struct {
	Lose, Duplicate, Delay, Crash, Restart, CrashRestart, Pause, Partition, Heal, ChangeDemand, HalveLimit int
}

type quotaProcess struct {
	quota       *quota.Quota
	clockRate   float64 // of its clock, 1 for exact
	dead        bool
	pausedSteps int     // steps for which it is still paused
	incarnation int     // number of its restarts
	demanded    float64 // what it asks for
	used        int     // its uses in progress, with ConcurrencyLimit
}

// orphanedUses are uses that were admitted by a process that has ended, and that continue for a while.
type orphanedUses struct {
	count int
	until float64
}

type quotaMessage struct {
	to, from int
	age      int // 0 if it may arrive now, below 0 if it is delayed by that many steps
	message  *quota.Message
	text     string // for the names of moves
}

// QuotaName is the name of the limit.
const QuotaName = "shared"

// NewQuotaSystem returns a system of n poolers with a rate limit. Their clocks are, in turn, as fast as the drift allows, exact, and as slow
// as it allows.
func NewQuotaSystem(poolers, limit int, reserve float64, settings quota.Settings) *QuotaSystem {
	settings.ExpectedPoolers = poolers
	settings.Limits = []quota.Limit{{Name: QuotaName, Kind: quota.Rate, Amount: float64(limit), Burst: float64(limit), Reserve: reserve}}
	s := &QuotaSystem{Settings: settings, now: 100, maxUsed: limit, LateSteps: lateSteps, CrashRestartIndex: -1}
	for i := range poolers {
		s.processes = append(s.processes, &quotaProcess{clockRate: 1 + settings.ClockDrift*float64(1-i%3), demanded: 1})
	}
	return s
}

// Start starts all processes with the present settings.
func (s *QuotaSystem) Start() {
	if s.ConcurrencyLimit {
		s.Settings.Limits[0].Kind = quota.Concurrency
	}
	for i := range s.processes {
		s.start(i)
	}
	for i := range s.processes {
		_ = s.handle(i, s.members(i))
		_ = s.handle(i, quota.Demand{Limit: QuotaName, Wanted: s.processes[i].demanded})
	}
}

// id returns a process's ID, which differs by incarnation unless KeepsID is set.
func (s *QuotaSystem) id(i int) quota.ID {
	if s.KeepsID {
		return quota.ID(i + 1)
	}
	return quota.ID(100*s.processes[i].incarnation + i + 1)
}

// start starts a process without state.
func (s *QuotaSystem) start(i int) {
	settings := s.Settings
	if s.halved {
		settings.Limits = s.halvedLimits()
	}
	if s.ChangeSettings != nil {
		s.ChangeSettings(i, s.processes[i].incarnation, &settings)
	}
	startedAt := s.clock(i)
	if s.VotesImmediately && s.processes[i].incarnation > 0 {
		startedAt -= 1e6
	}
	s.processes[i].quota = quota.New(settings, s.id(i), startedAt)
}

// halvedLimits returns the limits with half the amount and burst.
func (s *QuotaSystem) halvedLimits() []quota.Limit {
	limits := slices.Clone(s.Settings.Limits)
	limits[0].Amount, limits[0].Burst = limits[0].Amount/2, limits[0].Burst/2
	return limits
}

func (s *QuotaSystem) clock(i int) float64 { return s.now * s.processes[i].clockRate }

// members returns the members in a process's view: all running ones, or those on its side of a partition.
func (s *QuotaSystem) members(i int) quota.MembersChanged {
	event := quota.MembersChanged{SendingPoolers: len(s.processes)}
	for k, process := range s.processes {
		if !process.dead && (!s.partitioned || (i == s.Isolated) == (k == s.Isolated)) {
			event.Peers = append(event.Peers, quota.Peer{ID: s.id(k), Addr: fmt.Sprint(k), Draining: s.Draining == k+1})
		}
	}
	return event
}

func (s *QuotaSystem) clone() *QuotaSystem {
	clone := *s
	clone.processes = make([]*quotaProcess, len(s.processes))
	for i, process := range s.processes {
		processCopy := *process
		processCopy.quota = process.quota.Clone()
		clone.processes[i] = &processCopy
	}
	clone.messages, clone.orphaned = slices.Clone(s.messages), slices.Clone(s.orphaned)
	return &clone
}

// Key implements System.
func (s *QuotaSystem) Key() string {
	var key strings.Builder
	fmt.Fprint(&key, s.QuotaFaults, s.partitioned, s.halved, "|")
	lastSequence := func(id quota.ID) uint32 {
		for i, process := range s.processes {
			if s.id(i) == id {
				return process.quota.LastSequence(QuotaName)
			}
		}
		return 0
	}
	for i, process := range s.processes {
		fmt.Fprintf(&key, "%.3f", math.Mod(s.clock(i), 1))
		fmt.Fprint(&key, process.dead, process.pausedSteps, process.incarnation, process.demanded, process.quota.StateKey(lastSequence), "|")
	}
	for _, msg := range s.messages {
		fmt.Fprint(&key, msg.to, msg.age, msg.message.Kind, msg.message.From, msg.message.To, "|")
		requester, owner := msg.message.From, msg.to
		if msg.message.Kind != quota.LeaseRequest {
			requester, owner = msg.message.To, msg.from
		}
		for _, item := range msg.message.Items {
			item.Sequence, item.LastTaken = lastSequence(requester)-item.Sequence, lastSequence(requester)-item.LastTaken
			item.OwnerTime = math.Round((s.clock(owner)-item.OwnerTime)*1e6) / 1e6
			fmt.Fprint(&key, item)
		}
	}
	return key.String()
}

// handle passes an event to a process and enqueues the messages that it sends.
func (s *QuotaSystem) handle(i int, event quota.Event) error {
	process, checks := s.processes[i], invariant.New(nil)
	process.quota.CheckInvariants(checks, 1)
	for _, action := range process.quota.Handle(s.clock(i), event, nil) {
		if action.Kind != quota.Send {
			continue
		}
		for k := range s.processes {
			if action.Addr == fmt.Sprint(k) && k != i {
				s.enqueue(quotaMessage{to: k, from: i, message: action.Message})
			}
		}
	}
	for _, breach := range checks.Breaches() {
		return errors.New(breach.String())
	}
	return nil
}

// enqueue sends a message unless a partition separates the two. Messages sent before a partition still arrive.
func (s *QuotaSystem) enqueue(msg quotaMessage) {
	if s.partitioned && (msg.to == s.Isolated) != (msg.from == s.Isolated) {
		return
	}
	content := *msg.message
	content.Items = slices.Clone(content.Items)
	for i := range content.Items {
		content.Items[i].OwnerTime = 0
	}
	msg.text = fmt.Sprint(content.Kind, content.From, content.To, content.Items)
	s.messages = append(s.messages, msg)
	sort.SliceStable(s.messages, func(a, b int) bool { return s.messages[a].to < s.messages[b].to })
}

// deliver delivers a message unless its recipient has ended.
func (s *QuotaSystem) deliver(msg quotaMessage) error {
	process := s.processes[msg.to]
	if process.dead {
		return nil
	}
	content := *msg.message
	content.Items = slices.Clone(content.Items)
	if s.AlterMessage != nil && s.AlterMessage(msg.to, process.quota, &content) {
		if err := s.handle(msg.to, quota.Received{Message: &content}); err != nil {
			return err
		}
	}
	return s.handle(msg.to, quota.Received{Message: &content})
}

// Moves implements System.
func (s *QuotaSystem) Moves() (out []Move) {
	move := func(name string, do func(next *QuotaSystem) error) {
		out = append(out, Move{name, func() (System, error) {
			next := s.clone()
			return next, do(next)
		}})
	}
	first := -1
	for index, msg := range s.messages {
		if msg.age < 0 || s.processes[msg.to].pausedSteps > 0 || first >= 0 && (!s.Unordered || s.messages[first].to != msg.to) {
			continue
		}
		if first < 0 {
			first = index
		}
		description := fmt.Sprintf("%d to %d: %.70s", msg.from, msg.to, msg.text)
		remove := func(next *QuotaSystem) { next.messages = slices.Delete(next.messages, index, index+1) }
		move("deliver "+description, func(next *QuotaSystem) error { remove(next); return next.deliver(msg) })
		if s.Lose > 0 {
			move("lose "+description, func(next *QuotaSystem) error { remove(next); next.Lose--; return nil })
		}
		if s.Duplicate > 0 {
			move("duplicate "+description, func(next *QuotaSystem) error {
				next.Duplicate--
				next.messages[index].age = -2
				return next.deliver(msg)
			})
		}
		if s.Delay > 0 {
			move("delay "+description, func(next *QuotaSystem) error { next.Delay--; next.messages[index].age = -next.LateSteps; return nil })
		}
	}
	if first >= 0 {
		return out
	}
	move("advance time", (*QuotaSystem).advance)
	for i, process := range s.processes {
		switch {
		case !process.dead && s.Crash > 0:
			move(fmt.Sprint("crash ", i), func(next *QuotaSystem) error { next.Crash--; next.kill(i); return next.updateMembers() })
		case process.dead && s.Restart > 0:
			move(fmt.Sprint("restart ", i), func(next *QuotaSystem) error { next.Restart--; return next.restart(i) })
		}
		if !process.dead && s.CrashRestart > 0 && (s.CrashRestartIndex < 0 || s.CrashRestartIndex == i) {
			move(fmt.Sprint("crash and restart ", i), func(next *QuotaSystem) error { next.CrashRestart--; return next.restart(i) })
		}
		if !process.dead && process.pausedSteps == 0 && s.Pause > 0 {
			move(fmt.Sprint("pause ", i), func(next *QuotaSystem) error { next.Pause--; next.processes[i].pausedSteps = pauseSteps; return nil })
		}
		if s.ChangeDemand > 0 && !process.dead {
			move(fmt.Sprint("move the demand to ", i), func(next *QuotaSystem) error { return next.changeDemand(i) })
		}
	}
	if s.Partition > 0 && !s.partitioned {
		move("partition", func(next *QuotaSystem) error { next.Partition--; next.partitioned = true; return next.updateMembers() })
	}
	if s.Heal > 0 && s.partitioned {
		move("heal", func(next *QuotaSystem) error { next.Heal--; next.partitioned = false; return next.updateMembers() })
	}
	if s.HalveLimit > 0 && !s.halved {
		move("halve the limit", func(next *QuotaSystem) error {
			next.HalveLimit--
			next.halved = true
			for i, process := range next.processes {
				if !process.dead {
					_ = next.handle(i, quota.LimitsChanged{Limits: next.halvedLimits()})
				}
			}
			return nil
		})
	}
	return out
}

// pauseSteps is the length of a pause.
const pauseSteps = 4

// kill ends a process. Its uses continue for up to UseTimeout.
func (s *QuotaSystem) kill(i int) {
	process := s.processes[i]
	process.dead, process.pausedSteps = true, 0
	if process.used > 0 {
		s.orphaned = append(s.orphaned, orphanedUses{process.used, s.now + s.Settings.UseTimeout})
		process.used = 0
	}
}

// use makes a process admit a use if delta is 1, or end one if delta is -1.
func (s *QuotaSystem) use(i, delta int) {
	process := s.processes[i]
	if delta > 0 && process.used >= int(process.quota.Usable(QuotaName, s.clock(i))+1e-9) || process.used+delta < 0 || process.dead || process.pausedSteps > 0 {
		return
	}
	process.used += delta
	_ = s.handle(i, s.demand(i))
}

// demand returns the event that reports a process's demand and uses.
func (s *QuotaSystem) demand(i int) quota.Demand {
	return quota.Demand{Limit: QuotaName, Wanted: s.processes[i].demanded, Used: float64(s.processes[i].used)}
}

// expireUses ends uses that have lasted for UseTimeout after the end of their lease or process.
func (s *QuotaSystem) expireUses() {
	s.orphaned = slices.DeleteFunc(s.orphaned, func(uses orphanedUses) bool { return s.now >= uses.until })
	for i, process := range s.processes {
		if usable := int(process.quota.Usable(QuotaName, s.clock(i)) + 1e-9); process.used > usable && s.clock(i) >= process.quota.Statuses()[0].LeaseEnds+s.Settings.UseTimeout {
			process.used = usable
		}
	}
}

// restart ends a process and starts its next incarnation without state.
func (s *QuotaSystem) restart(i int) error {
	s.kill(i)
	process := s.processes[i]
	process.incarnation++
	process.dead = false
	s.start(i)
	_ = s.handle(i, quota.Demand{Limit: QuotaName, Wanted: process.demanded})
	return s.updateMembers()
}

// changeDemand makes one process demand the whole limit, and the others nothing.
func (s *QuotaSystem) changeDemand(i int) error {
	s.ChangeDemand--
	for index, process := range s.processes {
		if process.demanded = 0; index == i {
			process.demanded = float64(s.maxUsed)
		}
		if !process.dead && process.pausedSteps == 0 {
			_ = s.handle(index, s.demand(index))
		}
	}
	return nil
}

// updateMembers notifies each running process that is not paused of the members.
func (s *QuotaSystem) updateMembers() error {
	for i, process := range s.processes {
		if !process.dead && process.pausedSteps == 0 {
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
	s.expireUses()
	for i, process := range s.processes {
		if process.pausedSteps > 0 {
			if process.pausedSteps--; process.pausedSteps == 0 {
				_ = s.handle(i, s.members(i))
			}
			continue
		}
		if !process.dead {
			_ = s.handle(i, quota.Tick{})
			if s.ConcurrencyLimit {
				_ = s.handle(i, s.demand(i))
			}
		}
	}
	return nil
}

// Settle advances time by the given number of steps without faults: all messages are delivered in the order of sending.
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

// Allowances returns how much of the limit each process may use now; it is 0 for one that is paused or has ended.
func (s *QuotaSystem) Allowances() (each []float64) {
	for i, process := range s.processes {
		allowance := 0.0
		if !process.dead && process.pausedSteps == 0 {
			allowance = process.quota.Usable(QuotaName, s.clock(i))
		}
		each = append(each, allowance)
	}
	return each
}

// Check implements System: all processes together never use more than the limit.
func (s *QuotaSystem) Check() error {
	if s.ConcurrencyLimit {
		sum := 0
		for _, uses := range s.orphaned {
			sum += uses.count
		}
		for _, process := range s.processes {
			sum += process.used
		}
		if sum > s.maxUsed {
			return fmt.Errorf("at %g there are %d uses, of %d allowed; allowances %v", s.now, sum, s.maxUsed, s.Allowances())
		}
		return nil
	}
	sum := 0.0
	for _, allowance := range s.Allowances() {
		sum += allowance
	}
	if sum > float64(s.maxUsed)+1e-9 {
		return fmt.Errorf("at %g the allowances %v exceed the limit of %d", s.now, s.Allowances(), s.maxUsed)
	}
	return nil
}
