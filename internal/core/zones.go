package core

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
)

// Geography receives where servers are, what is asked, and how attempts ended, for the fleet to plan which zone serves what.
type Geography interface {
	Listed(list *discovery.List, whole bool)
	Asked(group, class int)
	Tried(server string, class int, result decide.Result, ms float64, overtaken bool)
	Probed(server string, ok bool)
}

// zoneSetting is the zone that the router takes this pooler to be in, and the price of another zone; the settings' own unless on.
type zoneSetting struct {
	zone  string
	price float64
	on    bool
}

// SetGeography sets the receiver.
func (c *Core) SetGeography(geography Geography) { c.fleet.geography = geography }

// SetZone has the router take another zone as its own, and sets the price of an attempt into others; below 0 for the settings' price.
func (c *Core) SetZone(zone string, price float64) {
	if s := (zoneSetting{zone, price, true}); s != c.fleet.zone {
		c.fleet.zone = s
		c.reload()
	}
}

// applyZone puts the zone and the price into settings.
func (c *Core) applyZone(set *decide.Settings) {
	if s := &c.fleet.zone; s.on {
		set.Zone = c.zones.number(s.zone)
		if s.price >= 0 {
			set.PriceCross = s.price
		}
	}
}

// Pace returns a server's rate relative to others of its kind.
func (c *Core) Pace(server string) float64 { return c.router.Pace(decide.ServerID(server)) }

// countDemand counts a request that arrived, countAttempt how an attempt ended.
func (c *Core) countDemand(ev *decide.Request) {
	if geography := c.fleet.geography; geography != nil {
		geography.Asked(ev.Group, ev.Class)
	}
}

func (c *Core) countAttempt(req *request, no int, result decide.Result) {
	if geography := c.fleet.geography; geography != nil {
		t := &req.attempts[no]
		geography.Tried(string(t.server), req.class, result, c.loop.Now()-t.begun, req.over)
	}
}

// reportList passes a list on.
func (c *Core) reportList(list *discovery.List, kind decide.ListKind) {
	if geography := c.fleet.geography; geography != nil {
		geography.Listed(list, kind != decide.ListChanges)
	}
}

// Cold returns the part of its capacity that a server has, by the time of its start.
func (c *Core) Cold(startedMs float64) float64 {
	set := &c.cfg.Settings
	age := c.loop.Now() - startedMs
	if startedMs <= 0 || set.ColdTime <= 0 || age >= clock.Millis(set.ColdTime) {
		return 1
	}
	return set.ColdFrom + (1-set.ColdFrom)*max(0, age)/clock.Millis(set.ColdTime)
}
