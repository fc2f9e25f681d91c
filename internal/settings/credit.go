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
	Payments   []lessor.Payment
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
	s := credit.Settings{Lease: c.Lease, Lessor: c.Lessor, Payments: c.Payments}
	s.Lease.PersistMarks = c.Dir != ""
	s.Lease.PrepaidTenants = c.Prepaid
	s.Lessor.ExpiryDelay = s.Lease.ExpiryDelay()
	for i, name := range classes {
		x := lease.Class{PriorityWeight: worth(i)}
		if k := slices.IndexFunc(c.Prices, func(p ClassPrice) bool { return p.Class == name }); k >= 0 {
			x.Price = c.Prices[k].Price
		}
		if k := slices.IndexFunc(c.Overdrafts, func(d ClassOverdraft) bool { return d.Class == name }); k >= 0 {
			x.Overdraft = c.Overdrafts[k].Amount
		}
		s.Lease.Classes = append(s.Lease.Classes, x)
	}
	return s
}

func readCreditName(node *sexp.Node, what string) (string, error) {
	a := node.Args()
	if len(a) == 0 || a[0].Kind == sexp.List || a[0].Text == "" || len(a[0].Text) > ledger.MaxNameBytes {
		return "", node.Errorf("%s, of %d bytes at most, is due first", what, ledger.MaxNameBytes)
	}
	return a[0].Text, nil
}

// wholeNumber reads a whole number.
func wholeNumber(node *sexp.Node, least int64) (int64, error) {
	x, err := strconv.ParseInt(node.Text, 10, 64)
	if node.Kind == sexp.List || err != nil || x < least || x > ledger.MaxAmount {
		return 0, node.Errorf("a whole number from %d to %d is due here", least, ledger.MaxAmount)
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
				if x.Kind == sexp.List || x.Text == "" || len(x.Text) > ledger.MaxNameBytes {
					return x.Errorf("a tenant's name, of %d bytes at most, is due here", ledger.MaxNameBytes)
				}
				c.Prepaid = append(c.Prepaid, x.Text)
			}
			return nil
		},
		"slow-below": func(node *sexp.Node) (err error) { p.ThrottleBelow, err = node.Float(0, 1); return err },
		"least":      func(node *sexp.Node) (err error) { p.MinThrottledShare, err = node.Float(0.01, 1); return err },
		"lease":      span(&p.Duration, 1000, 3600e3), "renew": span(&p.RenewInterval, 200, 60000), "soon": span(&p.UrgentInterval, 50, 10000), "dry": span(&p.ExhaustedInterval, 100, 60000),
		"span": span(&p.GrantHorizon, 100, 600e3), "idle": span(&p.IdleTimeout, 500, 3600e3), "wait": span(&p.QueueTimeout, 0, 10000), "grace": span(&p.Grace, 0, 60000),
		"keep":  span(&c.Lessor.StrandedRetention, 60000, 365*24*3600e3),
		"drift": func(node *sexp.Node) (err error) { p.ClockDrift, err = node.Float(0, 0.1); return err },
	}.Read(node.Args(), "price", "overdraft", "payment", "prepaid")
	switch {
	case err != nil:
		return err
	case len(c.Prices) == 0:
		return node.Errorf("(credit ...) needs a (price CLASS ...)")
	case p.Duration < 4*p.RenewInterval || p.RenewInterval < p.UrgentInterval:
		return node.Errorf("a lease of %g ms is to be four times the %g ms between asks at least, and these no less than the %g ms of those that are soon", p.Duration, p.RenewInterval, p.UrgentInterval)
	}
	for _, x := range c.Payments {
		c.Prepaid = append(c.Prepaid, x.Tenant)
	}
	slices.Sort(c.Prepaid)
	c.Prepaid = slices.Compact(c.Prepaid)
	slices.SortFunc(c.Payments, credit.ComparePayments)
	for i := 1; i < len(c.Payments); i++ {
		if a, b := c.Payments[i-1], c.Payments[i]; a.Tenant == b.Tenant && a.Number == b.Number {
			return node.Errorf("there are two payments %d of %q", a.Number, a.Tenant)
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
		"request": creditAmountReader(&x.PerRequest, 0), "row": creditAmountReader(&x.PerRow, 0), "second": creditAmountReader(&x.PerSecond, 0), "most": creditAmountReader(&x.Max, 1),
		"failed": func(node *sexp.Node) error {
			s, err := node.Str()
			if x.ChargeFailed = s == "charged"; err == nil && !x.ChargeFailed && s != "free" {
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
	case (x.PerRow > 0 || x.PerSecond > 0) && (x.Max == 0 || x.Max < x.PerRequest):
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
	c.Payments = append(c.Payments, lessor.Payment{Tenant: tenant, Number: uint64(no), Amount: x})
	return err
}
