package settings

import (
	"os"
	"slices"
	"strconv"

	"beechgrade/internal/cluster/credit"
	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/lessor"
	"beechgrade/internal/sexp"
)

// Credit has tenants pay ahead. It takes (peers ...) and (agreed ...).
type Credit struct {
	On      bool
	Unit    string // what amounts are in, for those who read figures
	Dir     string // where marks are kept; empty for nowhere. "$NAME" stands for a variable of the environment
	Purse   lease.Settings
	Bank    lessor.Settings
	Prices  []ClassPrice
	Depths  []ClassDepth
	Pays    []lessor.Pay
	Prepaid []string
}

// ClassPrice is what a class's requests cost.
type ClassPrice struct {
	Class string
	lease.Price
}

// ClassDepth is how far below nothing a tenant's balance may go for a class.
type ClassDepth struct {
	Class  string
	Amount int64
}

// For are the settings of a pooler with these classes, worth so much.
func (c *Credit) For(classes []string, worth func(i int) float64) credit.Settings {
	s := credit.Settings{Purse: c.Purse, Bank: c.Bank, Pays: c.Pays}
	s.Purse.Marks = c.Dir != ""
	s.Purse.Prepaid = c.Prepaid
	s.Bank.Ends = s.Purse.Ends()
	for i, name := range classes {
		x := lease.Class{Worth: worth(i)}
		if k := slices.IndexFunc(c.Prices, func(p ClassPrice) bool { return p.Class == name }); k >= 0 {
			x.Price = c.Prices[k].Price
		}
		if k := slices.IndexFunc(c.Depths, func(d ClassDepth) bool { return d.Class == name }); k >= 0 {
			x.Depth = c.Depths[k].Amount
		}
		s.Purse.Classes = append(s.Purse.Classes, x)
	}
	return s
}

func creditName(n *sexp.Node, what string) (string, error) {
	a := n.Args()
	if len(a) == 0 || a[0].Kind == sexp.List || a[0].Text == "" || len(a[0].Text) > ledger.MostName {
		return "", n.Errorf("%s, of %d bytes at most, is due first", what, ledger.MostName)
	}
	return a[0].Text, nil
}

// whole reads a whole number.
func whole(n *sexp.Node, least int64) (int64, error) {
	x, err := strconv.ParseInt(n.Text, 10, 64)
	if n.Kind == sexp.List || err != nil || x < least || x > ledger.MostAmount {
		return 0, n.Errorf("a whole number from %d to %d is due here", least, ledger.MostAmount)
	}
	return x, nil
}

func creditAmount(to *int64, least int64) func(*sexp.Node) error {
	return func(n *sexp.Node) error {
		a, err := n.One()
		if err == nil {
			*to, err = whole(a, least)
		}
		return err
	}
}

// ReadCredit reads (credit ...).
func ReadCredit(n *sexp.Node) (*Credit, error) {
	c := &Credit{}
	return c, c.read(n, os.Getenv)
}

