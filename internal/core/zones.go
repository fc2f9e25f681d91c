package core

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
)

// ZoneObserver receives where servers are, what is asked, and how attempts ended, for the fleet to plan which zone serves what.
type ZoneObserver interface {
	Listed(list *discovery.List, whole bool)
	Received(group, class int)
	AttemptEnded(server string, class int, result decide.Result, ms float64, overtaken bool)
	HealthChecked(server string, ok bool)
}

// zoneOverride is the zone that the router takes this pooler to be in, and the price of another zone; the settings' own unless on.
type zoneOverride struct {
	zone   string
	price  float64
	active bool
}

// SetZoneObserver sets the receiver.
func (c *Core) SetZoneObserver(geography ZoneObserver) { c.fleet.zoneObserver = geography }

// SetZone has the router take another zone as its own, and sets the price of an attempt into others; below 0 for the settings' price.
func (c *Core) SetZone(zone string, price float64) {
	if s := (zoneOverride{zone, price, true}); s != c.fleet.zoneOverride {
		c.fleet.zoneOverride = s
		c.reload()
	}
}

// applyZone puts the zone and the price into settings.
func (c *Core) applyZone(set *decide.Settings) {
	if s := &c.fleet.zoneOverride; s.active {
		set.Zone = c.zoneNumbers.number(s.zone)
		if s.price >= 0 {
			set.CrossZoneCost = s.price
		}
	}
}

// RelativeRate returns a server's rate relative to others of its kind.
func (c *Core) RelativeRate(server string) float64 {
	return c.router.RelativeRate(decide.ServerID(server))
}

// countDemand counts a request that arrived, countAttempt how an attempt ended.
func (c *Core) countDemand(ev *decide.Request) {
	if geography := c.fleet.zoneObserver; geography != nil {
		geography.Received(ev.Group, ev.Class)
	}
}

func (c *Core) countAttempt(req *request, no int, result decide.Result) {
	if geography := c.fleet.zoneObserver; geography != nil {
		t := &req.attempts[no]
		geography.AttemptEnded(string(t.server), req.class, result, c.loop.Now()-t.startedAt, req.finished)
	}
}

// reportList passes a list on.
func (c *Core) reportList(list *discovery.List, kind decide.ListKind) {
	if geography := c.fleet.zoneObserver; geography != nil {
		geography.Listed(list, kind != decide.ListChanges)
	}
}

// WarmUpFactor returns the part of its capacity that a server has, by the time of its start.
func (c *Core) WarmUpFactor(startedMs float64) float64 {
	set := &c.config.Settings
	age := c.loop.Now() - startedMs
	if startedMs <= 0 || set.SlowStartTime <= 0 || age >= clock.ToMillis(set.SlowStartTime) {
		return 1
	}
	return set.SlowStartFrom + (1-set.SlowStartFrom)*max(0, age)/clock.ToMillis(set.SlowStartTime)
}
