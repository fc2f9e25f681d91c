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

// Quotas are so many poolers that share a limit which is never to be gone over, with the messages between them. Each has a clock of its
// own, as fast or slow as drift has it. Time goes on in steps, at each of which every process that runs has its tick; within a step
// messages to one process arrive in any order. Some are lost, come twice, or are overtaken by all that comes in the next steps. Processes
// crash, start again with nothing, stand still, and think that only some of the others are there, wherever that can be.
type Quotas struct {
	QuotaFaults
	LateSteps int // how late a message is that is late
	Only      int // who is killed and begun again, -1 for whoever it may be
	Ends      int // who drains, and is to lend no more, numbered from 1; 0 for nobody
	Alone     int // who is cut off from the others in a partition

	Number bool // it is a number at once: uses go on, and are what is counted

	Any   bool // messages to one process arrive in any order, not only in that of their sending
	Set   quota.Settings
	Each  func(i, life int, s *quota.Settings)                       // a mutant: a process's settings
	Same  bool                                                       // a mutant: a process starts again with its old name
	Rash  bool                                                       // a mutant: one that starts again votes at once
	Break func(i int, q *quota.Quota, m *quota.Message) (again bool) // a mutant: before a message is told

	t      float64
	most   int
	nodes  []*holder
	wires  []parcel
	parted bool
	halved bool
	ghosts []ghost
}

// QuotaFaults are what may still happen.
type QuotaFaults struct {
	Lose, Double, Late, Crash, Restart, Bounce, Stop, Split, Heal, Swing, Cut int
}

type holder struct {
	q       *quota.Quota
	rate    float64 // of its clock
	dead    bool
	stopped int // steps that it stands still for yet
	life    int
	want    float64
	used    int
}

// ghost is what a process that has gone has let in, and goes on.
type ghost struct {
	n     int
	until float64
}

type parcel struct {
	to, from int
	age      int
	m        *quota.Message
	text     string
}

// QuotaName is the limit that they share.
const QuotaName = "shared"

// NewQuotas makes a system of so many, with a number at once, whose clocks run apart as far as drift allows.
func NewQuotas(n, limit int, reserve float64, set quota.Settings) *Quotas {
	set.ExpectedPoolers = n
	set.Limits = []quota.Limit{{Name: QuotaName, Kind: quota.Rate, Amount: float64(limit), Burst: float64(limit), Reserve: reserve}}
	s := &Quotas{Set: set, t: 100, most: limit, LateSteps: lateSteps, Only: -1}
	for i := range n {
		s.nodes = append(s.nodes, &holder{rate: 1 + set.ClockDrift*float64(1-i%3), want: 1})
	}
	return s
}

// Start begins all processes; settings of the system are taken as they are by then.
func (s *Quotas) Start() {
	if s.Number {
		s.Set.Limits[0].Kind = quota.Concurrency
	}
	for i := range s.nodes {
		s.begin(i)
	}
	for i := range s.nodes {
		_ = s.do(i, s.members(i))
		_ = s.do(i, quota.Demand{Limit: QuotaName, Wanted: s.nodes[i].want})
	}
}

func (s *Quotas) id(i int) quota.ID {
	if s.Same {
		return quota.ID(i + 1)
	}
	return quota.ID(100*s.nodes[i].life + i + 1)
}

func (s *Quotas) begin(i int) {
	set := s.Set
	if s.halved {
		set.Limits = s.half()
	}
	if s.Each != nil {
		s.Each(i, s.nodes[i].life, &set)
	}
	from := s.clock(i)
	if s.Rash && s.nodes[i].life > 0 {
		from -= 1e6
	}
	s.nodes[i].q = quota.New(set, s.id(i), from)
}

func (s *Quotas) half() []quota.Limit {
	l := slices.Clone(s.Set.Limits)
	l[0].Amount, l[0].Burst = l[0].Amount/2, l[0].Burst/2
	return l
}

func (s *Quotas) clock(i int) float64 { return s.t * s.nodes[i].rate }

// members are those that a process thinks are there: all that live, or those on its side.
func (s *Quotas) members(i int) quota.MembersChanged {
	e := quota.MembersChanged{SendingPoolers: len(s.nodes)}
	for k, x := range s.nodes {
		if !x.dead && (!s.parted || (i == s.Alone) == (k == s.Alone)) {
			e.Peers = append(e.Peers, quota.Peer{ID: s.id(k), Addr: fmt.Sprint(k), Draining: s.Ends == k+1})
		}
	}
	return e
}

func (s *Quotas) clone() *Quotas {
	c := *s
	c.nodes = make([]*holder, len(s.nodes))
	for i, x := range s.nodes {
		y := *x
		y.q = x.q.Clone()
		c.nodes[i] = &y
	}
	c.wires, c.ghosts = slices.Clone(s.wires), slices.Clone(s.ghosts)
	return &c
}

