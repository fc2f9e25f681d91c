package scenario

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"beechgrade/internal/sexp"
)

// Chaos has the settings of random faults, which are drawn from a run's seed and added to the explicit ones. Times are in ms.
type Chaos struct {
	Faults   int      // number of faults
	From, To float64  // span in which they start
	Kinds    []string // empty for all kinds that work both in virtual time and on sockets
}

// chaosKind is a kind of fault that may be drawn, with the ranges of its duration in ms and its value.
type chaosKind struct {
	kind      string
	durations [2]float64
	values    [2]float64
}

// chaosKinds are the kinds of fault that may be drawn. Their order is fixed, as a seed draws by index.
var chaosKinds = []chaosKind{
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

// consulChaosKinds are the kinds of fault of Consul.
var consulChaosKinds = []chaosKind{
	{"agent", [2]float64{500, 8000}, [2]float64{}},
	{"deregister-all", [2]float64{200, 6000}, [2]float64{}},
	{"wrong-roles", [2]float64{500, 8000}, [2]float64{}},
	{"reissue", [2]float64{}, [2]float64{}},
	{"fail-check", [2]float64{500, 8000}, [2]float64{}},
}

// peerChaosKinds are the kinds of fault of poolers as peers and of the links between them.
var peerChaosKinds = []chaosKind{
	{"kill-pooler", [2]float64{300, 9000}, [2]float64{}},
	{"stall-pooler", [2]float64{300, 6000}, [2]float64{}},
	{"parted", [2]float64{500, 12000}, [2]float64{}}, // no messages between some poolers and the rest, in both directions
	{"unheard", [2]float64{500, 9000}, [2]float64{}}, // the messages that a pooler sends are lost
	{"apart", [2]float64{500, 12000}, [2]float64{}},  // no messages between two poolers
	{"lossy", [2]float64{1000, 9000}, [2]float64{0.02, 0.35}},
	{"slow", [2]float64{1000, 9000}, [2]float64{5, 120}},
}

// serverLinkChaosKinds are the kinds of fault of links from poolers to servers and to the list. They are drawn only if they are named.
var serverLinkChaosKinds = []chaosKind{
	{"cut", [2]float64{500, 9000}, [2]float64{}},
	{"thin", [2]float64{500, 9000}, [2]float64{0.1, 0.7}},
	{"list-held", [2]float64{500, 9000}, [2]float64{}},
	{"restart", [2]float64{}, [2]float64{}},
}

// drawPoolers draws poolers: one, a share of them, or those of a site.
func (s *Script) drawPoolers(rng *rand.Rand) (out []int) {
	if n := len(s.Sites); n > 0 && rng.Float64() < 0.5 {
		for i := rng.IntN(n); i < s.Poolers; i += n {
			out = append(out, i)
		}
		return out
	}
	out = rng.Perm(s.Poolers)
	if count := 1; rng.Float64() < 0.5 {
		count += rng.IntN((s.Poolers + 2) / 3)
		out = out[:count]
	} else {
		out = out[:1]
	}
	slices.Sort(out)
	return out
}

// drawPoolerLinks draws the poolers whose links a fault affects, and replaces the kinds that only a draw has, such as parted, by
// the fault of links that they stand for.
func (f *Fault) drawPoolerLinks(n int, rng *rand.Rand) {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	rng.Shuffle(n, func(a, b int) { all[a], all[b] = all[b], all[a] })
	drawn, part := f.Kind, 1+rng.IntN(max(1, n-1))
	f.Kind, f.Both = "between", true
	switch drawn {
	case "parted":
		f.Ends, f.Link.Cut = [2][]int{all[:part], all[part:]}, true
	case "unheard":
		f.Kind, f.Both = "links", false
		f.Ends, f.Link.Cut = [2][]int{all[:1], all[1:]}, true
	case "apart":
		f.Ends, f.Link.Cut = [2][]int{all[:1], all[1:min(2, n)]}, true
	case "lossy":
		f.Kind, f.Ends, f.Both = "links", [2][]int{all, all}, false
		f.Link.LossRate, f.Link.DuplicateRate, f.Link.ReorderRate = f.Value, 0.1, 0.2
	case "slow":
		f.Ends, f.Link.DelayMs = [2][]int{all[:part], all}, f.Value
	}
}

// maxChaos bounds the number of random faults.
const maxChaos = 1000

// readChaos reads (chaos NUMBER FROM TO KIND...).
func (s *Script) readChaos(n *sexp.Node) (err error) {
	a := n.Args()
	if len(a) < 3 {
		return n.Errorf("expected (chaos NUMBER FROM TO KIND...), where the kinds of fault may be left out to draw from all")
	}
	x, err := a[0].Number(1, maxChaos)
	if err != nil {
		return err
	}
	c := Chaos{Faults: int(x)}
	if c.From, err = a[1].Duration(0, maxSeconds*1000); err != nil {
		return err
	}
	if c.To, err = a[2].Duration(c.From, maxSeconds*1000); err != nil {
		return err
	}
	for _, k := range a[3:] {
		if !slices.ContainsFunc(slices.Concat(chaosKinds, consulChaosKinds, peerChaosKinds, serverLinkChaosKinds), func(d chaosKind) bool { return d.kind == k.Text }) {
			return k.Errorf("faults of kind %q cannot be drawn", k.Text)
		}
		c.Kinds = append(c.Kinds, k.Text)
	}
	s.Chaos = c
	return nil
}

// Draw returns the script with its chaos drawn from a seed as explicit faults. The same seed gives the same faults.
func (s *Script) Draw(seed uint64) (*Script, error) {
	if s.Chaos.Faults == 0 {
		return s, nil
	}
	out := s.Clone()
	c := s.Chaos
	out.Chaos = Chaos{}
	rng := rand.New(rand.NewPCG(seed, 21))
	between := func(r [2]float64) float64 { return r[0] + (r[1]-r[0])*rng.Float64() }
	end := s.Clients.Seconds * 1000
	drawable := chaosKinds
	if s.Agents > 0 {
		drawable = append(slices.Clone(drawable), consulChaosKinds...)
	}
	if s.Peers != nil {
		drawable = append(slices.Clone(drawable), peerChaosKinds...)
	}
	if slices.ContainsFunc(serverLinkChaosKinds, func(d chaosKind) bool { return slices.Contains(c.Kinds, d.kind) }) {
		drawable = append(slices.Clone(drawable), serverLinkChaosKinds...)
	}
	for range c.Faults {
		d := drawable[rng.IntN(len(drawable))]
		for tries := 0; len(c.Kinds) > 0 && !slices.Contains(c.Kinds, d.kind) && tries < 1000; tries++ {
			d = drawable[rng.IntN(len(drawable))]
		}
		f := Fault{
			Kind:     d.kind,
			At:       min(end-1, float64(int(between([2]float64{c.From, c.To})))),
			Duration: float64(int(between(d.durations))),
			Value:    between(d.values),
		}
		if d.kind == "list-late" || d.kind == "slow" { // rounded to whole nanoseconds, so that the text form gives the same duration
			f.Value = math.Round(f.Value*1e6) / 1e6
		}
		group := rng.IntN(len(s.Fleet.Groups))
		member := rng.IntN(s.Fleet.Groups[group])
		if f.OnServerLinks() {
			f.Poolers = s.drawPoolers(rng)
		}
		switch pooler := rng.IntN(s.Poolers); d.kind {
		case "list-held", "list-late", "list-gone", "load", "deregister-all", "wrong-roles":
		case "agent":
			f.Target = Target{Kind: "agent", Group: rng.IntN(s.Agents), Name: AgentFaults[rng.IntN(len(AgentFaults))]}
		case "parted", "unheard", "apart", "lossy", "slow":
			f.drawPoolerLinks(s.Poolers, rng)
		case "kill-pooler", "restart-pooler", "stall-pooler":
			f.Target = Target{Kind: "pooler", Group: pooler}
		default:
			f.Target = Target{Kind: "member", Group: group, Member: member}
			if rng.Float64() < 0.4 {
				f.Target = Target{Kind: "primary", Group: group}
			}
			if f.OnServerLinks() && rng.Float64() < 0.3 { // all links of the drawn poolers
				f.Target = Target{Kind: "everyone"}
			}
		}
		out.Faults = append(out.Faults, f)
	}
	slices.SortStableFunc(out.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out, out.Revalidate()
}
