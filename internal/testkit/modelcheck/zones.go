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

// ZoneVoters are voters that decide about zones together, each in a zone of its own, with the words between them and a log that they have in
// common. The log is what a log may do at worst: what was proposed is agreed in any order, late, once or twice, and each voter applies it when it
// likes. Any voter may take itself for the one who leads, several at once, and be the last to learn of another. A voter may stand still, and start
// again: with what its disk had, applied before it knows of anybody or after. Time goes on in steps, at each of which those who run look about. It knows
// what voters apply and follow, nothing of how they come to it.
type ZoneVoters struct {
	Pass, Sleep, Lead, Crash, Double, Twice int // that may still happen

	Set      zones.Settings
	GoneAt   float64 // from then on the last zone has no servers
	Most     float64 // steps that a word is on its way at most
	Amnesiac bool    // a mutant: what a process kept is not there for the next one
	Hasty    bool    // a mutant: a process that starts takes itself for led before it reads its disk
	Timeless bool    // a mutant: words come without their age
	Sloppy   bool    // a mutant: books take any plan
	Endless  bool    // a mutant: a plan has no end

	now   float64
	log   []string
	waits []string // proposed, not agreed
	wires []zoneWord
	procs []*zoneProc
	truth zoneTruth
}

type zoneWord struct {
	from, to int
	text     string
	at       float64
}

// zoneTruth is what has become known to be so.
type zoneTruth struct {
	plans   map[uint64]string
	applied map[uint64]float64 // by number: when a voter that ran had it applied last
}

type zoneProc struct {
	z     *zones.Coordinator // nil where it is to be made again
	told  []zoneEvent
	key   uint64
	life  int
	done  int    // entries of the log
	disk  int    // of them those that its process began with
	file  uint64 // the number in its file
	floor uint64 // ...as this process found it
	began float64
	woke  float64 // it looked about last
	leads int     // who leads, as it was told; below 0 for nobody
	keeps []zoneKeep
	clock float64
	tells []zoneWord // of the event under way
	asks  []string

	number, since uint64 // it followed last; since over all its processes
}

type zoneKeep struct {
	no   uint64
	done func()
}

// What a process is told of.
type zoneEvent struct {
	now  float64
	what zoneWhat
	text string // a word, or an entry
	n    uint64 // whom it is from, who leads, or the entry's place in the log
}

type zoneWhat uint8

const (
	zoneTick zoneWhat = iota
	zoneHeard
	zoneApply
	zoneLead
	zoneKept
)

// ZoneSettings are of so many zones, with steps of time in place of ms.
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

// NewZoneVoters makes voters that have just started, of whom nobody leads.
func NewZoneVoters(set zones.Settings) *ZoneVoters {
	s := &ZoneVoters{Set: set, GoneAt: 2, Most: 1, now: 1, truth: zoneTruth{map[uint64]string{}, map[uint64]float64{}}}
	for range set.Zones {
		s.procs = append(s.procs, &zoneProc{leads: -1, began: s.now, clock: s.now})
	}
	return s
}

// zoneHost is a process's surroundings; what it says goes to its voter.
type zoneHost struct {
	s *ZoneVoters
	i int
}

func (h zoneHost) x() *zoneProc { return h.s.procs[h.i] }

// Now is part.Net's.
func (h zoneHost) Now() float64 { return h.x().clock }

// Send is part.Net's.
func (h zoneHost) Send(addr string, _ view.ID, _ view.Kind, w module.Message) {
	h.x().tells = append(h.x().tells, zoneWord{h.i, slices.Index(h.s.Set.Voters, addr), string(w.Append(nil)), h.x().clock})
}

// SendStream is part.Net's.
func (h zoneHost) SendStream(string, view.ID, view.Kind, module.Message, func(bool)) {}

// Propose is zones.Log's.
func (h zoneHost) Propose(entry []byte) { h.x().asks = append(h.x().asks, string(entry)) }

