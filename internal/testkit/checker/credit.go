package checker

import (
	"fmt"
	"maps"
	"slices"
)

// CreditChecker holds what tenants were served to what they paid, as clients saw it; what poolers say counts for nothing.
type CreditChecker struct {
	Prices     map[string]int64 // by class; others cost nothing
	Overdraft  int64            // that may be overdrawn, of each tenant
	Violations []string

	tenants map[string]*tenantCredit
}

type tenantCredit struct {
	payments []timedAmount
	served   []timedAmount // costs, by when they were answered
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

// Paid tells of a payment, as of when the first pooler may have read it.
func (c *CreditChecker) Paid(at float64, tenant string, amount int64) {
	t := c.tenant(tenant)
	t.payments = append(t.payments, timedAmount{at, amount})
}

// AttemptEnded tells how a client's try ended. One that failed may have run, and is not held against anybody.
func (c *CreditChecker) AttemptEnded(at float64, tenant, class string, served, rejected bool) {
	t := c.tenant(tenant)
	if t.attempts++; rejected {
		t.rejected++
	}
	if price := c.Prices[class]; served && price > 0 {
		t.served = append(t.served, timedAmount{at, price})
	}
}

// CheckFinal holds all of it together: at no time was more served than had been paid by then.
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

// ServedCost is what a tenant's answers cost, up to a time, and since when after that the next one came; 0 for never.
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

// AttemptCounts are how many tries a tenant made, and how many were refused.
func (c *CreditChecker) AttemptCounts(tenant string) (attempts, rejected int) {
	t := c.tenant(tenant)
	return t.attempts, t.rejected
}

// WithinCredit is the rule that Credit holds tenants to.
const WithinCredit Rule = "no tenant is served beyond what was paid by then"

// Verdict adds what was checked and found.
func (c *CreditChecker) Verdict(at float64, v *Verdict) {
	for _, t := range c.tenants {
		v.Checked[WithinCredit] += uint64(len(t.served))
	}
	for _, text := range c.Violations {
		v.Broken[WithinCredit]++
		v.Breaches = append(v.Breaches, Breach{Rule: WithinCredit, At: at, Server: -1, Text: text})
	}
}
