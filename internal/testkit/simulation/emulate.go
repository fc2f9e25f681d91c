package simulation

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/invariant"
	"beechgrade/internal/storage/journal"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/netfault"
	"beechgrade/internal/testkit/scenario"
	"beechgrade/internal/testkit/score"
)

// Options say how a scenario is played.
type Options struct {
	Seed           uint64
	Mutant         *Mutant // a pooler that is broken on purpose, to prove the checker
	Meter          bool    // take the decision module's time apart; it costs some itself
	Progress       func(virtualMs, endMs float64)
	Broken         func(invariant.Breach) // is told of each invariant that breaks first, at that moment; may be nil
	Parts          []Joined               // that live in each pooler, beside those that the scenario has
	OnAttemptEnded func(t *clients.Try)   // is told how each try ended for its client; may be nil

	ran  func(id string)                                                            // is told of each write that must never run twice, as it runs; for tests
	Read func(at float64, class *clients.Class, pooler int, work float64, far bool) // is told of each attempt of a read that any member may serve; may be nil
}

// startMs is when virtual time begins, Unix ms: a fixed moment, so that every run is the same.
const startMs = 1.7e12

// walkEach is how many events there are for one walk over a pooler's state that checks its invariants.
const walkEach = 64

// tailMs bounds what comes behind the last ask.
const tailMs = 60000

// Result is what came of a run.
type Result struct {
	Pending  []journal.Attempt `json:"-"` // in poolers' journals at the end
	Writes   int               `json:"journal_writes,omitempty"`
	Scenario string            `json:"scenario"`
	Seed     uint64            `json:"seed"`
	Mutant   string            `json:"mutant,omitempty"`
	Poolers  int               `json:"poolers"`
	Servers  int               `json:"servers"`
	Groups   int               `json:"groups"`
	Hash     string            `json:"hash"` // of every event, in order
	Score    *score.Score      `json:"score"`
	Verdict  *checker.Verdict  `json:"rules"`
	Facts    []model.Fact      `json:"facts,omitempty"`

	Events    uint64               `json:"events"`
	Received  uint64               `json:"asked"`
	Tries     uint64               `json:"tries"`
	Attempts  uint64               `json:"attempts"`
	Crossed   uint64               `json:"attempts_across_sites,omitempty"`
	Reads     uint64               `json:"attempts_of_reads_that_any_member_may_serve,omitempty"`
	Far       uint64               `json:"of_these_across_sites,omitempty"`
	Probes    uint64               `json:"probes"`
	Lists     uint64               `json:"list_calls"`
	Ends      map[string]uint64    `json:"attempts_by_end"`
	Conns     int                  `json:"most_connections_of_a_pooler"`
	Again     Again                `json:"again"`
	Spent     Spent                `json:"spent"`
	Lost      map[string]float64   `json:"worth_lost_by_last_answer"`
	VirtualMs float64              `json:"virtual_ms"`
	WallMs    float64              `json:"wall_ms"`
	ModuleMs  float64              `json:"module_ms,omitempty"`
	HeapMB    float64              `json:"heap_mb"`
	Views     *Views               `json:"views,omitempty"`
	Limits    *Limits              `json:"limits,omitempty"`
	Trials    []checker.Impairment `json:"-"`
	Heeds     []Heed               `json:"verdicts_heeded,omitempty"`
	Pages     *PageCounts          `json:"pages,omitempty"`
	Funds     []Funds              `json:"funds,omitempty"`
	P50       float64              `json:"served_p50_ms"`
	P99       float64              `json:"served_p99_ms"`
}

// Emulation is a run that is under way.
type Emulation struct {
	script   *scenario.Script
	opt      Options
	s        sched
	world    *model.World
	rng      *rand.Rand // of the network and the clients, apart from the model's
	poolers  []*pooler
	black    *checker.BlackoutChecker // nil where poolers are no peers
	heeds    []Heed                   // how verdicts went round
	fleet    *fleetOf                 // the poolers as peers, nil where they are none
	paging   *paging                  // reports that are read in pages, nil for none
	funds    *funds                   // that tenants pay ahead, nil for none
	ways     *ways                    // from poolers to servers, and to the list
	routes   *netfault.Net            // what befalls the ways between sites, nil for one room
	agents   *agents                  // of Consul, nil where the list is the platform's
	plan     *clients.Planner
	sessions clients.Sessions
	keeper   *score.Keeper
	check    *checker.Checker
	bad      []float64 // until when the front does not try a pooler, as it has noticed that it is gone
	open     int       // asks
	drawn    bool
	times    *timesOf

	asked, tries, attempts, probes, lists uint64
	crossed, reads, far                   uint64
	watches                               uint32
	conned                                int // connections that a pooler had at most
	results                               [16]uint64
	lost                                  map[string]float64
	agains                                *agains
	spends                                spends
	moduleNs                              int64
	checks                                *invariant.Checks
	began                                 time.Time
}

