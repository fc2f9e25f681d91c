package main

import (
	"os"
	"slices"
	"strings"

	"beechgrade/internal/config"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/settings"
)

// reloader reloads one subsystem's settings after SIGHUP.
type reloader struct {
	failure string // log message where the settings cannot be read; the previous ones stay in force
	read    func() (apply func(), err error)
}

// reloadConfig reads the configuration again, and adds the classes of the optional frontends.
func reloadConfig(set *settings.Settings) (*config.Config, error) {
	next, err := config.Reload(os.Getenv)
	if err == nil {
		err = set.Pooling.Check(next.Classes)
	}
	if err != nil {
		return nil, err
	}
	set.Pooling.AddClasses(next)
	set.ClickHouse.AddClasses(next)
	return next, nil
}

// settingsReloaders returns the reloaders of the enabled subsystems. Their apply functions run on the event loop.
func (p *pooler) settingsReloaders(settingsFile string) []reloader {
	load := func(apply func(next *settings.Settings)) func() (func(), error) {
		return func() (func(), error) {
			next, err := settings.Load(settingsFile, os.Getenv)
			if err != nil {
				return nil, err
			}
			return func() { apply(next) }, nil
		}
	}
	var all []reloader
	if p.peers != nil {
		all = append(all, reloader{
			"fleet limits: settings cannot be read; the previous limits stay in force",
			load(func(next *settings.Settings) { p.reloadLimits(next.FleetLimits) }),
		})
	}
	if p.credit != nil {
		all = append(all, reloader{
			"credit: settings cannot be read; the previous prices and payments stay in force",
			load(func(next *settings.Settings) { p.credit.reload(next.Credit) }),
		})
	}
	if p.zones != nil {
		all = append(all, reloader{
			"zones: settings cannot be read; the previous orders stay in force",
			load(func(next *settings.Settings) { p.zones.reload(next.Zones) }),
		})
	}
	return all
}

// reload reloads everything that may change while serving. It runs off the event loop.
func (p *pooler) reload() {
	next, err := p.load()
	if err != nil {
		p.loop.Post(func() { p.rejectConfig(err) })
		return
	}
	p.loop.Post(func() { p.apply(next) })
	for _, r := range p.reloaders {
		apply, err := r.read()
		if err != nil {
			p.loop.Post(func() { p.log.Error(r.failure, "err", err) })
			continue
		}
		p.loop.Post(apply)
	}
	if p.sources == nil {
		return
	}
	files, err := p.sources.read()
	if err != nil {
		p.log.Error("endpoints: a source file cannot be read; a token or static list read before stays in force", "err", err)
	}
	p.loop.Post(func() { p.sources.apply(files) })
}

// rejectConfig logs and counts a new configuration that cannot be used.
func (p *pooler) rejectConfig(err error) {
	p.log.Error("configuration rejected; the previous one stays in force", "err", err)
	p.core.Metrics().ReloadsRejected++
}

// apply puts a new configuration in force, except for the parts that need a restart, which it logs.
func (p *pooler) apply(next *config.Config) {
	if err := p.cfg.CheckKeys(next); err != nil {
		p.rejectConfig(err)
		return
	}
	p.saveConfig(next, os.Getenv("EDGE_CONFIG"))
	changed, unchanged := p.cfg.Apply(next)
	if p.core.Metrics().ReloadsAccepted++; slices.Contains(changed, "settings") {
		p.core.Reload()
	}
	p.log.Info("configuration reloaded", "changed", changed)
	p.core.RecordEvent(recordpb.Kind_KIND_RELOAD, strings.Join(changed, ", "))
	if len(unchanged) > 0 {
		p.log.Warn("settings cannot be changed while serving; the previous ones apply until a restart", "settings", unchanged)
	}
	p.divideMemory()
	p.backend.SetTimes(p.cfg.ConnectTimeoutMs, p.cfg.ServerIdleTimeoutMs*idleTimeShare)
	if p.sources == nil || p.sources.set.Options.Platform {
		if slices.Contains(changed, "discovery") { // generations of different discoveries are not comparable
			p.list.generation, p.list.restarts, p.list.received = 0, 0, false
		}
		p.discovery.SetAddress(p.cfg.DiscoveryAddress)
	}
	p.setPushMode()
}

// setPushMode has the discovery client keep a watch open where the settings specify that lists are pushed.
func (p *pooler) setPushMode() {
	p.discovery.SetPushMode(!p.cfg.Settings.WatchList && (p.sources == nil || p.sources.set.Options.Platform))
}
