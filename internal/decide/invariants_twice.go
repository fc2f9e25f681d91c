package decide

import (
	"fmt"

	"beechgrade/internal/cluster/overload/retrybudget"
)

// twice is what follows of a group's copies and repeats from its router's actions alone.
type twice struct {
	since  Time
	firsts int
	again  int
	floor  float64 // this router's part of it at most
}

// checkRepeats states that a group's copies and repeats stay within what its first attempts, the floor and loans of others allow.
func (w *watch) checkRepeats(r *Router, req *request, view *requestView) {
	b := r.set.Repeats
	if b == nil {
		w.twice = nil
		return
	}
	if w.twice == nil {
		w.twice = map[int]*twice{}
	}
	t := w.twice[req.group.id]
	if t == nil {
		t = &twice{since: r.now}
		w.twice[req.group.id] = t
	}
	t.floor = max(t.floor, b.Own(r.set.Peers, r.set.Processes))
	switch {
	case view.attempts == 0:
		t.firsts++
	case len(view.out) > 0 || view.ran:
		t.again++
	}
	most := b.Part*float64(t.firsts) + t.floor*(1+(r.now-t.since+retrybudget.Slow).Seconds()/b.Span.Seconds()) + b.Lent[req.group.id]
	w.checks.That(float64(t.again) <= most+1e-6, "decide: no more copies and repeats than a part of first attempts, a floor and what was lent", func() string {
		return fmt.Sprintf("group %d: %d, of %v; %+v", req.group.id, t.again, most, *t)
	})
}

// mayRun reports whether an attempt that ended so may have run.
func mayRun(res Result) bool {
	return res == Failed || res == TimedOut || res == Reset || res == Cancelled
}
