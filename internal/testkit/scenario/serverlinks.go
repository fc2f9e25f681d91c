package scenario

import (
	"slices"

	"beechgrade/internal/sexp"
)

// readServerLinkFault returns a reader of (cut WHOM TARGET), which cuts the links between the given poolers and servers in both directions, or of
// (thin WHOM TARGET PART), which loses a part of the requests and health checks that the poolers send there.
func readServerLinkFault(least, most float64) func(*Fault, *sexp.Node) error {
	return func(f *Fault, n *sexp.Node) error {
		a := n.Args()
		if len(a) < 2 {
			return n.Errorf("expected (%s WHOM primary GROUP), or another target; WHOM is all, a pooler's number, (NUMBER...) or a site", n.Head())
		}
		f.Selector = poolerSelector{a[0]}
		rest := *n
		rest.Items = slices.Concat(n.Items[:1], a[1:])
		return readServerFault(least, most)(f, &rest)
	}
}

// readListHeldFault reads (list-held WHOM): the given poolers get no updates of the endpoint list until the fault ends.
func readListHeldFault(f *Fault, n *sexp.Node) error {
	a := n.Args()
	if len(a) != 1 {
		return n.Errorf("expected (list-held WHOM), where WHOM is all, a pooler's number, (NUMBER...) or a site")
	}
	f.Selector = poolerSelector{a[0]}
	return nil
}

// OnServerLinks reports whether the fault affects links from poolers to servers or to the list.
func (f *Fault) OnServerLinks() bool {
	return f.Kind == "cut" || f.Kind == "thin" || f.Kind == "list-held"
}

// NeedsPoolerAddresses reports whether, on sockets, the servers and the list need an address for each pooler, by which they distinguish their callers.
func (s *Script) NeedsPoolerAddresses() bool {
	return s.Agents == 0 && !s.Clients.ClickHouse && (s.OutlierDetection != nil || slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.OnServerLinks() }))
}
