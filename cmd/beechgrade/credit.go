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

// creditGate joins prepaid credit to the core, the replicated log and the lease files. It implements core.CreditGate, and the interfaces that
// package credit needs of a log, of files and of an observer.
type creditGate struct {
	pooler   *pooler
	set      settings.Credit
	credit   *credit.Credit
	classes  map[string]int
	holder   ledger.Holder
	writes   chan leaseMarks
	done     chan struct{}
	locks    map[ledger.Holder]*os.File // of this process's lease marks, and of those inherited from ended processes
	consumed int64
	refused  uint64
	waited   uint64
}

type leaseMarks struct {
	number uint64
	list   []lease.HighWaterMark
}

// openCredit opens prepaid credit, where the settings enable it. The returned function closes it.
func (p *pooler) openCredit(set settings.Credit) (stop func(), err error) {
	if !set.Enabled {
		return func() {}, nil
	}
	x := &creditGate{
		pooler: p,
		set:    set,
		holder: rand.Uint64() | 1,
		writes: make(chan leaseMarks, 1),
		done:   make(chan struct{}),
		locks:  map[ledger.Holder]*os.File{},
	}
	var gone []ledger.Holder
	if set.Dir != "" {
		if gone, err = x.lockHolderFiles(); err != nil {
			return nil, badInput{fmt.Errorf("credit: files: %w", err)}
		}
	}
	go x.saveMarks()
	s := x.settings()
	x.credit = credit.New(s, p.peers, x, x, x)
	x.recoverEnded(gone)
	p.peers.Register(x.credit)
	if x.credit.Ledger() != nil {
		p.raftLog.users.Add(raftlog.CreditEntries, x.credit)
	}
	p.raftLog.observers = append(p.raftLog.observers, func(a *raftlog.Action) {
		switch a.Kind {
		case raftlog.BecameLeader:
			x.credit.SetLeader(p.cfg.Name)
		case raftlog.LeaderChanged:
			x.credit.SetLeader(a.Leader)
		case raftlog.Stopped:
			x.credit.SetLeader("")
		}
	})
	p.core.SetCredit(x)
	p.credit = x
	if set.Dir != "" {
		p.loop.Post(func() { p.loop.At(p.loop.Now()+endedProcessesIntervalMs, x.findEndedProcesses) })
	}
	return func() {
		close(x.writes)
		<-x.done
	}, nil
}

func (x *creditGate) settings() credit.Settings {
	cfg := x.pooler.cfg
	x.classes = map[string]int{}
	for i, n := range cfg.Classes {
		if !cfg.Retired(i) {
			x.classes[n] = i
		}
	}
	s := x.set.SettingsFor(cfg.Classes, func(i int) float64 { return cfg.Settings.Classes[i].PriorityWeight })
	s.Voters, s.Name, s.Holder = x.pooler.raftLog.set.Settings.Voters, cfg.Name, x.holder
	s.Lease.Checks = x.pooler.checks
	return s
}

// reload applies new prices and payments.
func (x *creditGate) reload(set settings.Credit) {
	if !set.Enabled || set.Dir != x.set.Dir {
		x.pooler.log.Warn("cannot change while serving, needs a restart", "kept", []string{"credit"})
		set.Enabled, set.Dir = true, x.set.Dir
		if len(set.Prices) == 0 {
			return
		}
	}
	x.set = set
	x.credit.UpdateSettings(x.settings())
	x.pooler.log.Info("credit read again", "prices", len(set.Prices), "payments", len(set.Payments))
}

// Hold reserves credit for a request, or returns why it has to wait or is rejected.
func (x *creditGate) Hold(tenant, class, session string, tag uint64) (lease.Reservation, lease.Decision) {
	i, ok := x.classes[class]
	if !ok {
		return lease.Reservation{}, lease.Admitted
	}
	h, v := x.credit.Reserve(lease.AdmissionRequest{Tenant: tenant, Class: i, Session: lease.SessionNumber(session), Parts: 1, Tag: tag})
	switch v {
	case lease.Queued:
		x.waited++
	case lease.Throttled, lease.Exhausted:
		x.refused++
	}
	return h, v
}

