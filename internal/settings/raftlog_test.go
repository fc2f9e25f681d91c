package settings

import (
	"strings"
	"testing"
)

// TestRaftLogSettings checks the values of (agreed ...), and that each mistake is an error of one line.
func TestRaftLogSettings(t *testing.T) {
	const peers = `(peers (listen "127.0.0.1:1") (key "/k"))`
	parse := func(text string) (*Settings, error) {
		return Parse("f", []byte(peers+text), func(string) string { return "/disk" })
	}
	settings, err := parse(`(agreed (voters "a" "b" "c") (dir "$D/agreed") (tick 100ms) (election 10) (heartbeat 1) (witness 5))`)
	if err != nil {
		t.Fatalf("parse (agreed ...): %v", err)
	}
	log := settings.RaftLog
	if !log.Enabled || log.Dir != "/disk/agreed" || log.Settings.TickInterval != 100 || len(log.Settings.Voters) != 3 {
		t.Fatalf("parsed as %+v, want it enabled in /disk/agreed, with a tick of 100 ms and 3 voters", log)
	}
	for text, want := range map[string]string{
		`(agreed (voters "a" "b") (dir "d"))`:                                 "three or five names",
		`(agreed (voters "a" "b" "a") (dir "d"))`:                             "duplicate voter",
		`(agreed (voters "a" "b" "c"))`:                                       "(dir",
		`(agreed (voters "a" "b" "c") (dir "d") (election 4) (heartbeat 2))`:  "four times",
		`(agreed (voters "a" "b" "c") (dir "d") (tick 1ms))`:                  "50",
		`(agreed (voters "a" "b" "c") (dir "d") (elections 4) (heartbeat 2))`: "elections",
	} {
		if _, err := parse(text); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", text, err, want)
		}
	}
	if _, err := Parse("f", []byte(`(agreed (voters "a" "b" "c") (dir "d"))`), nil); err == nil || !strings.Contains(err.Error(), "needs (peers ...)") {
		t.Errorf("without (peers ...): error %v, want one that names it", err)
	}
}
