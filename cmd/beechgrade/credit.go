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

// prepaid is what tenants pay ahead for, as this pooler has it. It is core's Credit, and credit's Log, Files and Events.
type prepaid struct {
	p       *pooler
	set     settings.Credit
	credit  *credit.Credit
	classes map[string]int
	holder  ledger.Holder
	writes  chan marks
	done    chan struct{}
	locks   map[ledger.Holder]*os.File // of this process's marks, and of those that it has taken over
	spent   int64
	refused uint64
	waited  uint64
}

type marks struct {
	no   uint64
	list []lease.Mark
}

// useCredit has tenants pay ahead, where the settings have it on; the function ends it.
func (p *pooler) useCredit(set settings.Credit) (stop func(), err error) {
	if !set.On {
		return func() {}, nil
	}
	x := &prepaid{p: p, set: set, holder: rand.Uint64() | 1, writes: make(chan marks, 1), done: make(chan struct{}), locks: map[ledger.Holder]*os.File{}}
	var gone []ledger.Holder
	if set.Dir != "" {
		if gone, err = x.lock(); err != nil {
			return nil, badInput{fmt.Errorf("credit: files: %w", err)}
		}
	}
	go x.write()
	s := x.settings()
	x.credit = credit.New(s, p.peers, x, x, x)
	x.inherit(gone)
	p.peers.Join(x.credit)
	if x.credit.Books() != nil {
		p.agreed.users.Add(raftlog.OfCredit, x.credit)
	}
	p.agreed.told = append(p.agreed.told, func(a *raftlog.Action) {
		switch a.Kind {
		case raftlog.Leads:
			x.credit.Lead(p.cfg.Name)
		case raftlog.Follows:
			x.credit.Lead(a.Leader)
		case raftlog.Broke:
			x.credit.Lead("")
		}
	})
	p.core.SetCredit(x)
	p.credit = x
	if set.Dir != "" {
		p.loop.Post(func() { p.loop.At(p.loop.Now()+lookMs, x.look) })
	}
	return func() {
		close(x.writes)
		<-x.done
	}, nil
}

func (x *prepaid) settings() credit.Settings {
	cfg := x.p.cfg
	x.classes = map[string]int{}
	for i, n := range cfg.Classes {
		if !cfg.Retired(i) {
			x.classes[n] = i
		}
	}
	s := x.set.For(cfg.Classes, func(i int) float64 { return cfg.Settings.Classes[i].Worth })
	s.Voters, s.Name, s.Holder = x.p.agreed.set.Settings.Voters, cfg.Name, x.holder
	s.Purse.Checks = x.p.checks
	return s
}

// reload takes prices and payments as they are now.
func (x *prepaid) reload(set settings.Credit) {
	if !set.On || set.Dir != x.set.Dir {
		x.p.log.Warn("cannot change while serving, needs a restart", "kept", []string{"credit"})
		set.On, set.Dir = true, x.set.Dir
		if len(set.Prices) == 0 {
			return
		}
	}
	x.set = set
	x.credit.Retune(x.settings())
	x.p.log.Info("credit read again", "prices", len(set.Prices), "payments", len(set.Pays))
}

// Hold is core.Credit's.
func (x *prepaid) Hold(tenant, class, session string, tag uint64) (lease.Hold, lease.Verdict) {
	i, ok := x.classes[class]
	if !ok {
		return lease.Hold{}, lease.Pass
	}
	h, v := x.credit.Hold(tenant, i, lease.Session(session), 1, tag)
	switch v {
	case lease.Wait:
		x.waited++
	case lease.Slow, lease.None:
		x.refused++
	}
	return h, v
}

// Settle is core.Credit's.
func (x *prepaid) Settle(h *lease.Hold, d lease.Done) { x.spent += x.credit.Settle(h, d) }

// Cancel is core.Credit's.
func (x *prepaid) Cancel(tenant string, tag uint64) { x.credit.Cancel(tenant, tag) }

// Admit is credit.Events'.
func (x *prepaid) Admit(tag uint64, h lease.Hold) { x.p.core.Funded(tag, h) }

// Turn is credit.Events'.
func (x *prepaid) Turn(tag uint64) {
	x.refused++
	x.p.core.Unfunded(tag)
}

// Propose is credit.Log's. What is dropped the poolers ask for again.
func (x *prepaid) Propose(entry []byte) {
	x.p.agreed.part.Propose(0, append([]byte{raftlog.OfCredit}, entry...))
}

// Write is credit.Files': the newest marks are all that there are.
func (x *prepaid) Write(no uint64, list []lease.Mark) {
	select {
	case <-x.writes:
	default:
	}
	x.writes <- marks{no, list}
}

const (
	marksAgain = time.Second // after marks could not be written
	lookMs     = 3000        // between two looks for files of processes that are no more
	marksEnd   = ".marks"
	lockEnd    = ".lock"
	newEnd     = ".new" // of a lock file before it is locked
)

func (x *prepaid) file(h ledger.Holder, end string) string {
	return filepath.Join(x.set.Dir, fmt.Sprintf("credit-%016x%s", h, end))
}

