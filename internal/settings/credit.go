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
	Enabled    bool
	Unit       string // what amounts are in, for those who read figures
	Dir        string // where marks are kept; empty for nowhere. "$NAME" stands for a variable of the environment
	Lease      lease.Settings
	Lessor     lessor.Settings
	Prices     []ClassPrice
	Overdrafts []ClassOverdraft
	Payments   []lessor.Pay
	Prepaid    []string
}

// ClassPrice is what a class's requests cost.
type ClassPrice struct {
	Class string
	lease.Price
}

// ClassOverdraft is how far below nothing a tenant's balance may go for a class.
type ClassOverdraft struct {
	Class  string
	Amount int64
}

// SettingsFor are the settings of a pooler with these classes, worth so much.
func (c *Credit) SettingsFor(classes []string, worth func(i int) float64) credit.Settings {
	s := credit.Settings{Purse: c.Lease, Bank: c.Lessor, Pays: c.Payments}
	s.Purse.Marks = c.Dir != ""
	s.Purse.Prepaid = c.Prepaid
	s.Bank.Ends = s.Purse.Ends()
	for i, name := range classes {
		x := lease.Class{Worth: worth(i)}
		if k := slices.IndexFunc(c.Prices, func(p ClassPrice) bool { return p.Class == name }); k >= 0 {
			x.Price = c.Prices[k].Price
		}
		if k := slices.IndexFunc(c.Overdrafts, func(d ClassOverdraft) bool { return d.Class == name }); k >= 0 {
			x.Depth = c.Overdrafts[k].Amount
		}
		s.Purse.Classes = append(s.Purse.Classes, x)
	}
	return s
}

func readCreditName(node *sexp.Node, what string) (string, error) {
	a := node.Args()
	if len(a) == 0 || a[0].Kind == sexp.List || a[0].Text == "" || len(a[0].Text) > ledger.MostName {
		return "", node.Errorf("%s, of %d bytes at most, is due first", what, ledger.MostName)
	}
	return a[0].Text, nil
}

// wholeNumber reads a whole number.
func wholeNumber(node *sexp.Node, least int64) (int64, error) {
	x, err := strconv.ParseInt(node.Text, 10, 64)
	if node.Kind == sexp.List || err != nil || x < least || x > ledger.MostAmount {
		return 0, node.Errorf("a whole number from %d to %d is due here", least, ledger.MostAmount)
	}
	return x, nil
}

func creditAmountReader(to *int64, least int64) func(*sexp.Node) error {
	return func(node *sexp.Node) error {
		a, err := node.Argument()
		if err == nil {
			*to, err = wholeNumber(a, least)
		}
		return err
	}
}

// ReadCredit reads (credit ...).
func ReadCredit(node *sexp.Node) (*Credit, error) {
	c := &Credit{}
	return c, c.read(node, os.Getenv)
}