// Key is System's.
func (s *Quotas) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.QuotaFaults, s.parted, s.halved, "|")
	last := func(id quota.ID) uint32 {
		for i, x := range s.nodes {
			if s.id(i) == id {
				return x.q.LastSequence(QuotaName)
			}
		}
		return 0
	}
	for i, x := range s.nodes {
		fmt.Fprintf(&b, "%.3f", math.Mod(s.clock(i), 1))
		fmt.Fprint(&b, x.dead, x.stopped, x.life, x.want, x.q.StateKey(last), "|")
	}
	for _, w := range s.wires {
		fmt.Fprint(&b, w.to, w.age, w.m.Kind, w.m.From, w.m.To, "|")
		asker, owner := w.m.From, w.to
		if w.m.Kind != quota.LeaseRequest {
			asker, owner = w.m.To, w.from
		}
		for _, it := range w.m.Items {
			it.Sequence, it.LastTaken = last(asker)-it.Sequence, last(asker)-it.LastTaken
			it.OwnerTime = math.Round((s.clock(owner)-it.OwnerTime)*1e6) / 1e6
			fmt.Fprint(&b, it)
		}
	}
	return b.String()
}

// do tells one process of an event, and puts on the wires what follows.
func (s *Quotas) do(i int, e quota.Event) error {
	x, c := s.nodes[i], invariant.New(nil)
	x.q.CheckInvariants(c, 1)
	for _, a := range x.q.Handle(s.clock(i), e, nil) {
		if a.Kind != quota.Send {
			continue
		}
		for k := range s.nodes {
			if a.Addr == fmt.Sprint(k) && k != i {
				s.put(parcel{to: k, from: i, m: a.Message})
			}
		}
	}
	for _, b := range c.Breaches() {
		return errors.New(b.String())
	}
	return nil
}

// put has a message on its way, unless a partition is between the two. What is on its way when one begins still arrives.
func (s *Quotas) put(w parcel) {
	if s.parted && (w.to == s.Alone) != (w.from == s.Alone) {
		return
	}
	m := *w.m
	m.Items = slices.Clone(m.Items)
	for i := range m.Items {
		m.Items[i].OwnerTime = 0
	}
	w.text = fmt.Sprint(m.Kind, m.From, m.To, m.Items)
	s.wires = append(s.wires, w)
	sort.SliceStable(s.wires, func(a, b int) bool { return s.wires[a].to < s.wires[b].to })
}

func (s *Quotas) deliver(w parcel) error {
	x := s.nodes[w.to]
	if x.dead {
		return nil
	}
	m := *w.m
	m.Items = slices.Clone(m.Items)
	if s.Break != nil && s.Break(w.to, x.q, &m) {
		if err := s.do(w.to, quota.Received{Message: &m}); err != nil {
			return err
		}
	}
	return s.do(w.to, quota.Received{Message: &m})
}

// Moves is System's.
func (s *Quotas) Moves() (out []Move) {
	move := func(name string, do func(c *Quotas) error) {
		out = append(out, Move{name, func() (System, error) {
			c := s.clone()
			return c, do(c)
		}})
	}
	first := -1
	for k, w := range s.wires {
		if w.age < 0 || s.nodes[w.to].stopped > 0 || first >= 0 && (!s.Any || s.wires[first].to != w.to) {
			continue
		}
		if first < 0 {
			first = k
		}
		what := fmt.Sprintf("%d to %d: %.70s", w.from, w.to, w.text)
		take := func(c *Quotas) { c.wires = slices.Delete(c.wires, k, k+1) }
		move("arrives "+what, func(c *Quotas) error { take(c); return c.deliver(w) })
		if s.Lose > 0 {
			move("lost "+what, func(c *Quotas) error { take(c); c.Lose--; return nil })
		}
		if s.Double > 0 {
			move("twice "+what, func(c *Quotas) error { c.Double--; c.wires[k].age = -2; return c.deliver(w) })
		}
		if s.Late > 0 {
			move("late "+what, func(c *Quotas) error { c.Late--; c.wires[k].age = -c.LateSteps; return nil })
		}
	}
	if first >= 0 {
		return out
	}
	move("time", (*Quotas).time)
	for i, x := range s.nodes {
		switch {
		case !x.dead && s.Crash > 0:
			move(fmt.Sprint("crash ", i), func(c *Quotas) error { c.Crash--; c.kill(i); return c.look() })
		case x.dead && s.Restart > 0:
			move(fmt.Sprint("restart ", i), func(c *Quotas) error { c.Restart--; return c.restart(i) })
		}
		if !x.dead && s.Bounce > 0 && (s.Only < 0 || s.Only == i) {
			move(fmt.Sprint("killed and begun again ", i), func(c *Quotas) error { c.Bounce--; return c.restart(i) })
		}
		if !x.dead && x.stopped == 0 && s.Stop > 0 {
			move(fmt.Sprint("stop ", i), func(c *Quotas) error { c.Stop--; c.nodes[i].stopped = stopSteps; return nil })
		}
		if s.Swing > 0 && !x.dead {
			move(fmt.Sprint("demand at ", i), func(c *Quotas) error { return c.swing(i) })
		}
	}
	if s.Split > 0 && !s.parted {
		move("parted", func(c *Quotas) error { c.Split--; c.parted = true; return c.look() })
	}
	if s.Heal > 0 && s.parted {
		move("healed", func(c *Quotas) error { c.Heal--; c.parted = false; return c.look() })
	}
	if s.Cut > 0 && !s.halved {
		move("halved", func(c *Quotas) error {
			c.Cut--
			c.halved = true
			for i, x := range c.nodes {
				if !x.dead {
					_ = c.do(i, quota.LimitsChanged{Limits: c.half()})
				}
			}
			return nil
		})
	}
	return out
}

