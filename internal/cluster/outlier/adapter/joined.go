// Package adapter joins package verdicts to a pooler's core and to the ways between poolers: one adapter for sockets and for virtual time.
package adapter

import (
	"slices"

	"beechgrade/internal/backend"
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/outlier"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/invariant"
)

// Core is what it needs of a pooler's core.
type Core interface {
	Snapshot() *decide.Snapshot
	CheckHealthForObserver(store string)
	ServerReported(store string, said backend.Report, ageMs float64)
	Eject(store string)
	StartTrial(store string)
}

// Host is what carries words, and time.
type Host interface {
	module.Transport
	At(ms float64, do func())
}

// Options say what is shared, and how.
type Options struct{ Set outlier.Settings }

// Told hears of each server that this pooler begins or ends to avoid by others' word.
type Told func(s outlier.Standing, begins bool)

// Joined is a pooler's side. It is part.Part and core.Witness.
type Joined struct {
	opt    Options
	core   Core
	host   Host
	v      *outlier.Verdicts // nil until somebody is known
	acts   []outlier.Action
	listed map[string]outlier.Server
	kinds  map[string]float64 // rates of the servers, as learned
	works  []float64
	learnt float64
	told   Told // may be nil
	checks *invariant.Checks
	every  int
}

// New makes one; it is to be joined to the peers and to the core.
func New(opt Options, c Core, h Host) *Joined {
	return &Joined{opt: opt, core: c, host: h, listed: map[string]outlier.Server{}, kinds: map[string]float64{}}
}

// OnEjection has somebody hear of what is avoided.
func (j *Joined) OnEjection(to Told) { j.told = to }

// Check has its invariants checked.
func (j *Joined) Check(c *invariant.Checks, every int) {
	if j.checks, j.every = c, every; j.v != nil {
		j.v.Check(c, every)
	}
}

// learnMs is between two looks at what requests cost.
const learnMs = 1000

// Kind is part.Part's.
func (j *Joined) Kind() view.Kind { return module.KindOutlier }

// Decode is part.Part's.
func (j *Joined) Decode(b []byte) (any, error) { return outlier.Read(b) }

// UpdateMembers is part.Part's.
func (j *Joined) UpdateMembers(self view.ID, all []view.Record, _ view.Counts) {
	var peers []outlier.Peer
	for i := range all {
		if r := &all[i]; r.ID == self || r.State <= view.Suspect {
			peers = append(peers, outlier.Peer{ID: r.ID, Addr: r.Addr, Zone: r.Zone})
		}
	}
	began := j.v == nil
	if began {
		j.v = outlier.New(j.opt.Set, self, j.host.Now())
		j.v.Check(j.checks, j.every)
	}
	j.do(outlier.Members{Self: self, Peers: peers})
	if began {
		j.list()
	}
}

// Receive is part.Part's.
func (j *Joined) Receive(from view.ID, m any) { j.do(outlier.Heard{From: from, Message: m}) }

// Tick is part.Part's.
func (j *Joined) Tick() {
	if now := j.host.Now(); now-j.learnt >= learnMs || len(j.works) == 0 {
		j.learnt = now
		j.learn(j.core.Snapshot())
	}
	j.do(outlier.Tick{})
}

// learn takes what requests cost, and which servers the module takes for down.
func (j *Joined) learn(m *decide.Snapshot) {
	j.works = m.ClassWork
	rate := 0.0
	for _, x := range m.KindRates { // the least
		if rate == 0 || x < rate {
			rate = x
		}
	}
	if rate == 0 {
		rate = 1
	}
	var down []string
	for i := range m.Servers {
		s := &m.Servers[i]
		if j.kinds[string(s.ID)] = s.RelativeRate * rate; s.Ejected {
			down = append(down, string(s.ID))
		}
	}
	slices.Sort(down)
	j.do(outlier.Downs{Servers: down})
}

// Leave is part.Part's: what it told fades by itself.
func (j *Joined) Leave() {}

