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

// Credit configures tenants that pay in advance. It needs (peers ...) and (agreed ...).
type Credit struct {
	Enabled    bool
	Unit       string // of amounts; shown in metrics
	Dir        string // of the stored spending marks; empty for none. "$NAME" stands for an environment variable
	Lease      lease.Settings
	Lessor     lessor.Settings
	Prices     []ClassPrice
	Overdrafts []ClassOverdraft
	Payments   []lessor.Payment
	Prepaid    []string // tenants that pay in advance, sorted
}

// ClassPrice is the price of a class's requests.
type ClassPrice struct {
	Class string
	lease.Price
}

// ClassOverdraft is how far below zero a tenant's balance may go for a class.
type ClassOverdraft struct {
	Class  string
	Amount int64
}

const minRenewalsPerLease = 4

var (
	throttleThresholds = numberRange{0, 1}
	minThrottledShares = numberRange{0.01, 1}
	leaseTimes         = durationRange{second, hour}
	renewalIntervals   = durationRange{200, minute}
	urgentIntervals    = durationRange{50, 10 * second}
	exhaustedIntervals = durationRange{100, minute}
	grantHorizons      = durationRange{100, 10 * minute}
	leaseIdleTimes     = durationRange{500, hour}
	creditWaits        = durationRange{0, 10 * second}
	creditGraceTimes   = durationRange{0, minute}
	ledgerRetention    = durationRange{minute, year}
	clockDrifts        = numberRange{0, 0.1}
)

// SettingsFor returns the settings of a pooler with these classes. weight returns the priority weight of a class.
func (c *Credit) SettingsFor(classes []string, weight func(class int) float64) credit.Settings {
	settings := credit.Settings{Lease: c.Lease, Lessor: c.Lessor, Payments: c.Payments}
	settings.Lease.PersistMarks = c.Dir != ""
	settings.Lease.PrepaidTenants = c.Prepaid
	settings.Lessor.ExpiryDelay = settings.Lease.ExpiryDelay()
	for i, name := range classes {
		class := lease.Class{PriorityWeight: weight(i)}
		if price := c.priceIndex(name); price >= 0 {
			class.Price = c.Prices[price].Price
		}
		if overdraft := c.overdraftIndex(name); overdraft >= 0 {
			class.Overdraft = c.Overdrafts[overdraft].Amount
		}
		settings.Lease.Classes = append(settings.Lease.Classes, class)
	}
	return settings
}

// priceIndex returns the index of a class's price, or -1 if it has none.
func (c *Credit) priceIndex(class string) int {
	return slices.IndexFunc(c.Prices, func(price ClassPrice) bool { return price.Class == class })
}

// overdraftIndex returns the index of a class's overdraft, or -1 if it has none.
func (c *Credit) overdraftIndex(class string) int {
	return slices.IndexFunc(c.Overdrafts, func(overdraft ClassOverdraft) bool { return overdraft.Class == class })
}

// ReadCredit reads (credit ...).
func ReadCredit(node *sexp.Node) (*Credit, error) {
	c := &Credit{}
	return c, c.read(node, os.Getenv)
}

func (c *Credit) read(node *sexp.Node, env func(string) string) error {
	*c = Credit{Enabled: true, Lease: lease.Defaults(), Lessor: lessor.Defaults()}
	l := &c.Lease
	err := sexp.Schema{
		"unit":       text(&c.Unit),
		"files":      folderPath(&c.Dir, env),
		"price":      c.readPrice,
		"overdraft":  c.readOverdraft,
		"payment":    c.readPayment,
		"prepaid":    c.readPrepaid,
		"slow-below": number(&l.ThrottleBelow, throttleThresholds),
		"least":      number(&l.MinThrottledShare, minThrottledShares),
		"lease":      duration(&l.Duration, leaseTimes),
		"renew":      duration(&l.RenewInterval, renewalIntervals),
		"soon":       duration(&l.UrgentInterval, urgentIntervals),
		"dry":        duration(&l.ExhaustedInterval, exhaustedIntervals),
		"span":       duration(&l.GrantHorizon, grantHorizons),
		"idle":       duration(&l.IdleTimeout, leaseIdleTimes),
		"wait":       duration(&l.QueueTimeout, creditWaits),
		"grace":      duration(&l.Grace, creditGraceTimes),
		"keep":       duration(&c.Lessor.StrandedRetention, ledgerRetention),
		"drift":      number(&l.ClockDrift, clockDrifts),
	}.Read(node.Args(), "price", "overdraft", "payment", "prepaid")
	switch {
	case err != nil:
		return err
	case len(c.Prices) == 0:
		return node.Errorf("(credit ...) needs a (price CLASS ...)")
	case l.Duration < minRenewalsPerLease*l.RenewInterval || l.RenewInterval < l.UrgentInterval:
		return node.Errorf("(lease ...) of %g ms must be at least four times (renew ...) of %g ms, which must be at least (soon ...) of %g ms",
			l.Duration, l.RenewInterval, l.UrgentInterval)
	}
	return c.sortPayments(node)
}

