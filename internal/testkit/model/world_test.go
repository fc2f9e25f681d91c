package model

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// standing is a clock that stands where it is set; what is due later never comes.
type standing struct{ ms float64 }

func (s *standing) Now() float64                 { return s.ms }
func (s *standing) After(float64, Event, uint64) {}

// deaf is a watcher that does nothing.
type deaf struct{}

func (deaf) Down(*Server)                {}
func (deaf) FactRecorded(Fact)           {}
func (deaf) Listed(*Entry, float64)      {}
func (deaf) ListDown(bool)               {}
func (deaf) Registered()                 {}
func (deaf) Executed(*Server, *Job, Run) {}

// still is a world on a clock that stands.
func still(groups ...int) (*World, *standing) {
	clk := &standing{1.7e12}
	cfg := Defaults(groups...)
	cfg.ShipDelay, cfg.ApplyMs = Range{10, 10}, 20
	return New(cfg, clk, deaf{}), clk
}

// TestPositions guards against replicas that show what they can't have yet: a position covers all commits up to it, and
// what is read is of that position.
func TestPositions(t *testing.T) {
	f, clk := still(2)
	g, p, r := f.Groups[0], f.Servers[0], f.Servers[1]
	type seen struct {
		Position float64
		Value    string
	}
	look := func(s *Server, at float64) seen {
		clk.ms = 1.7e12 + at
		s.advance(clk.ms)
		return seen{s.position(clk.ms) - 1.7e12, string(s.Read("k"))}
	}
	clk.ms = 1.7e12 + 99.5
	if commit := g.Write(clk.ms, "k", []byte("a")); commit != 1.7e12+100 {
		t.Errorf("committed at %v, rounded up it is 100", commit-1.7e12)
	}
	g.Write(1.7e12+105, "k", []byte("b"))
	for _, c := range []struct {
		at   float64
		want seen
	}{{105, seen{95, ""}}, {115, seen{99, ""}}, {129, seen{99, ""}}, {131, seen{104, "a"}}, {149, seen{104, "a"}}, {151, seen{141, "b"}}} {
		if diff := cmp.Diff(c.want, look(r, c.at)); diff != "" {
			t.Errorf("the replica at %v: %s", c.at, diff)
		}
	}
	if diff := cmp.Diff(seen{151, "b"}, look(p, 151)); diff != "" {
		t.Errorf("the primary: %s", diff)
	}
	g.Write(1.7e12+160, "k", []byte("c"))
	clk.ms = 1.7e12 + 165
	if err := f.Kill(p.Name); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(seen{165, "c"}, look(r, 900)); diff != "" {
		t.Errorf("without a primary, positions stand still: %s", diff)
	}
	g.Primary = nil
	g.promote(clk.ms)
	if g.Primary != r || look(r, 950).Position != 950 {
		t.Errorf("the replica did not take over: %+v", look(r, 950))
	}
	g.Write(1.7e12+960, "k", []byte("d"))
	clk.ms = 1.7e12 + 2000
	if err := f.Revive(p.Name); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(seen{959, "c"}, look(p, 2000)); diff != "" {
		t.Errorf("the old primary goes on from where it stood: %s", diff)
	}
	if diff := cmp.Diff(seen{2030, "d"}, look(p, 2040)); diff != "" {
		t.Errorf("it catches up: %s", diff)
	}
	if w := p.Warmth(2000 + 1.7e12); w != f.Cfg.ColdShare {
		t.Errorf("it starts with %v of its capacity", w)
	}
}

// TestColdServerFailsUnderOverload guards against a cold server that stands whatever it is sent.
func TestColdServerFailsUnderOverload(t *testing.T) {
	f, clk := still(1)
	s := f.Servers[0]
	s.Started = clk.ms
	sum, fell := 0.0, false
	for !fell && sum < 1e5 {
		fell = s.recordColdWork(clk.ms, 10)
		sum += 10
	}
	if want := 2.5 * 0.15 * 4 * 1500; !fell || sum < want || sum > want+20 {
		t.Errorf("fell: %v after %v ms of work; its bound is %v", fell, sum, want)
	}
	clk.ms += 60000
	if s.recordColdWork(clk.ms, 1e6) {
		t.Error("a warm server was pushed over")
	}
}
