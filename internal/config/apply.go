package config

import (
	"fmt"
	"reflect"
	"slices"

	"beechgrade/internal/decide"
)

// maxClasses bounds the classes that a process has ever had; removed classes keep their numbers.
const maxClasses = 1000

// CheckKeys checks that next has every key that c has. A configuration that lacks one is incomplete.
func (c *Config) CheckKeys(next *Config) error {
	for _, path := range c.keyPaths {
		if !slices.Contains(next.keyPaths, path) {
			return fmt.Errorf("%s: missing", path)
		}
	}
	return nil
}

// Apply applies the values of next that can change while the pooler serves. It returns the names of the values that changed, and of
// those that differ but cannot change. The initial list and the seed are ignored, as they are used at the start only. Classes, zones
// and machine types keep their numbers. A class that is not in next keeps its number, but not its objective.
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

// mergedSettings are the settings of a new configuration, with the numbers that classes and zones had before.
type mergedSettings struct {
	settings       decide.Settings
	classes, zones []string
	retired        []bool // by class number
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
		if nextIndex := slices.Index(next.Classes, name); nextIndex >= 0 {
			merged.settings.Classes[i] = next.Settings.Classes[nextIndex]
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

// retiredClass returns the settings of a class that was removed from the configuration. It gets no new requests; its open requests may
// be sent to the same servers, and be retried as often, as before.
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

// Retired reports whether the class of that number was removed from the configuration.
func (c *Config) Retired(class int) bool { return class < len(c.retired) && c.retired[class] }

// appendMissing returns names, followed by those of more that are not among them.
func appendMissing(names, more []string) []string {
	merged := slices.Clone(names)
	for _, name := range more {
		if !slices.Contains(merged, name) {
			merged = append(merged, name)
		}
	}
	return merged
}
