package scenario

import (
	"slices"

	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/settings"
	"beechgrade/internal/sexp"
	"beechgrade/internal/testkit/checker"
)

// readFleetLimits reads (fleet-limits ...), in the form of the operators' settings.
func (s *Script) readFleetLimits(n *sexp.Node) (err error) {
	s.Limits, err = settings.ReadFleetLimits(n)
	return err
}

// readLimitFault reads (limit NAME AMOUNT), which changes the amount of a limit at all poolers, or (limit NAME AMOUNT POOLER ...) at the given ones.
// Each pooler applies the change by reloading its settings. The burst is scaled with the amount.
func readLimitFault(f *Fault, n *sexp.Node) error {
	a := n.Args()
	if len(a) < 2 || a[0].Kind == sexp.List {
		return n.Errorf("expected (limit NAME AMOUNT POOLER ...)")
	}
	var err error
	if f.Target.Name = a[0].Text; f.Target.Kind == "" {
		f.Target.Kind = "limit"
	}
	if f.Value, err = a[1].Number(0.01, maxRate); err != nil {
		return err
	}
	for _, x := range a[2:] {
		no, err := x.Number(0, maxPoolers-1)
		if err != nil {
			return err
		}
		f.Ends[0] = append(f.Ends[0], int(no))
	}
	return nil
}

// limit returns the limit with a name, nil if there is none.
func (s *Script) limit(name string) *settings.FleetLimit {
	if s.Limits == nil {
		return nil
	}
	if i := slices.IndexFunc(s.Limits.Limits, func(l settings.FleetLimit) bool { return l.Name == name }); i >= 0 {
		return &s.Limits.Limits[i]
	}
	return nil
}

// WithLimit returns a copy of the limits in which the named one has another amount.
func WithLimit(f settings.FleetLimits, name string, amount float64) settings.FleetLimits {
	f.Limits = slices.Clone(f.Limits)
	for i := range f.Limits {
		if l := &f.Limits[i]; l.Name == name {
			l.Burst *= amount / l.Amount
			l.Amount = amount
			if l.Kind != quota.Concurrency {
				l.Burst = max(1, l.Burst)
			}
		}
	}
	return f
}

// AffectedPoolers returns the poolers that reload their settings for a limit or payment: those listed, or all.
func (f *Fault) AffectedPoolers(s *Script) []int {
	if len(f.Ends[0]) > 0 {
		return f.Ends[0]
	}
	var all []int
	for i := range s.Poolers {
		all = append(all, i)
	}
	return all
}

// WarmUpMs returns the time in ms from which the usage of limits is counted. Before it, the first owner still waits for votes.
func (s *Script) WarmUpMs() float64 {
	q := s.Quotas()
	return q.TakeoverBound(quota.Rate, s.NetworkDelay[1])
}

// Quotas returns the settings by which poolers share the limits.
func (s *Script) Quotas() quota.Settings {
	q := s.Limits.Settings
	q.Limits, q.ExpectedPoolers = s.Limits.Quotas(), s.Poolers
	return q
}

// CheckedLimits returns the limits that the checker can count at servers.
func (s *Script) CheckedLimits() (out []checker.Limit) {
	if s.Limits == nil {
		return nil
	}
	q := s.Quotas()
	for _, l := range s.Limits.Limits {
		if l.Resource == settings.ResourceQueries && l.Kind == quota.Concurrency && s.Clients.ClickHouse {
			out = append(out, checker.Limit{Name: l.Name, MaxConcurrent: int(l.Amount)})
		}
		if l.Resource == settings.ResourceTenant && l.Hard {
			delay := s.NetworkDelay[1]
			for i := range s.Faults {
				delay = max(delay, s.NetworkDelay[1]+s.Faults[i].Link.DelayMs)
			}
			out = append(out, checker.Limit{
				Name:          l.Name,
				Tenant:        l.Subject,
				PerSecond:     l.Amount,
				Burst:         l.Burst,
				FaultTolerant: l.Guarantee != quota.NeverOver,
				OvershootMs:   q.OvershootBound(delay),
				CalmMs:        calmMs,
			})
		}
	}
	return out
}

// calmMs is the time after a fault until each limit has an owner and old leases have expired.
const calmMs = 30000

// LoweringDelayMs returns the time in ms until a lowered amount is binding, which is when earlier leases have expired; 0 if the amount is not lowered.
func (s *Script) LoweringDelayMs(f *Fault) float64 {
	q := s.Quotas()
	l := s.limit(f.Target.Name)
	if f.Value < l.Amount {
		return q.ReclaimBound(l.Kind)
	}
	return 0
}