// Settle charges a request that has ended.
func (x *creditGate) Settle(h *lease.Reservation, d lease.Usage) { x.consumed += x.credit.Settle(h, d) }

// Cancel ends the wait of a request for credit.
func (x *creditGate) Cancel(tenant string, tag uint64) { x.credit.Cancel(tenant, tag) }

// Admit lets in a request that waited for credit.
func (x *creditGate) Admit(tag uint64, h lease.Reservation) { x.pooler.core.Funded(tag, h) }

// Reject rejects a request that waited for credit.
func (x *creditGate) Reject(tag uint64) {
	x.refused++
	x.pooler.core.Unfunded(tag)
}

// Propose proposes an entry to the replicated log. A proposal may be lost: poolers repeat their requests.
func (x *creditGate) Propose(entry []byte) {
	x.pooler.raftLog.adapter.Propose(0, append([]byte{raftlog.CreditEntries}, entry...))
}

// Write saves the lease marks. Marks that wait to be saved are replaced: the newest are complete.
func (x *creditGate) Write(no uint64, list []lease.HighWaterMark) {
	select {
	case <-x.writes:
	default:
	}
	x.writes <- leaseMarks{no, list}
}

const (
	marksRetryInterval       = time.Second // after a failed write of marks
	endedProcessesIntervalMs = 3000        // between two searches for files of ended processes
	marksSuffix              = ".marks"
	lockSuffix               = ".lock"
	newLockSuffix            = ".new" // of a lock file before it is locked
)

func (x *creditGate) file(h ledger.Holder, end string) string {
	return filepath.Join(x.set.Dir, fmt.Sprintf("credit-%016x%s", h, end))
}

// saveMarks writes marks, off the loop. They are durable before credit is used by them.
func (x *creditGate) saveMarks() {
	defer close(x.done)
	for m := range x.writes {
		b, err := jsoniter.Marshal(m.list)
		for err == nil {
			if err = store.Replace(store.Dir(x.set.Dir), filepath.Base(x.file(x.holder, marksSuffix)), b); err == nil {
				break
			}
			x.pooler.log.Error("credit: marks cannot be written; prepaid tenants wait", "err", err)
			select {
			case next, ok := <-x.writes:
				if !ok {
					return
				}
				m = next
			case <-time.After(marksRetryInterval):
			}
			b, err = jsoniter.Marshal(m.list)
		}
		no := m.number
		x.pooler.loop.Post(func() { x.credit.MarksPersisted(no) })
	}
}

// lockHolderFiles locks this process's file, and returns the holders whose processes have ended: their files are not locked.
func (x *creditGate) lockHolderFiles() (gone []ledger.Holder, err error) {
	if err := os.MkdirAll(x.set.Dir, 0o700); err != nil {
		return nil, err
	}
	list, err := os.ReadDir(x.set.Dir)
	if err != nil {
		return nil, err
	}
	for _, f := range list {
		text, found := strings.CutSuffix(f.Name(), lockSuffix)
		h, e := strconv.ParseUint(strings.TrimPrefix(text, "credit-"), 16, 64)
		if x.locks[h] == nil && found && e == nil && x.lockFile(h, x.file(h, lockSuffix)) == nil {
			gone = append(gone, h)
		}
	}
	if x.locks[x.holder] != nil {
		return gone, nil
	}
	// The file is locked before it is renamed to the name by which others search: a file of that name without a lock would count as
	// that of an ended process, and the other process would take the lock.
	unnamed := x.file(x.holder, newLockSuffix)
	if err := x.lockFile(x.holder, unnamed); err != nil {
		return nil, err
	}
	if err := os.Rename(unnamed, x.file(x.holder, lockSuffix)); err != nil {
		return nil, err
	}
	return gone, nil
}

