// Package adapter joins package overload to a pooler's core and to the ways between poolers: one adapter for sockets and for virtual time.
package adapter

import (
	"time"

	"beechgrade/internal/backend"
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/cluster/overload/budgetlease"
	"beechgrade/internal/cluster/overload/retrybudget"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/decide"
	"beechgrade/internal/invariant"
)

// Core is what it needs of a pooler's core.
type Core interface {
	SetShedding(group int, s *decide.SheddingPolicy)
	AverageWork() []float64
	Names() (classes, tenants []string)
	DecisionSettings() *decide.Settings
	CheckHealth(store string)
	SetRetryBudget(b *retrybudget.Repeats, returns float64)
	RetryBudgets() []decide.RetryBudget
	AddRetryBudget(more map[int]float64)
	HealthCheckReported(store string, result decide.Result, said backend.Report, ageMs float64)
}

// Host is what carries words, and time.
type Host interface {
	module.Transport
	At(ms float64, do func())
}

// Options say what is shared, and how.
type Options struct {
	SetShedding bool // overload is handled together
	Set         overload.Settings
	Share       bool // probes are shared
	Probes      overload.ProbeSettings
	Bound
}

// Joined is a pooler's side. It is part.Part, core.Pressure and core.Prober.
type Joined struct {
	opt    Options
	core   Core
	host   Host
	o      *overload.Overload
	p      *overload.Probes
	l      *budgetlease.Lend
	acts   []overload.Action
	due    float64
	named  int // classes and tenants that the settings had
	learnt float64
	places map[int]*overload.Place // by resource

	checks *invariant.Checks
	every  int
}

// New makes one; it is to be joined to the peers and to the core.
func New(opt Options, c Core, h Host) *Joined {
	return &Joined{opt: opt, core: c, host: h, places: map[int]*overload.Place{}}
}

// Check has statements about its state checked at one tick of so many.
func (j *Joined) Check(c *invariant.Checks, every int) {
	if j.checks, j.every = c, every; j.o != nil {
		j.o.Check(c, every)
	}
	if j.p != nil {
		j.p.Check(c, every)
	}
}

// learnMs is between two looks at what classes cost.
const learnMs = 1000

// Kind is part.Part's.
func (j *Joined) Kind() view.Kind { return module.KindOverload }

// Decode is part.Part's.
func (j *Joined) Decode(b []byte) (any, error) {
	if budgetlease.Mine(b) {
		return budgetlease.Read(b)
	}
	return overload.Read(b)
}

// contracts are the classes and tenants as they are now.
func (j *Joined) contracts() overload.Settings {
	set, out := j.core.DecisionSettings(), j.opt.Set
	classes, tenants := j.core.Names()
	for i, c := range set.Classes {
		if i < len(classes) {
			out.Classes = append(out.Classes, overload.Class{Name: classes[i], Worth: c.PriorityWeight, Aim: float64(c.LatencyObjective) / float64(time.Millisecond), Once: c.Idempotency == decide.NotIdempotent})
		}
	}
	all := 0.0
	for _, t := range set.Tenants {
		all += t.RateLimit
	}
	for i, t := range set.Tenants {
		if i < len(tenants) {
			out.Tenants = append(out.Tenants, overload.Tenant{Name: tenants[i], Share: t.RateLimit / max(all, 1e-9)})
		}
	}
	j.named = len(set.Classes) + len(set.Tenants)<<16
	return out
}

// UpdateMembers is part.Part's.
func (j *Joined) UpdateMembers(self view.ID, all []view.Record, _ view.Counts) {
	var peers []overload.Peer
	for i := range all {
		if r := &all[i]; r.ID == self || r.State <= view.Suspect {
			peers = append(peers, overload.Peer{ID: r.ID, Addr: r.Addr})
		}
	}
	now := j.host.Now()
	if j.o == nil && j.opt.SetShedding {
		j.o = overload.New(j.contracts(), self, now)
		j.o.Check(j.checks, j.every)
	}
	if j.p == nil && j.opt.Share {
		j.p = overload.NewProbes(j.opt.Probes, self, now)
		j.p.Check(j.checks, j.every)
	}
	j.lenders(self, peers)
	if j.o != nil {
		j.do(overload.Members{Self: self, Peers: peers})
	}
	if j.p != nil {
		j.p.Members(self, peers)
	}
}

// Receive is part.Part's.
func (j *Joined) Receive(from view.ID, m any) {
	switch m := m.(type) {
	case *overload.Tell:
		j.do(overload.Told{From: from, Tell: m})
	case *overload.Answer:
		j.do(overload.Answered{From: from, Answer: m})
	case *budgetlease.Give, *budgetlease.Want:
		if j.l != nil {
			j.lends(j.l.Heard(j.host.Now(), from, m, nil))
		}
	default:
		if j.p != nil {
			j.probes(j.p.Heard(j.host.Now(), from, m, nil))
		}
	}
}

