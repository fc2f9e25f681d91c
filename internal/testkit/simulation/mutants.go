package simulation

import (
	"time"

	"beechgrade/internal/backend"
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/outlier"
	"beechgrade/internal/cluster/overload/adapter"
	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/endpoints/reconcile"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/model"
)

// Mutant is a deliberate error in poolers or servers that the checker must detect. Hooks with the parameter no are called with the number
// of the pooler.
type Mutant struct {
	Name                 string
	Breaks               checker.Rule
	Config               func(c *config.Config)                                           // changes the settings of the decision module
	Outcome              func(o *backend.Outcome)                                         // changes the outcome of an attempt
	List                 func(l *discovery.List)                                          // changes an endpoint list
	Answer               func(sim *Simulation, ca *clientAttempt, kind clients.Kind) bool // called before an answer, which is not sent if it returns false
	World                func(w *model.World)                                             // changes the model
	ReconcileSettings    func(s *reconcile.Settings)                                      // changes the settings of reconciliation
	ViewSettings         func(s *view.Settings)                                           // changes the settings of the view
	ViewEvent            func(x *peer, ev view.Event) bool                                // called before an event of the view, which is dropped if it returns false
	QuotaSettings        func(no int, s *quota.Settings)                                  // changes the settings of fleet-wide limits
	QuotaMessage         func(no int, q *quota.Quota, m *quota.Message)                   // changes a received message on fleet-wide limits
	Demand               func(no int, want float64) float64                               // changes the demand that a pooler reports for fleet-wide limits
	Pages                PageMutant                                                       // changes a page
	OutlierSettings      func(no int, s *outlier.Settings)                                // changes the settings of shared outlier detection
	ForgetsEpoch         bool                                                             // a restarted process votes at once, without waiting until the vote of the previous one has expired
	ReusesID             bool                                                             // all processes of a pooler have the same ID in the view
	NeedsIdempotencyKeys bool                                                             // the error shows only in scenarios whose writes have idempotency keys
	TrustsListRoles      bool                                                             // the endpoint list's roles replace those that servers report
	OverloadOptions      func(no int, o *adapter.Options)                                 // changes the options of joint overload handling
	OverloadCore         func(no int, c adapter.Core) adapter.Core                        // replaces the core that overload handling controls
	ModuleMessage        func(no int, w module.Message) module.Message                    // replaces a message that a module sends as a datagram
}

