package lease

import "fmt"

// check makes the statements about all accounts.
func (p *Purse) check() {
	if !p.set.Checks.On() {
		return
	}
	for _, t := range p.list {
		for _, o := range t.pots {
			a := &o.cur
			p.set.Checks.That(a.free() >= 0 && a.held >= 0 && a.spent >= 0, "credit: no more is held and spent than was granted", func() string {
				return fmt.Sprintf("tenant %q, account %d: granted %d, given back %d, spent %d, held %d", t.name, a.gen, a.granted, a.returned, a.spent, a.held)
			})
			p.set.Checks.That(!p.set.Marks || a.spent+a.held <= a.mark, "credit: no more is spent than is marked", func() string {
				return fmt.Sprintf("tenant %q, account %d: spent %d, held %d, marked %d", t.name, a.gen, a.spent, a.held, a.mark)
			})
		}
	}
}

// Standings tell how tenants stand here.
func (p *Purse) Standings() (out []Standing) {
	for _, t := range p.list {
		s := Standing{Tenant: t.name, Left: t.left, Full: t.full, Waiting: len(t.waits), Dry: p.now < t.dry}
		for _, o := range t.pots {
			s.Free += o.cur.free()
			s.Held += o.cur.held
			s.Until = max(s.Until, o.cur.till)
		}
		out = append(out, s)
	}
	return out
}