func (c *Credit) read(node *sexp.Node, env func(string) string) error {
	*c = Credit{Enabled: true, Lease: lease.Defaults(), Lessor: lessor.Defaults()}
	p := &c.Lease
	span := func(to *float64, least, most float64) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Millis(least, most); return err }
	}
	err := sexp.Schema{
		"unit": func(node *sexp.Node) (err error) { c.Unit, err = node.Str(); return err },
		"files": func(node *sexp.Node) error {
			text, err := node.Str()
			if c.Dir = os.Expand(text, env); err == nil && c.Dir == "" {
				err = node.Errorf("the folder's name is empty; is its variable set?")
			}
			return err
		},
		"price": c.readPrice, "overdraft": c.readOverdraft, "payment": c.readPayment,
		"prepaid": func(node *sexp.Node) error {
			for _, x := range node.Args() {
				if x.Kind == sexp.List || x.Text == "" || len(x.Text) > ledger.MostName {
					return x.Errorf("a tenant's name, of %d bytes at most, is due here", ledger.MostName)
				}
				c.Prepaid = append(c.Prepaid, x.Text)
			}
			return nil
		},
		"slow-below": func(node *sexp.Node) (err error) { p.Below, err = node.Float(0, 1); return err },
		"least":      func(node *sexp.Node) (err error) { p.Least, err = node.Float(0.01, 1); return err },
		"lease":      span(&p.Lease, 1000, 3600e3), "renew": span(&p.Renew, 200, 60000), "soon": span(&p.Soon, 50, 10000), "dry": span(&p.Dry, 100, 60000),
		"span": span(&p.Span, 100, 600e3), "idle": span(&p.Idle, 500, 3600e3), "wait": span(&p.Wait, 0, 10000), "grace": span(&p.Grace, 0, 60000),
		"keep":  span(&c.Lessor.Keep, 60000, 365*24*3600e3),
		"drift": func(node *sexp.Node) (err error) { p.Drift, err = node.Float(0, 0.1); return err },
	}.Read(node.Args(), "price", "overdraft", "payment", "prepaid")
	switch {
	case err != nil:
		return err
	case len(c.Prices) == 0:
		return node.Errorf("(credit ...) needs a (price CLASS ...)")
	case p.Lease < 4*p.Renew || p.Renew < p.Soon:
		return node.Errorf("a lease of %g ms is to be four times the %g ms between asks at least, and these no less than the %g ms of those that are soon", p.Lease, p.Renew, p.Soon)
	}
	for _, x := range c.Payments {
		c.Prepaid = append(c.Prepaid, x.Tenant)
	}
	slices.Sort(c.Prepaid)
	c.Prepaid = slices.Compact(c.Prepaid)
	slices.SortFunc(c.Payments, credit.ByNumber)
	for i := 1; i < len(c.Payments); i++ {
		if a, b := c.Payments[i-1], c.Payments[i]; a.Tenant == b.Tenant && a.No == b.No {
			return node.Errorf("there are two payments %d of %q", a.No, a.Tenant)
		}
	}
	return nil
}

func (c *Credit) readPrice(node *sexp.Node) error {
	class, err := readCreditName(node, "a class's name")
	if err != nil {
		return err
	}
	x := ClassPrice{Class: class}
	err = sexp.Schema{
		"request": creditAmountReader(&x.Request, 0), "row": creditAmountReader(&x.Row, 0), "second": creditAmountReader(&x.Second, 0), "most": creditAmountReader(&x.Most, 1),
		"failed": func(node *sexp.Node) error {
			s, err := node.Str()
			if x.Failed = s == "charged"; err == nil && !x.Failed && s != "free" {
				err = node.Errorf("charged or free is due here")
			}
			return err
		},
	}.Read(node.Args()[1:])
	switch {
	case err != nil:
		return err
	case slices.ContainsFunc(c.Prices, func(o ClassPrice) bool { return o.Class == class }):
		return node.Errorf("there is a price of %q already", class)
	case (x.Row > 0 || x.Second > 0) && (x.Most == 0 || x.Most < x.Request):
		return node.Errorf("price of %q: (most AMOUNT) is due where it goes by rows or work: as much is held for each request, and charged at most", class)
	}
	c.Prices = append(c.Prices, x)
	return nil
}

func (c *Credit) readOverdraft(node *sexp.Node) error {
	class, err := readCreditName(node, "a class's name")
	if err != nil {
		return err
	}
	a := node.Args()
	if len(a) != 2 {
		return node.Errorf("(overdraft CLASS AMOUNT) is due")
	}
	if slices.ContainsFunc(c.Overdrafts, func(o ClassOverdraft) bool { return o.Class == class }) {
		return node.Errorf("there is an overdraft of %q already", class)
	}
	x, err := wholeNumber(a[1], 0)
	c.Overdrafts = append(c.Overdrafts, ClassOverdraft{class, x})
	return err
}

func (c *Credit) readPayment(node *sexp.Node) error {
	tenant, err := readCreditName(node, "a tenant's name")
	if err != nil {
		return err
	}
	a := node.Args()
	if len(a) != 3 {
		return node.Errorf("(payment TENANT NUMBER AMOUNT) is due")
	}
	no, err := wholeNumber(a[1], 0)
	if err != nil {
		return err
	}
	x, err := wholeNumber(a[2], 1)
	c.Payments = append(c.Payments, lessor.Pay{Tenant: tenant, No: uint64(no), Amount: x})
	return err
}
