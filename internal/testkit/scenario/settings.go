package scenario

import (
	"fmt"
	"strconv"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/config"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/testkit/clients"
)

// ConnectMs is the poolers' connect timeout.
const ConnectMs = 250

// unlimitedSockets is a number of file descriptors that no simulated pooler exceeds.
const unlimitedSockets = 1 << 20

// MaxAttempts is the maximum number of a pooler's attempts of a request.
const MaxAttempts = 8

// PoolerSettings returns the configuration that the platform gives a pooler, in the form of its configuration file.
func (s *Script) PoolerSettings(no int, name, listen, disco string, seed uint64, sockets int, known discovery.List) map[string]any {
	ns := func(ms float64) int64 { return int64(ms * 1e6) }
	var classes []map[string]any
	var reads []string
	var bounds []int64
	for _, c := range s.Clients.Classes {
		effect := "retryable"
		if c.Read == clients.Write {
			effect = "fragile"
		}
		if c.KeyMs > 0 {
			effect = "dedup"
		}
		classes = append(classes, map[string]any{
			"name":        c.Name,
			"effect":      effect,
			"group":       "cell",
			"key_ttl_ns":  ns(c.KeyMs),
			"slo_ns":      ns(c.Aim),
			"deadline_ns": ns(c.Deadline),
			"points":      c.Worth,
			"late_worth":  c.LateWorth,
		})
		read := c.Read
		if s.Clients.ClickHouse && read == clients.Write { // any member accepts it, once
			read = clients.ReadAny
		}
		reads, bounds = append(reads, string(read)), append(bounds, ns(c.Bound))
	}
	tenants := []map[string]any{}
	for i := range s.Clients.Tenants {
		t := &s.Clients.Tenants[i]
		tenants = append(tenants, map[string]any{"name": t.Name, "share": t.Share, "allowance_per_s": s.Clients.AllowanceOf(t)})
	}
	zones, mode := s.Sites, "ask"
	if len(zones) == 0 {
		zones = []string{"room"}
	}
	if s.Pushed {
		mode = "push"
	}
	if known.Instances == nil {
		known.Instances = []discovery.Instance{}
	}
	return map[string]any{
		"name":      name,
		"listen":    listen,
		"discovery": disco,
		"seed":      strconv.FormatUint(seed, 16),
		"limits":    map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": s.sockets(sockets)},
		"known":     known,
		"settings": map[string]any{
			"siblings":         s.Poolers,
			"tick_ns":          2000000,
			"my_zone":          no % len(zones),
			"zones":            zones,
			"tenants":          tenants,
			"over_share_worth": s.Clients.OverShareWorth,
			"kinds":            []string{"padrao-4"},
			"weights":          "nominal",
			"membership_mode":  mode,
			"allowed": map[string]any{
				"connect_timeout_ns": ns(ConnectMs),
				"idle_close_ns":      ns(s.IdleMs),
				"max_attempts":       MaxAttempts,
				"max_retry_after_ns": 2000000000,
				"may_cancel":         true,
				"may_duplicate":      true,
				"probes":             true,
				"retry_after":        true,
			},
			"family_info": map[string]any{"class_read": reads, "staleness_bound_ns": bounds, "shows_role": "trailing", "tells_position": true,
				"tokens": "brought", "when_behind": "none"},
			"invariants": map[string]any{"cold_from": s.Fleet.ColdShare, "cold_ns": ns(s.Fleet.ColdMs), "drain_grace_ns": ns(s.Fleet.GraceMs),
				"fall_multiple": s.Fleet.OverloadFactor, "tip_after_ns": ns(s.Fleet.OverloadWindowMs)},
			"prices":          map[string]any{"probe": s.ProbePrice, "cross_zone": s.CrossPrice},
			"telemetry":       map[string]any{"source": "probe", "fields": []string{"x0", "x1"}},
			"request_classes": classes,
		},
	}
}

// sockets returns the number of file descriptors of a pooler: as many as needed but at least 1024, unless the script sets a number.
func (s *Script) sockets(needed int) int {
	if s.Descriptors > 0 {
		return s.Descriptors
	}
	return max(1024, needed)
}

// Config returns the parsed configuration of a pooler.
func (s *Script) Config(no int, name string, seed uint64, known discovery.List) (*config.Config, error) {
	b, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(s.PoolerSettings(no, name, "127.0.0.1:1", "127.0.0.1:1", seed, unlimitedSockets, known))
	if err != nil {
		return nil, err
	}
	return config.Parse(b, func(string) string { return "" })
}

// OperatorSettings returns the operators' settings of a daemon for the scenario; clickHouseAddr is the address of its ClickHouse frontend.
func (s *Script) OperatorSettings(clickHouseAddr string) string {
	if !s.Clients.ClickHouse {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "(clickhouse (listen %q) (group 0) (deadline-header %q)\n", clickHouseAddr, clients.WaitField)
	for _, c := range s.Clients.Classes {
		bound := ""
		if c.Bound > 0 {
			bound = fmt.Sprintf(" (bound %gms)", c.Bound)
		}
		fmt.Fprintf(&b, "\t(class %q (header %q %q) (aim %gms) (deadline %gms) (worth %g)%s)\n", c.Name, clients.ClassField, c.Name, c.Aim, c.Deadline, c.Worth, bound)
	}
	return b.String() + ")\n"
}
