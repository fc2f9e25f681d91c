package lessor

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"beechgrade/internal/cluster/credit/ledger"
)

// Clone makes another like it, with books of its own.
func (b *Lessor) Clone() *Lessor {
	c := *b
	c.actions = nil
	c.ledger = b.ledger.Clone()
	c.requests, c.payments, c.activeAccounts, c.expiredAccounts = slices.Clone(b.requests), slices.Clone(b.payments), slices.Clone(b.activeAccounts), slices.Clone(b.expiredAccounts)
	c.inFlight, c.requestIndex = slices.Clone(b.inFlight), maps.Clone(b.requestIndex)
	c.demand, c.recalledAt = map[string][]spendReport{}, maps.Clone(b.recalledAt)
	for k, l := range b.demand {
		c.demand[k] = slices.Clone(l)
	}
	return &c
}

// Ledger are those that it has.
func (b *Lessor) Ledger() *ledger.Ledger { return b.ledger }

// IsLeader tells whether it was told that it leads.
func (b *Lessor) IsLeader() bool { return b.isLeader }

// Key is the same for banks that do the same from now on.
func (b *Lessor) Key() string {
	var s strings.Builder
	ago := func(at float64) float64 { return float64(int64((b.now-at)*1000)) / 1000 }
	fmt.Fprint(&s, b.isLeader, len(b.inFlight), ago(max(b.proposedAt, b.now-10*b.settings.ProposalTimeout)), "|")
	for _, p := range b.requests {
		fmt.Fprint(&s, p.Request, ago(p.receivedAt))
	}
	for _, d := range b.activeAccounts {
		if b.isCurrent(d) {
			fmt.Fprint(&s, d.key, d.sequence, ago(d.appliedAt))
		}
	}
	for _, d := range b.expiredAccounts {
		fmt.Fprint(&s, "e", d.key)
	}
	for _, name := range slices.Sorted(maps.Keys(b.demand)) {
		for _, x := range b.demand[name] {
			fmt.Fprint(&s, name, x.holder, x.rate, ago(x.reportedAt))
		}
	}
	s.Write(b.ledger.Snapshot())
	fmt.Fprint(&s, len(b.payments), len(b.recalledAt))
	return s.String()
}
