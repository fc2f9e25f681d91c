package scenario

import (
	"slices"

	"beechgrade/internal/sexp"
)

// Pages has the settings of sorted reports over all groups. Clients read them in pages, and request each page at the next pooler.
type Pages struct {
	Class      string // of session reads
	Tenant     string // empty for none
	Rows       int    // of each group, at the start
	SortValues int    // number of values of the sort column
	Desc       bool
	Page       int     // rows of a page
	Readers    int     // concurrent readers
	ThinkMs    float64 // pause of a reader between two pages
	TimeoutMs  float64 // timeout of a page
	Changes    float64 // rows written or deleted a second, over all groups

	node *sexp.Node
}

// readPages reads (pages ...).
func (s *Script) readPages(n *sexp.Node) error {
	p := &Pages{Rows: 100, SortValues: 9, Page: 20, Readers: 3, ThinkMs: 50, TimeoutMs: 5000, node: n}
	s.Pages = p
	integer := func(to *int, least, most int) func(*sexp.Node) error {
		return func(n *sexp.Node) (err error) { *to, err = n.Int(least, most); return err }
	}
	err := sexp.Schema{
		"class":   func(n *sexp.Node) (err error) { p.Class, err = n.Str(); return err },
		"tenant":  func(n *sexp.Node) (err error) { p.Tenant, err = n.Str(); return err },
		"rows":    integer(&p.Rows, 1, 100000),
		"places":  integer(&p.SortValues, 1, 1e6),
		"desc":    func(n *sexp.Node) (err error) { p.Desc, err = n.Bool(); return err },
		"page":    integer(&p.Page, 1, 1000),
		"readers": integer(&p.Readers, 1, 1000),
		"think":   func(n *sexp.Node) (err error) { p.ThinkMs, err = n.Millis(0, 60000); return err },
		"wait":    func(n *sexp.Node) (err error) { p.TimeoutMs, err = n.Millis(200, 60000); return err },
		"changes": func(n *sexp.Node) (err error) { p.Changes, err = n.Float(0, 10000); return err },
	}.Read(n.Args())
	if err == nil && p.Class == "" {
		err = n.Errorf("(pages ...) needs (class NAME), of session reads")
	}
	return err
}

// ReplaceForms returns a scenario's items with further forms. Each form replaces the items with the same head, except faults and classes, which are
// added. (groups-of ...) also replaces (groups ...).
func ReplaceForms(items, forms []*sexp.Node) []*sexp.Node {
	items = slices.Clone(items)
	for _, f := range forms {
		if h := f.Head(); h != "at" && h != "class" {
			items = slices.DeleteFunc(items, func(o *sexp.Node) bool { return o.Head() == h || h == "groups-of" && o.Head() == "groups" })
		}
		items = append(items, f)
	}
	return items
}

// ForSockets returns the scenario to run on sockets, in which the forms of its (on-sockets ...) replace others.
func (s *Script) ForSockets() (*Script, error) {
	if s.socketForms == nil {
		return s, nil
	}
	n := *s.source
	n.Items = ReplaceForms(slices.DeleteFunc(slices.Clone(n.Items), func(o *sexp.Node) bool { return o.Head() == "on-sockets" }), s.socketForms)
	return Read(&n)
}