// Mutants returns the mutants with errors outside views, limits, overload handling, outlier detection and pages, which have functions of
// their own.
func Mutants() []Mutant {
	return []Mutant{
		{Name: "forgets answers", Breaks: checker.OneAnswer, Answer: func(sim *Simulation, ca *clientAttempt, kind clients.Kind) bool {
			return kind != clients.Refused
		}},
		{Name: "answers twice", Breaks: checker.OneAnswer, Answer: func(sim *Simulation, ca *clientAttempt, kind clients.Kind) bool {
			if kind == clients.Served && ca.id%64 == 0 {
				sim.sched.After(0.01, duplicateAnswer{ca}, 0)
			}
			return true
		}},
		{Name: "answers late", Breaks: checker.OneAnswer, Answer: func(sim *Simulation, ca *clientAttempt, kind clients.Kind) bool {
			if kind == clients.Failed && !ca.late {
				ca.extra = false
				sim.sched.at(ca.sentAt+ca.request.Patience+500, delayedAnswer{ca}, 0)
				return false
			}
			return true
		}},
		{Name: "takes what broke off for never sent", Breaks: checker.NotTwice, Outcome: func(o *backend.Outcome) {
			if o.Result == decide.Reset || o.Result == decide.TimedOut || o.Result == decide.Failed {
				o.Result = decide.Unreachable
			}
		}},
		{Name: "takes writes for safe to repeat", Breaks: checker.NotTwice, Config: func(c *config.Config) {
			for i := range c.Settings.Classes {
				c.Settings.Classes[i].Idempotency = decide.Idempotent
			}
		}},
		{Name: "takes keys for kept for ever", Breaks: checker.NotTwice, Config: func(c *config.Config) {
			for i := range c.Settings.Classes {
				c.Settings.Classes[i].KeyWindow = time.Hour
			}
		}, NeedsIdempotencyKeys: true},
		{Name: "hears of no drains", Breaks: checker.DrainsKept, List: func(l *discovery.List) {
			for i := range l.Instances {
				if l.Instances[i].Lifecycle == "draining" {
					l.Instances[i].Lifecycle = "up"
				}
			}
		}},
		{Name: "takes cold servers for warm", Breaks: checker.ColdSpared, Config: func(c *config.Config) {
			c.Settings.SlowStartTime, c.Settings.SlowStartMultiple = 0, 0
		}, List: func(l *discovery.List) {
			for i := range l.Instances {
				l.Instances[i].StartedAtMs = 0
			}
		}},
		{Name: "takes replicas for up to date", Breaks: checker.NotStale, Outcome: func(o *backend.Outcome) {
			if o.HasPosition {
				o.Position += 5000
			}
		}, Config: func(c *config.Config) {
			for i := range c.Settings.Classes {
				if x := &c.Settings.Classes[i]; x.Read == decide.ReadBounded {
					x.MaxStaleness = time.Minute
				}
			}
		}},
		{
			Name:   "a server that takes writes after it was replaced",
			Breaks: checker.PrimaryRan,
			World:  func(w *model.World) { w.SplitBrain = true },
		},
		{
			Name:              "trusts the catalogue's word on roles",
			Breaks:            checker.NotDenied,
			ReconcileSettings: func(s *reconcile.Settings) { s.TrustSourceRoles = true },
			TrustsListRoles:   true,
		},
		{
			Name:   "serves what no server made",
			Breaks: checker.NoInvented,
			Answer: func(sim *Simulation, ca *clientAttempt, kind clients.Kind) bool {
				if kind == clients.Served && ca.id%64 == 0 {
					ca.answer = []byte("cached")
				}
				return true
			},
		},
	}
}

// ViewMutants returns mutants with deliberate errors in the view of the fleet.
func ViewMutants() []Mutant {
	return []Mutant{
		{Name: "refutes nothing", Breaks: checker.ViewAccurate, ViewEvent: func(x *peer, ev view.Event) bool {
			drop := func(list []view.Record) (kept []view.Record) {
				for _, r := range list {
					if r.ID != x.view.Self().ID || r.State == view.Alive {
						kept = append(kept, r)
					}
				}
				return kept
			}
			switch ev := ev.(type) {
			case view.Received:
				m := *ev.Message
				m.Records = drop(m.Records)
				x.actions = x.view.Handle(x.pooler.sim.sched.now, view.Received{Message: &m}, x.actions[:0])
				x.perform()
				return false
			case view.ExchangeCompleted:
				x.actions = x.view.Handle(x.pooler.sim.sched.now, view.ExchangeCompleted{Records: drop(ev.Records)}, x.actions[:0])
				x.perform()
				return false
			}
			return true
		}},
		{Name: "forgets its incarnation on a restart", Breaks: checker.ViewAccurate, ReusesID: true},
		{
			Name:         "does not look for those it lost",
			Breaks:       checker.ViewSettled,
			ViewSettings: func(s *view.Settings) { s.ReconnectInterval, s.SeedAddresses = 1e9, s.SeedAddresses[:0] },
		},
		{Name: "accuses while it stands still", Breaks: checker.ViewRash, ViewSettings: func(s *view.Settings) { s.Confirmations, s.PauseGrace = 0, 0 }, ViewEvent: func(x *peer, ev view.Event) bool {
			for now := x.pooler.sim.sched.now; x.view.NextTick() < now; { // executes the ticks that it missed, as if it had been running
				x.actions = x.view.Handle(x.view.NextTick(), view.Tick{}, x.actions[:0])
				x.perform()
			}
			return true
		}},
		{Name: "counts what is cut off as gone", Breaks: checker.ViewSending, ViewSettings: func(s *view.Settings) { s.SendingTimeout, s.ExpectedPoolers = 0, 0 }},
	}
}

