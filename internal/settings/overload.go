package settings

import (
	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/cluster/overload/adapter"
	"beechgrade/internal/sexp"
)

// Overload says whether and how the fleet handles overload as one. It takes (peers ...).
type Overload struct {
	Enabled bool
	adapter.Options
}

// ReadOverload reads (overload ...).
func ReadOverload(node *sexp.Node) (*Overload, error) {
	o := &Overload{}
	return o, o.read(node)
}

func (o *Overload) read(node *sexp.Node) error {
	o.Enabled, o.Options = true, adapter.Options{Set: overload.Defaults(), Share: true, Probes: overload.DefaultProbes(), Bound: adapter.DefaultBound()}
	s, p, b := &o.Set, &o.Probes, &o.Bound
	span := func(to *float64, least, most float64) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Millis(least, most); return err }
	}
	part := func(to *float64, least, most float64) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Float(least, most); return err }
	}
	flag := func(to *bool) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Bool(); return err }
	}
	err := sexp.Schema{
		"shed": flag(&o.SetShedding), "period": span(&s.Period, 100, 10000), "memory": span(&s.Memory, 100, 10000), "stale": span(&s.Stale, 300, 60000),
		"hold": span(&s.Hold, 500, 600000), "fall": span(&s.Fall, 100, 600000), "keep": span(&s.Keep, 1000, 3600e3),
		"target": part(&s.Target, 0.01, 0.5), "delay": part(&s.Delay, 0.05, 0.9), "drain": part(&s.Drain, 0.3, 10), "back": part(&s.Back, 0.01, 2),
		"collectors": func(node *sexp.Node) (err error) { s.Collectors, err = node.Int(1, 7); return err },
		"returns":    part(&b.Returns, 1, 1e6),
		"repeats": func(node *sexp.Node) error {
			b.Repeats = true
			return sexp.Schema{"part": part(&b.Part, 0, 10), "floor": part(&b.Floor, 0, 1e4), "span": span(&b.SpanMs, 100, 3600e3), "lend": flag(&b.AddRetryBudget),
				"keep": part(&b.Lending.Keep, 0, 1e3), "vault": part(&b.Lending.Vault, 1, 1e4)}.Read(node.Args())
		},
		"probes": func(node *sexp.Node) error {
			return sexp.Schema{
				"share":   flag(&o.Share),
				"probers": func(node *sexp.Node) (err error) { p.Probers, err = node.Int(1, 16); return err },
				"each":    span(&p.Each, 1, 10000), "age": span(&p.Age, 0, 10000), "patience": span(&p.Patience, 10, 10000), "shun": span(&p.Shun, 0, 600000),
			}.Read(node.Args())
		},
	}.Read(node.Args())
	if err == nil && s.Stale < 3*s.Period {
		err = node.Errorf("with a period of %g ms, what is stale after %g ms leaves no room for a lost word", s.Period, s.Stale)
	}
	return err
}
