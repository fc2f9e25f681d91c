package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/cluster/credit/lessor"
	"beechgrade/internal/settings"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// randomDeployment returns a scenario with random classes, tenants, prices and groups, drawn from one seed, and random names, drawn from
// another. For 3 of the 7 s the load is about 1.5 times what its servers can serve.
func randomDeployment(t *testing.T, seed, names uint64) *scenario.Script {
	s := parse(t, `(rehearsal "made up" (seconds 7) (poolers 12) (roams 0.6) (retries 2) (retry 20ms 120ms) (tenant "t" (share 1)) (peers) (overload (shed yes)) (agreed (voters 3))
		(credit (lease 3s) (renew 500ms) (price "quadro-obra" (request 1))) (pages (class "conferir-ponto") (rows 40) (page 17) (readers 4) (think 20ms) (changes 30))
		(at 3s (load 2.2) (for 3s)) (at 3500ms (between (part 0 0.4) (part 0.4 1) cut) (for 2s)) (at 4s (kill-pooler 1) (for 1s)) (at 4500ms (kill-pooler 7) (for 1s)) (at 5s (pay "t" 2 1)))`)
	rng, nameRNG := rand.New(rand.NewPCG(seed, 61)), rand.New(rand.NewPCG(names, 62))
	name := func(i int) string { return fmt.Sprintf("%c%x", 'a'+i, nameRNG.Uint64()) }
	between := func(a, b float64) float64 { return a + (b-a)*rng.Float64() }
	c, f := &s.Clients, &s.Fleet
	f.Groups = nil
	for range 2 + rng.IntN(3) {
		f.Groups = append(f.Groups, 1+rng.IntN(3))
	}
	c.Groups, c.Classes, f.Work, f.Keys = len(f.Groups), nil, map[string]model.Range{}, map[string]float64{}
	reads := []clients.Read{clients.ReadSession, clients.Write, clients.ReadBounded, clients.ReadAny}
	shares, work := 0.0, 0.0
	s.Credit.Prices = nil
	for i := range 3 + rng.IntN(4) {
		x := clients.Class{
			Name:      name(i),
			Read:      reads[i%4],
			Share:     between(0.1, 1),
			Aim:       between(300, 700),
			Deadline:  between(900, 3000),
			Worth:     float64(1 + rng.IntN(9)),
			LateWorth: between(0, 0.5),
			Work:      [2]float64{between(5, 30), between(31, 90)},
		}
		if x.Read == clients.ReadBounded {
			x.Bound = between(200, 2000)
		}
		c.Classes = append(c.Classes, x)
		f.Work[x.Name] = x.Work
		shares, work = shares+x.Share, work+x.Share*(x.Work[0]+x.Work[1])/2
		s.Credit.Prices = append(s.Credit.Prices, settings.ClassPrice{Class: x.Name, Price: lease.Price{PerRequest: 1 + rng.Int64N(50)}})
	}
	servers := 0
	for _, n := range f.Groups {
		servers += n
	}
	c.Rate = 0.7 * float64(servers*f.Cores) / (work / shares / 1000) // 0.7 of the servers' capacity
	c.Tenants, s.Credit.Payments, s.Credit.Prepaid = nil, nil, nil
	for i := range 2 + rng.IntN(3) {
		x := clients.Tenant{Name: name(i), Share: between(0.2, 1), Usage: 1}
		c.Tenants = append(c.Tenants, x)
		s.Credit.Payments = append(s.Credit.Payments, lessor.Payment{Tenant: x.Name, Number: 1, Amount: 1e9})
		s.Credit.Prepaid = append(s.Credit.Prepaid, x.Name)
	}
	mean := int64(0)
	for _, p := range s.Credit.Prices {
		mean += p.PerRequest / int64(len(s.Credit.Prices))
	}
	s.Credit.Payments[0].Amount = max(60*mean, int64(c.Rate)*mean/4) // the first tenant runs out of funds during the run
	s.Pages.Class, s.Pages.Tenant = c.Classes[0].Name, c.Tenants[1].Name
	for i := range s.Faults {
		if x := &s.Faults[i]; x.Kind == "pay" {
			x.Target.Name, x.Value = c.Tenants[0].Name, float64(s.Credit.Payments[0].Amount/2)
		}
	}
	return s
}

// TestRandomDeployments: three random deployments handle overload, credit and paged reports without a broken rule, and the names of their
// classes and tenants do not change a single event. Otherwise the code would depend on the classes or names of some deployment.
func TestRandomDeployments(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		s := randomDeployment(t, seed, seed)
		requested, served := 0, 0 // requests, and attempts served, of the tenants whose funds do not run out
		r := runScenario(t, s, Options{Seed: 1, OnAttemptEnded: func(x *clients.Attempt) {
			if x.Tenant == s.Clients.Tenants[0].Name {
				return
			}
			if x.No == 0 {
				requested++
			}
			if x.Kind == clients.Served {
				served++
			}
		}})
		v, f, p := r.Verdict, r.Funds[0], r.Pages
		t.Logf("%d servers in %d groups, %d classes, %d tenants: %d requests, service %.3f; %d of %d requests served of the tenants with enough funds; %+v; %+v", r.Servers, r.Groups, len(r.Score.Classes), len(r.Funds), r.Requests, r.Score.Ratio, served, requested, f, *p)
		if len(v.Breaches) > 0 {
			t.Errorf("deployment %d: broken rules: %v; want none; the first breach: %s", seed, v.Broken, v.Breaches[0].Text)
		}
		if f.ServedCost < f.Paid*8/10 || f.Rejected == 0 || p.Pages < 4 || p.ByPoolers < 4 || served < requested/2 {
			t.Errorf("deployment %d: account %+v, pages %+v, %d of %d other requests served; want at least 0.8 of the funds used, some attempts refused, 4 pages from 4 poolers, and half of the requests served", seed, f, *p, served, requested)
		}
		if again := runScenario(t, randomDeployment(t, seed, seed+100), Options{Seed: 1}); again.Hash != r.Hash {
			t.Errorf("deployment %d: hash %s, and %s with other names; want equal ones", seed, r.Hash, again.Hash)
		}
	}
}