// Sample is zones.Pooler's: a little is asked everywhere, and from a time on one zone has nothing that serves.
func (h zoneHost) Sample(float64) (cells []planner.Cell, asks []planner.Demand) {
	for z := range h.s.Set.Zones {
		c := planner.Cell{Zone: z, Cores: 4, FullCores: 4, Attempts: 20}
		if z == len(h.s.Set.Zones)-1 && h.x().clock >= h.s.GoneAt {
			c.Cores, c.Lost = 0, 20
		}
		cells = append(cells, c)
	}
	return cells, []planner.Demand{{Load: 0.5}}
}

// ApplyStatus is zones.Pooler's.
func (h zoneHost) ApplyStatus(follower.Status) {}

// StorePlanNumber is zones.Pooler's.
func (h zoneHost) StorePlanNumber(no uint64, done func()) {
	h.x().keeps = append(h.x().keeps, zoneKeep{no, done})
}

// made makes a process, and has it hear again what it was told.
func (s *ZoneVoters) made(i int) *zones.Coordinator {
	x := s.procs[i]
	set := s.Set
	set.Zone, set.Name, set.MinPlan = set.Zones[i], set.Voters[i], x.floor
	if s.Amnesiac {
		set.MinPlan = 0
	}
	if s.Endless {
		set.PlanLifetime = 1e9
	}
	h := zoneHost{s, i}
	clock := x.clock
	x.clock, x.keeps = x.began, nil
	z := zones.New(set, h, h, h)
	z.State().AcceptsAnyPlan = s.Sloppy
	var all []view.Record
	for k, name := range set.Voters {
		all = append(all, view.Record{ID: view.ID(k + 1), Name: name, Addr: name, Zone: set.Zones[k], State: view.Alive})
	}
	z.UpdateMembers(view.ID(i+1), all, view.Counts{})
	if s.Hasty && x.disk > 0 {
		z.SetLeader(set.Voters[(i+1)%len(set.Voters)])
	}
	for k := range x.disk {
		z.Apply(uint64(k+1), []byte(s.log[k]))
	}
	for _, e := range x.told {
		x.clock = e.now
		x.tell(z, s, &e)
	}
	x.clock, x.tells, x.asks = clock, nil, nil
	return z
}

// tell has a process have an event.
func (x *zoneProc) tell(z *zones.Coordinator, s *ZoneVoters, e *zoneEvent) {
	switch e.what {
	case zoneTick:
		z.Tick()
	case zoneHeard:
		m, err := z.Decode([]byte(e.text))
		if err != nil {
			panic(err)
		}
		if w, ok := m.(*zones.PlanUpdate); ok && s.Timeless {
			w.AgeMs = 0
		}
		z.Receive(view.ID(e.n), m)
	case zoneApply:
		z.Apply(e.n, []byte(e.text))
	case zoneLead:
		z.SetLeader(e.text)
	case zoneKept:
		k := x.keeps[0]
		x.keeps = slices.Delete(slices.Clone(x.keeps), 0, 1)
		k.done()
	}
}

// do tells a process of an event and takes what it says.
func (s *ZoneVoters) do(i int, e zoneEvent) error {
	s.hear(i, e)
	return s.look(i)
}

func (s *ZoneVoters) hear(i int, e zoneEvent) {
	x := s.procs[i]
	if x.z == nil {
		x.z = s.made(i)
	}
	e.now, x.clock = s.now, s.now
	if e.what == zoneTick {
		x.woke = s.now
	}
	x.tell(x.z, s, &e)
	x.told = append(x.told, e)
	x.key = xxhash.Sum64String(fmt.Sprint(x.key, e))
	for _, w := range x.tells {
		if !slices.Contains(s.wires, w) && w.to >= 0 {
			s.wires = append(s.wires, w)
		}
	}
	for _, a := range x.asks {
		if !slices.Contains(s.waits, a) {
			s.waits = append(s.waits, a)
		}
	}
	x.tells, x.asks = nil, nil
}

