package main

import (
	"errors"
	"fmt"
	"log/slog"
	"math"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/config"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/endpoints/snapshot"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/settings"
	"beechgrade/internal/storage/snapshots"
	"beechgrade/internal/storage/store"
)

const (
	snapshotRenewMs    = 60000 // between renewals of the saved values' times
	listSaveIntervalMs = 1000  // between saves of the server list
)

// startSnapshots opens the store of snapshots, where the settings enable it. Where the disk cannot be used, it returns nil and the startup goes on.
func startSnapshots(o settings.Snapshots, checked settings.Invariants, log *slog.Logger) *snapshots.Keeper {
	if o.Dir == "" {
		return nil
	}
	keeper, err := snapshots.Start(snapshots.Options{
		FS:             store.Dir(o.Dir),
		MaxBytes:       o.MaxBytes,
		MaxAgeMs:       o.MaxAgeMs,
		CompactionRate: o.CompactionBytesPerSecond,
		Log:            log,
		Checks:         loggedChecks(checked, log),
		StoreChecks:    loggedChecks(checked, log),
		BatchesPerWalk: checked.WalkInterval,
	})
	if err != nil {
		log.Error("snapshots: the store cannot be opened; starting without saved data, and nothing will be saved", "dir", o.Dir, "err", err)
		return nil
	}
	return keeper
}

// snapshotConfig returns the saved configuration where the configuration file cannot be read completely. Other errors of the file or of the
// environment are returned, for the operator to fix.
func snapshotConfig(keeper *snapshots.Keeper, cause error, env func(string) string, log *slog.Logger) (*config.Config, error) {
	if keeper == nil || !errors.Is(cause, config.ErrIncomplete) {
		return nil, cause
	}
	r, err := keeper.Get(snapshots.Config, clock.ThisMachine())
	if err == nil && r != nil && r.Source != env("EDGE_CONFIG") {
		err = fmt.Errorf("it was saved from %s", r.Source)
	}
	if err != nil {
		return nil, fmt.Errorf("%w; the saved configuration is not used: %w", cause, err)
	}
	if r == nil {
		return nil, cause
	}
	c, err := config.Parse(r.Body, env)
	if err != nil {
		return nil, fmt.Errorf("%w; the saved configuration is not used: %w", cause, err)
	}
	c.FromSnapshot = true
	log.Warn("snapshots: starting with the saved configuration",
		"saved_s_ago", math.Round(r.Age(clock.ThisMachine())/1000),
		"reason", cause)
	return c, nil
}

// openSnapshots restores the saved server list, and saves the configuration and the list from then on.
func (p *pooler) openSnapshots(keeper *snapshots.Keeper) {
	if keeper == nil {
		return
	}
	p.snapshots = keeper
	if rec := keeper.Recovery(); rec != nil { // logged by the keeper
		p.recovered = append(p.recovered, recoveredStore{"kept", rec})
	}
	if p.sources == nil {
		p.restore()
	}
}

// restore applies the saved list where it is newer than the configuration's list, and from the same discovery address.
func (p *pooler) restore() {
	r, err := p.snapshots.Get(snapshots.List, p.machine)
	var l discovery.List
	if err == nil && r != nil {
		if err = jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(r.Body, &l); err == nil && (len(l.Instances) == 0 || !l.Reset) {
			err = snapshots.ErrMalformed
		}
	}
	known := &p.cfg.InitialList
	switch {
	case err != nil:
		p.log.Warn("snapshots: the saved list cannot be used; starting without it", "err", err)
	case r == nil:
	case r.Source != p.cfg.DiscoveryAddress:
		p.log.Info("snapshots: the saved list is from another discovery address and is not used", "address", r.Source)
	case len(known.Instances) > 0 && (l.Generation <= known.Generation || !p.cfg.FromSnapshot && p.cfg.ModifiedAtMs > r.SavedMs):
		p.log.Info("snapshots: the configuration's list is newer than the saved one", "generation", known.Generation, "saved_generation", l.Generation)
	default:
		p.cfg.InitialList = l
		p.log.Info("snapshots: starting with the saved list",
			"servers", len(l.Instances),
			"generation", l.Generation,
			"saved_s_ago", math.Round(r.Age(p.machine)/1000))
	}
}

// saveConfig saves the configuration in force, unless it came from a snapshot itself.
func (p *pooler) saveConfig(c *config.Config, path string) {
	if p.snapshots == nil || c.FromSnapshot {
		return
	}
	text := c.Raw
	p.renewConfig = func() {
		record := snapshots.NewRecord(p.machine, path, text)
		p.snapshots.Put(snapshots.Config, func() (*snapshots.Record, error) { return record, nil })
	}
	p.renewConfig()
}

// saveSnapshots saves the configuration again every snapshotRenewMs, which renews its time, and the list too while a watch on it is open.
func (p *pooler) saveSnapshots() {
	if p.snapshots == nil {
		return
	}
	p.loop.Every("renew_snapshots", snapshotRenewMs, func() {
		if p.discovery.WatchEstablished() {
			p.saveList()
		}
		if p.renewConfig != nil {
			p.renewConfig()
		}
	}).Optional()
}

// saveList saves the list, at least listSaveIntervalMs after the last save.
func (p *pooler) saveList() {
	if p.snapshots == nil || p.sources != nil || p.savingList {
		return
	}
	p.savingList = true
	now := p.loop.Now()
	p.listSavedAt = max(now, p.listSavedAt+listSaveIntervalMs)
	p.loop.At(p.listSavedAt, func() {
		p.savingList = false
		l, record := p.list.complete(), snapshots.NewRecord(p.machine, p.cfg.DiscoveryAddress, nil)
		if len(l.Instances) == 0 || l.Generation == 0 { // empty, or not from this discovery address
			return
		}
		p.snapshots.Put(snapshots.List, func() (*snapshots.Record, error) {
			b, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(&l)
			record.Body = b
			return record, err
		})
	})
}

// savedEndpoints stores the endpoint list among the snapshots, where the settings name no file for it.
type savedEndpoints struct{ keeper *snapshots.Keeper }

// Load returns the saved list; nil where none is saved.
func (s savedEndpoints) Load() (*snapshot.File, error) {
	r, err := s.keeper.Get(snapshots.EndpointList, clock.ThisMachine())
	if err != nil || r == nil {
		return nil, err
	}
	return snapshot.Parse(r.Body)
}

func (s savedEndpoints) Save(f *snapshot.File) error {
	b, err := snapshot.Append(nil, f)
	if err == nil {
		s.keeper.Put(snapshots.EndpointList, func() (*snapshots.Record, error) {
			return &snapshots.Record{SavedMs: f.SavedAtMs, Saved: clock.ThisMachine().Now(), Body: b}, nil
		})
	}
	return err
}
