package checker

import (
	"fmt"
	"maps"
	"slices"
)

// Credit holds what tenants were served to what they paid, as clients saw it; what poolers say counts for nothing.
type Credit struct {
	Prices map[string]int64 // by class; others cost nothing
	Beyond int64            // that may be overdrawn, of each tenant
	Found  []string

	tenants map[string]*creditOf
}

type creditOf struct {
	pays   []creditPay
	served []creditPay // costs, by when they were answered
	Asked  int
	Turned int
}

type creditPay struct {
	at     float64
	amount int64
}

func (c *Credit) tenant(name string) *creditOf {
	if c.tenants == nil {
		c.tenants = map[string]*creditOf{}
	}
	if c.tenants[name] == nil {
		c.tenants[name] = &creditOf{}
	}
	return c.tenants[name]
}

// Pays tells of a payment, as of when the first pooler may have read it.
func (c *Credit) Pays(at float64, tenant string, amount int64) {
	t := c.tenant(tenant)
	t.pays = append(t.pays, creditPay{at, amount})
}

// Tried tells how a client's try ended. One that failed may have run, and is not held against anybody.
func (c *Credit) Tried(at float64, tenant, class string, served, refused bool) {
	t := c.tenant(tenant)
	if t.Asked++; refused {
		t.Turned++
	}
	if price := c.Prices[class]; served && price > 0 {
		t.served = append(t.served, creditPay{at, price})
	}
}

// End holds all of it together: at no time was more served than had been paid by then.
func (c *Credit) End() {
	for _, name := range slices.Sorted(maps.Keys(c.tenants)) {
		t := c.tenants[name]
		if len(t.pays) == 0 {
			continue
		}
		byTime := func(a, b creditPay) int { return int(max(-1, min(1, a.at-b.at))) }
		slices.SortStableFunc(t.pays, byTime)
		slices.SortStableFunc(t.served, byTime)
		paid, spent, next := c.Beyond, int64(0), 0
		for _, x := range t.served {
			for ; next < len(t.pays) && t.pays[next].at <= x.at; next++ {
				paid += t.pays[next].amount
			}
			if spent += x.amount; spent > paid {
				c.Found = append(c.Found, fmt.Sprintf("tenant %q: %d are served by %.0f ms, of %d paid", name, spent, x.at, paid))
				break
			}
		}
	}
}

// Served is what a tenant's answers cost, up to a time, and since when after that the next one came; 0 for never.
func (c *Credit) Served(tenant string, by float64) (cost int64, next float64) {
	for _, x := range c.tenant(tenant).served {
		if x.at <= by {
			cost += x.amount
		} else if next == 0 || x.at < next {
			next = x.at
		}
	}
	return cost, next
}

// Counts are how many tries a tenant made, and how many were refused.
func (c *Credit) Counts(tenant string) (asked, turned int) {
	t := c.tenant(tenant)
	return t.Asked, t.Turned
}

// CreditKept is the rule that Credit holds tenants to.
const CreditKept Rule = "no tenant is served beyond what was paid by then"

// Verdict adds what was checked and found.
func (c *Credit) Verdict(at float64, v *Verdict) {
	for _, t := range c.tenants {
		v.Checked[CreditKept] += uint64(len(t.served))
	}
	for _, text := range c.Found {
		v.Broken[CreditKept]++
		v.Breaches = append(v.Breaches, Breach{Rule: CreditKept, At: at, Server: -1, Text: text})
	}
}
