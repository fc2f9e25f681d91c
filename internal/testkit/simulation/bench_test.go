package simulation

import (
	"context"
	"testing"

	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// BenchmarkWorld is the world's own pace: servers that take, work and answer, without poolers.
func BenchmarkWorld(b *testing.B) {
	sim := &Simulation{}
	sim.sched.now = startTimeMs
	groups := make([]int, 250)
	for i := range groups {
		groups[i] = 4
	}
	cfg := model.Defaults(groups...)
	cfg.Cores = 64
	sim.world = model.New(cfg, &sim.sched, quiet{})
	const open = 20000
	asks := make([]owner, open)
	for i := range asks {
		asks[i] = owner{e: sim, s: sim.world.Servers[i%len(sim.world.Servers)]}
		asks[i].Fire(0)
	}
	b.ResetTimer()
	for sim.sched.events < uint64(b.N) {
		x := sim.sched.pop()
		sim.sched.now = x.at
		sim.sched.events++
		x.event.Fire(x.arg)
	}
	b.ReportMetric(float64(sim.sched.events)/b.Elapsed().Seconds(), "events/s")
}

// owner asks a server again and again.
type owner struct {
	e   *Simulation
	s   *model.Server
	job model.Job
}

func (o *owner) Fire(uint64) {
	o.job = model.Job{Key: "k", Work: 40, Owner: o}
	o.s.Submit(&o.job)
}

func (o *owner) Answered(*model.Job, model.Reply) { o.e.sched.After(1, o, 0) }

type quiet struct{}

func (quiet) Down(*model.Server)                            {}
func (quiet) FactRecorded(model.Fact)                       {}
func (quiet) Listed(*model.Entry, float64)                  {}
func (quiet) ListDown(bool)                                 {}
func (quiet) Registered()                                   {}
func (quiet) Executed(*model.Server, *model.Job, model.Run) {}

func benchScenario(b *testing.B, text string) {
	s, err := scenario.Parse("bench", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	var events, tries uint64
	var module, wall, virtual float64
	for i := range b.N {
		r, err := Run(context.Background(), s, Options{Seed: uint64(i), Meter: true})
		if err != nil {
			b.Fatal(err)
		}
		events, tries, module, wall, virtual = events+r.Events, tries+r.ClientAttempts, module+r.ModuleMs, wall+r.WallMs, virtual+r.VirtualMs
	}
	b.ReportMetric(float64(events)/wall*1000, "events/s")
	b.ReportMetric(1000*module/float64(tries), "module-us/try")
	b.ReportMetric(virtual/wall, "virtual/real")
}

// The sizes at which virtual time is held against real time: a server of four cores is asked 15 a second.
func BenchmarkServers10(b *testing.B) {
	benchScenario(b, `(rehearsal "x" (seconds 20) (poolers 3) (groups 3 3 4) (rate 150))`)
}

func BenchmarkServers100(b *testing.B) {
	benchScenario(b, `(rehearsal "x" (seconds 10) (poolers 10) (groups-of 25 4) (rate 1500) (sessions 4000))`)
}

func BenchmarkServers1000(b *testing.B) {
	benchScenario(b, `(rehearsal "x" (seconds 5) (poolers 100) (groups-of 250 4) (rate 15000) (sessions 40000))`)
}