// write writes marks, off the loop: whole, and durable before anything is spent by them.
func (x *prepaid) write() {
	defer close(x.done)
	for m := range x.writes {
		b, err := jsoniter.Marshal(m.list)
		for err == nil {
			if err = store.Replace(store.Dir(x.set.Dir), filepath.Base(x.file(x.holder, marksEnd)), b); err == nil {
				break
			}
			x.p.log.Error("credit: marks cannot be written; prepaid tenants wait", "err", err)
			select {
			case next, ok := <-x.writes:
				if !ok {
					return
				}
				m = next
			case <-time.After(marksAgain):
			}
			b, err = jsoniter.Marshal(m.list)
		}
		no := m.no
		x.p.loop.Post(func() { x.credit.Written(no) })
	}
}

// lock takes this process's place among the files, and finds those whose processes are no more: nobody has their locks.
func (x *prepaid) lock() (gone []ledger.Holder, err error) {
	if err := os.MkdirAll(x.set.Dir, 0o700); err != nil {
		return nil, err
	}
	list, err := os.ReadDir(x.set.Dir)
	if err != nil {
		return nil, err
	}
	for _, f := range list {
		text, found := strings.CutSuffix(f.Name(), lockEnd)
		h, e := strconv.ParseUint(strings.TrimPrefix(text, "credit-"), 16, 64)
		if x.locks[h] == nil && found && e == nil && x.lockFile(h, x.file(h, lockEnd)) == nil {
			gone = append(gone, h)
		}
	}
	if x.locks[x.holder] != nil {
		return gone, nil
	}
	// The file is locked before it has the name by which others look for the files of processes that are no more: one that is there
	// and not locked would be taken for such a file, and the lock be theirs.
	unnamed := x.file(x.holder, newEnd)
	if err := x.lockFile(x.holder, unnamed); err != nil {
		return nil, err
	}
	if err := os.Rename(unnamed, x.file(x.holder, lockEnd)); err != nil {
		return nil, err
	}
	return gone, nil
}

// lockFile locks a holder's file at a path, where no other process has it.
func (x *prepaid) lockFile(h ledger.Holder, path string) error {
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

func (x *prepaid) inherit(gone []ledger.Holder) {
	if len(gone) > 0 {
		x.p.log.Info("credit: found what processes that are no more left", "processes", len(gone))
		x.credit.Inherit(gone)
	}
}

// look finds the files of processes that have ended since.
func (x *prepaid) look() {
	if gone, err := x.lock(); err != nil {
		x.p.log.Warn("credit: files", "err", err)
	} else {
		x.inherit(gone)
	}
	x.p.loop.At(x.p.loop.Now()+lookMs, x.look)
}

// Read is credit.Files'.
func (x *prepaid) Read(h ledger.Holder, do func([]lease.Mark)) {
	path := x.file(h, marksEnd)
	go func() {
		b, err := os.ReadFile(path)
		var list []lease.Mark
		if err == nil {
			err = jsoniter.Unmarshal(b, &list)
		}
		if err != nil && !os.IsNotExist(err) { // what is not known to be unspent stays spent
			x.p.log.Error("credit: marks of a process that is no more cannot be read; what it held counts as spent", "err", err)
			return
		}
		x.p.loop.Post(func() { do(list) })
	}()
}

// Erase is credit.Files'.
func (x *prepaid) Erase(h ledger.Holder) {
	x.p.log.Info("credit: settled what a process that is no more left", "process", fmt.Sprintf("%016x", h))
	f := x.locks[h]
	delete(x.locks, h)
	go func() {
		_ = os.Remove(x.file(h, marksEnd))
		_ = os.Remove(x.file(h, lockEnd))
		if f != nil {
			_ = f.Close()
		}
	}()
}

// close tells last words, and how things stood.
func (x *prepaid) close() {
	x.credit.Close()
	if b := x.credit.Books(); b != nil {
		for _, n := range b.Tenants() {
			t := b.Tenant(n)
			x.p.log.Info("credit: books", "tenant", n, "paid", t.Paid, "balance", t.Balance, "lent", t.Lent, "stranded", t.Stranded, "spent", t.Spent)
		}
	}
	x.p.log.Info("credit: ends", "spent", x.spent, "refused", x.refused, "waited", x.waited)
}

// tellCredit tells how credit stands, where there is any.
func (p *pooler) tellCredit(s *exposition.Sheet) {
	if p.credit == nil {
		return
	}
	x, all := p.credit, s.Part("credit")
	free, held := int64(0), int64(0)
	for _, a := range x.credit.Standings() {
		free, held = free+a.Free, held+a.Held
	}
	all.Whole("spent", x.spent)
	all.Whole("free", free)
	all.Whole("held", held)
	all.Count("refused", x.refused)
	all.Count("waited", x.waited)
	if b := x.credit.Books(); b != nil {
		var paid, left, lent, stranded, spent int64
		for _, n := range b.Tenants() {
			t := b.Tenant(n)
			paid, left, lent, stranded, spent = paid+t.Paid, left+t.Balance, lent+t.Lent, stranded+t.Stranded, spent+t.Spent
		}
		tenants, accounts := b.Size()
		books := s.Part("credit.books")
		books.Whole("paid", paid)
		books.Whole("balance", left)
		books.Whole("lent", lent)
		books.Whole("stranded", stranded)
		books.Whole("spent", spent)
		books.Whole("tenants", int64(tenants))
		books.Whole("accounts", int64(accounts))
	}
}
