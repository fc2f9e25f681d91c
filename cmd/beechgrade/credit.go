package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"
	"golang.org/x/sys/unix"

	"beechgrade/internal/cluster/credit"
	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/settings"
	"beechgrade/internal/storage/store"
)

// creditGate connects prepaid credit to the core, the replicated log and the lease files. It implements core.CreditGate, and the interfaces
// through which package credit uses the log and the files and reports to an observer.
type creditGate struct {
	pooler   *pooler
	set      settings.Credit
	credit   *credit.Credit
	classes  map[string]int
	holder   ledger.Holder
	writes   chan leaseMarks
	done     chan struct{}
	locks    map[ledger.Holder]*os.File // locked lock files: this process's, and those taken over from ended processes
	consumed int64
	refused  uint64
	waited   uint64
}

// leaseMarks are the high-water marks of this process's leases, in one version to save.
type leaseMarks struct {
	number uint64
	list   []lease.HighWaterMark
}

// openCredit opens prepaid credit, where the settings enable it. The returned function closes it.
func (p *pooler) openCredit(set settings.Credit) (stop func(), err error) {
	if !set.Enabled {
		return func() {}, nil
	}
	g := &creditGate{
		pooler: p,
		set:    set,
		holder: rand.Uint64() | 1,
		writes: make(chan leaseMarks, 1),
		done:   make(chan struct{}),
		locks:  map[ledger.Holder]*os.File{},
	}
	var ended []ledger.Holder
	if set.Dir != "" {
		if ended, err = g.lockHolderFiles(); err != nil {
			return nil, badInput{fmt.Errorf("credit: lock files: %w", err)}
		}
	}
	go g.saveMarks()
	s := g.settings()
	g.credit = credit.New(s, p.peers, g, g, g)
	g.recoverEnded(ended)
	p.peers.Register(g.credit)
	if g.credit.Ledger() != nil {
		p.raftLog.users.Add(raftlog.CreditEntries, g.credit)
	}
	p.raftLog.observers = append(p.raftLog.observers, func(a *raftlog.Action) {
		switch a.Kind {
		case raftlog.BecameLeader:
			g.credit.SetLeader(p.cfg.Name)
		case raftlog.LeaderChanged:
			g.credit.SetLeader(a.Leader)
		case raftlog.Stopped:
			g.credit.SetLeader("")
		}
	})
	p.core.SetCredit(g)
	p.credit = g
	if set.Dir != "" {
		p.loop.Post(func() { p.loop.Every("credit_ended_processes", endedProcessesIntervalMs, g.findEndedProcesses) })
	}
	return func() {
		close(g.writes)
		<-g.done
	}, nil
}

func (g *creditGate) settings() credit.Settings {
	cfg := g.pooler.cfg
	g.classes = map[string]int{}
	for i, n := range cfg.Classes {
		if !cfg.Retired(i) {
			g.classes[n] = i
		}
	}
	s := g.set.SettingsFor(cfg.Classes, func(i int) float64 { return cfg.Settings.Classes[i].PriorityWeight })
	s.Voters, s.Name, s.Holder = g.pooler.raftLog.set.Settings.Voters, cfg.Name, g.holder
	s.Lease.Checks = g.pooler.checks
	return s
}

// reload applies new prices and payments.
func (g *creditGate) reload(set settings.Credit) {
	if !set.Enabled || set.Dir != g.set.Dir {
		g.pooler.log.Warn("settings cannot be changed while serving; the previous ones apply until a restart", "settings", []string{"credit"})
		set.Enabled, set.Dir = true, g.set.Dir
		if len(set.Prices) == 0 {
			return
		}
	}
	g.set = set
	g.credit.UpdateSettings(g.settings())
	g.pooler.log.Info("credit: settings reloaded", "prices", len(set.Prices), "payments", len(set.Payments))
}

