package core

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
)

// ZoneObserver receives the servers' zones, the demand and the results of attempts, from which the fleet plans which zone serves
// which requests.
type ZoneObserver interface {
	Listed(list *discovery.List, full bool)
	Received(group, class int)
	AttemptEnded(server string, class int, result decide.Result, ms float64, finished bool) // finished: the request was finished before
	HealthChecked(server string, ok bool)
}

// zoneOverride replaces the settings' zone of this pooler, and their cost of attempts in other zones, while active is set.
type zoneOverride struct {
	zone          string
	crossZoneCost float64
	active        bool
}

// SetZoneObserver sets the observer.
func (c *Core) SetZoneObserver(observer ZoneObserver) { c.fleet.zoneObserver = observer }

// SetZone sets the zone that the router treats as its own, and the cost of an attempt in another zone; a negative cost keeps that
// of the settings.
func (c *Core) SetZone(zone string, crossZoneCost float64) {
	override := zoneOverride{zone: zone, crossZoneCost: crossZoneCost, active: true}
	if override != c.fleet.zoneOverride {
		c.fleet.zoneOverride = override
		c.reload()
	}
}

// applyZone applies the zone override to settings.
func (c *Core) applyZone(settings *decide.Settings) {
	override := &c.fleet.zoneOverride
	if !override.active {
		return
	}
	settings.Zone = c.zoneNumbers.number(override.zone)
	if override.crossZoneCost >= 0 {
		settings.CrossZoneCost = override.crossZoneCost
	}
}

// RelativeRate returns a server's rate of work relative to others of its kind.
func (c *Core) RelativeRate(server string) float64 {
	return c.router.RelativeRate(decide.ServerID(server))
}

// WarmUpFactor returns the part of its capacity that a server which started at startedMs has now, from 0 to 1.
func (c *Core) WarmUpFactor(startedMs float64) float64 {
	settings := &c.config.Settings
	age := c.loop.Now() - startedMs
	if startedMs <= 0 || settings.SlowStartTime <= 0 || age >= clock.ToMillis(settings.SlowStartTime) {
		return 1
	}
	from := settings.SlowStartFrom
	return from + (1-from)*max(0, age)/clock.ToMillis(settings.SlowStartTime)
}

// observeAttemptEnd reports the end of an attempt to the zone observer.
func (c *Core) observeAttemptEnd(req *request, number int, result decide.Result) {
	if observer := c.fleet.zoneObserver; observer != nil {
		a := &req.attempts[number]
		observer.AttemptEnded(string(a.server), req.class, result, c.loop.Now()-a.startedAt, req.finished)
	}
}