// LimitMutants returns mutants with deliberate errors in fleet-wide limits. Errors that affect a single pooler affect the first one.
func LimitMutants() []Mutant {
	return []Mutant{
		{Name: "lends without waiting", Breaks: checker.FleetLimit, QuotaSettings: func(no int, s *quota.Settings) {
			if no != 0 {
				s.LeaseDuration = 500
			}
		}},
		{Name: "a lease without an end", Breaks: checker.FleetLimit, QuotaSettings: func(no int, s *quota.Settings) {
			if no == 0 {
				s.LeaseDuration = 1e9
			}
		}},
		{Name: "counts a lease's end from the answer", Breaks: checker.FleetLimit, QuotaMessage: func(no int, q *quota.Quota, m *quota.Message) {
			if no == 0 && m.Kind == quota.LeaseAnswer {
				for _, it := range m.Items {
					q.RestartLease(it.LimitHash, it.Sequence)
				}
			}
		}},
		{Name: "forgets its promises and its epoch on a restart", Breaks: checker.FleetLimit, ForgetsEpoch: true},
		{Name: "counts demand twice", Breaks: checker.FleetShare, Demand: func(no int, want float64) float64 {
			if no == 0 {
				return 2 * want
			}
			return want
		}},
	}
}

// OverloadMutants returns mutants with deliberate errors in joint overload handling.
func OverloadMutants() []Mutant {
	return []Mutant{
		{Name: "makes each probe itself", Breaks: checker.HealthChecksShared, OverloadOptions: func(no int, o *adapter.Options) { o.ProbeSharingEnabled = false }},
		{Name: "probes once for each who asks", Breaks: checker.HealthChecksShared, OverloadOptions: func(no int, o *adapter.Options) { o.Probes.MinInterval, o.Probes.MaxResultAge = 0, -1 }},
		{Name: "tells at every turn", Breaks: checker.DatagramsBounded, OverloadOptions: func(no int, o *adapter.Options) { o.Shedding.ReportInterval = o.Shedding.TickInterval }},
		{Name: "sheds in all groups what one cannot do", Breaks: checker.IdleGroupServed, OverloadCore: func(no int, c adapter.Core) adapter.Core { return shedsAllGroups{c} }},
		{Name: "knows of no tenants", Breaks: checker.TenantServed, Config: func(c *config.Config) { c.Settings.Tenants = nil }},
		{Name: "does not let in again", Breaks: checker.ServiceRecovered, OverloadOptions: func(no int, o *adapter.Options) { o.Shedding.GrowthRate, o.Shedding.HoldTime = 1e-4, 1e6 }},
		{Name: "repeats whatever it likes", Breaks: checker.RepeatsBounded, OverloadOptions: func(no int, o *adapter.Options) { o.RetryBudgetEnabled = false }},
		{Name: "earns a repeat with each first try", Breaks: checker.RepeatsBounded, OverloadOptions: func(no int, o *adapter.Options) { o.AttemptShare = 1 }},
	}
}

// shedsAllGroups applies a shedding policy for one group to all groups.
type shedsAllGroups struct{ adapter.Core }

// SetShedding implements adapter.Core.
func (c shedsAllGroups) SetShedding(group int, s *decide.SheddingPolicy) {
	for g := range maxMutantGroups {
		if g == group || s != nil {
			c.Core.SetShedding(g, s)
		}
	}
}

// maxMutantGroups is the number of groups that shedsAllGroups applies a policy to.
const maxMutantGroups = 16

// duplicateAnswer is the event of a second answer to a client's attempt.
type duplicateAnswer struct{ attempt *clientAttempt }

// Fire implements model.Event.
func (a duplicateAnswer) Fire(uint64) {
	a.attempt.sim.check.Answered(a.attempt.sim.sched.now, a.attempt.id, string(a.attempt.kind), false, 0)
}

// delayedAnswer is the event of an answer that was held back until after the client's deadline.
type delayedAnswer struct{ attempt *clientAttempt }

// Fire implements model.Event.
func (a delayedAnswer) Fire(uint64) {
	ca := a.attempt
	if ca.ended || ca.pooler.incarnation != ca.incarnation {
		return
	}
	ca.answered = true
	delete(ca.pooler.clientAttempts, ca)
	ca.kind = clients.Failed
	ca.sim.sched.After(ca.sim.linkDelay(), ca, answerArrives)
}