// Hold reserves credit for a request, or returns why it has to wait or is rejected.
func (g *creditGate) Hold(tenant, class, session string, tag uint64) (lease.Reservation, lease.Decision) {
	i, ok := g.classes[class]
	if !ok {
		return lease.Reservation{}, lease.Admitted
	}
	reservation, decision := g.credit.Reserve(lease.AdmissionRequest{Tenant: tenant, Class: i, Session: lease.SessionNumber(session), Parts: 1, Tag: tag})
	switch decision {
	case lease.Queued:
		g.waited++
	case lease.Throttled, lease.Exhausted:
		g.refused++
	}
	return reservation, decision
}

// Settle charges a request that has ended.
func (g *creditGate) Settle(r *lease.Reservation, u lease.Usage) { g.consumed += g.credit.Settle(r, u) }

// Cancel removes a request that waits for credit.
func (g *creditGate) Cancel(tenant string, tag uint64) { g.credit.Cancel(tenant, tag) }

// Admit admits a request that waited for credit.
func (g *creditGate) Admit(tag uint64, r lease.Reservation) { g.pooler.core.Funded(tag, r) }

// Reject rejects a request that waited for credit.
func (g *creditGate) Reject(tag uint64) {
	g.refused++
	g.pooler.core.Unfunded(tag)
}

// Propose proposes an entry to the replicated log. A proposal may be lost: poolers repeat their requests.
func (g *creditGate) Propose(entry []byte) {
	g.pooler.raftLog.adapter.Propose(0, append([]byte{raftlog.CreditEntries}, entry...))
}

// Write saves the lease marks. It replaces marks that still wait to be saved, as each list is complete.
func (g *creditGate) Write(number uint64, list []lease.HighWaterMark) {
	select {
	case <-g.writes:
	default:
	}
	g.writes <- leaseMarks{number, list}
}

const (
	marksRetryInterval       = time.Second // after marks could not be saved
	endedProcessesIntervalMs = 3000        // between searches for files of ended processes
	marksSuffix              = ".marks"
	lockSuffix               = ".lock"
	newLockSuffix            = ".new" // of a lock file before it is locked
)

func (g *creditGate) file(h ledger.Holder, suffix string) string {
	return filepath.Join(g.set.Dir, fmt.Sprintf("credit-%016x%s", h, suffix))
}

// saveMarks saves lease marks, off the loop. Credit is used only up to marks that are durable.
func (g *creditGate) saveMarks() {
	defer close(g.done)
	for m := range g.writes {
		b, err := jsoniter.Marshal(m.list)
		for err == nil {
			if err = store.Replace(store.Dir(g.set.Dir), filepath.Base(g.file(g.holder, marksSuffix)), b); err == nil {
				break
			}
			g.pooler.log.Error("credit: lease marks cannot be saved and are retried; requests of prepaid tenants wait", "err", err)
			select {
			case next, ok := <-g.writes:
				if !ok {
					return
				}
				m = next
			case <-time.After(marksRetryInterval):
			}
			b, err = jsoniter.Marshal(m.list)
		}
		number := m.number
		g.pooler.loop.Post(func() { g.credit.MarksPersisted(number) })
	}
}

// lockHolderFiles locks this process's lock file, and returns the holders whose processes have ended. Their lock files exist, but were not locked.
func (g *creditGate) lockHolderFiles() (ended []ledger.Holder, err error) {
	if err := os.MkdirAll(g.set.Dir, 0o700); err != nil {
		return nil, err
	}
	list, err := os.ReadDir(g.set.Dir)
	if err != nil {
		return nil, err
	}
	for _, f := range list {
		text, found := strings.CutSuffix(f.Name(), lockSuffix)
		h, e := strconv.ParseUint(strings.TrimPrefix(text, "credit-"), 16, 64)
		if g.locks[h] == nil && found && e == nil && g.lockFile(h, g.file(h, lockSuffix)) == nil {
			ended = append(ended, h)
		}
	}
	if g.locks[g.holder] != nil {
		return ended, nil
	}
	// The file is locked before it gets the name for which other processes search: they would take an unlocked file of that name for an ended
	// process's, and lock it.
	newPath := g.file(g.holder, newLockSuffix)
	if err := g.lockFile(g.holder, newPath); err != nil {
		return nil, err
	}
	if err := os.Rename(newPath, g.file(g.holder, lockSuffix)); err != nil {
		return nil, err
	}
	return ended, nil
}

