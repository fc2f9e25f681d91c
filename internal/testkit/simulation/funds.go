package simulation

import (
	"slices"

	"beechgrade/internal/cluster/credit/lessor"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/scenario"
)

// funds are what tenants of a scenario pay ahead, and what they are served for it.
type funds struct {
	*Prepaid
	e     *Emulation
	check *checker.CreditChecker
	paid  map[string]int64
	pays  map[int][]lessor.Payment // by pooler: the payments that it has read of since the start
	once  map[lessor.Payment]bool
}

// Funds is what became of a tenant's: as clients saw it, and as the books of the log have it in the end.
type Funds struct {
	Tenant   string `json:"tenant"`
	Paid     int64  `json:"paid"`
	Served   int64  `json:"served_for"`
	Attempts int    `json:"tries"`
	Turned   int    `json:"refused"`
	Balance  int64  `json:"balance"`
	Lent     int64  `json:"lent"`
	Spent    int64  `json:"spent"`
	Stranded int64  `json:"stranded"`
}

const marksMost = 2 // ms that a durable write of marks takes

func (e *Emulation) newFunds() *funds {
	s := e.script
	log := &CommonLog{Settings: s.Agreed.Settings, Voters: s.Agreed.Voters, Seed: e.opt.Seed, DiskMs: s.Agreed.Disk}
	f := &funds{e: e, Prepaid: &Prepaid{Log: log, Set: s.Credit.Credit, Marks: [2]float64{0.1, marksMost}}, check: &checker.CreditChecker{Prices: map[string]int64{}}, paid: map[string]int64{},
		pays: map[int][]lessor.Payment{}, once: map[lessor.Payment]bool{}}
	f.Set.Dir = "marks" // they are kept
	for _, p := range s.Credit.Prices {
		f.check.Prices[p.Class] = p.PerRequest
	}
	for _, d := range s.Credit.Overdrafts {
		f.check.Overdraft += d.Amount
	}
	for _, p := range s.Credit.Payments {
		f.took(startMs, p)
	}
	f.Later = func(no int) []lessor.Payment { return f.pays[no] }
	return f
}

// took tells the checker of a payment, as of when the first pooler reads of it.
func (f *funds) took(at float64, p lessor.Payment) {
	if !f.once[p] {
		f.once[p] = true
		f.paid[p.Tenant] += p.Amount
		f.check.Paid(at, p.Tenant, p.Amount)
	}
}

// pay has poolers read of a payment.
func (f *funds) pay(x *scenario.Fault) {
	p := lessor.Payment{Tenant: x.Target.Word, Number: uint64(x.Number), Amount: int64(x.Value)}
	f.took(f.e.s.now, p)
	for _, no := range x.Struck(f.e.script) {
		if slices.Contains(f.pays[no], p) {
			continue
		}
		f.pays[no] = append(f.pays[no], p)
		if y := f.now[no]; y != nil && f.e.poolers[no].up {
			f.e.poolers[no].whenRunning(f.e.poolers[no].life, y.reread)
		}
	}
}

// tried tells how a client's try ended.
func (f *funds) tried(t *clients.Try) {
	f.check.AttemptEnded(t.Ended, f.e.script.Clients.TenantOf(t.Ask), t.Class.Name, t.Kind == clients.Served, t.Kind == clients.Refused)
}

// paged tells of a page that was served: each shard's read costs what one of its class does.
func (f *funds) paged(at float64, shards int) {
	for range shards {
		f.check.AttemptEnded(at, f.e.script.Pages.Tenant, f.e.script.Pages.Class, true, false)
	}
}

// result is what became of each tenant's funds, and what was found.
func (f *funds) result(v *checker.Verdict) (out []Funds) {
	f.check.CheckFinal()
	f.check.Verdict(f.e.s.now, v)
	var books *payer // of the voter that knows most
	most := int64(-1)
	for no := range f.Log.Voters {
		y, spent := f.now[no], int64(0)
		if y == nil || !f.e.poolers[no].up {
			continue
		}
		for _, name := range y.c.Ledger().Tenants() {
			spent += y.c.Ledger().Tenant(name).Spent
		}
		if spent > most {
			books, most = y, spent
		}
	}
	for i := range f.e.script.Clients.Tenants {
		name := f.e.script.Clients.Tenants[i].Name
		x := Funds{Tenant: name, Paid: f.paid[name]}
		x.Served, _ = f.check.ServedCost(name, f.e.s.now)
		x.Attempts, x.Turned = f.check.AttemptCounts(name)
		if books != nil {
			b := books.c.Ledger().Tenant(name)
			x.Balance, x.Lent, x.Spent, x.Stranded = b.Balance, b.Lent, b.Spent, b.Stranded
		}
		out = append(out, x)
	}
	return out
}
