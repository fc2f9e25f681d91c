package clickhouse

import (
	"net/http"
	"testing"
)

// TestLagIsTheLongestDelayRoundedUp: the lag is the longest delay of any table, rounded up. A report without a delay, or with a
// read-only table, has no lag: taking it for 0 would send reads to a server with stale data.
func TestLagIsTheLongestDelayRoundedUp(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		report string
		wantMs float64
		wantOK bool
	}{
		"two tables":       {http.StatusOK, "a.b:\tAbsolute delay: 0. Relative delay: 0.\na.c:\tAbsolute delay: 3. Relative delay: 1.\n", 4000, true},
		"far behind":       {http.StatusServiceUnavailable, "a.b:\tAbsolute delay: 600. Relative delay: 600.\n", 601000, true},
		"no tables":        {http.StatusOK, "Ok.\n", 0, false},
		"read-only table":  {http.StatusOK, "a.b:\tAbsolute delay: 1. Relative delay: 0.\na.c:\tIs readonly. \n", 0, false},
		"no number":        {http.StatusOK, "a.b:\tAbsolute delay: x. Relative delay: 0.\n", 0, false},
		"no end of number": {http.StatusOK, "a.b:\tAbsolute delay: 5", 0, false},
		"another status":   {http.StatusInternalServerError, "a.b:\tAbsolute delay: 1. Relative delay: 0.\n", 0, false},
	} {
		ms, ok := parseLag(c.status, c.report)
		if ms != c.wantMs || ok != c.wantOK {
			t.Errorf("%s: lag %v ms, known %v, want %v ms, %v", name, ms, ok, c.wantMs, c.wantOK)
		}
	}
}