// lockFile locks a holder's lock file. It fails where another process holds the lock.
func (g *creditGate) lockFile(h ledger.Holder, path string) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return fmt.Errorf("lock %s: %w", path, err)
	}
	g.locks[h] = f
	return nil
}

func (g *creditGate) recoverEnded(ended []ledger.Holder) {
	if len(ended) > 0 {
		g.pooler.log.Info("credit: recovering the leases of ended processes", "processes", len(ended))
		g.credit.Recover(ended)
	}
}

// findEndedProcesses recovers the leases of processes that have ended since the last search.
func (g *creditGate) findEndedProcesses() {
	if ended, err := g.lockHolderFiles(); err != nil {
		g.pooler.log.Warn("credit: search for lock files of ended processes failed, will be retried", "err", err)
	} else {
		g.recoverEnded(ended)
	}
}

// Read reads the marks of an ended process, and passes them to do on the loop.
func (g *creditGate) Read(h ledger.Holder, do func([]lease.HighWaterMark)) {
	path := g.file(h, marksSuffix)
	go func() {
		b, err := os.ReadFile(path)
		var list []lease.HighWaterMark
		if err == nil {
			err = jsoniter.Unmarshal(b, &list)
		}
		if err != nil && !os.IsNotExist(err) { // credit counts as used unless it is known to be unused
			g.pooler.log.Error("credit: lease marks of an ended process cannot be read; its leases count as spent", "err", err)
			return
		}
		g.pooler.loop.Post(func() { do(list) })
	}()
}

// Erase removes the files of an ended process, once its leases are settled.
func (g *creditGate) Erase(h ledger.Holder) {
	g.pooler.log.Info("credit: the leases of an ended process are settled", "process", fmt.Sprintf("%016x", h))
	f := g.locks[h]
	delete(g.locks, h)
	go func() {
		_ = os.Remove(g.file(h, marksSuffix))
		_ = os.Remove(g.file(h, lockSuffix))
		if f != nil {
			_ = f.Close()
		}
	}()
}

// close sends the last settlement claims, and logs the state of the ledger.
func (g *creditGate) close() {
	g.credit.Close()
	if b := g.credit.Ledger(); b != nil {
		for _, n := range b.Tenants() {
			t := b.Tenant(n)
			g.pooler.log.Info("credit: ledger account at shutdown",
				"tenant", n,
				"paid", t.Paid,
				"balance", t.Balance,
				"lent", t.Lent,
				"stranded", t.Stranded,
				"spent", t.Spent)
		}
	}
	g.pooler.log.Info("credit: totals of this process at shutdown", "spent", g.consumed, "refused", g.refused, "waited", g.waited)
}

// writeCreditMetrics writes the metrics of prepaid credit, where it is enabled.
func (p *pooler) writeCreditMetrics(s *exposition.Snapshot) {
	if p.credit == nil {
		return
	}
	g, scope := p.credit, s.Scope("credit")
	free, reserved := int64(0), int64(0)
	for _, a := range g.credit.Statuses() {
		free, reserved = free+a.Free, reserved+a.Reserved
	}
	scope.IntGauge("spent", g.consumed)
	scope.IntGauge("free", free)
	scope.IntGauge("held", reserved)
	scope.Counter("refused", g.refused)
	scope.Counter("waited", g.waited)
	if b := g.credit.Ledger(); b != nil {
		var paid, balance, lent, stranded, spent int64
		for _, n := range b.Tenants() {
			t := b.Tenant(n)
			paid, balance, lent, stranded, spent = paid+t.Paid, balance+t.Balance, lent+t.Lent, stranded+t.Stranded, spent+t.Spent
		}
		tenants, accounts := b.Size()
		ledgerScope := s.Scope("credit.books")
		ledgerScope.IntGauge("paid", paid)
		ledgerScope.IntGauge("balance", balance)
		ledgerScope.IntGauge("lent", lent)
		ledgerScope.IntGauge("stranded", stranded)
		ledgerScope.IntGauge("spent", spent)
		ledgerScope.IntGauge("tenants", int64(tenants))
		ledgerScope.IntGauge("accounts", int64(accounts))
	}
}