// look holds what a voter has and follows to the rules.
func (s *ZoneVoters) look(i int) error {
	x := s.procs[i]
	stand, p := x.z.Status()
	for _, q := range []struct {
		what string
		no   uint64
		text string
	}{{"has", 0, ""}, {"follows", 0, ""}} {
		if b := x.z.State().Plan; q.what == "has" && b != nil {
			q.no, q.text = b.Number, string(b.Append(nil))
		} else if q.what == "follows" && p != nil {
			q.no, q.text = p.Number, string(p.Append(nil))
		}
		if was, known := s.truth.plans[q.no]; known && was != q.text {
			return fmt.Errorf("voter %d %s another plan %d than was known", i, q.what, q.no)
		}
		if q.no > 0 {
			s.truth.plans[q.no] = q.text
		}
	}
	if p == nil {
		return nil
	}
	if p.Number < x.number {
		return fmt.Errorf("voter %d follows plan %d after %d", i, p.Number, x.number)
	}
	if p.Since < x.since {
		return fmt.Errorf("voter %d follows plan %d, which asks for what plan %d did, after plan %d", i, p.Number, p.Since, x.since)
	}
	x.number, x.since = p.Number, p.Since
	if at, known := s.truth.applied[stand.PlanNumber]; stand.Reason == follower.Planned && x.woke == s.now && (!known || s.now >= at+s.Set.PlanLifetime+s.Most) {
		return fmt.Errorf("voter %d goes by plan %d at %v; it was applied last at %v", i, stand.PlanNumber, s.now, at)
	}
	if stand.Zone != i && p.Matrix[i][stand.Zone] == 0 {
		return fmt.Errorf("voter %d goes to zone %d, where plan %d sends nothing", i, stand.Zone, p.Number)
	}
	return nil
}

func (s *ZoneVoters) clone() *ZoneVoters {
	c := *s
	c.log, c.waits, c.wires = slices.Clip(s.log), slices.Clone(s.waits), slices.Clone(s.wires)
	c.truth = zoneTruth{maps.Clone(s.truth.plans), maps.Clone(s.truth.applied)}
	c.procs = make([]*zoneProc, len(s.procs))
	for i, x := range s.procs {
		y := *x
		y.z, y.told = nil, slices.Clip(x.told)
		c.procs[i] = &y
	}
	return &c
}

// Key is System's: the same was told to each voter, in its order, and the same is on the way.
func (s *ZoneVoters) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.now, s.Pass, s.Sleep, s.Lead, s.Crash, s.Double, s.Twice, len(s.log))
	for _, x := range s.procs {
		fmt.Fprintf(&b, "|%x %d %d %d", x.key, x.done, x.disk, x.floor)
	}
	rest := slices.Concat(s.waits, s.log)
	for _, w := range s.wires {
		rest = append(rest, fmt.Sprint(w))
	}
	slices.Sort(rest)
	fmt.Fprintf(&b, "%q", rest)
	return b.String()
}

// Check is System's: what is wrong was found in the step.
func (s *ZoneVoters) Check() error { return nil }

// pass has time go on a step. Who sleeps does not see it; words that are too late never come.
func (s *ZoneVoters) pass(sleeper int) error {
	s.now++
	s.wires = slices.DeleteFunc(s.wires, func(w zoneWord) bool { return s.now-w.at > s.Most })
	for i := range s.procs {
		if i == sleeper {
			continue
		}
		if err := s.do(i, zoneEvent{what: zoneTick}); err != nil {
			return err
		}
	}
	return nil
}

// apply has a voter have the next entry.
func (s *ZoneVoters) apply(i int) error {
	x := s.procs[i]
	x.done++
	s.hear(i, zoneEvent{what: zoneApply, text: s.log[x.done-1], n: uint64(x.done)})
	if p := x.z.State().Plan; p != nil && x.leads >= 0 {
		s.truth.applied[p.Number] = s.now
	}
	return s.look(i)
}

// lead has a voter learn who leads.
func (s *ZoneVoters) lead(i, who int) error {
	s.procs[i].leads = who
	return s.do(i, zoneEvent{what: zoneLead, text: s.Set.Voters[who], n: uint64(who)})
}

// kept has a number be in a voter's file.
func (s *ZoneVoters) kept(i int) error {
	x := s.procs[i]
	if x.z == nil {
		x.z = s.made(i)
	}
	x.file = max(x.file, x.keeps[0].no)
	return s.do(i, zoneEvent{what: zoneKept})
}

