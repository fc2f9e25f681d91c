package settings

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestFleetLimitsSettings checks that errors in (fleet-limits ...) name their position, and that settings that are formatted read back
// the same.
func TestFleetLimitsSettings(t *testing.T) {
	peers := `(peers (listen "1.2.3.4:5") (key "k"))`
	env := func(string) string { return "" }
	all := `(fleet-limits (lease 8s) (limit "a" (of tenant "x") (rate 100) (burst 50) (reserve 0.2) (beyond worth-less))
		(limit "b" (of queries "ana") (at-once 4) (manner never-over)) (limit "c" (of queries "ana") (rate 2) (manner soon-even))
		(limit "d" (of pool "db" "u/v") (at-once 9)) (limit "e" (of cold)) (limit "f" (of probes) (rate 50) (manner soon-even)) (limit "g" (of lists) (rate 0.5)))`
	for in, want := range map[string]string{
		`(fleet-limits (limit "a" (of cold)))`:                                          `o:1:1: (fleet-limits ...) needs (peers ...)`,
		peers + `(fleet-limits)`:                                                        `o:1:39: (fleet-limits ...) needs a (limit ...)`,
		peers + `(fleet-limits (limit "a" (rate 5)))`:                                   `o:1:53: limit "a": (of WHAT ...) is missing`,
		peers + `(fleet-limits (limit "a" (of tenant) (rate 5)))`:                       `o:1:68: expected tenant or queries with a name, pool with a database and a user, cold, probes, lists, dials or shards`,
		peers + `(fleet-limits (limit "a" (of tenant "x")))`:                            `o:1:53: limit "a": expected (rate PER-SECOND); or (at-once N) for pool and shards; or either of them for queries`,
		peers + `(fleet-limits (limit "a" (of tenant "x") (at-once 5)))`:                `o:1:53: limit "a": expected (rate PER-SECOND); or (at-once N) for pool and shards; or either of them for queries`,
		peers + `(fleet-limits (limit "a" (of queries "x") (rate 5) (at-once 5)))`:      `o:1:53: limit "a": expected (rate PER-SECOND); or (at-once N) for pool and shards; or either of them for queries`,
		peers + `(fleet-limits (limit "a" (of cold) (rate 5)))`:                         `o:1:53: limit "a": (of cold) takes no (rate ...) or (at-once ...), as the slow-start budget has no amount of its own`,
		peers + `(fleet-limits (limit "a" (of cold)) (limit "a" (of probes) (rate 1)))`: `o:1:82: duplicate limit "a"`,
		peers + `(fleet-limits (limit "a" (of cold)) (limit "b" (of cold)))`:            `o:1:75: limit "b": another limit is of the same resource, subject and kind`,
		peers + `(fleet-limits (limit "a" (of cold) (manner mild)))`:                    `o:1:74: expected never-over or soon-even or fixed`,
		peers + `(fleet-limits (promise 1s) (limit "a" (of cold)))`:                     `o:1:39: (promise ...) of 1000 ms and (lease ...) of 10000 ms must be at least four times (renew ...) of 500 ms`,
		peers + `(fleet-limits (soon 2s) (limit "a" (of cold)))`:                        `o:1:39: (soon ...) of 2000 ms must not be longer than (renew ...) of 500 ms`,
		peers + all: ``,
	} {
		_, err := Parse("o", []byte(in), env)
		got := ""
		if err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("%s: error %q, want %q", in, got, want)
		}
	}
	original, _ := Parse("o", []byte(peers+all), env)
	reparsed, err := Parse("o", []byte(peers+original.FleetLimits.String()), env)
	if err != nil {
		t.Fatalf("parse the formatted limits: %v", err)
	}
	if diff := cmp.Diff(original.FleetLimits, reparsed.FleetLimits); diff != "" || len(original.FleetLimits.Limits) != 7 || original.FleetLimits.Limits[3].Subject != "db/u/v" {
		t.Errorf("limits formatted and parsed again (-want +got):\n%s\nparsed first: %+v, want 7, the fourth of db/u/v", diff, original.FleetLimits.Limits)
	}
}
