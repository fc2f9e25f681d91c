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

// Options configure a run.
type Options struct {
	Seed           uint64
	Mutant         *Mutant // a deliberate error that the checker must detect; nil for none
	Meter          bool    // measure the decision module's execution time; this slows the run down
	Progress       func(virtualMs, endMs float64)
	OnBreach       func(invariant.Breach)   // called for the first breach of each invariant; may be nil
	Modules        []ModuleMaker            // of each pooler, in addition to those of the scenario
	OnAttemptEnded func(t *clients.Attempt) // called at the end of each client's attempt; may be nil

	onWrite func(id string)                                                            // called when a server executes a write that must not run twice; for tests
	OnRead  func(at float64, class *clients.Class, pooler int, work float64, far bool) // called for each attempt of a read that any member may serve; far means that the server is in another site; may be nil
}

// startTimeMs is the start of virtual time in Unix ms, the same in every run.
const startTimeMs = 1.7e12

// invariantInterval is the number of events between two checks of a pooler's invariants.
const invariantInterval = 64

// maxDrainMs limits how long a run goes on after the last request to let open requests end; time advances in steps of drainStepMs.
const (
	maxDrainMs  = 60000
	drainStepMs = 500
)

// Result is the result of a run. Its JSON encoding is the output of the test kit.
type Result struct {
	PendingAttempts []journal.Attempt `json:"-"` // attempts left in the poolers' journals at the end
	JournalWrites   int               `json:"journal_writes,omitempty"`
	Scenario        string            `json:"scenario"`
	Seed            uint64            `json:"seed"`
	Mutant          string            `json:"mutant,omitempty"`
	Poolers         int               `json:"poolers"`
	Servers         int               `json:"servers"`
	Groups          int               `json:"groups"`
	Hash            string            `json:"hash"` // of all events, in order
	Score           *score.Score      `json:"score"`
	Verdict         *checker.Verdict  `json:"rules"`
	Facts           []model.Fact      `json:"facts,omitempty"`

	Events               uint64               `json:"events"`
	Requests             uint64               `json:"asked"`
	ClientAttempts       uint64               `json:"tries"`
	Attempts             uint64               `json:"attempts"`
	CrossSiteAttempts    uint64               `json:"attempts_across_sites,omitempty"`
	AnyMemberReads       uint64               `json:"attempts_of_reads_that_any_member_may_serve,omitempty"`
	RemoteReads          uint64               `json:"of_these_across_sites,omitempty"`
	HealthChecks         uint64               `json:"probes"`
	ListRequests         uint64               `json:"list_calls"`
	AttemptsByResult     map[string]uint64    `json:"attempts_by_end"`
	MaxPoolerConnections int                  `json:"most_connections_of_a_pooler"`
	Repeats              Repeats              `json:"again"`
	CoreTime             CoreTime             `json:"spent"`
	LostWeight           map[string]float64   `json:"worth_lost_by_last_answer"`
	VirtualMs            float64              `json:"virtual_ms"`
	WallMs               float64              `json:"wall_ms"`
	ModuleMs             float64              `json:"module_ms,omitempty"`
	HeapMB               float64              `json:"heap_mb"`
	Views                *Views               `json:"views,omitempty"`
	Limits               *Limits              `json:"limits,omitempty"`
	Impairments          []checker.Impairment `json:"-"`
	Ejections            []Ejection           `json:"verdicts_heeded,omitempty"`
	Pages                *PageCounts          `json:"pages,omitempty"`
	Funds                []Account            `json:"funds,omitempty"`
	P50                  float64              `json:"served_p50_ms"`
	P99                  float64              `json:"served_p99_ms"`
}

// Simulation is a run in progress.
type Simulation struct {
	script           *scenario.Script
	options          Options
	sched            scheduler
	world            *model.World
	rng              *rand.Rand // for the network and the clients; the model has its own
	poolers          []*pooler
	blackouts        *checker.BlackoutChecker // nil if the poolers are not peers
	ejections        []Ejection               // how ejections spread
	fleet            *peerFleet               // nil if the poolers are not peers
	reports          *pagedReports            // reports that clients read in pages, nil for none
	funds            *prepaidFunds            // prepaid credit of tenants, nil for none
	links            *linkFaults              // faults of the links between poolers and servers, and of list delivery
	siteLinks        *netfault.Net            // faults of the links between sites, nil for a single site
	agents           *consulAgents            // Consul agents, nil if the platform serves the endpoint list
	planner          *clients.Planner
	sessions         clients.Sessions
	scores           *score.Scorer
	check            *checker.Checker
	avoidUntil       []float64 // by pooler: until when the clients' load balancer avoids it
	openRequests     int
	allRequestsDrawn bool
	latencies        *latencies

	requests, clientAttempts, attempts, healthChecks, lists uint64
	crossSiteAttempts, anyMemberReads, remoteReads          uint64
	lastWatch                                               uint32
	mostConnections                                         int // highest number of connections that a single pooler had
	attemptsByResult                                        [16]uint64
	lostWeight                                              map[string]float64
	repeats                                                 *repeatCounts
	coreTime                                                coreTimeCounts
	moduleNs                                                int64
	checks                                                  *invariant.Checks
	startedAt                                               time.Time
}

