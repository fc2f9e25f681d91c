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
	snapshotRenewMs    = 60000 // between two notes that what was saved is still good
	listSaveIntervalMs = 1000  // between two saved lists
)

// startSnapshots opens the snapshots, where the settings enable them. Where the disk cannot be used, the start goes on without them.
func startSnapshots(o settings.Snapshots, checked settings.Invariants, log *slog.Logger) *snapshots.Keeper {
	if o.Dir == "" {
		return nil
	}
	k, err := snapshots.Start(snapshots.Options{
		FS:             store.Dir(o.Dir),
		MaxBytes:       o.MaxBytes,
		MaxAgeMs:       o.MaxAgeMs,
		CompactionRate: o.CompactionBytesPerSecond,
		Log:            log,
		Checks:         loggedChecks(checked, log),
		Store:          loggedChecks(checked, log),
		BatchesPerWalk: checked.WalkInterval,
	})
	if err != nil {
		log.Error("kept: starting without it, and nothing is kept", "dir", o.Dir, "err", err)
		return nil
	}
	return k
}

// snapshotConfig returns the saved configuration, for a start whose file cannot be read completely. Other errors of the file, and errors of the
// environment, are for the operator to fix.
func snapshotConfig(k *snapshots.Keeper, cause error, env func(string) string, log *slog.Logger) (*config.Config, error) {
	if k == nil || !errors.Is(cause, config.ErrIncomplete) {
		return nil, cause
	}
	r, err := k.Get(snapshots.Config, clock.ThisMachine())
	if err == nil && r != nil && r.Source != env("EDGE_CONFIG") {
		err = fmt.Errorf("it is of %s", r.Source)
	}
	if err != nil {
		return nil, fmt.Errorf("%w; what was kept is not used: %w", cause, err)
	}
	if r == nil {
		return nil, cause
	}
	c, err := config.Parse(r.Body, env)
	if err != nil {
		return nil, fmt.Errorf("%w; what was kept is not used: %w", cause, err)
	}
	c.FromSnapshot = true
	log.Warn("kept: starting with the configuration that was kept",
		"saved_s_ago", math.Round(r.Age(clock.ThisMachine())/1000),
		"why", cause)
	return c, nil
}

// openSnapshots starts with the saved list, and saves the configuration and the list from now on.
func (p *pooler) openSnapshots(k *snapshots.Keeper) {
	if k == nil {
		return
	}
	p.snapshots = k
	if rec := k.Recovery(); rec != nil { // logged by the keeper
		p.recovered = append(p.recovered, recoveredStore{"kept", rec})
	}
	if p.sources == nil {
		p.restore()
	}
}

// restore applies the saved list where it is newer than the configuration's, and from the same discovery.
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
		p.log.Warn("kept: starting without the list", "err", err)
	case r == nil:
	case r.Source != p.cfg.DiscoveryAddress:
		p.log.Info("kept: the list is another discovery's", "from", r.Source)
	case len(known.Instances) > 0 && (l.Generation <= known.Generation || !p.cfg.FromSnapshot && p.cfg.ModifiedAtMs > r.SavedMs):
		p.log.Info("kept: the configuration's list is newer", "generation", known.Generation, "kept", l.Generation)
	default:
		p.cfg.InitialList = l
		p.log.Info("kept: starting with the list that was kept",
			"servers", len(l.Instances),
			"generation", l.Generation,
			"saved_s_ago", math.Round(r.Age(p.machine)/1000))
	}
}

// saveConfig saves the configuration in force, where it was read from its file.
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

// saveSnapshots notes each snapshotRenewMs that the saved configuration is still good, and the list too while a watch on it is open.
func (p *pooler) saveSnapshots() {
	if p.snapshots == nil {
		return
	}
	var beat func()
	beat = func() {
		p.loop.At(p.loop.Now()+snapshotRenewMs, beat)
		if p.discovery.WatchEstablished() {
			p.saveList()
		}
		if p.renewConfig != nil {
			p.renewConfig()
		}
	}
	p.loop.At(p.loop.Now()+snapshotRenewMs, beat)
}

// saveList saves the list, listSaveIntervalMs after the last time at the earliest.
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
		if len(l.Instances) == 0 || l.Generation == 0 { // of no use, or from another discovery
			return
		}
		p.snapshots.Put(snapshots.List, func() (*snapshots.Record, error) {
			b, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(&l)
			record.Body = b
			return record, err
		})
	})
}

// savedEndpoints stores the list of endpoints among the snapshots, where the settings name no file for it.
type savedEndpoints struct{ k *snapshots.Keeper }

// Load returns the saved list; nil for none.
func (s savedEndpoints) Load() (*snapshot.File, error) {
	r, err := s.k.Get(snapshots.EndpointList, clock.ThisMachine())
	if err != nil || r == nil {
		return nil, err
	}
	return snapshot.Parse(r.Body)
}

// Save saves a list.
func (s savedEndpoints) Save(f *snapshot.File) error {
	b, err := snapshot.Append(nil, f)
	if err == nil {
		s.k.Put(snapshots.EndpointList, func() (*snapshots.Record, error) {
			return &snapshots.Record{SavedMs: f.SavedAtMs, Saved: clock.ThisMachine().Now(), Body: b}, nil
		})
	}
	return err
}
