package scenario

import (
	"math"
	"time"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/cluster/overload/retrybudget"
	"beechgrade/internal/settings"
	"beechgrade/internal/sexp"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/model"
)

// Overload has the settings of joint overload handling.
type Overload struct {
	settings.Overload
	node *sexp.Node
}

// readOverload reads (overload ...), in the form of the operators' settings.
func (s *Script) readOverload(n *sexp.Node) error {
	set, err := settings.ReadOverload(n)
	s.Overload = &Overload{*set, n}
	return err
}

// CheckedOverload returns the limits of the checker's rules on overload; nil if each pooler handles overload alone.
func (s *Script) CheckedOverload() *checker.Overload {
	if s.Overload == nil {
		return nil
	}
	c := &checker.Overload{Poolers: s.Poolers, RecoveryMs: s.RecoveryMs, Tenants: map[string]float64{}}
	if p := &s.Overload.Probes; s.Overload.ProbeSharingEnabled {
		v := &s.Peers.View
		c.Probes = p.MaxRate(s.Poolers) + float64(p.Probers)
		c.CalmMs = p.SkipTime + p.LatencyBound() + v.DetectionBound(s.Poolers, max(1, s.Poolers/2), s.NetworkDelay[1]) + v.ConvergenceBound(s.Poolers, max(1, s.Poolers/2), s.NetworkDelay[1], false)
	}
	if b := &s.Overload.RetryBounds; b.RetryBudgetEnabled {
		r := retrybudget.Settings{AttemptShare: b.AttemptShare, Floor: b.Floor, Span: time.Duration(b.SpanMs * float64(time.Millisecond))}
		c.MaxRepeats = func(firsts, n int, ms float64) float64 {
			return r.MaxRetries(firsts, n, s.Poolers, time.Duration(ms*float64(time.Millisecond)))
		}
	}
	set := s.Overload.Shedding
	for _, x := range s.Clients.Classes {
		c.MeanWorkMs = append(c.MeanWorkMs, (x.Work[0]+x.Work[1])/2)
		set.Classes = append(set.Classes, overload.Class{Name: x.Name})
	}
	for _, t := range s.Clients.Tenants {
		c.Tenants[t.Name] = s.Clients.AllowanceOf(&t)
		set.Tenants = append(set.Tenants, overload.Tenant{Name: t.Name})
	}
	if s.Overload.SheddingEnabled {
		c.MaxDatagrams = set.TrafficBound(2 * len(s.Fleet.Groups)) // a group is reported as two: for requests that only its primary may serve, and for the others
	}
	perServer := float64(s.Fleet.Cores) * 1000 // ms of execution time a second
	for _, n := range s.Fleet.Groups {
		c.Capacity, c.Primary = append(c.Capacity, float64(n)*perServer), append(c.Primary, perServer)
	}
	return c
}

// TargetsProber reports whether the fault affects the pooler that checks a server's health first, (cut prober ...).
func (f *Fault) TargetsProber() bool {
	return f.Selector.Node != nil && f.Selector.Kind != sexp.List && f.Selector.Text == "prober"
}

// WithProber returns a copy of a (... prober ...) fault that affects the pooler that checks the target's health first. Other faults are returned as they
// are.
func (f *Fault) WithProber(prober func(server string) int, servers []*model.Server) *Fault {
	if !f.TargetsProber() || len(servers) == 0 {
		return f
	}
	c := *f
	c.Poolers = []int{prober(servers[0].Name)}
	return &c
}

// Prober returns the pooler that checks a server's health first, given the process IDs by pooler, 0 for those that do not run.
func (s *Script) Prober(server string, ids []overload.ID) int {
	var all []overload.Peer
	poolerOf := map[overload.ID]int{}
	for i, id := range ids {
		if id != 0 {
			all, poolerOf[id] = append(all, overload.Peer{ID: id}), i
		}
	}
	for _, id := range overload.ProbersOf(server, 1, all) {
		return poolerOf[id]
	}
	return 0
}

// Affected returns the groups whose servers a fault affects, and whether it affects poolers or their links. A change of load affects neither.
func (f *Fault) Affected(s *Script) (groups []int, poolers bool) {
	switch f.Kind {
	case "load":
		return nil, false
	case "links", "between", "limit", "kill-pooler", "restart-pooler", "stall-pooler":
		return nil, true
	}
	switch f.Target.Kind {
	case "primary", "replica", "member":
		return []int{f.Target.Group}, f.OnServerLinks()
	}
	for g := range s.Fleet.Groups {
		groups = append(groups, g)
	}
	return groups, false
}

// EndAt returns the end of a fault that starts at the given time; +Inf if it does not end.
func (f *Fault) EndAt(at float64) float64 {
	switch {
	case f.Duration > 0:
		return at + f.Duration
	case f.Kind == "restart-pooler" || f.Kind == "limit":
		return at
	}
	return math.Inf(1)
}
