package decide

import (
	"fmt"

	"beechgrade/internal/cluster/overload/retrybudget"
)

// duplicateCounts is what follows of a group's copies and repeats from its router's actions alone.
type duplicateCounts struct {
	since      Time
	firsts     int
	duplicates int
	floor      float64 // this router's part of it at most
}

// checkDuplicates states that a group's copies and repeats stay within what its first attempts, the floor and loans of others allow.
func (w *checker) checkDuplicates(r *Router, req *request, view *requestView) {
	b := r.settings.RetryBudget
	if b == nil {
		w.duplicatesByGroup = nil
		return
	}
	if w.duplicatesByGroup == nil {
		w.duplicatesByGroup = map[int]*duplicateCounts{}
	}
	t := w.duplicatesByGroup[req.group.id]
	if t == nil {
		t = &duplicateCounts{since: r.now}
		w.duplicatesByGroup[req.group.id] = t
	}
	t.floor = max(t.floor, b.Own(r.settings.Peers, r.settings.Processes))
	switch {
	case view.attempts == 0:
		t.firsts++
	case len(view.openAttempts) > 0 || view.mayHaveRun:
		t.duplicates++
	}
	most := b.Part*float64(t.firsts) + t.floor*(1+(r.now-t.since+retrybudget.Slow).Seconds()/b.Span.Seconds()) + b.Lent[req.group.id]
	w.checks.That(float64(t.duplicates) <= most+1e-6, "decide: no more copies and repeats than a part of first attempts, a floor and what was lent", func() string {
		return fmt.Sprintf("group %d: %d, of %v; %+v", req.group.id, t.duplicates, most, *t)
	})
}

// mayHaveRun reports whether an attempt that ended so may have run.
func mayHaveRun(res Result) bool {
	return res == Failed || res == TimedOut || res == Reset || res == Cancelled
}
