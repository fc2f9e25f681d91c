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

// zoneFailover joins the fleet's decision on which zone serves which reads to the core, the replicated log and the file with the plan's
// number.
type zoneFailover struct {
	pooler     *pooler
	set        settings.Zones
	adapter    *adapter.Adapter
	toSave     chan planNumber
	done       chan struct{}
	lastNote   *zonesadmin.Note // as recorded
	sentAtNote []uint64         // counts at that time
}

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

// loadLastNumber returns the number of the plan that the last process followed.
func (z *zoneFailover) loadLastNumber() (uint64, error) {
	if err := os.MkdirAll(z.set.Dir, 0o700); err != nil {
		return 0, err
	}
	return z.savedNumber()
}

// savedNumber returns the number in the file, 0 for none.
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

// saveRetryMs is the time until a failed save of a number is tried again.
const saveRetryMs = 1000

// saveNumbers saves the numbers of plans, off the loop. A number is durable before its plan is followed. An older number than the saved one
// counts as saved.
func (z *zoneFailover) saveNumbers() {
	defer close(z.done)
	last := uint64(0)
	for k := range z.toSave {
		if has, err := z.savedNumber(); err == nil { // the process that takes over may have saved a newer one
			last = max(last, has)
		}
		if k.number > last {
			if err := store.Replace(store.Dir(z.set.Dir), filepath.Base(z.file()), strconv.AppendUint(nil, k.number, 10)); err != nil {
				z.pooler.log.Error("zones: the plan's number cannot be kept; the plan is not followed", "err", err)
				z.pooler.loop.Post(func() { z.retrySave(k) })
				continue
			}
			last = k.number
		}
		z.pooler.loop.Post(k.saved)
	}
}

// StorePlanNumber saves a plan's number, and then calls done. It is not called again for a renewed plan, so a save is retried until it succeeds.
func (z *zoneFailover) StorePlanNumber(no uint64, done func()) {
	k := planNumber{no, func() {
		done()
		z.logPlan()
	}}
	if z.set.Dir == "" {
		k.saved()
		return
	}
	z.enqueueSave(k)
}

func (z *zoneFailover) enqueueSave(k planNumber) {
	select {
	case z.toSave <- k:
	default:
		z.retrySave(k)
	}
}

func (z *zoneFailover) retrySave(k planNumber) {
	z.pooler.loop.At(z.pooler.loop.Now()+saveRetryMs, func() { z.enqueueSave(k) })
}

// logPlan logs the plan that this pooler follows.
func (z *zoneFailover) logPlan() {
	s, p := z.adapter.Status()
	if p != nil {
		z.pooler.log.Info("zones: follows",
			"plan", p.Number,
			"by", p.Author,
			"zones", fmt.Sprint(p.Zones),
			"shares", fmt.Sprint(p.Matrix),
			"near", z.set.Zones[s.Zone],
			"why", s.Reason.String(),
			"short", p.Unserved)
	}
}

// noteIntervalMs is the time between two records.
const noteIntervalMs = 1000

// recordNote records the plan that this pooler follows and where its reads went, where either has changed.
func (z *zoneFailover) recordNote() {
	s, p := z.adapter.Status()
	n := zonesadmin.NewNote(z.adapter.Settings(), s, p, z.adapter.Sent(), z.sentAtNote)
	if z.lastNote == nil || n.Sent != nil || !n.SameDecision(z.lastNote) {
		copy(z.sentAtNote, z.adapter.Sent())
		z.lastNote = n
		z.pooler.core.RecordEvent(recordpb.Kind_KIND_ZONES, n.Text())
	}
	z.pooler.loop.At(z.pooler.loop.Now()+noteIntervalMs, z.recordNote)
}

// Propose proposes an entry to the replicated log. A proposal may be lost.
func (z *zoneFailover) Propose(entry []byte) {
	z.pooler.raftLog.adapter.Propose(0, append([]byte{raftlog.ZoneEntries}, entry...))
}

// reload applies new orders.
func (z *zoneFailover) reload(set settings.Zones) {
	if !set.Enabled {
		z.pooler.log.Warn("cannot change while serving, needs a restart", "kept", []string{"zones"})
		return
	}
	z.adapter.SetOrders(set.Orders)
	z.pooler.log.Info("zones: orders read again", "orders", len(set.Orders))
}

// writeZonesMetrics writes the metrics of failover between zones, where it is on.
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
