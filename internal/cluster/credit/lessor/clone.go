package lessor

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"beechgrade/internal/cluster/credit/ledger"
)

// Clone makes another like it, with books of its own.
func (b *Bank) Clone() *Bank {
	c := *b
	c.out = nil
	c.books = b.books.Clone()
	c.asks, c.pays, c.queue, c.ended = slices.Clone(b.asks), slices.Clone(b.pays), slices.Clone(b.queue), slices.Clone(b.ended)
	c.flight, c.byKey = slices.Clone(b.flight), maps.Clone(b.byKey)
	c.demand, c.called = map[string][]told{}, maps.Clone(b.called)
	for k, l := range b.demand {
		c.demand[k] = slices.Clone(l)
	}
	return &c
}

// Books are those that it has.
func (b *Bank) Books() *ledger.Ledger { return b.books }

// Leads tells whether it was told that it leads.
func (b *Bank) Leads() bool { return b.leads }

// Key is the same for banks that do the same from now on.
func (b *Bank) Key() string {
	var s strings.Builder
	ago := func(at float64) float64 { return float64(int64((b.now-at)*1000)) / 1000 }
	fmt.Fprint(&s, b.leads, len(b.flight), ago(max(b.sentAt, b.now-10*b.set.Again)), "|")
	for _, p := range b.asks {
		fmt.Fprint(&s, p.Ask, ago(p.since))
	}
	for _, d := range b.queue {
		if b.current(d) {
			fmt.Fprint(&s, d.key, d.seq, ago(d.at))
		}
	}
	for _, d := range b.ended {
		fmt.Fprint(&s, "e", d.key)
	}
	for _, name := range slices.Sorted(maps.Keys(b.demand)) {
		for _, x := range b.demand[name] {
			fmt.Fprint(&s, name, x.who, x.rate, ago(x.at))
		}
	}
	s.Write(b.books.Snapshot())
	fmt.Fprint(&s, len(b.pays), len(b.called))
	return s.String()
}
