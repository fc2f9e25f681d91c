package rehearse

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/scenario"
)

// shared holds the checkers of what the poolers of a scenario share besides their view: credit, and reports that are read page by
// page.
type shared struct {
	run                 *Run
	mu                  sync.Mutex
	credit              *checker.CreditChecker
	pages               *checker.PageChecker
	paymentsSeen        map[string]bool  // payments that some pooler has been given
	servedBeforePayment map[string]int64 // by tenant: cost of the answers before its last payment
	Pages               PageCounts
}

// PageCounts counts pages and reports as their clients saw them.
type PageCounts struct {
	Pages, Reports, Rows, Refused, Failed, Broken int
}

func (r *Run) newShared() *shared {
	s := r.script
	sh := &shared{run: r, paymentsSeen: map[string]bool{}, servedBeforePayment: map[string]int64{}}
	if s.Credit != nil {
		sh.credit = &checker.CreditChecker{Prices: map[string]int64{}}
		for _, p := range s.Credit.Prices {
			sh.credit.Prices[p.Class] = p.PerRequest
		}
		for _, d := range s.Credit.Overdrafts {
			sh.credit.Overdraft += d.Amount
		}
		for _, p := range s.Credit.Payments {
			sh.credit.Paid(0, p.Tenant, p.Amount)
		}
	}
	if s.Pages != nil {
		sh.pages = checker.NewPageChecker(s.Pages.Desc)
	}
	return sh
}

// sharedSettings returns the settings of a pooler for what the poolers share besides their view: overload, the replicated log, credit and
// paged reports.
func (p *pooler) sharedSettings() (string, error) {
	s := p.run.script
	out, err := filepath.Abs(p.run.opt.Out)
	if err != nil {
		return "", err
	}
	price := ""
	if s.Pages != nil {
		price = fmt.Sprintf(" (price %q (request %d))", pagesClass, s.PriceOf(s.Pages.Class))
	}
	p.mu.Lock()
	pays := append([]scenario.Fault(nil), p.payments...)
	p.mu.Unlock()
	text := s.SharedSettings(filepath.Join(out, "disks", p.name), filepath.Join(out, "marks"), pays, price)
	if s.Pages != nil {
		text += p.pagesSettings()
	}
	return text, nil
}

// pay adds a payment to the settings of the affected poolers and has them reload.
func (r *Run) pay(f scenario.Fault) error {
	key := fmt.Sprint(f.Target.Name, f.Number)
	r.shared.mu.Lock()
	if !r.shared.paymentsSeen[key] {
		r.shared.paymentsSeen[key] = true
		r.shared.servedBeforePayment[f.Target.Name], _ = r.shared.credit.ServedCost(f.Target.Name, r.clk.Now())
		r.shared.credit.Paid(r.clk.Now(), f.Target.Name, int64(f.Value))
	}
	r.shared.mu.Unlock()
	for _, no := range f.AffectedPoolers(r.script) {
		p := r.poolers[no]
		p.mu.Lock()
		p.payments = append(p.payments, f)
		cmd := p.cmd
		p.mu.Unlock()
		if err := p.writeSettings(); err != nil {
			return err
		}
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGHUP)
		}
	}
	return nil
}

// attemptEnded passes the end of a client's attempt to the credit checker.
func (sh *shared) attemptEnded(t *clients.Attempt) {
	if sh.credit == nil {
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.credit.AttemptEnded(t.Ended, t.Tenant, t.Class.Name, t.Kind == clients.Served, t.Kind == clients.Refused)
}

// verdict adds the results of the credit and the page checker.
func (sh *shared) verdict(v *checker.Verdict) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.credit != nil {
		sh.credit.CheckFinal()
		sh.credit.Verdict(sh.run.clk.Now(), v)
	}
	if sh.pages != nil {
		sh.pages.Verdict(sh.run.clk.Now(), v)
	}
}

// served returns the cost of the answers of each tenant.
func (sh *shared) served() map[string]int64 {
	if sh.credit == nil {
		return nil
	}
	out := map[string]int64{}
	for i := range sh.run.script.Clients.Tenants {
		name := sh.run.script.Clients.Tenants[i].Name
		out[name], _ = sh.credit.ServedCost(name, sh.run.clk.Now())
	}
	return out
}

// pagesClass is the class of the reports in the settings of the pooling frontend.
const pagesClass = "pages"

// pagesSettings returns the settings of the pooling frontend and of the report.
func (p *pooler) pagesSettings() string {
	pages := p.run.script.Pages
	var shards strings.Builder
	for i := range p.run.script.Fleet.Groups {
		fmt.Fprintf(&shards, " (\"group-%02d\" %d)", i, i) // in the order of the groups
	}
	order := "int8"
	if pages.Desc {
		order += " (desc)"
	}
	return fmt.Sprintf(`(pooling (listen %q) (class "office" (needs primary) (aim 5s) (deadline 60s)) (class %q (needs session) (aim 2s) (deadline 60s))
  (pool (class "office") (reads %q) (connections 8)))
(scatter (read "visits" (class %q) (shards%s) (order ("place" %s)) (own ("id" int8)) (whole) (wait %gms)))
`, p.poolingAddr, pagesClass, pagesClass, pagesClass, shards.String(), order, pages.TimeoutMs)
}
