package backend

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade"
	"beechgrade/internal/clock"
	"beechgrade/internal/loop"
)

// TestReport guards against believing half of a report that cannot be read, or a position that no server can have.
func TestReport(t *testing.T) {
	p := &Pool{loop: loop.New(&clock.Manual{Ms: 5000}, nil, nil, nil)}
	unreadable := Outcome{Result: beechgrade.Failed}
	for report, want := range map[string]Outcome{
		"":                       {Result: beechgrade.OK}, // it has none yet
		"x0=4.25,x1=1":           {Result: beechgrade.OK, Role: beechgrade.RolePrimary, Position: 4250, HasPos: true},
		"x1=0, x0=5.0019,load=7": {Result: beechgrade.OK, Role: beechgrade.RoleReplica, Position: 5001, HasPos: true},
		"x0=4.25":                unreadable,
		"x1=1":                   unreadable,
		"x0=nan,x1=1":            unreadable,
		"x0=inf,x1=1":            unreadable,
		"x0=1e300,x1=1":          unreadable,
		"x0=6,x1=1":              unreadable, // it lies ahead
		"x0=-4,x1=1":             unreadable,
		"x0=4,x1=2":              unreadable,
		"x0=4,x1=":               unreadable,
		"\xff\x00":               unreadable,
	} {
		row := append([]byte{0, 1, 0, 0, 0, byte(len(report))}, report...)
		if diff := cmp.Diff(want, p.report(row)); diff != "" {
			t.Errorf("%q: %s", report, diff)
		}
	}
}