// lockFile locks a holder's file; it fails where another process holds the lock.
func (x *creditGate) lockFile(h ledger.Holder, path string) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return fmt.Errorf("lock %s: %w", path, err)
	}
	x.locks[h] = f
	return nil
}

func (x *creditGate) recoverEnded(gone []ledger.Holder) {
	if len(gone) > 0 {
		x.pooler.log.Info("credit: found what processes that are no more left", "processes", len(gone))
		x.credit.Recover(gone)
	}
}

// findEndedProcesses inherits the leases of processes that have ended since the last search.
func (x *creditGate) findEndedProcesses() {
	if gone, err := x.lockHolderFiles(); err != nil {
		x.pooler.log.Warn("credit: files", "err", err)
	} else {
		x.recoverEnded(gone)
	}
	x.pooler.loop.At(x.pooler.loop.Now()+endedProcessesIntervalMs, x.findEndedProcesses)
}

// Read reads the marks of an ended process, and passes them to do on the loop.
func (x *creditGate) Read(h ledger.Holder, do func([]lease.HighWaterMark)) {
	path := x.file(h, marksSuffix)
	go func() {
		b, err := os.ReadFile(path)
		var list []lease.HighWaterMark
		if err == nil {
			err = jsoniter.Unmarshal(b, &list)
		}
		if err != nil && !os.IsNotExist(err) { // credit that is not known to be unused counts as used
			x.pooler.log.Error("credit: marks of a process that is no more cannot be read; what it held counts as spent", "err", err)
			return
		}
		x.pooler.loop.Post(func() { do(list) })
	}()
}

// Erase removes the files of an ended process, once its leases are settled.
func (x *creditGate) Erase(h ledger.Holder) {
	x.pooler.log.Info("credit: settled what a process that is no more left", "process", fmt.Sprintf("%016x", h))
	f := x.locks[h]
	delete(x.locks, h)
	go func() {
		_ = os.Remove(x.file(h, marksSuffix))
		_ = os.Remove(x.file(h, lockSuffix))
		if f != nil {
			_ = f.Close()
		}
	}()
}

// close sends the last settlement claims, and logs the state of the ledger.
func (x *creditGate) close() {
	x.credit.Close()
	if b := x.credit.Ledger(); b != nil {
		for _, n := range b.Tenants() {
			t := b.Tenant(n)
			x.pooler.log.Info("credit: books",
				"tenant", n,
				"paid", t.Paid,
				"balance", t.Balance,
				"lent", t.Lent,
				"stranded", t.Stranded,
				"spent", t.Spent)
		}
	}
	x.pooler.log.Info("credit: ends", "spent", x.consumed, "refused", x.refused, "waited", x.waited)
}

// writeCreditMetrics writes the metrics of prepaid credit, where it is enabled.
func (p *pooler) writeCreditMetrics(s *exposition.Snapshot) {
	if p.credit == nil {
		return
	}
	x, all := p.credit, s.Scope("credit")
	free, held := int64(0), int64(0)
	for _, a := range x.credit.Statuses() {
		free, held = free+a.Free, held+a.Reserved
	}
	all.IntGauge("spent", x.consumed)
	all.IntGauge("free", free)
	all.IntGauge("held", held)
	all.Counter("refused", x.refused)
	all.Counter("waited", x.waited)
	if b := x.credit.Ledger(); b != nil {
		var paid, left, lent, stranded, spent int64
		for _, n := range b.Tenants() {
			t := b.Tenant(n)
			paid, left, lent, stranded, spent = paid+t.Paid, left+t.Balance, lent+t.Lent, stranded+t.Stranded, spent+t.Spent
		}
		tenants, accounts := b.Size()
		books := s.Scope("credit.books")
		books.IntGauge("paid", paid)
		books.IntGauge("balance", left)
		books.IntGauge("lent", lent)
		books.IntGauge("stranded", stranded)
		books.IntGauge("spent", spent)
		books.IntGauge("tenants", int64(tenants))
		books.IntGauge("accounts", int64(accounts))
	}
}