func (c *Credit) read(n *sexp.Node, env func(string) string) error {
	*c = Credit{On: true, Purse: lease.Defaults(), Bank: lessor.Defaults()}
	p := &c.Purse
	span := func(to *float64, least, most float64) func(*sexp.Node) error {
		return func(n *sexp.Node) (err error) { *to, err = n.Millis(least, most); return err }
	}
	err := sexp.Form{
		"unit": func(n *sexp.Node) (err error) { c.Unit, err = n.Str(); return err },
		"files": func(n *sexp.Node) error {
			text, err := n.Str()
			if c.Dir = os.Expand(text, env); err == nil && c.Dir == "" {
				err = n.Errorf("the folder's name is empty; is its variable set?")
			}
			return err
		},
		"price": c.price, "overdraft": c.overdraft, "payment": c.payment,
		"prepaid": func(n *sexp.Node) error {
			for _, x := range n.Args() {
				if x.Kind == sexp.List || x.Text == "" || len(x.Text) > ledger.MostName {
					return x.Errorf("a tenant's name, of %d bytes at most, is due here", ledger.MostName)
				}
				c.Prepaid = append(c.Prepaid, x.Text)
			}
			return nil
		},
		"slow-below": func(n *sexp.Node) (err error) { p.Below, err = n.Float(0, 1); return err },
		"least":      func(n *sexp.Node) (err error) { p.Least, err = n.Float(0.01, 1); return err },
		"lease":      span(&p.Lease, 1000, 3600e3), "renew": span(&p.Renew, 200, 60000), "soon": span(&p.Soon, 50, 10000), "dry": span(&p.Dry, 100, 60000),
		"span": span(&p.Span, 100, 600e3), "idle": span(&p.Idle, 500, 3600e3), "wait": span(&p.Wait, 0, 10000), "grace": span(&p.Grace, 0, 60000),
		"keep":  span(&c.Bank.Keep, 60000, 365*24*3600e3),
		"drift": func(n *sexp.Node) (err error) { p.Drift, err = n.Float(0, 0.1); return err },
	}.Read(n.Args(), "price", "overdraft", "payment", "prepaid")
	switch {
	case err != nil:
		return err
	case len(c.Prices) == 0:
		return n.Errorf("(credit ...) needs a (price CLASS ...)")
	case p.Lease < 4*p.Renew || p.Renew < p.Soon:
		return n.Errorf("a lease of %g ms is to be four times the %g ms between asks at least, and these no less than the %g ms of those that are soon", p.Lease, p.Renew, p.Soon)
	}
	for _, x := range c.Pays {
		c.Prepaid = append(c.Prepaid, x.Tenant)
	}
	slices.Sort(c.Prepaid)
	c.Prepaid = slices.Compact(c.Prepaid)
	slices.SortFunc(c.Pays, credit.ByNumber)
	for i := 1; i < len(c.Pays); i++ {
		if a, b := c.Pays[i-1], c.Pays[i]; a.Tenant == b.Tenant && a.No == b.No {
			return n.Errorf("there are two payments %d of %q", a.No, a.Tenant)
		}
	}
	return nil
}

func (c *Credit) price(n *sexp.Node) error {
	class, err := creditName(n, "a class's name")
	if err != nil {
		return err
	}
	x := ClassPrice{Class: class}
	err = sexp.Form{
		"request": creditAmount(&x.Request, 0), "row": creditAmount(&x.Row, 0), "second": creditAmount(&x.Second, 0), "most": creditAmount(&x.Most, 1),
		"failed": func(n *sexp.Node) error {
			s, err := n.Str()
			if x.Failed = s == "charged"; err == nil && !x.Failed && s != "free" {
				err = n.Errorf("charged or free is due here")
			}
			return err
		},
	}.Read(n.Args()[1:])
	switch {
	case err != nil:
		return err
	case slices.ContainsFunc(c.Prices, func(o ClassPrice) bool { return o.Class == class }):
		return n.Errorf("there is a price of %q already", class)
	case (x.Row > 0 || x.Second > 0) && (x.Most == 0 || x.Most < x.Request):
		return n.Errorf("price of %q: (most AMOUNT) is due where it goes by rows or work: as much is held for each request, and charged at most", class)
	}
	c.Prices = append(c.Prices, x)
	return nil
}

func (c *Credit) overdraft(n *sexp.Node) error {
	class, err := creditName(n, "a class's name")
	if err != nil {
		return err
	}
	a := n.Args()
	if len(a) != 2 {
		return n.Errorf("(overdraft CLASS AMOUNT) is due")
	}
	if slices.ContainsFunc(c.Depths, func(o ClassDepth) bool { return o.Class == class }) {
		return n.Errorf("there is an overdraft of %q already", class)
	}
	x, err := whole(a[1], 0)
	c.Depths = append(c.Depths, ClassDepth{class, x})
	return err
}

func (c *Credit) payment(n *sexp.Node) error {
	tenant, err := creditName(n, "a tenant's name")
	if err != nil {
		return err
	}
	a := n.Args()
	if len(a) != 3 {
		return n.Errorf("(payment TENANT NUMBER AMOUNT) is due")
	}
	no, err := whole(a[1], 0)
	if err != nil {
		return err
	}
	x, err := whole(a[2], 1)
	c.Pays = append(c.Pays, lessor.Pay{Tenant: tenant, No: uint64(no), Amount: x})
	return err
}
