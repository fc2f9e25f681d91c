package scenario

import (
	"slices"

	"beechgrade/internal/cluster/view"
	"beechgrade/internal/sexp"
	"beechgrade/internal/testkit/netfault"
)

// Peers has the settings of the poolers' view of the fleet.
type Peers struct {
	View  view.Settings
	Seeds int // number of the first poolers that are in all poolers' seed lists
}

// readPeers reads (peers ...).
func (s *Script) readPeers(n *sexp.Node) error {
	p := &Peers{View: view.Defaults(), Seeds: 2}
	s.Peers = p
	millis := func(to *float64) func(*sexp.Node) error {
		return func(n *sexp.Node) (err error) { *to, err = n.Millis(0, maxSeconds*1000); return err }
	}
	return sexp.Schema{
		"probe":     millis(&p.View.ProbeInterval),
		"timeout":   millis(&p.View.ProbeTimeout),
		"suspicion": millis(&p.View.SuspicionTimeout),
		"gossip":    millis(&p.View.GossipInterval),
		"exchange":  millis(&p.View.ExchangeInterval),
		"reconnect": millis(&p.View.ReconnectInterval),
		"hold":      millis(&p.View.SendingTimeout),
		"forget":    millis(&p.View.Retention),
		"seeds":     func(n *sexp.Node) (err error) { p.Seeds, err = n.Int(0, maxPoolers); return err },
	}.Read(n.Args())
}

// readLinkFault reads (links WHOM WHOM WHAT...), a fault of the links from some poolers to others, or (between WHOM WHOM WHAT...), a fault in both
// directions.
func readLinkFault(f *Fault, n *sexp.Node) error {
	a := n.Args()
	if len(a) < 3 {
		return n.Errorf("expected (%s WHOM WHOM WHAT...), where WHOM is all, a pooler's number, (NUMBER...), (part FROM TO) or a site, and WHAT is cut, (lose X), (duplicate X), (reorder X) or (slow TIME)", n.Head())
	}
	f.Both = n.Head() == "between"
	f.From, f.To = poolerSelector{a[0]}, poolerSelector{a[1]}
	if x := f.From.Items; len(x) == 2 && x[0].Text == "owner" && x[1].Kind != sexp.List {
		f.Owner = x[1].Text
	}
	part := func(to *float64) func(*sexp.Node) error {
		return func(n *sexp.Node) (err error) { *to, err = n.Float(0, 1); return err }
	}
	form := sexp.Schema{"lose": part(&f.Link.LossRate), "duplicate": part(&f.Link.DuplicateRate), "reorder": part(&f.Link.ReorderRate),
		"slow": func(n *sexp.Node) (err error) { f.Link.DelayMs, err = n.Millis(0, 60000); return err }}
	rest := a[2:]
	if rest[0].Kind != sexp.List && rest[0].Text == "cut" {
		f.Link.Cut, rest = true, rest[1:]
	}
	return form.Read(rest)
}

// poolerSelector is a form that selects poolers.
type poolerSelector struct{ *sexp.Node }

// poolers returns the selected poolers.
func (p poolerSelector) poolers(s *Script) (out []int, err error) {
	add := func(n *sexp.Node) error {
		x, err := n.Number(0, float64(s.Poolers-1))
		if err == nil && !slices.Contains(out, int(x)) {
			out = append(out, int(x))
		}
		return err
	}
	switch site := slices.Index(s.Sites, p.Text); {
	case p.Kind != sexp.List && p.Text == "prober": // resolved when the fault starts
		return nil, nil
	case p.Kind == sexp.List && len(p.Items) == 2 && p.Items[0].Text == "owner": // resolved when the fault starts
		return nil, nil
	case p.Kind == sexp.List && len(p.Items) == 3 && p.Items[0].Text == "part":
		return p.shareOfPoolers(s)
	case p.Kind == sexp.List:
		for _, n := range p.Items {
			if err := add(n); err != nil {
				return nil, err
			}
		}
	case p.Text == "all":
		for i := range s.Poolers {
			out = append(out, i)
		}
	case site >= 0:
		for i := site; i < s.Poolers; i += len(s.Sites) {
			out = append(out, i)
		}
	default:
		err = add(p.Node)
	}
	if err == nil && len(out) == 0 {
		err = p.Errorf("no pooler is selected")
	}
	return out, err
}

// shareOfPoolers returns the poolers of (part FROM TO), a range of all of them.
func (p poolerSelector) shareOfPoolers(s *Script) (out []int, err error) {
	var ends [2]float64
	for i := range ends {
		if ends[i], err = p.Items[1+i].Number(0, 1); err != nil {
			return nil, err
		}
	}
	for i := range s.Poolers {
		if at := float64(i) / float64(s.Poolers); at >= ends[0] && at < ends[1] {
			out = append(out, i)
		}
	}
	if len(out) == 0 {
		err = p.Errorf("no pooler is selected")
	}
	return out, err
}

// WithOwner returns a copy of a (... owner LIMIT) fault with the limit's present owner as its target. Other faults are returned as they are.
func (f *Fault) WithOwner(ownerOf func(limit string) int) *Fault {
	if f.Owner == "" {
		return f
	}
	c := *f
	if c.Target.Group = ownerOf(f.Owner); f.OnPoolerLinks() {
		c.Ends[0] = []int{c.Target.Group}
	}
	return &c
}

// SetLinks starts or ends a fault of links between poolers.
func (f *Fault) SetLinks(net *netfault.Net, on bool) {
	net.SetFault(f.Ends[0], f.Ends[1], &f.Link, on)
	if f.Both {
		net.SetFault(f.Ends[1], f.Ends[0], &f.Link, on)
	}
}

// OnPoolerLinks reports whether the fault affects links between poolers.
func (f *Fault) OnPoolerLinks() bool { return f.Kind == "links" || f.Kind == "between" }
