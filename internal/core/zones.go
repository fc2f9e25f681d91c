package core

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
)

// ZoneObserver receives where servers are, what is requested, and how attempts ended, for the fleet to plan which zone serves
// what.
type ZoneObserver interface {
	Listed(list *discovery.List, whole bool)
	Received(group, class int)
	AttemptEnded(server string, class int, result decide.Result, ms float64, overtaken bool)
	HealthChecked(server string, ok bool)
}

// zoneOverride is the zone that the router assumes this pooler to be in, and the cost of another zone; the settings' own unless
// active.
type zoneOverride struct {
	zone   string
	price  float64
	active bool
}

// SetZoneObserver sets the observer.
func (c *Core) SetZoneObserver(observer ZoneObserver) { c.fleet.zoneObserver = observer }

// SetZone has the router take another zone as its own, and sets the cost of an attempt into others; below 0 for the settings'
// cost.
func (c *Core) SetZone(zone string, price float64) {
	override := zoneOverride{zone: zone, price: price, active: true}
	if override != c.fleet.zoneOverride {
		c.fleet.zoneOverride = override
		c.reload()
	}
}

// applyZone puts the zone and the cost into settings.
func (c *Core) applyZone(settings *decide.Settings) {
	override := &c.fleet.zoneOverride
	if !override.active {
		return
	}
	settings.Zone = c.zoneNumbers.number(override.zone)
	if override.price >= 0 {
		settings.CrossZoneCost = override.price
	}
}

// RelativeRate returns a server's rate relative to others of its kind.
func (c *Core) RelativeRate(server string) float64 {
	return c.router.RelativeRate(decide.ServerID(server))
}

// WarmUpFactor returns the part of its capacity that a server has, by the time of its start.
func (c *Core) WarmUpFactor(startedMs float64) float64 {
	settings := &c.config.Settings
	age := c.loop.Now() - startedMs
	if startedMs <= 0 || settings.SlowStartTime <= 0 || age >= clock.ToMillis(settings.SlowStartTime) {
		return 1
	}
	from := settings.SlowStartFrom
	return from + (1-from)*max(0, age)/clock.ToMillis(settings.SlowStartTime)
}

// countAttempt counts how an attempt ended.
func (c *Core) countAttempt(req *request, number int, result decide.Result) {
	if observer := c.fleet.zoneObserver; observer != nil {
		a := &req.attempts[number]
		observer.AttemptEnded(string(a.server), req.class, result, c.loop.Now()-a.startedAt, req.finished)
	}
}