const stopSteps = 4

func (s *Quotas) kill(i int) {
	x := s.nodes[i]
	x.dead, x.stopped = true, 0
	if x.used > 0 {
		s.ghosts = append(s.ghosts, ghost{x.used, s.t + s.Set.UseTimeout})
		x.used = 0
	}
}

// use has a process let one in, or one end.
func (s *Quotas) use(i, n int) {
	x := s.nodes[i]
	if n > 0 && x.used >= int(x.q.Usable(QuotaName, s.clock(i))+1e-9) || x.used+n < 0 || x.dead || x.stopped > 0 {
		return
	}
	x.used += n
	_ = s.do(i, s.demand(i))
}

func (s *Quotas) demand(i int) quota.Demand {
	return quota.Demand{Limit: QuotaName, Wanted: s.nodes[i].want, Used: float64(s.nodes[i].used)}
}

// linger ends what goes on for longer than it may after its lease or its process has ended.
func (s *Quotas) linger() {
	s.ghosts = slices.DeleteFunc(s.ghosts, func(g ghost) bool { return s.t >= g.until })
	for i, x := range s.nodes {
		if n := int(x.q.Usable(QuotaName, s.clock(i)) + 1e-9); x.used > n && s.clock(i) >= x.q.Statuses()[0].LeaseEnds+s.Set.UseTimeout {
			x.used = n
		}
	}
}

func (s *Quotas) restart(i int) error {
	s.kill(i)
	x := s.nodes[i]
	x.life++
	x.dead = false
	s.begin(i)
	_ = s.do(i, quota.Demand{Limit: QuotaName, Wanted: x.want})
	return s.look()
}

// swing has one process want the whole limit, and the others nothing.
func (s *Quotas) swing(i int) error {
	s.Swing--
	for k, x := range s.nodes {
		if x.want = 0; k == i {
			x.want = float64(s.most)
		}
		if !x.dead && x.stopped == 0 {
			_ = s.do(k, s.demand(k))
		}
	}
	return nil
}

// look has all see who is there.
func (s *Quotas) look() error {
	for i, x := range s.nodes {
		if !x.dead && x.stopped == 0 {
			_ = s.do(i, s.members(i))
		}
	}
	return nil
}

// time has a step go by.
func (s *Quotas) time() error {
	s.t++
	for i := range s.wires {
		s.wires[i].age = min(0, s.wires[i].age+1)
	}
	s.linger()
	for i, x := range s.nodes {
		if x.stopped > 0 {
			if x.stopped--; x.stopped == 0 {
				_ = s.do(i, s.members(i))
			}
			continue
		}
		if !x.dead {
			_ = s.do(i, quota.Tick{})
			if s.Number {
				_ = s.do(i, s.demand(i))
			}
		}
	}
	return nil
}

// Settle has time go by with nothing going wrong.
func (s *Quotas) Settle(steps int) error {
	for range steps {
		_ = s.time()
		for len(s.wires) > 0 {
			w := s.wires[0]
			s.wires = s.wires[1:]
			_ = s.deliver(w)
		}
		if err := s.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Held is what each may use now.
func (s *Quotas) Held() (each []float64) {
	for i, x := range s.nodes {
		n := 0.0
		if !x.dead && x.stopped == 0 {
			n = x.q.Usable(QuotaName, s.clock(i))
		}
		each = append(each, n)
	}
	return each
}

// Check is System's: all together may never use more than the limit.
func (s *Quotas) Check() error {
	if s.Number {
		sum := 0
		for _, g := range s.ghosts {
			sum += g.n
		}
		for _, x := range s.nodes {
			sum += x.used
		}
		if sum > s.most {
			return fmt.Errorf("at %g %d are in use, of %d; %v may be", s.t, sum, s.most, s.Held())
		}
		return nil
	}
	sum := 0.0
	for _, n := range s.Held() {
		sum += n
	}
	if sum > float64(s.most)+1e-9 {
		return fmt.Errorf("at %g %v may be used, of %d", s.t, s.Held(), s.most)
	}
	return nil
}
