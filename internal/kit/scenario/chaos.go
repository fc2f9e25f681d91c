package scenario

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"beechgrade/internal/sexp"
)

// Chaos are faults that are drawn from a run's seed, beside those that are written down. Times are in milliseconds.
type Chaos struct {
	Faults   int
	From, To float64
	Kinds    []string // empty for all that both ways of playing have
}

// kind is a kind of fault that may be drawn.
type kind struct {
	what  string
	spans [2]float64
	value [2]float64
}

// drawable are the kinds of fault that may be drawn, in a fixed order, with how long they last and their figure.
var drawable = []kind{
	{"die", [2]float64{500, 8000}, [2]float64{}},
	{"hang", [2]float64{500, 8000}, [2]float64{}},
	{"drain", [2]float64{2000, 8000}, [2]float64{}},
	{"deaf", [2]float64{500, 5000}, [2]float64{}},
	{"mute", [2]float64{300, 3000}, [2]float64{}},
	{"lose", [2]float64{1000, 6000}, [2]float64{0.05, 0.5}},
	{"crowd", [2]float64{1000, 8000}, [2]float64{0.2, 0.8}},
	{"disk", [2]float64{1000, 6000}, [2]float64{1.5, 6}},
	{"lag", [2]float64{1000, 8000}, [2]float64{2, 40}},
	{"list-late", [2]float64{1000, 8000}, [2]float64{500, 5000}},
	{"list-gone", [2]float64{1000, 8000}, [2]float64{}},
	{"load", [2]float64{500, 5000}, [2]float64{1.2, 4}},
	{"kill-pooler", [2]float64{300, 3000}, [2]float64{}},
	{"restart-pooler", [2]float64{0, 0}, [2]float64{}},
}

// drawableLies are what Consul may be drawn to tell wrongly, where it is asked.
var drawableLies = []kind{
	{"agent", [2]float64{500, 8000}, [2]float64{}},
	{"deregister-all", [2]float64{200, 6000}, [2]float64{}},
	{"wrong-roles", [2]float64{500, 8000}, [2]float64{}},
	{"reissue", [2]float64{}, [2]float64{}},
	{"fail-check", [2]float64{500, 8000}, [2]float64{}},
}

const maxChaos = 1000

// chaos reads (chaos NUMBER FROM TO KIND...).
func (s *Script) chaos(n *sexp.Node) (err error) {
	a := n.Args()
	if len(a) < 3 {
		return n.Errorf("(chaos NUMBER FROM TO), with kinds of fault behind it where not all may be drawn")
	}
	x, err := a[0].Number(1, maxChaos)
	if err != nil {
		return err
	}
	c := Chaos{Faults: int(x)}
	if c.From, err = a[1].Span(0, maxSeconds*1000); err != nil {
		return err
	}
	if c.To, err = a[2].Span(c.From, maxSeconds*1000); err != nil {
		return err
	}
	for _, k := range a[3:] {
		if !slices.ContainsFunc(append(slices.Clone(drawable), drawableLies...), func(d kind) bool { return d.what == k.Text }) {
			return k.Errorf("no fault %q can be drawn", k.Text)
		}
		c.Kinds = append(c.Kinds, k.Text)
	}
	s.Chaos = c
	return nil
}

// Drawn is the script with its chaos drawn from a seed and written out; the same seed gives the same faults.
func (s *Script) Drawn(seed uint64) (*Script, error) {
	if s.Chaos.Faults == 0 {
		return s, nil
	}
	out := s.Clone()
	c := s.Chaos
	out.Chaos = Chaos{}
	rng := rand.New(rand.NewPCG(seed, 21))
	between := func(r [2]float64) float64 { return r[0] + (r[1]-r[0])*rng.Float64() }
	end := s.Clients.Seconds * 1000
	drawable := drawable
	if s.Agents > 0 {
		drawable = append(slices.Clone(drawable), drawableLies...)
	}
	for range c.Faults {
		d := drawable[rng.IntN(len(drawable))]
		for tries := 0; len(c.Kinds) > 0 && !slices.Contains(c.Kinds, d.what) && tries < 1000; tries++ {
			d = drawable[rng.IntN(len(drawable))]
		}
		f := Fault{What: d.what, At: min(end-1, float64(int(between([2]float64{c.From, c.To})))), For: float64(int(between(d.spans))), Value: between(d.value)}
		group := rng.IntN(len(s.Fleet.Groups))
		member := rng.IntN(s.Fleet.Groups[group])
		switch pooler := rng.IntN(s.Poolers); d.what {
		case "list-late", "list-gone", "load", "deregister-all", "wrong-roles":
		case "agent":
			f.Target = Target{Kind: "agent", Group: rng.IntN(s.Agents), Word: AgentFaults[rng.IntN(len(AgentFaults))]}
		case "kill-pooler", "restart-pooler":
			f.Target = Target{Kind: "pooler", Group: pooler}
		default:
			f.Target = Target{Kind: "member", Group: group, Member: member}
			if rng.Float64() < 0.4 {
				f.Target = Target{Kind: "primary", Group: group}
			}
		}
		out.Faults = append(out.Faults, f)
	}
	slices.SortStableFunc(out.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out, out.Again()
}