// Rules are what a scenario's rules go by.
func Rules(s *scenario.Script) checker.Config {
	c := checker.Config{GraceMs: s.Fleet.GraceMs, SlackMs: 50, MaxAttempts: scenario.MaxAttempts, ColdMs: s.Fleet.ColdMs, ColdShare: s.Fleet.ColdShare,
		Cores: s.Fleet.Cores, OverloadFactor: s.Fleet.OverloadFactor, OverloadWindowMs: s.Fleet.OverloadWindowMs, Limits: s.CheckedLimits(), CountMs: 5, Overload: s.CheckedOverload()}
	for _, x := range s.Clients.Classes {
		k := checker.Class{Name: x.Name, Writes: x.Read == clients.Write, NoRepeat: x.Read == clients.Write && x.KeyMs == 0, KeyMs: x.KeyMs, Session: x.Read == clients.ReadSession}
		if x.Read == clients.ReadBounded {
			k.MaxStalenessMs = x.Bound
		}
		c.Classes = append(c.Classes, k)
	}
	return c
}

// Run plays a scenario from its start to its end.
func Run(ctx context.Context, s *scenario.Script, opt Options) (*Result, error) {
	s, err := s.Drawn(opt.Seed)
	if err != nil {
		return nil, err
	}
	if err := s.InVirtualTime(); err != nil {
		return nil, err
	}
	e := &Emulation{script: s, opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 3)), sessions: clients.Sessions{}, lost: map[string]float64{}, agains: newAgains(), times: newTimes(),
		checks: invariant.New(opt.Broken), began: time.Now()}
	e.s.now = startMs
	cfg := s.Fleet
	cfg.Seed = opt.Seed
	e.world = model.New(cfg, &e.s, e)
	if opt.Mutant != nil && opt.Mutant.World != nil {
		opt.Mutant.World(e.world)
	}
	for _, x := range e.world.Servers {
		e.world.List.SetAddr(x.Name, x.Name+":5432")
	}
	c := s.Clients
	c.Seed = opt.Seed
	e.plan, e.keeper, e.check = clients.NewPlanner(c), score.New(opt.Seed, c.Classes), checker.New(Rules(s))
	e.check.RolesAreShared = s.Verdicts != nil || s.Overload != nil && s.Overload.Share
	e.keeper.Tenants(c.Tenants, c.Over)
	e.bad = make([]float64, s.Poolers)
	e.ways = newWays(s.Poolers, len(e.world.Servers))
	if s.Agents > 0 {
		e.agents = e.newAgents()
	}
	if s.Peers != nil {
		e.fleet = e.newFleet()
		e.black = checker.NewBlackoutChecker(startMs, Blackouts(s))
	}
	if s.Credit != nil {
		e.funds = e.newFunds()
	}
	if s.Pages != nil {
		e.paging = e.newPaging()
	}
	if n := len(s.Sites); n > 0 {
		e.routes = netfault.New(n)
	}
	for i := range s.Poolers {
		p := e.newPooler(i)
		e.poolers = append(e.poolers, p)
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		e.s.at(startMs+f.At, model.Func(func() { e.strike(f) }), 0)
	}
	e.s.at(startMs, drawer{e}, 0)
	end := startMs + c.Seconds*1000
	stopped := func() bool {
		if opt.Progress != nil {
			opt.Progress(e.s.now-startMs, c.Seconds*1000)
		}
		return ctx.Err() != nil
	}
	e.s.run(end, stopped)
	for until := end; ctx.Err() == nil && (e.open > 0 || !e.drawn) && until < end+tailMs; {
		until += 500
		e.s.run(until, stopped)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	for _, p := range e.poolers {
		p.counted()
	}
	e.check.Finish(e.s.now)
	return e.result(), nil
}

func (e *Emulation) result() *Result {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s := e.script
	r := &Result{Scenario: s.Name, Seed: e.opt.Seed, Poolers: s.Poolers, Servers: len(e.world.Servers), Groups: len(e.world.Groups), Hash: fmt.Sprintf("%016x", e.s.hash),
		Score: e.keeper.Score(), Verdict: e.check.Verdict(), Facts: e.world.Facts(), Events: e.s.events, Received: e.asked, Tries: e.tries, Attempts: e.attempts, Crossed: e.crossed, Reads: e.reads, Far: e.far, Probes: e.probes,
		Lists: e.lists, Conns: e.conned, Again: e.agains.result(), Spent: e.spends.result(), Ends: map[string]uint64{}, Lost: e.lost, VirtualMs: e.s.now - startMs, WallMs: float64(time.Since(e.began).Microseconds()) / 1000,
		ModuleMs: float64(e.moduleNs) / 1e6, HeapMB: float64(m.HeapAlloc) / (1 << 20), P50: e.times.quantile(50), P99: e.times.quantile(99)}
	for i, n := range e.results {
		if n > 0 {
			r.Ends[resultNames[i]] = n
		}
	}
	for _, p := range e.poolers {
		if p.disk != nil {
			r.Pending = append(r.Pending, journal.Pending(p.disk)...)
			r.Writes += p.disk.writes
		}
	}
	r.Verdict.Invariants(e.s.now, e.checks)
	if e.opt.Mutant != nil {
		r.Mutant = e.opt.Mutant.Name
	}
	if e.fleet != nil {
		r.Views = e.fleet.result()
		if s.Limits != nil {
			r.Limits = e.fleet.lentResult()
		}
		e.fleet.check.Verdict(r.Verdict)
		e.black.Verdict(r.Verdict)
		r.Trials, r.Heeds = e.black.Impairments(), e.heeds
	}
	if e.paging != nil {
		e.paging.check.Verdict(e.s.now, r.Verdict)
		r.Pages = &e.paging.Counts
	}
	if e.funds != nil {
		r.Funds = e.funds.result(r.Verdict)
	}
	return r
}

