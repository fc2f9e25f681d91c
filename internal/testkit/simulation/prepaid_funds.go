package simulation

import (
	"slices"

	"beechgrade/internal/cluster/credit/lessor"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/scenario"
)

// prepaidFunds runs prepaid credit for a scenario, and passes the tenants' payments and served requests to the checker.
type prepaidFunds struct {
	*Prepaid
	sim          *Simulation
	check        *checker.CreditChecker
	paid         map[string]int64
	paymentsRead map[int][]lessor.Payment // by pooler: payments that it has read since the start
	known        map[lessor.Payment]bool
}

// Account is a tenant's account: what was paid and served as observed at clients, and the balance in the ledger at the end.
type Account struct {
	Tenant     string `json:"tenant"`
	Paid       int64  `json:"paid"`
	ServedCost int64  `json:"served_for"`
	Attempts   int    `json:"tries"`
	Rejected   int    `json:"refused"`
	Balance    int64  `json:"balance"`
	Lent       int64  `json:"lent"`
	Spent      int64  `json:"spent"`
	Stranded   int64  `json:"stranded"`
}

const maxMarkWriteMs = 2 // longest time of a durable write of marks

func (sim *Simulation) newFunds() *prepaidFunds {
	s := sim.script
	log := &SharedLog{Settings: s.RaftLog.Settings, Voters: s.RaftLog.Voters, Seed: sim.options.Seed, DiskWriteMs: s.RaftLog.Disk}
	f := &prepaidFunds{
		sim:          sim,
		Prepaid:      &Prepaid{Log: log, Settings: s.Credit.Credit, MarkWriteMs: [2]float64{0.1, maxMarkWriteMs}},
		check:        &checker.CreditChecker{Prices: map[string]int64{}},
		paid:         map[string]int64{},
		paymentsRead: map[int][]lessor.Payment{},
		known:        map[lessor.Payment]bool{},
	}
	f.Settings.Dir = "marks" // any folder, so that marks are stored
	for _, p := range s.Credit.Prices {
		f.check.Prices[p.Class] = p.PerRequest
	}
	for _, d := range s.Credit.Overdrafts {
		f.check.Overdraft += d.Amount
	}
	for _, p := range s.Credit.Payments {
		f.paymentRead(startTimeMs, p)
	}
	f.LaterPayments = func(no int) []lessor.Payment { return f.paymentsRead[no] }
	return f
}

// paymentRead passes a payment to the checker when the first pooler reads it.
func (f *prepaidFunds) paymentRead(at float64, p lessor.Payment) {
	if !f.known[p] {
		f.known[p] = true
		f.paid[p.Tenant] += p.Amount
		f.check.Paid(at, p.Tenant, p.Amount)
	}
}

// pay makes the affected poolers read a payment.
func (f *prepaidFunds) pay(x *scenario.Fault) {
	p := lessor.Payment{Tenant: x.Target.Name, Number: uint64(x.Number), Amount: int64(x.Value)}
	f.paymentRead(f.sim.sched.now, p)
	for _, no := range x.AffectedPoolers(f.sim.script) {
		if slices.Contains(f.paymentsRead[no], p) {
			continue
		}
		f.paymentsRead[no] = append(f.paymentsRead[no], p)
		if y := f.running[no]; y != nil && f.sim.poolers[no].up {
			f.sim.poolers[no].whenRunning(f.sim.poolers[no].incarnation, y.reload)
		}
	}
}

// attemptEnded passes the end of a client's attempt to the checker.
func (f *prepaidFunds) attemptEnded(t *clients.Attempt) {
	f.check.AttemptEnded(t.Ended, f.sim.script.Clients.TenantOf(t.Request), t.Class.Name, t.Kind == clients.Served, t.Kind == clients.Refused)
}

// pageServed passes a served page to the checker: the read of each shard costs as much as a request of the page's class.
func (f *prepaidFunds) pageServed(at float64, shards int) {
	for range shards {
		f.check.AttemptEnded(at, f.sim.script.Pages.Tenant, f.sim.script.Pages.Class, true, false)
	}
}

// result returns the account of each tenant, and adds the checker's findings to v.
func (f *prepaidFunds) result(v *checker.Verdict) (out []Account) {
	f.check.CheckFinal()
	f.check.Verdict(f.sim.sched.now, v)
	var latest *creditClient // of the running voter whose ledger is most recent: the one with the most spent
	mostSpent := int64(-1)
	for no := range f.Log.Voters {
		c, spent := f.running[no], int64(0)
		if c == nil || !f.sim.poolers[no].up {
			continue
		}
		for _, name := range c.credit.Ledger().Tenants() {
			spent += c.credit.Ledger().Tenant(name).Spent
		}
		if spent > mostSpent {
			latest, mostSpent = c, spent
		}
	}
	for i := range f.sim.script.Clients.Tenants {
		name := f.sim.script.Clients.Tenants[i].Name
		x := Account{Tenant: name, Paid: f.paid[name]}
		x.ServedCost, _ = f.check.ServedCost(name, f.sim.sched.now)
		x.Attempts, x.Rejected = f.check.AttemptCounts(name)
		if latest != nil {
			b := latest.credit.Ledger().Tenant(name)
			x.Balance, x.Lent, x.Spent, x.Stranded = b.Balance, b.Lent, b.Spent, b.Stranded
		}
		out = append(out, x)
	}
	return out
}
