package scenario

import (
	"slices"

	"beechgrade/internal/sexp"
)

// readPowerFault reads (power SITE): a site loses its power, so all its poolers and servers fail. When the power is back, they start cold.
func readPowerFault(f *Fault, n *sexp.Node) (err error) {
	f.Target.Kind = "site"
	f.Target.Name, err = n.Str()
	return err
}

// readRouteFault reads (route SITES SITES WHAT...), a fault of the links from the poolers of some sites to the servers and poolers of others. SITES is a
// site or (SITE...), and WHAT is as for (links ...). (routes ...) affects both directions.
func readRouteFault(f *Fault, n *sexp.Node) error {
	a := n.Args()
	if len(a) < 3 {
		return n.Errorf("expected (%s SITES SITES WHAT...), where SITES is a site or a list of some, and WHAT is cut, (lose X) or (slow TIME)", n.Head())
	}
	if err := readLinkFault(f, n); err != nil {
		return err
	}
	f.Both, f.From.Node, f.To.Node = n.Head() == "routes", nil, nil
	for i := range f.SiteNames {
		list := []*sexp.Node{a[i]}
		if a[i].Kind == sexp.List {
			list = a[i].Items
		}
		for _, x := range list {
			if x.Kind == sexp.List || x.Text == "" {
				return x.Errorf("expected a site's name")
			}
			f.SiteNames[i] = append(f.SiteNames[i], x.Text)
		}
	}
	return nil
}

// OnSiteLinks reports whether the fault affects links between sites.
func (f *Fault) OnSiteLinks() bool { return f.Kind == "route" || f.Kind == "routes" }

// resolveSites resolves the sites that a fault names, with their poolers.
func (s *Script) resolveSites(f *Fault) error {
	find := func(name string) (int, error) {
		i := slices.Index(s.Sites, name)
		if i < 0 {
			return 0, &sexp.Error{Pos: f.Pos, Text: "there is no site \"" + name + "\""}
		}
		return i, nil
	}
	if f.Target.Kind == "site" {
		_, err := find(f.Target.Name)
		return err
	}
	if !f.OnSiteLinks() {
		return nil
	}
	for i, names := range f.SiteNames {
		f.SiteNumbers[i], f.Ends[i] = nil, nil
		for _, name := range names {
			at, err := find(name)
			if err != nil {
				return err
			}
			f.SiteNumbers[i] = append(f.SiteNumbers[i], at)
			for p := at; p < s.Poolers; p += len(s.Sites) {
				f.Ends[i] = append(f.Ends[i], p)
			}
		}
	}
	return nil
}

// expandPowerFaults replaces a site's loss of power by faults of its poolers and servers.
func (s *Script) expandPowerFaults(faults []Fault) (out []Fault) {
	for _, f := range faults {
		if f.Kind != "power" {
			out = append(out, f)
			continue
		}
		servers := f
		servers.Kind = "die"
		out = append(out, servers)
		for p := max(0, slices.Index(s.Sites, f.Target.Name)); len(s.Sites) > 0 && p < s.Poolers; p += len(s.Sites) {
			x := f
			x.Kind, x.Target = "kill-pooler", Target{Kind: "pooler", Group: p}
			out = append(out, x)
		}
	}
	return out
}
