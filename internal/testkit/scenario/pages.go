package scenario

import (
	"slices"

	"beechgrade/internal/sexp"
)

// Pages are reports in order over all groups, read in pages throughout: each page at the next pooler.
type Pages struct {
	Class   string // of session reads
	Tenant  string // who asks, empty for nobody
	Rows    int    // of each group, at the start
	Places  int    // values of the column that is ordered by: so many rows have one
	Desc    bool
	Page    int // rows
	Readers int // reports that are read at a time
	Think   float64
	Wait    float64 // ms that a page is waited for
	Changes float64 // rows written or deleted a second, over all groups

	node *sexp.Node
}

// readPages reads (pages ...).
func (s *Script) readPages(n *sexp.Node) error {
	p := &Pages{Rows: 100, Places: 9, Page: 20, Readers: 3, Think: 50, Wait: 5000, node: n}
	s.Pages = p
	whole := func(to *int, least, most int) func(*sexp.Node) error {
		return func(n *sexp.Node) (err error) { *to, err = n.Int(least, most); return err }
	}
	err := sexp.Schema{
		"class":   func(n *sexp.Node) (err error) { p.Class, err = n.Str(); return err },
		"tenant":  func(n *sexp.Node) (err error) { p.Tenant, err = n.Str(); return err },
		"rows":    whole(&p.Rows, 1, 100000),
		"places":  whole(&p.Places, 1, 1e6),
		"desc":    func(n *sexp.Node) (err error) { p.Desc, err = n.Bool(); return err },
		"page":    whole(&p.Page, 1, 1000),
		"readers": whole(&p.Readers, 1, 1000),
		"think":   func(n *sexp.Node) (err error) { p.Think, err = n.Millis(0, 60000); return err },
		"wait":    func(n *sexp.Node) (err error) { p.Wait, err = n.Millis(200, 60000); return err },
		"changes": func(n *sexp.Node) (err error) { p.Changes, err = n.Float(0, 10000); return err },
	}.Read(n.Args())
	if err == nil && p.Class == "" {
		err = n.Errorf("(pages ...) needs (class NAME), of session reads")
	}
	return err
}

// ReplaceForms are a scenario's items with more forms: in place of the same form, but for faults and classes, which add up.
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

// Smaller is the scenario as it is played on sockets: with the forms of its (on-sockets ...).
func (s *Script) Smaller() (*Script, error) {
	if s.smaller == nil {
		return s, nil
	}
	n := *s.source
	n.Items = ReplaceForms(slices.DeleteFunc(slices.Clone(n.Items), func(o *sexp.Node) bool { return o.Head() == "on-sockets" }), s.smaller)
	return Read(&n)
}