// way is how long a message takes from one machine to another.
func (e *Emulation) way() float64 { return e.draw(e.script.Way) }

// wayTo is how long one takes between a pooler and a server, which may stand in different sites.
func (e *Emulation) wayTo(p *pooler, s *model.Server) float64 {
	if n := len(e.script.Sites); n > 0 {
		return e.draw(e.script.Between(p.no%n, s.SiteNo()))
	}
	return e.way()
}

// apart tells whether nothing goes between a pooler and a server, one way at least.
func (e *Emulation) apart(p *pooler, s *model.Server) bool {
	if e.routes == nil {
		return false
	}
	a, b := p.no%len(e.script.Sites), s.SiteNo()
	return a != b && (e.routes.Cut(a, b) || e.routes.Cut(b, a))
}

// carried is how long a message takes between a pooler and a server, or back; below 0 where it is lost.
func (e *Emulation) carried(p *pooler, s *model.Server, back bool) float64 {
	ms := e.wayTo(p, s)
	if e.routes == nil {
		return ms
	}
	a, b := p.no%len(e.script.Sites), s.SiteNo()
	if a == b {
		return ms
	}
	if back {
		a, b = b, a
	}
	late := e.routes.Fate(a, b, e.rng)
	if len(late) == 0 {
		return -1
	}
	return ms + late[0]
}

func (e *Emulation) draw(r model.Range) float64 { return r.Draw(e.rng) }

// conns is how many connections a server holds.
func (e *Emulation) conns(s *model.Server) (n int) {
	for _, p := range e.poolers {
		if st := p.stores[s.No]; st != nil && p.up {
			st.expire()
			n += st.conns
		}
	}
	return n
}

func (e *Emulation) sorted(set map[*visit]bool) []*visit {
	out := make([]*visit, 0, len(set))
	for v := range set {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b *visit) int { return cmp.Compare(a.id, b.id) })
	return out
}

// sortedAttempts has a set of attempts in an order that is the same in every run: that of their slots.
func (e *Emulation) sortedAttempts(set map[*attempt]bool) []*attempt {
	out := make([]*attempt, 0, len(set))
	for a := range set {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return cmp.Compare(a.ref.Index, b.ref.Index) })
	return out
}

// Down is world.Watcher's.
func (e *Emulation) Down(s *model.Server) {
	for _, p := range e.poolers {
		if p.up {
			p.serverDown(s)
		}
	}
}

// FactRecorded is world.Watcher's.
func (e *Emulation) FactRecorded(f model.Fact) { e.s.mix(uint64(f.Group), uint64(len(f.What))) }

// Listed is world.Watcher's.
func (e *Emulation) Listed(x *model.Entry, _ float64) {
	if e.agents != nil {
		return
	}
	l := discovery.List{Generation: e.world.List.Gen, Instances: []discovery.Instance{x.Instance}}
	for _, p := range e.poolers {
		p.listed(l)
	}
}

// ListDown is world.Watcher's.
func (e *Emulation) ListDown(gone bool) {
	if e.agents != nil {
		e.agents.wake()
		return
	}
	for _, p := range e.poolers {
		if gone {
			p.listDown()
		}
	}
}

// Registered is world.Watcher's.
func (e *Emulation) Registered() {
	if e.agents != nil {
		e.agents.wake()
	}
}

// Executed is world.Watcher's.
func (e *Emulation) Executed(s *model.Server, j *model.Job, r model.Run) {
	a, ok := j.Owner.(*attempt)
	if !ok || a.v == nil {
		return
	}
	if j.Writes && a.AtMostOnce && e.opt.ran != nil {
		e.opt.ran(a.v.name)
	}
	value, position := j.Value, r.Position
	if r.RepeatDropped {
		e.check.RepeatDropped(e.s.now, s.No, a.v.id, hashOf(value), position)
		return
	}
	if !j.Writes {
		value = s.Read(j.Key)
	}
	e.check.Executed(e.s.now, s.No, a.v.id, j.Writes, r.Primary, hashOf(value), position)
}

func hashOf(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return h.Sum64()
}

const (
	restartMost = 3700 // a pooler that is restarted goes on for so long at most
	restartAway = 300
	restartLook = 20
)

// Begin and End take the decision module's time.
type meter struct {
	e    *Emulation
	from time.Time
}

func (m *meter) Begin() { m.from = time.Now() }
func (m *meter) End()   { m.e.moduleNs += time.Since(m.from).Nanoseconds() }
