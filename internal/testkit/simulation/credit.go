package simulation

import (
	"slices"

	"beechgrade/internal/cluster/credit"
	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/lessor"
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/raftlog/adapter"
	"beechgrade/internal/settings"
)

// Prepaid has tenants pay ahead in virtual time, as the daemon has it: on the log in common, with marks in files that outlive processes.
type Prepaid struct {
	Log   *CommonLog
	Set   settings.Credit
	Marks [2]float64 // ms that a durable write of marks takes, from and to

	Later func(no int) []lessor.Payment // payments that a pooler has read of since the start; may be nil

	files   map[ledger.Holder][]lease.HighWaterMark
	writers map[ledger.Holder]int // pooler
	now     map[int]*payer        // the process of each pooler
}

// payer is a process's side; it is core's Credit, and credit's Log, Files and Events.
type payer struct {
	*Prepaid
	h       Host
	of      ledger.Holder
	c       *credit.Credit
	log     *adapter.Adapter
	classes map[string]int
	names   []string
}

// settings are a process's, as it would read them now.
func (x *payer) settings() credit.Settings {
	p, s := x.h.x.p, x.Set
	if x.Later != nil {
		s.Payments = append(slices.Clone(s.Payments), x.Later(x.h.No())...)
		slices.SortFunc(s.Payments, credit.ComparePayments)
	}
	set := s.SettingsFor(x.names, func(i int) float64 { return p.e.script.Clients.Classes[i].Worth })
	set.Lease.PersistMarks, set.Lease.Checks = true, p.e.checks
	return set
}

// reread has a process read its settings again.
func (x *payer) reread() { x.c.UpdateSettings(x.settings()) }

// Join makes a process's parts: the log's and credit's.
func (c *Prepaid) Join(h Host) []module.Module {
	if c.files == nil {
		c.files, c.writers, c.now = map[ledger.Holder][]lease.HighWaterMark{}, map[ledger.Holder]int{}, map[int]*payer{}
	}
	p := h.x.p
	x := &payer{Prepaid: c, h: h, of: ledger.Holder(h.No()+1)<<32 | ledger.Holder(h.Life()), classes: map[string]int{}}
	for i := range p.e.script.Clients.Classes {
		name := p.e.script.Clients.Classes[i].Name
		x.names, x.classes[name] = append(x.names, name), i
	}
	set := x.settings()
	for i := range c.Log.Voters {
		set.Voters = append(set.Voters, p.e.poolerName(i))
	}
	set.Name, set.Holder = p.name, x.of
	x.c = credit.New(set, h, x, x, x)
	users := &raftlog.MachineMux{}
	if x.c.Ledger() != nil {
		users.Add(raftlog.CreditEntries, x.c)
	}
	x.log = c.Log.Join(h, users, func(a *raftlog.Action) {
		switch a.Kind {
		case raftlog.BecameLeader:
			x.c.SetLeader(p.name)
		case raftlog.LeaderChanged:
			x.c.SetLeader(a.Leader)
		case raftlog.Stopped:
			x.c.SetLeader("")
		}
	})
	var gone []ledger.Holder // this pooler's own; each has a disk of its own
	for of, no := range c.writers {
		if no == h.No() && of != x.of {
			gone = append(gone, of)
		}
	}
	slices.Sort(gone)
	c.writers[x.of] = h.No()
	c.now[h.No()] = x
	x.c.Recover(gone)
	h.At(h.Now(), func() { p.core.SetCredit(x) })
	return []module.Module{x.log, x.c}
}

// Hold is core.Credit's.
func (x *payer) Hold(tenant, class, session string, tag uint64) (lease.Reservation, lease.Decision) {
	i, ok := x.classes[class]
	if !ok {
		return lease.Reservation{}, lease.Admitted
	}
	return x.c.Reserve(lease.AdmissionRequest{Tenant: tenant, Class: i, Session: lease.SessionNumber(session), Parts: 1, Tag: tag})
}

// Settle is core.Credit's.
func (x *payer) Settle(h *lease.Reservation, d lease.Usage) { x.c.Settle(h, d) }

// Cancel is core.Credit's.
func (x *payer) Cancel(tenant string, tag uint64) { x.c.Cancel(tenant, tag) }

// Admit is credit.Events'.
func (x *payer) Admit(tag uint64, h lease.Reservation) { x.h.x.p.core.Funded(tag, h) }

// Reject is credit.Events'.
func (x *payer) Reject(tag uint64) { x.h.x.p.core.Unfunded(tag) }

// Propose is credit.Log's.
func (x *payer) Propose(entry []byte) {
	x.log.Propose(0, append([]byte{raftlog.CreditEntries}, entry...))
}

// Write is credit.Files'.
func (x *payer) Write(no uint64, m []lease.HighWaterMark) {
	x.h.At(x.h.Now()+(x.Marks[0]+x.Marks[1])/2, func() {
		x.files[x.of] = m
		x.c.MarksPersisted(no)
	})
}

// Read is credit.Files'.
func (x *payer) Read(h ledger.Holder, do func([]lease.HighWaterMark)) {
	x.h.At(x.h.Now()+1, func() { do(x.files[h]) })
}

// Erase is credit.Files'.
func (x *payer) Erase(h ledger.Holder) {
	delete(x.files, h)
	delete(x.writers, h)
}

// Books are those of a voter's process.
func (c *Prepaid) Books(no int) *ledger.Ledger { return c.now[no].c.Ledger() }
