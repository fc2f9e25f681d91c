package scenario

import (
	"slices"

	"beechgrade/internal/sexp"
)

// aWay reads (cut WHOM TARGET): nothing gets from these poolers to those servers, and nothing back; (thin WHOM TARGET PART): a part of what
// they send there, requests and probes, is lost.
func aWay(least, most float64) func(*Fault, *sexp.Node) error {
	return func(f *Fault, n *sexp.Node) error {
		a := n.Args()
		if len(a) < 2 {
			return n.Errorf("(%s WHOM primary GROUP), or another target; WHOM is all, a pooler's number, (NUMBER...) or a site", n.Head())
		}
		f.Who = whom{a[0]}
		rest := *n
		rest.Items = slices.Concat(n.Items[:1], a[1:])
		return struck(least, most)(f, &rest)
	}
}

// held reads (list-held WHOM): the list tells these poolers nothing new until it ends.
func held(f *Fault, n *sexp.Node) error {
	a := n.Args()
	if len(a) != 1 {
		return n.Errorf("(list-held WHOM), where WHOM is all, a pooler's number, (NUMBER...) or a site")
	}
	f.Who = whom{a[0]}
	return nil
}

// OfWays tells whether a fault is one of the ways from some poolers to servers, or to the list.
func (f *Fault) OfWays() bool { return f.What == "cut" || f.What == "thin" || f.What == "list-held" }

// Doors tells whether servers and the list are to know on sockets which pooler calls: each pooler then has addresses of its own for them.
func (s *Script) Doors() bool {
	return s.Agents == 0 && !s.Clients.ClickHouse && (s.Verdicts != nil || slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.OfWays() }))
}
