package config

import (
	"fmt"
	"reflect"
	"slices"

	"beechgrade/internal/decide"
)

// maxClasses bounds the names of classes over the life of a process.
const maxClasses = 1000

// CheckKeys checks that another configuration has all keys that this one has; one that lacks a key is not complete.
func (c *Config) CheckKeys(next *Config) error {
	for _, path := range c.keyPaths {
		if !slices.Contains(next.keyPaths, path) {
			return fmt.Errorf("%s: missing", path)
		}
	}
	return nil
}

// Apply takes over from next what can change while the pooler serves. It returns the names of what has changed, and of what would have
// to change but cannot. The initial list and the seed are of use at the start only. Classes, zones and machine types keep their
// numbers; a class that is not in next keeps its number without its objective.
func (c *Config) Apply(next *Config) (changed, unchangeable []string) {
	apply := func(name string, differs bool, change func()) {
		if differs {
			change()
			changed = append(changed, name)
		}
	}
	refuse := func(name string, differs bool) {
		if differs {
			unchangeable = append(unchangeable, name)
		}
	}
	apply("discovery", c.DiscoveryAddress != next.DiscoveryAddress, func() { c.DiscoveryAddress = next.DiscoveryAddress })
	apply("limits", c.Limits != next.Limits, func() { c.Limits = next.Limits })
	apply("connect_timeout_ns", c.ConnectTimeoutMs != next.ConnectTimeoutMs, func() { c.ConnectTimeoutMs = next.ConnectTimeoutMs })
	apply("idle_close_ns", c.ServerIdleTimeoutMs != next.ServerIdleTimeoutMs, func() { c.ServerIdleTimeoutMs = next.ServerIdleTimeoutMs })
	refuse("name", c.Name != next.Name)
	refuse("listen", c.ListenAddress != next.ListenAddress)
	refuse("control", c.AdminAddress != next.AdminAddress)

	merged := c.merge(next)
	if len(merged.classes) > maxClasses {
		refuse("request classes' names", true)
		return changed, unchangeable
	}
	apply("settings", !reflect.DeepEqual(c.Settings, merged.settings), func() {
		c.Settings = merged.settings
		c.Classes = merged.classes
		c.Zones = merged.zones
		c.MachineTypes = appendMissing(c.MachineTypes, next.MachineTypes)
		c.retired = merged.retired
		c.Tenants = next.Tenants
	})
	c.keyPaths = next.keyPaths
	return changed, unchangeable
}

// mergedSettings are the settings of a new configuration, by the numbers that classes and zones have had.
type mergedSettings struct {
	settings       decide.Settings
	classes, zones []string
	retired        []bool // by the classes' numbers
}

func (c *Config) merge(next *Config) mergedSettings {
	merged := mergedSettings{
		settings: next.Settings,
		classes:  appendMissing(c.Classes, next.Classes),
		zones:    appendMissing(c.Zones, next.Zones),
	}
	merged.settings.Classes = make([]decide.Class, len(merged.classes))
	merged.retired = make([]bool, len(merged.classes))
	for i, name := range merged.classes {
		if k := slices.Index(next.Classes, name); k >= 0 {
			merged.settings.Classes[i] = next.Settings.Classes[k]
		} else {
			merged.settings.Classes[i] = retiredClass(c.Settings.Classes[i])
			merged.retired[i] = true
		}
	}
	if zone := merged.settings.Zone; zone >= 0 && zone < len(next.Zones) {
		merged.settings.Zone = slices.Index(merged.zones, next.Zones[zone])
	}
	return merged
}

// retiredClass is a class that is not in the configuration any more. There are no new requests of it; those that are open may go to the
// same servers, and as often, as before.
func retiredClass(class decide.Class) decide.Class {
	return decide.Class{
		LateWeight:   class.LateWeight,
		Idempotency:  class.Idempotency,
		KeyScope:     class.KeyScope,
		KeyWindow:    class.KeyWindow,
		Read:         class.Read,
		MaxStaleness: class.MaxStaleness,
	}
}

// Retired reports whether the class of that number is not in the configuration any more.
func (c *Config) Retired(class int) bool { return class < len(c.retired) && c.retired[class] }

// appendMissing returns names with those of more that it lacks behind them.
func appendMissing(names, more []string) []string {
	merged := slices.Clone(names)
	for _, name := range more {
		if !slices.Contains(merged, name) {
			merged = append(merged, name)
		}
	}
	return merged
}
