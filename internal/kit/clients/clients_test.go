package clients

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestPlan guards against a rehearsal that its seed does not repeat, or that does not ask what its script has.
func TestPlan(t *testing.T) {
	cfg := Defaults()
	cfg.Seed, cfg.Groups, cfg.Rate, cfg.Seconds = 7, 3, 200, 30
	cfg.Jumps = []Jump{{From: 10000, To: 20000, Times: 2}}
	a, b := Plan(cfg), Plan(cfg)
	if diff := cmp.Diff(a, b); diff != "" {
		t.Fatalf("the same seed gives another plan: %s", diff)
	}
	cfg.Seed = 8
	if cmp.Equal(a, Plan(cfg)) {
		t.Error("another seed gives the same plan")
	}
	var in, out, follows, reads int
	for _, x := range a {
		if x.At >= 10000 && x.At < 20000 {
			in++
		} else {
			out++
		}
		if cfg.Classes[x.Class].Read == ReadSession {
			reads++
			if x.Follows >= 0 {
				follows++
				if w := a[x.Follows]; w.Key != x.Key || w.At > x.At || w.Group != x.Group {
					t.Fatalf("%+v follows %+v", x, w)
				}
			}
		}
	}
	if in < 3600 || in > 4400 || out < 3600 || out > 4400 {
		t.Errorf("%d asks in the jump of 10 s, %d in the other 20 s; 4000 each are meant", in, out)
	}
	if part := float64(follows) / float64(reads); part < 0.6 || part > 0.8 {
		t.Errorf("%.2f of the session reads follow a write", part)
	}
}

// TestJudge guards against a stale value that passes, and against a verdict where none can be given.
func TestJudge(t *testing.T) {
	key := "k"
	for name, c := range map[string]struct {
		read         Read
		sent         float64
		number       uint64
		stale, alien bool
	}{
		"the newest":                      {ReadSession, 50, 2, false, false},
		"one before it":                   {ReadSession, 50, 1, true, false},
		"nothing":                         {ReadSession, 50, 0, true, false},
		"before any answer":               {ReadSession, 15, 0, false, false},
		"written at the same time":        {ReadSession, 100, 2, false, false},
		"never answered":                  {ReadSession, 50, 9, false, false},
		"within the bound":                {ReadBounded, 230, 1, false, false},
		"beyond the bound":                {ReadBounded, 250, 1, true, false},
		"any read":                        {ReadAny, 1e6, 0, false, false},
		"another key's":                   {ReadAny, 1e6, 77, false, true},
		"a write that says another value": {Write, 50, 77, false, true},
	} {
		try := &Try{Ask: &Ask{Key: key}, Class: &Class{Read: c.read, Bound: 200}, Sent: c.sent, Wrote: 2}
		switch {
		case c.number == 77:
			try.Value = Value("other", 2)
		case c.number > 0:
			try.Value = Value(key, c.number)
		}
		Sessions{key: {writes: []written{{1, 10, 20}, {2, 30, 40}, {3, 35, 90}}}}.Served(try)
		if try.Stale != c.stale || try.Alien != c.alien {
			t.Errorf("%s: stale %v, alien %v", name, try.Stale, try.Alien)
		}
	}
}
