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

// Prepaid runs the daemon's prepaid credit in virtual time: on the shared log, with high-water marks in files that survive a restart.
type Prepaid struct {
	Log         *SharedLog
	Settings    settings.Credit
	MarkWriteMs [2]float64 // shortest and longest time of a durable write of marks

	LaterPayments func(no int) []lessor.Payment // returns the payments that a pooler has read since the start; may be nil

	files   map[ledger.Holder][]lease.HighWaterMark
	writers map[ledger.Holder]int // the pooler that wrote each file
	running map[int]*creditClient // the last process of each pooler
}

// creditClient is the credit of one process. It implements core.Credit and, for package credit, Log, Files and Events.
type creditClient struct {
	*Prepaid
	host    Host
	holder  ledger.Holder
	credit  *credit.Credit
	log     *adapter.Adapter
	classes map[string]int
	names   []string
}

// settings returns the settings that a process would read from its file now.
func (x *creditClient) settings() credit.Settings {
	p, s := x.host.peer.pooler, x.Settings
	if x.LaterPayments != nil {
		s.Payments = append(slices.Clone(s.Payments), x.LaterPayments(x.host.No())...)
		slices.SortFunc(s.Payments, credit.ComparePayments)
	}
	set := s.SettingsFor(x.names, func(i int) float64 { return p.sim.script.Clients.Classes[i].Worth })
	set.Lease.PersistMarks, set.Lease.Checks = true, p.sim.checks
	return set
}

// reload makes a process read its settings file again.
func (x *creditClient) reload() { x.credit.UpdateSettings(x.settings()) }

// Join returns the modules of a process: the log and credit. It is a ModuleMaker.
func (c *Prepaid) Join(h Host) []module.Module {
	if c.files == nil {
		c.files, c.writers, c.running = map[ledger.Holder][]lease.HighWaterMark{}, map[ledger.Holder]int{}, map[int]*creditClient{}
	}
	p := h.peer.pooler
	x := &creditClient{Prepaid: c, host: h, holder: ledger.Holder(h.No()+1)<<32 | ledger.Holder(h.Incarnation()), classes: map[string]int{}}
	for i := range p.sim.script.Clients.Classes {
		name := p.sim.script.Clients.Classes[i].Name
		x.names, x.classes[name] = append(x.names, name), i
	}
	set := x.settings()
	for i := range c.Log.Voters {
		set.Voters = append(set.Voters, p.sim.poolerName(i))
	}
	set.Name, set.Holder = p.name, x.holder
	x.credit = credit.New(set, h, x, x, x)
	users := &raftlog.MachineMux{}
	if x.credit.Ledger() != nil {
		users.Add(raftlog.CreditEntries, x.credit)
	}
	x.log = c.Log.Join(h, users, func(a *raftlog.Action) {
		switch a.Kind {
		case raftlog.BecameLeader:
			x.credit.SetLeader(p.name)
		case raftlog.LeaderChanged:
			x.credit.SetLeader(a.Leader)
		case raftlog.Stopped:
			x.credit.SetLeader("")
		}
	})
	var expired []ledger.Holder // earlier processes of this pooler, whose marks are on its disk
	for of, no := range c.writers {
		if no == h.No() && of != x.holder {
			expired = append(expired, of)
		}
	}
	slices.Sort(expired)
	c.writers[x.holder] = h.No()
	c.running[h.No()] = x
	x.credit.Recover(expired)
	h.At(h.Now(), func() { p.core.SetCredit(x) })
	return []module.Module{x.log, x.credit}
}

// Hold implements core.Credit.
func (x *creditClient) Hold(tenant, class, session string, tag uint64) (lease.Reservation, lease.Decision) {
	i, ok := x.classes[class]
	if !ok {
		return lease.Reservation{}, lease.Admitted
	}
	return x.credit.Reserve(lease.AdmissionRequest{Tenant: tenant, Class: i, Session: lease.SessionNumber(session), Parts: 1, Tag: tag})
}

// Settle implements core.Credit.
func (x *creditClient) Settle(h *lease.Reservation, d lease.Usage) { x.credit.Settle(h, d) }

// Cancel implements core.Credit.
func (x *creditClient) Cancel(tenant string, tag uint64) { x.credit.Cancel(tenant, tag) }

// Admit implements credit.Events.
func (x *creditClient) Admit(tag uint64, h lease.Reservation) { x.host.peer.pooler.core.Funded(tag, h) }

// Reject implements credit.Events.
func (x *creditClient) Reject(tag uint64) { x.host.peer.pooler.core.Unfunded(tag) }

// Propose implements credit.Log.
func (x *creditClient) Propose(entry []byte) {
	x.log.Propose(0, append([]byte{raftlog.CreditEntries}, entry...))
}

// Write implements credit.Files.
func (x *creditClient) Write(no uint64, m []lease.HighWaterMark) {
	x.host.At(x.host.Now()+(x.MarkWriteMs[0]+x.MarkWriteMs[1])/2, func() {
		x.files[x.holder] = m
		x.credit.MarksPersisted(no)
	})
}

// Read implements credit.Files.
func (x *creditClient) Read(h ledger.Holder, do func([]lease.HighWaterMark)) {
	x.host.At(x.host.Now()+1, func() { do(x.files[h]) })
}

// Erase implements credit.Files.
func (x *creditClient) Erase(h ledger.Holder) {
	delete(x.files, h)
	delete(x.writers, h)
}

// Ledger returns the ledger of a voter's last process.
func (c *Prepaid) Ledger(no int) *ledger.Ledger { return c.running[no].credit.Ledger() }