// CheckerConfig returns the limits of the checker's rules for a scenario.
func CheckerConfig(s *scenario.Script) checker.Config {
	c := checker.Config{
		GraceMs:          s.Fleet.GraceMs,
		SlackMs:          50,
		MaxAttempts:      scenario.MaxAttempts,
		ColdMs:           s.Fleet.ColdMs,
		ColdShare:        s.Fleet.ColdShare,
		Cores:            s.Fleet.Cores,
		OverloadFactor:   s.Fleet.OverloadFactor,
		OverloadWindowMs: s.Fleet.OverloadWindowMs,
		Limits:           s.CheckedLimits(),
		CountMs:          5,
		Overload:         s.CheckedOverload(),
	}
	for _, x := range s.Clients.Classes {
		k := checker.Class{
			Name:     x.Name,
			Writes:   x.Read == clients.Write,
			NoRepeat: x.Read == clients.Write && x.KeyMs == 0,
			KeyMs:    x.KeyMs,
			Session:  x.Read == clients.ReadSession,
		}
		if x.Read == clients.ReadBounded {
			k.MaxStalenessMs = x.Bound
		}
		c.Classes = append(c.Classes, k)
	}
	return c
}

// Run runs a scenario from start to end, or until ctx is done.
func Run(ctx context.Context, s *scenario.Script, opt Options) (*Result, error) {
	s, err := s.Draw(opt.Seed)
	if err != nil {
		return nil, err
	}
	if err := s.InVirtualTime(); err != nil {
		return nil, err
	}
	sim := newSimulation(s, opt)
	sim.addOptionalParts()
	if err := sim.startPoolers(); err != nil {
		return nil, err
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		sim.sched.at(startTimeMs+f.At, model.Func(func() { sim.injectFault(f) }), 0)
	}
	sim.sched.at(startTimeMs, requestSource{sim}, 0)
	if err := sim.advance(ctx); err != nil {
		return nil, err
	}
	for _, p := range sim.poolers {
		p.checkConnectionCounts()
	}
	sim.check.Finish(sim.sched.now)
	return sim.result(), nil
}

// newSimulation returns a simulation with its servers, clients and checker.
func newSimulation(s *scenario.Script, opt Options) *Simulation {
	sim := &Simulation{
		script:     s,
		options:    opt,
		rng:        rand.New(rand.NewPCG(opt.Seed, 3)),
		sessions:   clients.Sessions{},
		lostWeight: map[string]float64{},
		repeats:    newRepeatCounts(),
		latencies:  newLatencies(),
		checks:     invariant.New(opt.OnBreach),
		startedAt:  time.Now(),
	}
	sim.sched.now = startTimeMs
	fleet := s.Fleet
	fleet.Seed = opt.Seed
	sim.world = model.New(fleet, &sim.sched, sim)
	if opt.Mutant != nil && opt.Mutant.World != nil {
		opt.Mutant.World(sim.world)
	}
	for _, server := range sim.world.Servers {
		sim.world.List.SetAddr(server.Name, server.Name+":5432")
	}
	c := s.Clients
	c.Seed = opt.Seed
	sim.planner = clients.NewPlanner(c)
	sim.scores = score.New(opt.Seed, c.Classes)
	sim.scores.Tenants(c.Tenants, c.OverShareWorth)
	sim.check = checker.New(CheckerConfig(s))
	sim.check.RolesAreShared = s.OutlierDetection != nil || s.Overload != nil && s.Overload.ProbeSharingEnabled
	return sim
}

// addOptionalParts adds the link faults and those of Consul, peers, credit, paged reports and sites that the scenario uses.
func (sim *Simulation) addOptionalParts() {
	s := sim.script
	sim.avoidUntil = make([]float64, s.Poolers)
	sim.links = newLinkFaults(s.Poolers, len(sim.world.Servers))
	if s.Agents > 0 {
		sim.agents = sim.newAgents()
	}
	if s.Peers != nil {
		sim.fleet = sim.newPeerFleet()
		sim.blackouts = checker.NewBlackoutChecker(startTimeMs, BlackoutConfig(s))
	}
	if s.Credit != nil {
		sim.funds = sim.newFunds()
	}
	if s.Pages != nil {
		sim.reports = sim.newPagedReports()
	}
	if n := len(s.Sites); n > 0 {
		sim.siteLinks = netfault.New(n)
	}
}

