package reconcile

import (
	"fmt"
	"testing"
)

// BenchmarkChanges measures a report of changes to a tenth of 2,000 servers.
func BenchmarkChanges(b *testing.B) {
	r := New(Defaults("consul"))
	var all []Observation
	for i := range 2000 {
		all = append(all, Observation{ID: fmt.Sprint("s-", i), Address: fmt.Sprintf("10.0.%d.%d:5432", i/250, i%250), Group: i / 4, Weight: 1})
	}
	r.Observe(1, "consul", &Report{Full: true, Observations: all})
	r.TakeChanges()
	now := 2.0
	b.ResetTimer()
	for b.Loop() {
		now += 1000
		report := Report{}
		for i := range 200 {
			changed := all[(i*10+int(now/1000))%len(all)]
			changed.Weight = now
			report.Observations = append(report.Observations, changed)
		}
		r.Observe(now, "consul", &report)
		r.Tick(now)
		r.TakeChanges()
	}
}
