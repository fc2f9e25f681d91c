package settings

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestFleetLimitsSettings checks that errors in (fleet-limits ...) name their place, and that the text of settings reads as the
// same again.
func TestFleetLimitsSettings(t *testing.T) {
	peers := `(peers (listen "1.2.3.4:5") (key "k"))`
	env := func(string) string { return "" }
	all := `(fleet-limits (lease 8s) (limit "a" (of tenant "x") (rate 100) (burst 50) (reserve 0.2) (beyond worth-less))
		(limit "b" (of queries "ana") (at-once 4) (manner never-over)) (limit "c" (of queries "ana") (rate 2) (manner soon-even))
		(limit "d" (of pool "db" "u/v") (at-once 9)) (limit "e" (of cold)) (limit "f" (of probes) (rate 50) (manner soon-even)) (limit "g" (of lists) (rate 0.5)))`
	for in, want := range map[string]string{
		`(fleet-limits (limit "a" (of cold)))`:                                          `o:1:1: (fleet-limits ...) needs (peers ...)`,
		peers + `(fleet-limits)`:                                                        `o:1:39: (fleet-limits ...) needs a (limit ...)`,
		peers + `(fleet-limits (limit "a" (rate 5)))`:                                   `o:1:53: limit "a": (of WHAT ...) is due`,
		peers + `(fleet-limits (limit "a" (of tenant) (rate 5)))`:                       `o:1:68: tenant or queries with a name, pool with a database and a user, cold, probes, lists, dials or shards is due here`,
		peers + `(fleet-limits (limit "a" (of tenant "x")))`:                            `o:1:53: limit "a": (rate A-SECOND) is due, or (at-once N) where something goes on: of a pool, of shards, or of queries`,
		peers + `(fleet-limits (limit "a" (of tenant "x") (at-once 5)))`:                `o:1:53: limit "a": (rate A-SECOND) is due, or (at-once N) where something goes on: of a pool, of shards, or of queries`,
		peers + `(fleet-limits (limit "a" (of queries "x") (rate 5) (at-once 5)))`:      `o:1:53: limit "a": (rate A-SECOND) is due, or (at-once N) where something goes on: of a pool, of shards, or of queries`,
		peers + `(fleet-limits (limit "a" (of cold) (rate 5)))`:                         `o:1:53: limit "a": how much cold servers bear is known from elsewhere`,
		peers + `(fleet-limits (limit "a" (of cold)) (limit "a" (of probes) (rate 1)))`: `o:1:82: there is a limit "a" already`,
		peers + `(fleet-limits (limit "a" (of cold)) (limit "b" (of cold)))`:            `o:1:75: limit "b": there is another of the same`,
		peers + `(fleet-limits (limit "a" (of cold) (manner mild)))`:                    `o:1:74: never-over or soon-even or fixed is due here`,
		peers + `(fleet-limits (promise 1s) (limit "a" (of cold)))`:                     `o:1:39: a promise of 1000 ms and a lease of 10000 ms are to be four times the 500 ms between asks at least`,
		peers + `(fleet-limits (soon 2s) (limit "a" (of cold)))`:                        `o:1:39: what is asked again soon, after 2000 ms, is asked later than every 500 ms`,
		peers + all: ``,
	} {
		_, err := Parse("o", []byte(in), env)
		got := ""
		if err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("%s: %q, want %q", in, got, want)
		}
	}
	one, _ := Parse("o", []byte(peers+all), env)
	two, err := Parse("o", []byte(peers+one.FleetLimits.String()), env)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(one.FleetLimits, two.FleetLimits); diff != "" || len(one.FleetLimits.Limits) != 7 || one.FleetLimits.Limits[3].Subject != "db/u/v" {
		t.Error(diff, one.FleetLimits.Limits)
	}
}