// sortPayments sorts the payments, and adds the tenants that made them to those that pay in advance. Two payments of a tenant with one
// number are an error.
func (c *Credit) sortPayments(node *sexp.Node) error {
	for _, payment := range c.Payments {
		c.Prepaid = append(c.Prepaid, payment.Tenant)
	}
	slices.Sort(c.Prepaid)
	c.Prepaid = slices.Compact(c.Prepaid)
	slices.SortFunc(c.Payments, credit.ComparePayments)
	for i := 1; i < len(c.Payments); i++ {
		previous, payment := c.Payments[i-1], c.Payments[i]
		if previous.Tenant == payment.Tenant && previous.Number == payment.Number {
			return node.Errorf("duplicate payment %d of %q", previous.Number, previous.Tenant)
		}
	}
	return nil
}

func (c *Credit) readPrice(node *sexp.Node) error {
	class, err := readCreditName(node, "a class's name")
	if err != nil {
		return err
	}
	price := ClassPrice{Class: class}
	err = sexp.Schema{
		"request": creditAmount(&price.PerRequest, 0),
		"row":     creditAmount(&price.PerRow, 0),
		"second":  creditAmount(&price.PerSecond, 0),
		"most":    creditAmount(&price.Max, 1),
		"failed": func(node *sexp.Node) error {
			i, err := oneOf(node, "charged", "free")
			price.ChargeFailed = i == 0
			return err
		},
	}.Read(node.Args()[1:])
	varies := price.PerRow > 0 || price.PerSecond > 0
	switch {
	case err != nil:
		return err
	case c.priceIndex(class) >= 0:
		return node.Errorf("duplicate price of %q", class)
	case varies && (price.Max == 0 || price.Max < price.PerRequest):
		return node.Errorf("price of %q: with (row ...) or (second ...), (most AMOUNT) is required and must be at least (request ...): it is reserved for each request, and the maximum charge", class)
	}
	c.Prices = append(c.Prices, price)
	return nil
}

func (c *Credit) readOverdraft(node *sexp.Node) error {
	class, err := readCreditName(node, "a class's name")
	if err != nil {
		return err
	}
	arguments := node.Args()
	if len(arguments) != 2 {
		return node.Errorf("expected (overdraft CLASS AMOUNT)")
	}
	if c.overdraftIndex(class) >= 0 {
		return node.Errorf("duplicate overdraft of %q", class)
	}
	amount, err := wholeNumber(arguments[1], 0)
	c.Overdrafts = append(c.Overdrafts, ClassOverdraft{class, amount})
	return err
}

func (c *Credit) readPayment(node *sexp.Node) error {
	tenant, err := readCreditName(node, "a tenant's name")
	if err != nil {
		return err
	}
	arguments := node.Args()
	if len(arguments) != 3 {
		return node.Errorf("expected (payment TENANT NUMBER AMOUNT)")
	}
	number, err := wholeNumber(arguments[1], 0)
	if err != nil {
		return err
	}
	amount, err := wholeNumber(arguments[2], 1)
	c.Payments = append(c.Payments, lessor.Payment{Tenant: tenant, Number: uint64(number), Amount: amount})
	return err
}

func (c *Credit) readPrepaid(node *sexp.Node) error {
	for _, item := range node.Args() {
		if !isName(item) || len(item.Text) > ledger.MaxNameBytes {
			return item.Errorf("expected a tenant's name of at most %d bytes", ledger.MaxNameBytes)
		}
		c.Prepaid = append(c.Prepaid, item.Text)
	}
	return nil
}

// readCreditName reads the first argument of a form as the name of a class or tenant. description names what is expected, in an error.
func readCreditName(node *sexp.Node, description string) (string, error) {
	name, ok := firstName(node.Args())
	if !ok || len(name) > ledger.MaxNameBytes {
		return "", node.Errorf("expected %s of at most %d bytes first", description, ledger.MaxNameBytes)
	}
	return name, nil
}

// wholeNumber reads an atom as a whole number from least to ledger.MaxAmount.
func wholeNumber(node *sexp.Node, least int64) (int64, error) {
	number, err := strconv.ParseInt(node.Text, 10, 64)
	if node.Kind == sexp.List || err != nil || number < least || number > ledger.MaxAmount {
		return 0, node.Errorf("expected a whole number from %d to %d", least, ledger.MaxAmount)
	}
	return number, nil
}

// creditAmount reads (key AMOUNT), from least to ledger.MaxAmount, into target.
func creditAmount(target *int64, least int64) reader {
	return func(node *sexp.Node) error {
		argument, err := node.Argument()
		if err == nil {
			*target, err = wholeNumber(argument, least)
		}
		return err
	}
}