// Tick is part.Part's.
func (j *Joined) Tick() {
	now := j.host.Now()
	if j.o != nil {
		if set := j.core.DecisionSettings(); len(set.Classes)+len(set.Tenants)<<16 != j.named {
			j.do(overload.Retune{Settings: j.contracts()})
		}
		if now-j.learnt >= learnMs {
			j.learnt = now
			j.do(overload.Learned{Work: j.core.AverageWork()})
		}
		j.do(overload.Tick{})
	}
	if j.p != nil {
		j.probes(j.p.Tick(now, nil))
	}
	j.stocks()
}

// Leave is part.Part's: what it told fades by itself.
func (j *Joined) Leave() {}

// Received is core.Pressure's.
func (j *Joined) Received(group, class, tenant int, again, in bool) {
	j.do(overload.Asked{Group: j.resource(group, class), Class: class, Tenant: tenant, Again: again, In: in})
}

// Ended is core.Pressure's.
func (j *Joined) Ended(group, class int, served, gone bool, strain float64) {
	j.do(overload.Ended{Group: j.resource(group, class), Class: class, Served: served, Gone: gone, Strain: strain})
}

func (j *Joined) do(e overload.Event) {
	if j.o == nil {
		return
	}
	acts := j.o.Handle(j.host.Now(), e, j.acts[:0])
	j.acts = nil
	for i := range acts {
		switch a := &acts[i]; a.Kind {
		case overload.SendTell:
			j.host.Send(a.Addr, a.To, module.KindOverload, told(a.Tell))
		case overload.SendAnswer:
			j.host.Send(a.Addr, a.To, module.KindOverload, answered(a.Answer))
		case overload.Shed:
			j.shed(a.Group, a.Place)
		}
	}
	clear(acts)
	j.acts = acts
}

// resource is what a class's requests of a group ask for: its primary, or any of its servers. Each has a level of its own.
func (j *Joined) resource(group, class int) int {
	if set := j.core.DecisionSettings(); class >= 0 && class < len(set.Classes) && (set.Classes[class].Read == decide.Write || set.Classes[class].Read == decide.ReadFresh) {
		return 2*group + 1
	}
	return 2 * group
}

// shed has the module turn away what both of a group's levels say.
func (j *Joined) shed(resource int, p *overload.Place) {
	if j.places[resource] = p; p == nil {
		delete(j.places, resource)
	}
	group, set := resource/2, j.core.DecisionSettings()
	n := len(set.Classes)
	s := &decide.SheddingPolicy{Levels: make([]float64, n), Ranks: make([][4]int, n), OverQuotaIndex: make([]int, n), OverQuota: make([][2]float64, len(set.Tenants)),
		RankLifetime: time.Duration(j.opt.Set.Keep * float64(time.Millisecond))}
	on := false
	for i := range set.Classes {
		s.OverQuotaIndex[i] = j.resource(group, i) & 1
		if p := j.places[2*group+s.OverQuotaIndex[i]]; p != nil && i < len(p.Cells) {
			s.Levels[i], s.Ranks[i], on = p.Level, p.Cells[i], true
		}
	}
	if !on {
		j.core.SetShedding(group, nil)
		return
	}
	for k := range 2 {
		if p := j.places[2*group+k]; p != nil {
			for i := range min(len(s.OverQuota), len(p.Beyond)) {
				s.OverQuota[i][k] = p.Beyond[i]
			}
		}
	}
	j.core.SetShedding(group, s)
}

// Prober is what shares probes, as core.Prober.
type Prober struct{ *Joined }

// Delegates is core.Prober's.
func (j Prober) Delegates(store string) bool {
	if j.p == nil {
		return false
	}
	j.probes(j.p.Wanted(j.host.Now(), store, nil))
	return true
}

// Ended is core.Prober's.
func (j Prober) Ended(store string, result decide.Result, said backend.Report) bool {
	if j.p == nil {
		return false
	}
	f := overload.Finding{Kind: uint8(result), Role: uint8(said.Role)}
	if result != decide.OK {
		f.Result = overload.Bad
	}
	if said.HasPos {
		f.Position = said.Position
	}
	j.probes(j.p.Ended(j.host.Now(), store, f, nil))
	return true
}

func (j *Joined) probes(acts []overload.ProbeAction) {
	for i := range acts {
		switch a := &acts[i]; {
		case a.Probe != "":
			j.core.CheckHealth(a.Probe)
		case a.Want != nil:
			j.host.Send(a.Addr, a.To, module.KindOverload, a.Want)
		case a.Found != nil:
			j.host.Send(a.Addr, a.To, module.KindOverload, a.Found)
		case a.Tell:
			said := backend.Report{Role: decide.Role(min(a.Role, uint8(decide.RoleReplica))), HasPos: a.Position > 0}
			if said.HasPos {
				said.Position = a.Position
			}
			j.core.HealthCheckReported(a.Server, decide.Result(min(a.Kind, uint8(decide.Misdirected))), said, a.Age)
		}
	}
	if due := j.p.Due(); due < j.due || j.due <= j.host.Now() {
		if j.due = due; due < 1e300 {
			j.host.At(due, func() {
				if j.host.Now() >= due {
					j.probes(j.p.Tick(j.host.Now(), nil))
				}
			})
		}
	}
}

// Standings tell how groups stand here, for those who look.
func (j *Joined) Standings() []overload.Standing {
	if j.o == nil {
		return nil
	}
	return j.o.Standings()
}
