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

// zoned is which zone serves what, as the fleet decides it. It is zones' Log, and joined's Keeper.
type zoned struct {
	p    *pooler
	set  settings.Zones
	j    *adapter.Joined
	keep chan numbered
	done chan struct{}
	last *zonesadmin.Note // that was recorded
	sent []uint64         // counts as of it
}

type numbered struct {
	no   uint64
	done func()
}

// useZones has the fleet decide, where the settings have it so; after useRaftLog. The function ends it.
func (p *pooler) useZones(set settings.Zones) (stop func(), err error) {
	if !set.On {
		return func() {}, nil
	}
	z := &zoned{p: p, set: set, keep: make(chan numbered, 64), done: make(chan struct{}), sent: make([]uint64, len(set.Zones))}
	s := set.Settings
	if i := p.cfg.Settings.Zone; i >= 0 && i < len(p.cfg.Zones) {
		s.Zone = p.cfg.Zones[i]
	}
	if s.Index(s.Zone) < 0 {
		return nil, badInput{fmt.Errorf("zones: this pooler's zone %q is not among %q", s.Zone, s.Zones)}
	}
	s.Name, s.Voters, s.Checks = p.cfg.Name, p.agreed.set.Settings.Voters, p.checks
	if set.Dir != "" {
		if s.Floor, err = z.floor(); err != nil {
			return nil, badInput{fmt.Errorf("zones: %w", err)}
		}
	}
	go z.write()
	z.j = adapter.New(s, p.peers, z, p.core, z)
	z.j.Listed(&p.cfg.Known, true)
	p.core.SetGeography(z.j)
	p.peers.Join(z.j)
	if z.j.Book() != nil {
		p.agreed.users.Add(raftlog.OfZones, z.j)
	}
	p.agreed.told = append(p.agreed.told, z.j.Hear)
	p.zones = z
	return func() {
		close(z.keep)
		<-z.done
	}, nil
}

func (z *zoned) file() string { return filepath.Join(z.set.Dir, "zones-"+z.p.cfg.Name) }

// floor is the number that the last process followed.
func (z *zoned) floor() (uint64, error) {
	if err := os.MkdirAll(z.set.Dir, 0o700); err != nil {
		return 0, err
	}
	return z.held()
}

// held is the number in the file, 0 for none.
func (z *zoned) held() (uint64, error) {
	b, err := os.ReadFile(z.file())
	if os.IsNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(strings.TrimSpace(string(b)), 10, 64)
}

// againMs is after what a number that could not be kept is tried again.
const againMs = 1000

// write keeps numbers, off the loop: whole, and durable before a plan is followed. An older one after a newer is as good as kept.
func (z *zoned) write() {
	defer close(z.done)
	last := uint64(0)
	for k := range z.keep {
		if has, err := z.held(); err == nil { // another process of this pooler, which takes over, may have kept a newer one
			last = max(last, has)
		}
		if k.no > last {
			if err := store.Replace(store.Dir(z.set.Dir), filepath.Base(z.file()), strconv.AppendUint(nil, k.no, 10)); err != nil {
				z.p.log.Error("zones: the plan's number cannot be kept; the plan is not followed", "err", err)
				z.p.loop.Post(func() { z.later(k) })
				continue
			}
			last = k.no
		}
		z.p.loop.Post(k.done)
	}
}

// Keep is joined.Keeper's. A renewal does not ask again, so what fails or finds no room is tried until it is kept.
func (z *zoned) Keep(no uint64, done func()) {
	k := numbered{no, func() {
		done()
		z.say()
	}}
	if z.set.Dir == "" {
		k.done()
		return
	}
	z.put(k)
}

func (z *zoned) put(k numbered) {
	select {
	case z.keep <- k:
	default:
		z.later(k)
	}
}

func (z *zoned) later(k numbered) { z.p.loop.At(z.p.loop.Now()+againMs, func() { z.put(k) }) }

// say tells the log what this pooler does now.
func (z *zoned) say() {
	s, p := z.j.Standing()
	if p != nil {
		z.p.log.Info("zones: follows", "plan", p.No, "by", p.By, "zones", fmt.Sprint(p.Zones), "shares", fmt.Sprint(p.Matrix), "near", z.set.Zones[s.Zone], "why", s.Why.String(), "short", p.Short)
	}
}

// noteMs is between two notes for the records.
const noteMs = 1000

// note records what this pooler goes by and where reads went, where there is anything to say.
func (z *zoned) note() {
	s, p := z.j.Standing()
	n := zonesadmin.Take(z.j.Settings(), s, p, z.j.Sent(), z.sent)
	if z.last == nil || n.Sent != nil || !n.Same(z.last) {
		copy(z.sent, z.j.Sent())
		z.last = n
		z.p.core.Note(recordpb.Kind_KIND_ZONES, n.Text())
	}
	z.p.loop.At(z.p.loop.Now()+noteMs, z.note)
}

// Propose is zones.Log's.
func (z *zoned) Propose(entry []byte) {
	z.p.agreed.part.Propose(0, append([]byte{raftlog.OfZones}, entry...))
}

// reload takes orders as they are now.
func (z *zoned) reload(set settings.Zones) {
	if !set.On {
		z.p.log.Warn("cannot change while serving, needs a restart", "kept", []string{"zones"})
		return
	}
	z.j.Retune(set.Order)
	z.p.log.Info("zones: orders read again", "orders", len(set.Order))
}

// tellZones tells how zones stand, where they are decided together.
func (p *pooler) tellZones(s *exposition.Sheet) {
	if p.zones == nil {
		return
	}
	z, zones := p.zones, s.Part("zones")
	now, plan := z.j.Standing()
	n := z.j.Counts()
	zones.Count("plans", n.Plans)
	zones.Count("shifts", n.Shifts)
	zones.Count("fallbacks", n.Fallbacks)
	zones.Whole("why", int64(now.Why))
	zones.Whole("near", int64(now.Zone))
	if plan == nil {
		return
	}
	zones.Whole("plan", int64(plan.No))
	zones.Level("short", plan.Short)
	zones.Level("most", plan.Most)
	for i, m := range plan.Zones {
		zone := zones.Of("zone", z.set.Zones[i])
		zone.Whole("state", int64(m.State))
		zone.Level("near", plan.Matrix[i][i])
	}
}