// Listed is core.Witness's.
func (j *Joined) Listed(l *discovery.List, whole bool) {
	if whole {
		clear(j.listed)
	}
	for i := range l.Instances {
		n := &l.Instances[i]
		if n.ID == "" {
			continue
		}
		if n.Lifecycle == "removed" {
			delete(j.listed, n.ID)
			continue
		}
		j.listed[n.ID] = outlier.Server{Name: n.ID, Group: n.Cell, Start: float64(n.StartedAtMs)}
	}
	j.list()
}

func (j *Joined) list() {
	var all []outlier.Server
	for _, x := range j.listed { // the module sorts them
		all = append(all, x)
	}
	j.do(outlier.Listed{Servers: all})
}

func refOf(t backend.AttemptID) uint64 {
	return uint64(t.Request.Index)<<40 | uint64(t.Request.Gen&0xffffff)<<16 | uint64(t.Number&0xffff)
}

// usualMs is what a request takes whose class nothing is known of.
const usualMs = 100

// Sent is core.Witness's.
func (j *Joined) Sent(store string, t backend.AttemptID, class int) {
	work := float64(usualMs)
	if class >= 0 && class < len(j.works) {
		if work = j.works[class] * 1000; j.kinds[store] > 0 {
			work /= j.kinds[store]
		}
	}
	j.do(outlier.Sent{Server: store, Ref: refOf(t), Work: max(1, work)})
}

// Ended is core.Witness's.
func (j *Joined) Ended(store string, t backend.AttemptID, result decide.Result, said backend.Report) {
	end := outlier.Answered
	switch result {
	case decide.TimedOut, decide.Cancelled, decide.NotSent:
		end = outlier.Void
	case decide.Unreachable, decide.Reset:
		end = outlier.Lost
	}
	j.do(outlier.Ended{Server: store, Ref: refOf(t), End: end, Said: saidOf(said)})
}

// HealthChecked is core.Witness's.
func (j *Joined) HealthChecked(store string, result decide.Result, said backend.Report) {
	j.do(outlier.Probed{Server: store, OK: result == decide.OK, Said: saidOf(said)})
}

// Ejects is core.Witness's.
func (j *Joined) Ejects(store string) bool { return j.v != nil && j.v.Avoids(store) }

func saidOf(s backend.Report) (out outlier.Said) {
	if s.HasPos {
		out.Position = s.Position
		out.Role = map[decide.Role]outlier.Role{decide.RolePrimary: outlier.Leads, decide.RoleReplica: outlier.Follows}[s.Role]
	}
	return out
}

func (j *Joined) do(e outlier.Event) {
	if j.v == nil {
		return
	}
	acts := j.v.Handle(j.host.Now(), e, j.acts[:0])
	j.acts = nil
	for i := range acts {
		switch a := &acts[i]; a.Kind {
		case outlier.Send:
			if a.Tell != nil {
				j.host.Send(a.Addr, a.To, module.KindOutlier, told(a.Tell))
			} else {
				j.host.Send(a.Addr, a.To, module.KindOutlier, said(a.Word))
			}
		case outlier.Avoid:
			j.core.Eject(a.Server)
		case outlier.Try:
			j.core.StartTrial(a.Server)
		case outlier.Begins, outlier.Ends:
			if j.told != nil {
				a.Standing.Server = a.Server
				j.told(a.Standing, a.Kind == outlier.Begins)
			}
		case outlier.Look:
			j.core.CheckHealthForObserver(a.Server)
		case outlier.Learn:
			s := backend.Report{Position: a.Said.Position, HasPos: true}
			if a.Said.Role == outlier.Leads {
				s.Role = decide.RolePrimary
			}
			j.core.ServerReported(a.Server, s, max(0, a.Age))
		}
	}
	clear(acts)
	j.acts = acts
}

// Avoided is part.Avoiding's: the servers that this pooler avoids by others' word.
func (j *Joined) Avoided() []outlier.Standing {
	if j.v == nil {
		return nil
	}
	return j.v.Standings()
}

// Lonely counts the servers that others get answers from and this pooler does not.
func (j *Joined) Lonely() int {
	if j.v == nil {
		return 0
	}
	return j.v.Lonely()
}
