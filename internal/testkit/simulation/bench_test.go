package simulation

import (
	"context"
	"testing"

	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// BenchmarkWorld measures the model alone: servers that accept, execute and answer jobs, without poolers.
func BenchmarkWorld(b *testing.B) {
	sim := &Simulation{}
	sim.sched.now = startTimeMs
	groups := make([]int, 250)
	for i := range groups {
		groups[i] = 4
	}
	cfg := model.Defaults(groups...)
	cfg.Cores = 64
	sim.world = model.New(cfg, &sim.sched, discardEvents{})
	const openRequests = 20000
	requesters := make([]repeatingClient, openRequests)
	for i := range requesters {
		requesters[i] = repeatingClient{sim: sim, server: sim.world.Servers[i%len(sim.world.Servers)]}
		requesters[i].Fire(0)
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

// repeatingClient submits a job to a server, and the next one 1 ms after each answer.
type repeatingClient struct {
	sim    *Simulation
	server *model.Server
	job    model.Job
}

func (c *repeatingClient) Fire(uint64) {
	c.job = model.Job{Key: "k", Work: 40, Owner: c}
	c.server.Submit(&c.job)
}

func (c *repeatingClient) Answered(*model.Job, model.Reply) { c.sim.sched.After(1, c, 0) }

// discardEvents ignores the events of the model.
type discardEvents struct{}

func (discardEvents) Down(*model.Server)                            {}
func (discardEvents) FactRecorded(model.Fact)                       {}
func (discardEvents) Listed(*model.Entry, float64)                  {}
func (discardEvents) ListDown(bool)                                 {}
func (discardEvents) Registered()                                   {}
func (discardEvents) Executed(*model.Server, *model.Job, model.Run) {}

// benchScenario runs a scenario b.N times and reports its metrics.
func benchScenario(b *testing.B, text string) {
	s, err := scenario.Parse("bench", []byte(text))
	if err != nil {
		b.Fatalf("parsing the scenario: %v", err)
	}
	var events, attempts uint64
	var module, wall, virtual float64
	for i := range b.N {
		r, err := Run(context.Background(), s, Options{Seed: uint64(i), Meter: true})
		if err != nil {
			b.Fatalf("running the scenario with seed %d: %v", i, err)
		}
		events, attempts, module, wall, virtual = events+r.Events, attempts+r.ClientAttempts, module+r.ModuleMs, wall+r.WallMs, virtual+r.VirtualMs
	}
	b.ReportMetric(float64(events)/wall*1000, "events/s")
	b.ReportMetric(1000*module/float64(attempts), "module-us/try")
	b.ReportMetric(virtual/wall, "virtual/real")
}

// Fleet sizes at which the speed of virtual time is compared with real time, each with 15 requests per second for each server.
func BenchmarkServers10(b *testing.B) {
	benchScenario(b, `(rehearsal "x" (seconds 20) (poolers 3) (groups 3 3 4) (rate 150))`)
}

func BenchmarkServers100(b *testing.B) {
	benchScenario(b, `(rehearsal "x" (seconds 10) (poolers 10) (groups-of 25 4) (rate 1500) (sessions 4000))`)
}

func BenchmarkServers1000(b *testing.B) {
	benchScenario(b, `(rehearsal "x" (seconds 5) (poolers 100) (groups-of 250 4) (rate 15000) (sessions 40000))`)
}
