package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/zones/adapter"
	zonesadmin "beechgrade/internal/cluster/zones/admin"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/settings"
	"beechgrade/internal/storage/store"
)

// zoneFailover connects failover between zones, which decides for the whole fleet which zone serves which reads, to the core, to the replicated
// log and to the file with the plan's number.
type zoneFailover struct {
	pooler     *pooler
	set        settings.Zones
	adapter    *adapter.Adapter
	toSave     chan planNumber
	done       chan struct{}
	lastNote   *zonesadmin.Note // the last one that was recorded
	sentAtNote []uint64         // attempts by zone, when it was recorded
}

// planNumber is the number of a plan to save, and the function to call once it is saved.
type planNumber struct {
	number uint64
	saved  func()
}

// openZones opens failover between zones, where the settings enable it. It comes after openRaftLog. The returned function closes it.
func (p *pooler) openZones(set settings.Zones) (stop func(), err error) {
	if !set.Enabled {
		return func() {}, nil
	}
	z := &zoneFailover{
		pooler:     p,
		set:        set,
		toSave:     make(chan planNumber, 64),
		done:       make(chan struct{}),
		sentAtNote: make([]uint64, len(set.Zones)),
	}
	s := set.Settings
	if i := p.cfg.Settings.Zone; i >= 0 && i < len(p.cfg.Zones) {
		s.Zone = p.cfg.Zones[i]
	}
	if s.Index(s.Zone) < 0 {
		return nil, badInput{fmt.Errorf("zones: this pooler's zone %q is not among %q", s.Zone, s.Zones)}
	}
	s.Name, s.Voters, s.Checks = p.cfg.Name, p.raftLog.set.Settings.Voters, p.checks
	if set.Dir != "" {
		if s.MinPlan, err = z.loadLastNumber(); err != nil {
			return nil, badInput{fmt.Errorf("zones: %w", err)}
		}
	}
	go z.saveNumbers()
	z.adapter = adapter.New(s, p.peers, z, p.core, z)
	z.adapter.Listed(&p.cfg.InitialList, true)
	p.core.SetZoneObserver(z.adapter)
	p.peers.Register(z.adapter)
	if z.adapter.State() != nil {
		p.raftLog.users.Add(raftlog.ZoneEntries, z.adapter)
	}
	p.raftLog.observers = append(p.raftLog.observers, z.adapter.HandleLogAction)
	p.zones = z
	return func() {
		close(z.toSave)
		<-z.done
	}, nil
}

func (z *zoneFailover) file() string { return filepath.Join(z.set.Dir, "zones-"+z.pooler.cfg.Name) }

// loadLastNumber returns the number of the plan that the previous process followed.
func (z *zoneFailover) loadLastNumber() (uint64, error) {
	if err := os.MkdirAll(z.set.Dir, 0o700); err != nil {
		return 0, err
	}
	return z.savedNumber()
}

// savedNumber returns the number in the file; 0 where there is no file.
func (z *zoneFailover) savedNumber() (uint64, error) {
	b, err := os.ReadFile(z.file())
	if os.IsNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(strings.TrimSpace(string(b)), 10, 64)
}

// saveRetryMs is the time until a failed save of a number is retried.
const saveRetryMs = 1000

// saveNumbers saves the numbers of plans, off the loop. A plan is followed only once its number is durable. A number below the saved one counts as
// saved.
func (z *zoneFailover) saveNumbers() {
	defer close(z.done)
	last := uint64(0)
	for plan := range z.toSave {
		if saved, err := z.savedNumber(); err == nil { // the process that takes over may have saved a newer one
			last = max(last, saved)
		}
		if plan.number > last {
			if err := store.Replace(store.Dir(z.set.Dir), filepath.Base(z.file()), strconv.AppendUint(nil, plan.number, 10)); err != nil {
				z.pooler.log.Error("zones: the plan's number cannot be saved; the plan is not followed until it is", "err", err)
				z.pooler.loop.Post(func() { z.retrySave(plan) })
				continue
			}
			last = plan.number
		}
		z.pooler.loop.Post(plan.saved)
	}
}

// StorePlanNumber saves a plan's number, and then calls done. It is not called again for a renewed plan, so a save is retried until it succeeds.
func (z *zoneFailover) StorePlanNumber(number uint64, done func()) {
	plan := planNumber{number, func() {
		done()
		z.logPlan()
	}}
	if z.set.Dir == "" {
		plan.saved()
		return
	}
	z.enqueueSave(plan)
}

func (z *zoneFailover) enqueueSave(plan planNumber) {
	select {
	case z.toSave <- plan:
	default:
		z.retrySave(plan)
	}
}

func (z *zoneFailover) retrySave(plan planNumber) {
	z.pooler.loop.At(z.pooler.loop.Now()+saveRetryMs, func() { z.enqueueSave(plan) })
}

// logPlan logs the plan that this pooler follows.
func (z *zoneFailover) logPlan() {
	s, p := z.adapter.Status()
	if p != nil {
		z.pooler.log.Info("zones: plan adopted",
			"plan", p.Number,
			"author", p.Author,
			"zones", fmt.Sprint(p.Zones),
			"shares", fmt.Sprint(p.Matrix),
			"own_zone", z.set.Zones[s.Zone],
			"reason", s.Reason.String(),
			"unserved", p.Unserved)
	}
}

// noteIntervalMs is the interval between checks for a change to record.
const noteIntervalMs = 1000

// recordNote records the plan that this pooler follows and the zones that served its reads, where either has changed.
func (z *zoneFailover) recordNote() {
	s, p := z.adapter.Status()
	n := zonesadmin.NewNote(z.adapter.Settings(), s, p, z.adapter.Sent(), z.sentAtNote)
	if z.lastNote == nil || n.Sent != nil || !n.SameDecision(z.lastNote) {
		copy(z.sentAtNote, z.adapter.Sent())
		z.lastNote = n
		z.pooler.core.RecordEvent(recordpb.Kind_KIND_ZONES, n.Text())
	}
}

// Propose proposes an entry to the replicated log. A proposal may be lost.
func (z *zoneFailover) Propose(entry []byte) {
	z.pooler.raftLog.adapter.Propose(0, append([]byte{raftlog.ZoneEntries}, entry...))
}

// reload applies new settings; only the orders can change while serving.
func (z *zoneFailover) reload(set settings.Zones) {
	if !set.Enabled {
		z.pooler.log.Warn("settings cannot be changed while serving; the previous ones apply until a restart", "settings", []string{"zones"})
		return
	}
	z.adapter.SetOrders(set.Orders)
	z.pooler.log.Info("zones: orders reloaded", "orders", len(set.Orders))
}

// writeZonesMetrics writes the metrics of failover between zones, where it is enabled.
func (p *pooler) writeZonesMetrics(s *exposition.Snapshot) {
	if p.zones == nil {
		return
	}
	z, zones := p.zones, s.Scope("zones")
	now, plan := z.adapter.Status()
	n := z.adapter.Counts()
	zones.Counter("plans", n.Plans)
	zones.Counter("shifts", n.Shifts)
	zones.Counter("fallbacks", n.Fallbacks)
	zones.IntGauge("why", int64(now.Reason))
	zones.IntGauge("near", int64(now.Zone))
	if plan == nil {
		return
	}
	zones.IntGauge("plan", int64(plan.Number))
	zones.Gauge("short", plan.Unserved)
	zones.Gauge("most", plan.MaxFill)
	for i, m := range plan.Zones {
		zone := zones.Label("zone", z.set.Zones[i])
		zone.IntGauge("state", int64(m.State))
		zone.Gauge("near", plan.Matrix[i][i])
	}
}
