package simulator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"beechgrade/internal/decide"
)

// pairs reads typed values out of the settings; a missing key is its type's zero.
type pairs struct {
	m   map[string]string
	err error
}

func (p *pairs) float(key string) float64 {
	v, ok := p.m[key]
	if !ok || v == "" {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("%s: %w", key, err)
	}
	return x
}

func (p *pairs) dur(key string) time.Duration {
	v, ok := p.m[key]
	if !ok || v == "" {
		return 0
	}
	x, err := strconv.ParseInt(v, 10, 64)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("%s: %w", key, err)
	}
	return time.Duration(x)
}

func (p *pairs) flag(key string) bool { return p.m[key] == "true" || p.m[key] == "1" }

func (p *pairs) list(key string) []string {
	if p.m[key] == "" {
		return nil
	}
	return strings.Split(p.m[key], ",")
}

// maxCount bounds a list's stated length, so that a malformed count cannot take all memory.
const maxCount = 10000

func (p *pairs) count(key string) int {
	n := int(p.dur(key))
	if (n < 0 || n > maxCount) && p.err == nil {
		p.err = fmt.Errorf("%s: %d out of range", key, n)
		return 0
	}
	return n
}

// Settings turns the wire's pairs into the router's settings and the zero of positions.
func Settings(m map[string]string) (decide.Settings, time.Duration, error) {
	p := &pairs{m: m}
	s := decide.Settings{
		Peers:              int(p.dur("siblings")),
		Zone:               int(p.dur("my_zone")),
		Tick:               p.dur("tick_ns"),
		OverQuotaWeight:    p.float("over_share_worth"),
		WatchList:          m["membership_mode"] == "ask",
		ListStaleAfter:     p.dur("invariants.ask_every_ns"),
		StaleReadWait:      p.dur("family_info.holds_for_ns"),
		TrackCommits:       m["family_info.tokens"] == "kept",
		ListShowsRole:      m["family_info.shows_role"] == "trailing" || m["family_info.shows_role"] == "static",
		ListRoleLive:       m["family_info.shows_role"] == "trailing",
		CapacityTracksLoad: m["weights"] == "live",
		MayCancel:          p.flag("allowed.may_cancel"),
		MayDuplicate:       p.flag("allowed.may_duplicate"),
		MayCheckHealth:     p.flag("allowed.probes"),
		MaxRetryAfter:      p.dur("allowed.max_retry_after_ns"),
		MaxAttempts:        int(p.dur("allowed.max_attempts")),
		DrainGrace:         p.dur("invariants.drain_grace_ns"),
		DrainOnly:          p.flag("invariants.soft_removal"),
		SlowStartMultiple:  p.float("invariants.fall_multiple"),
		SlowStartSpan:      p.dur("invariants.tip_after_ns"),
		SlowStartFrom:      p.float("invariants.cold_from"),
		SlowStartTime:      p.dur("invariants.cold_ns"),
		CrossZoneCost:      p.float("prices.cross_zone"),
		HealthCheckCost:    p.float("prices.probe"),
		ReportsOnSend:      m["telemetry.source"] == "answers",
	}
	if !p.flag("allowed.retry_after") {
		s.MaxRetryAfter = 0
	}
	switch m["family_info.when_behind"] {
	case "bounce":
		s.StaleReads = decide.StaleReadsRefused
	case "await":
		s.StaleReads = decide.StaleReadsWait
	}
	reads, bounds := p.list("family_info.class_read"), p.list("family_info.staleness_bound_ns")
	for i := range p.count("request_classes.count") {
		at := "request_classes." + strconv.Itoa(i) + "."
		c := decide.Class{
			LatencyObjective: p.dur(at + "slo_ns"),
			Deadline:         p.dur(at + "deadline_ns"),
			PriorityWeight:   p.float(at + "points"),
			LateWeight:       p.float(at + "late_worth"),
			KeyWindow:        p.dur(at + "key_ttl_ns"),
		}
		switch m[at+"effect"] {
		case "retryable":
		case "dedup":
			c.Idempotency = decide.IdempotentWithKey
		default: // an effect not known here is treated as the most fragile
			c.Idempotency = decide.NotIdempotent
		}
		switch m[at+"group"] {
		case "cell":
			c.KeyScope = decide.ScopeGroup
		case "zone":
			c.KeyScope = decide.ScopeZone
		}
		c.Read = decide.ReadFresh // a need not known here is met by the primary
		if i < len(reads) {
			switch reads[i] {
			case "eventual":
				c.Read = decide.ReadAny
			case "lag_bound":
				c.Read = decide.ReadBounded
			case "causal":
				c.Read = decide.ReadSession
			case "mutate":
				c.Read = decide.Write
			}
		}
		if i < len(bounds) {
			b, err := strconv.ParseInt(bounds[i], 10, 64)
			if err != nil {
				return s, 0, fmt.Errorf("staleness bound: %w", err)
			}
			c.MaxStaleness = time.Duration(b)
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range p.count("tenants.count") {
		s.Tenants = append(s.Tenants, decide.Tenant{
			RateLimit: p.float("tenants." + strconv.Itoa(i) + ".allowance_per_s"),
		})
	}
	return s, p.dur("family_info.position_zero_ns"), p.err
}
