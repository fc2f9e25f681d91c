package simulator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"beechgrade/internal/decide"
)

// maxCount limits the stated length of a list, so that an invalid one cannot exhaust the memory.
const maxCount = 10000

// settingValues reads typed values of the settings; a missing setting has the zero value of its type.
type settingValues struct {
	values map[string]string
	err    error // the first error
}

func (v *settingValues) fail(key string, err error) {
	if v.err == nil {
		v.err = fmt.Errorf("%s: %w", key, err)
	}
}

func (v *settingValues) float(key string) float64 {
	text := v.values[key]
	if text == "" {
		return 0
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		v.fail(key, err)
	}
	return x
}

// duration reads a number of nanoseconds.
func (v *settingValues) duration(key string) time.Duration {
	text := v.values[key]
	if text == "" {
		return 0
	}
	x, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		v.fail(key, err)
	}
	return time.Duration(x)
}

func (v *settingValues) int(key string) int { return int(v.duration(key)) }

func (v *settingValues) bool(key string) bool { return v.values[key] == "true" || v.values[key] == "1" }

func (v *settingValues) list(key string) []string {
	if v.values[key] == "" {
		return nil
	}
	return strings.Split(v.values[key], ",")
}

// count reads the stated length of a list.
func (v *settingValues) count(key string) int {
	n := v.int(key)
	if (n < 0 || n > maxCount) && v.err == nil {
		v.err = fmt.Errorf("%s: %d out of range", key, n)
		return 0
	}
	return n
}

// Settings maps the settings of the protocol to those of the decision module, and returns the time of position 0.
func Settings(values map[string]string) (decide.Settings, time.Duration, error) {
	v := &settingValues{values: values}
	listRole := values["family_info.shows_role"]
	s := decide.Settings{
		Peers:              v.int("siblings"),
		Zone:               v.int("my_zone"),
		Tick:               v.duration("tick_ns"),
		OverQuotaWeight:    v.float("over_share_worth"),
		WatchList:          values["membership_mode"] == "ask",
		ListStaleAfter:     v.duration("invariants.ask_every_ns"),
		StaleReadWait:      v.duration("family_info.holds_for_ns"),
		TrackCommits:       values["family_info.tokens"] == "kept",
		ListShowsRole:      listRole == "trailing" || listRole == "static",
		ListRoleLive:       listRole == "trailing",
		CapacityTracksLoad: values["weights"] == "live",
		MayCancel:          v.bool("allowed.may_cancel"),
		MayDuplicate:       v.bool("allowed.may_duplicate"),
		MayCheckHealth:     v.bool("allowed.probes"),
		MaxRetryAfter:      v.duration("allowed.max_retry_after_ns"),
		MaxAttempts:        v.int("allowed.max_attempts"),
		DrainGrace:         v.duration("invariants.drain_grace_ns"),
		DrainOnly:          v.bool("invariants.soft_removal"),
		SlowStartMultiple:  v.float("invariants.fall_multiple"),
		SlowStartSpan:      v.duration("invariants.tip_after_ns"),
		SlowStartFrom:      v.float("invariants.cold_from"),
		SlowStartTime:      v.duration("invariants.cold_ns"),
		CrossZoneCost:      v.float("prices.cross_zone"),
		HealthCheckCost:    v.float("prices.probe"),
		ReportsOnSend:      values["telemetry.source"] == "answers",
		StaleReads:         staleReadPolicy(values["family_info.when_behind"]),
	}
	if !v.bool("allowed.retry_after") {
		s.MaxRetryAfter = 0
	}
	if err := v.classes(&s); err != nil {
		return s, 0, err
	}
	for i := range v.count("tenants.count") {
		s.Tenants = append(s.Tenants, decide.Tenant{RateLimit: v.float("tenants." + strconv.Itoa(i) + ".allowance_per_s")})
	}
	return s, v.duration("family_info.position_zero_ns"), v.err
}

// classes reads the classes of requests.
func (v *settingValues) classes(s *decide.Settings) error {
	reads := v.list("family_info.class_read")
	bounds := v.list("family_info.staleness_bound_ns")
	for i := range v.count("request_classes.count") {
		class := v.class("request_classes." + strconv.Itoa(i) + ".")
		class.Read = decide.ReadFresh
		if i < len(reads) {
			class.Read = readKind(reads[i])
		}
		if i < len(bounds) {
			bound, err := strconv.ParseInt(bounds[i], 10, 64)
			if err != nil {
				return fmt.Errorf("staleness bound: %w", err)
			}
			class.MaxStaleness = time.Duration(bound)
		}
		s.Classes = append(s.Classes, class)
	}
	return nil
}

// class reads one class of requests; prefix begins the names of its settings.
func (v *settingValues) class(prefix string) decide.Class {
	return decide.Class{
		LatencyObjective: v.duration(prefix + "slo_ns"),
		Deadline:         v.duration(prefix + "deadline_ns"),
		PriorityWeight:   v.float(prefix + "points"),
		LateWeight:       v.float(prefix + "late_worth"),
		KeyWindow:        v.duration(prefix + "key_ttl_ns"),
		Idempotency:      idempotency(v.values[prefix+"effect"]),
		KeyScope:         keyScope(v.values[prefix+"group"]),
	}
}

func staleReadPolicy(text string) decide.StaleReadPolicy {
	switch text {
	case "bounce":
		return decide.StaleReadsRefused
	case "await":
		return decide.StaleReadsWait
	}
	return decide.StaleReadsAnswered
}

// idempotency maps the effect of a class. An unknown one is treated as NotIdempotent.
func idempotency(text string) decide.Idempotency {
	switch text {
	case "retryable":
		return decide.Idempotent
	case "dedup":
		return decide.IdempotentWithKey
	}
	return decide.NotIdempotent
}

func keyScope(text string) decide.KeyScope {
	switch text {
	case "cell":
		return decide.ScopeGroup
	case "zone":
		return decide.ScopeZone
	}
	return decide.ScopeAll
}

// readKind maps the consistency that the reads of a class need. An unknown one is treated as ReadFresh, which the primary satisfies.
func readKind(text string) decide.ReadKind {
	switch text {
	case "eventual":
		return decide.ReadAny
	case "lag_bound":
		return decide.ReadBounded
	case "causal":
		return decide.ReadSession
	case "mutate":
		return decide.Write
	}
	return decide.ReadFresh
}
