package scenario

import (
	"slices"

	"beechgrade/internal/sexp"
)

// readServerLinkFault reads (cut WHOM TARGET): nothing gets from these poolers to those servers, and nothing back; (thin WHOM TARGET PART): a part of what
// they send there, requests and probes, is lost.
func readServerLinkFault(least, most float64) func(*Fault, *sexp.Node) error {
	return func(f *Fault, n *sexp.Node) error {
		a := n.Args()
		if len(a) < 2 {
			return n.Errorf("(%s WHOM primary GROUP), or another target; WHOM is all, a pooler's number, (NUMBER...) or a site", n.Head())
		}
		f.Selector = poolerSelector{a[0]}
		rest := *n
		rest.Items = slices.Concat(n.Items[:1], a[1:])
		return readServerFault(least, most)(f, &rest)
	}
}

// readListHeldFault reads (list-held WHOM): the list tells these poolers nothing new until it ends.
func readListHeldFault(f *Fault, n *sexp.Node) error {
	a := n.Args()
	if len(a) != 1 {
		return n.Errorf("(list-held WHOM), where WHOM is all, a pooler's number, (NUMBER...) or a site")
	}
	f.Selector = poolerSelector{a[0]}
	return nil
}

// OnServerLinks reports whether the fault affects links from poolers to servers or to the list.
func (f *Fault) OnServerLinks() bool {
	return f.Kind == "cut" || f.Kind == "thin" || f.Kind == "list-held"
}

// NeedsPoolerAddresses reports whether, on sockets, each pooler needs its own addresses of servers and the list, which identify the caller.
func (s *Script) NeedsPoolerAddresses() bool {
	return s.Agents == 0 && !s.Clients.ClickHouse && (s.OutlierDetection != nil || slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.OnServerLinks() }))
}