func (sim *Simulation) startPoolers() error {
	for i := range sim.script.Poolers {
		p := sim.newPooler(i)
		sim.poolers = append(sim.poolers, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// advance runs virtual time to the scenario's end, and then for up to maxDrainMs until all requests have ended.
func (sim *Simulation) advance(ctx context.Context) error {
	duration := sim.script.Clients.Seconds * 1000
	end := startTimeMs + duration
	stopped := func() bool {
		if sim.options.Progress != nil {
			sim.options.Progress(sim.sched.now-startTimeMs, duration)
		}
		return ctx.Err() != nil
	}
	sim.sched.run(end, stopped)
	for until := end; ctx.Err() == nil && (sim.openRequests > 0 || !sim.allRequestsDrawn) && until < end+maxDrainMs; {
		until += drainStepMs
		sim.sched.run(until, stopped)
	}
	return ctx.Err()
}

// result assembles the result of the run.
func (sim *Simulation) result() *Result {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	s := sim.script
	r := &Result{
		Scenario:             s.Name,
		Seed:                 sim.options.Seed,
		Poolers:              s.Poolers,
		Servers:              len(sim.world.Servers),
		Groups:               len(sim.world.Groups),
		Hash:                 fmt.Sprintf("%016x", sim.sched.hash),
		Score:                sim.scores.Score(),
		Verdict:              sim.check.Verdict(),
		Facts:                sim.world.Facts(),
		Events:               sim.sched.events,
		Requests:             sim.requests,
		ClientAttempts:       sim.clientAttempts,
		Attempts:             sim.attempts,
		CrossSiteAttempts:    sim.crossSiteAttempts,
		AnyMemberReads:       sim.anyMemberReads,
		RemoteReads:          sim.remoteReads,
		HealthChecks:         sim.healthChecks,
		ListRequests:         sim.lists,
		MaxPoolerConnections: sim.mostConnections,
		Repeats:              sim.repeats.result(),
		CoreTime:             sim.coreTime.result(),
		AttemptsByResult:     map[string]uint64{},
		LostWeight:           sim.lostWeight,
		VirtualMs:            sim.sched.now - startTimeMs,
		WallMs:               float64(time.Since(sim.startedAt).Microseconds()) / 1000,
		ModuleMs:             float64(sim.moduleNs) / 1e6,
		HeapMB:               float64(memory.HeapAlloc) / (1 << 20),
		P50:                  sim.latencies.quantile(50),
		P99:                  sim.latencies.quantile(99),
	}
	for i, n := range sim.attemptsByResult {
		if n > 0 {
			r.AttemptsByResult[resultNames[i]] = n
		}
	}
	for _, p := range sim.poolers {
		if p.disk != nil {
			r.PendingAttempts = append(r.PendingAttempts, journal.Pending(p.disk)...)
			r.JournalWrites += p.disk.writes
		}
	}
	r.Verdict.Invariants(sim.sched.now, sim.checks)
	if sim.options.Mutant != nil {
		r.Mutant = sim.options.Mutant.Name
	}
	sim.addPartResults(r)
	return r
}

// addPartResults adds the results and verdicts of the optional parts that the scenario uses.
func (sim *Simulation) addPartResults(r *Result) {
	if sim.fleet != nil {
		r.Views = sim.fleet.result()
		if sim.script.Limits != nil {
			r.Limits = sim.fleet.limitsResult()
		}
		sim.fleet.check.Verdict(r.Verdict)
		sim.blackouts.Verdict(r.Verdict)
		r.Impairments, r.Ejections = sim.blackouts.Impairments(), sim.ejections
	}
	if sim.reports != nil {
		sim.reports.check.Verdict(sim.sched.now, r.Verdict)
		r.Pages = &sim.reports.Counts
	}
	if sim.funds != nil {
		r.Funds = sim.funds.result(r.Verdict)
	}
}

// linkDelay draws the delay of a message between two machines, in ms.
func (sim *Simulation) linkDelay() float64 { return sim.draw(sim.script.NetworkDelay) }

// linkDelayTo draws the delay of a message between a pooler and a server, which may be in different sites.
func (sim *Simulation) linkDelayTo(p *pooler, s *model.Server) float64 {
	if n := len(sim.script.Sites); n > 0 {
		return sim.draw(sim.script.DelayBetween(p.no%n, s.SiteNo()))
	}
	return sim.linkDelay()
}

// sitesDisconnected reports whether the link between a pooler's and a server's site is cut in at least one direction.
func (sim *Simulation) sitesDisconnected(p *pooler, s *model.Server) bool {
	if sim.siteLinks == nil {
		return false
	}
	a, b := p.no%len(sim.script.Sites), s.SiteNo()
	return a != b && (sim.siteLinks.Cut(a, b) || sim.siteLinks.Cut(b, a))
}

// deliveryDelay draws the delay of a message from a pooler to a server, or back if back is set. It returns a negative value if the
// message is lost between sites.
func (sim *Simulation) deliveryDelay(p *pooler, s *model.Server, back bool) float64 {
	ms := sim.linkDelayTo(p, s)
	if sim.siteLinks == nil {
		return ms
	}
	a, b := p.no%len(sim.script.Sites), s.SiteNo()
	if a == b {
		return ms
	}
	if back {
		a, b = b, a
	}
	late := sim.siteLinks.CopyDelays(a, b, sim.rng)
	if len(late) == 0 {
		return -1
	}
	return ms + late[0]
}

func (sim *Simulation) draw(r model.Range) float64 { return r.Draw(sim.rng) }

// serverConnections returns the number of open connections to a server.
func (sim *Simulation) serverConnections(s *model.Server) (n int) {
	for _, p := range sim.poolers {
		if pool := p.pools[s.No]; pool != nil && p.up {
			pool.expire()
			n += pool.connections
		}
	}
	return n
}

func (sim *Simulation) sortedClientAttempts(set map[*clientAttempt]bool) []*clientAttempt {
	out := make([]*clientAttempt, 0, len(set))
	for ca := range set {
		out = append(out, ca)
	}
	slices.SortFunc(out, func(a, b *clientAttempt) int { return cmp.Compare(a.id, b.id) })
	return out
}

// sortedAttempts returns a set of attempts in the order of their slots, so that the order is the same in every run.
func (sim *Simulation) sortedAttempts(set map[*attempt]bool) []*attempt {
	out := make([]*attempt, 0, len(set))
	for a := range set {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return cmp.Compare(a.ref.Index, b.ref.Index) })
	return out
}

// Down implements model.Watcher.
func (sim *Simulation) Down(s *model.Server) {
	for _, p := range sim.poolers {
		if p.up {
			p.serverDown(s)
		}
	}
}

// FactRecorded implements model.Watcher.
func (sim *Simulation) FactRecorded(f model.Fact) {
	sim.sched.mix(uint64(f.Group), uint64(len(f.What)))
}

// Listed implements model.Watcher.
func (sim *Simulation) Listed(x *model.Entry, _ float64) {
	if sim.agents != nil {
		return
	}
	l := discovery.List{Generation: sim.world.List.Gen, Instances: []discovery.Instance{x.Instance}}
	for _, p := range sim.poolers {
		p.listed(l)
	}
}

// ListDown implements model.Watcher.
func (sim *Simulation) ListDown(gone bool) {
	if sim.agents != nil {
		sim.agents.wake()
		return
	}
	for _, p := range sim.poolers {
		if gone {
			p.listDown()
		}
	}
}

// Registered implements model.Watcher.
func (sim *Simulation) Registered() {
	if sim.agents != nil {
		sim.agents.wake()
	}
}

// Executed implements model.Watcher.
func (sim *Simulation) Executed(s *model.Server, j *model.Job, r model.Run) {
	a, ok := j.Owner.(*attempt)
	if !ok || a.client == nil {
		return
	}
	if j.Writes && a.AtMostOnce && sim.options.onWrite != nil {
		sim.options.onWrite(a.client.name)
	}
	value, position := j.Value, r.Position
	if r.RepeatDropped {
		sim.check.RepeatDropped(sim.sched.now, s.No, a.client.id, hashOf(value), position)
		return
	}
	if !j.Writes {
		value = s.Read(j.Key)
	}
	sim.check.Executed(sim.sched.now, s.No, a.client.id, j.Writes, r.Primary, hashOf(value), position)
}

func hashOf(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return h.Sum64()
}

const (
	maxRestartMs  = 3700 // longest graceful shutdown of a pooler; it is killed after that
	restartDownMs = 300
	restartPollMs = 20
)

// meter measures the decision module's execution time.
type meter struct {
	sim  *Simulation
	from time.Time
}

func (m *meter) Begin() { m.from = time.Now() }
func (m *meter) End()   { m.sim.moduleNs += time.Since(m.from).Nanoseconds() }
