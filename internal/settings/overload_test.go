package settings

import (
	"strings"
	"testing"
)

// TestOverloadSettings checks the values and errors of (overload ...).
func TestOverloadSettings(t *testing.T) {
	for in, want := range map[string]string{
		`(overload)`: `o:1:1: (overload ...) needs (peers ...)`,
		`(peers (listen "1.2.3.4:5") (key "k")) (overload (period 500ms) (stale 1s))`: `o:1:40: with (period ...) of 500 ms, (stale ...) of 1000 ms leaves no room for a lost report`,
		`(peers (listen "1.2.3.4:5") (key "k")) (overload (collectors 0))`:            `o:1:62: 0 is out of range`,
		`(peers (listen "1.2.3.4:5") (key "k")) (overload (returns 0))`:               `o:1:59: 0 is out of range`,
		`(peers (listen "1.2.3.4:5") (key "k")) (overload (repeats (part -1)))`:       `o:1:65: -1 is out of range`,
		`(peers (listen "1.2.3.4:5") (key "k")) (overload (probes (share no)))`:       ``,
	} {
		settings, err := Parse("o", []byte(in), func(string) string { return "" })
		got := ""
		if err != nil {
			got = err.Error()
		}
		if !strings.HasPrefix(got, want) || (want == "") != (got == "") {
			t.Errorf("%s: error %q, want one that begins with %q", in, got, want)
		}
		if want != "" {
			continue
		}
		overload := settings.Overload
		if !overload.Enabled || overload.SheddingEnabled || overload.ProbeSharingEnabled || overload.RetryBudgetEnabled || overload.RecoveryRampRate != 0 {
			t.Errorf("parsed as %+v, want it enabled, without shedding, probe sharing, retry budget and recovery ramp", overload)
		}
	}
}
