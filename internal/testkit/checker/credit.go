package checker

import (
	"fmt"
	"maps"
	"slices"
)

// CreditChecker compares the cost of what tenants were served with what they paid. It uses the clients' observations alone, not the
// poolers' reports.
type CreditChecker struct {
	Prices     map[string]int64 // by class; other classes are free
	Overdraft  int64            // allowed to each tenant
	Violations []string

	tenants map[string]*tenantCredit
}

type tenantCredit struct {
	payments []timedAmount
	served   []timedAmount // costs, by the time of the answer
	attempts int
	rejected int
}

type timedAmount struct {
	at     float64
	amount int64
}

func (c *CreditChecker) tenant(name string) *tenantCredit {
	if c.tenants == nil {
		c.tenants = map[string]*tenantCredit{}
	}
	if c.tenants[name] == nil {
		c.tenants[name] = &tenantCredit{}
	}
	return c.tenants[name]
}

// Paid records a payment at the time when the first pooler may have read it.
func (c *CreditChecker) Paid(at float64, tenant string, amount int64) {
	t := c.tenant(tenant)
	t.payments = append(t.payments, timedAmount{at, amount})
}

// AttemptEnded records the end of a client's attempt. A failed attempt is not charged, although it may have run.
func (c *CreditChecker) AttemptEnded(at float64, tenant, class string, served, rejected bool) {
	t := c.tenant(tenant)
	if t.attempts++; rejected {
		t.rejected++
	}
	if price := c.Prices[class]; served && price > 0 {
		t.served = append(t.served, timedAmount{at, price})
	}
}

// CheckFinal checks that at no time a tenant had been served more than it had paid plus the overdraft.
func (c *CreditChecker) CheckFinal() {
	for _, name := range slices.Sorted(maps.Keys(c.tenants)) {
		t := c.tenants[name]
		if len(t.payments) == 0 {
			continue
		}
		byTime := func(a, b timedAmount) int { return int(max(-1, min(1, a.at-b.at))) }
		slices.SortStableFunc(t.payments, byTime)
		slices.SortStableFunc(t.served, byTime)
		paid, consumed, next := c.Overdraft, int64(0), 0
		for _, cost := range t.served {
			for ; next < len(t.payments) && t.payments[next].at <= cost.at; next++ {
				paid += t.payments[next].amount
			}
			if consumed += cost.amount; consumed > paid {
				c.Violations = append(c.Violations, fmt.Sprintf("tenant %q: %d are served by %.0f ms, of %d paid", name, consumed, cost.at, paid))
				break
			}
		}
	}
}

// ServedCost returns the cost of a tenant's answers up to a time, and the time of the next answer after it; 0 for none.
func (c *CreditChecker) ServedCost(tenant string, by float64) (cost int64, next float64) {
	for _, x := range c.tenant(tenant).served {
		if x.at <= by {
			cost += x.amount
		} else if next == 0 || x.at < next {
			next = x.at
		}
	}
	return cost, next
}

// AttemptCounts returns the numbers of a tenant's attempts and of those rejected.
func (c *CreditChecker) AttemptCounts(tenant string) (attempts, rejected int) {
	t := c.tenant(tenant)
	return t.attempts, t.rejected
}

// WithinCredit is the rule that CreditChecker checks.
const WithinCredit Rule = "no tenant is served beyond what was paid by then"

// Verdict adds the number of checks and the breaches to v.
func (c *CreditChecker) Verdict(at float64, v *Verdict) {
	for _, t := range c.tenants {
		v.Checked[WithinCredit] += uint64(len(t.served))
	}
	for _, text := range c.Violations {
		v.Broken[WithinCredit]++
		v.Breaches = append(v.Breaches, Breach{Rule: WithinCredit, At: at, Server: -1, Text: text})
	}
}