// crash has a voter end and start again; so many entries of its log it applies at once, the others as they come to it.
func (s *ZoneVoters) crash(i, entries int) {
	x := s.procs[i]
	s.procs[i] = &zoneProc{life: x.life + 1, key: xxhash.Sum64String(fmt.Sprint(x.key, entries, s.now)), done: entries, disk: entries, file: x.file, floor: x.file, leads: -1,
		began: s.now, clock: s.now, since: x.since}
}

// agree has what was proposed be in the log.
func (s *ZoneVoters) agree(k int, stays bool) {
	s.log = append(s.log, s.waits[k])
	if !stays {
		s.waits = slices.Delete(s.waits, k, k+1)
	}
}

func (s *ZoneVoters) deliver(k int, stays bool) error {
	w := s.wires[k]
	if !stays {
		s.wires = slices.Delete(s.wires, k, k+1)
	}
	return s.do(w.to, zoneEvent{what: zoneHeard, text: w.text, n: uint64(w.from + 1)})
}

// Moves are System's.
func (s *ZoneVoters) Moves() (moves []Move) {
	add := func(name string, do func(c *ZoneVoters) error) {
		moves = append(moves, Move{name, func() (System, error) {
			c := s.clone()
			return c, do(c)
		}})
	}
	if s.Pass > 0 {
		for i := -1; i < len(s.procs) && (i < 0 || s.Sleep > 0); i++ {
			add(fmt.Sprintf("time passes, %d sleeps", i), func(c *ZoneVoters) error {
				if c.Pass--; i >= 0 {
					c.Sleep--
				}
				return c.pass(i)
			})
		}
	}
	for k, w := range s.wires {
		name := fmt.Sprintf("%d to %d, of %v, %x", w.from, w.to, w.at, w.text[0])
		add(name, func(c *ZoneVoters) error { return c.deliver(k, false) })
		if s.Double > 0 {
			add(name+" twice", func(c *ZoneVoters) error {
				c.Double--
				return c.deliver(k, true)
			})
		}
	}
	for k := range s.waits {
		add(fmt.Sprintf("proposal %d is agreed", k), func(c *ZoneVoters) error {
			c.agree(k, false)
			return nil
		})
		if s.Twice > 0 {
			add(fmt.Sprintf("proposal %d is agreed, and may be again", k), func(c *ZoneVoters) error {
				c.Twice--
				c.agree(k, true)
				return nil
			})
		}
	}
	for i, x := range s.procs {
		if x.done < len(s.log) {
			add(fmt.Sprintf("%d applies entry %d", i, x.done+1), func(c *ZoneVoters) error { return c.apply(i) })
		}
		if len(x.keeps) > 0 {
			add(fmt.Sprintf("%d has kept %d", i, x.keeps[0].no), func(c *ZoneVoters) error { return c.kept(i) })
		}
		if s.Crash > 0 {
			for _, n := range slices.Compact([]int{0, x.done}) {
				add(fmt.Sprintf("%d starts again with %d entries", i, n), func(c *ZoneVoters) error {
					c.Crash--
					c.crash(i, n)
					return nil
				})
			}
		}
		for who := range s.procs {
			if who != x.leads && s.Lead > 0 {
				add(fmt.Sprintf("%d learns that %d leads", i, who), func(c *ZoneVoters) error {
					c.Lead--
					return c.lead(i, who)
				})
			}
		}
	}
	return moves
}

// Wander goes one of all ways, as drawn, until none goes on or so many steps were gone.
func (s *ZoneVoters) Wander(pick func(n int) int, steps int) ([]string, error) {
	var way []string
	for x := s; len(way) < steps; {
		moves := x.Moves()
		if len(moves) == 0 {
			break
		}
		m := moves[pick(len(moves))]
		way = append(way, m.Name)
		next, err := m.Do()
		if err != nil {
			return way, err
		}
		x = next.(*ZoneVoters)
	}
	return way, nil
}
