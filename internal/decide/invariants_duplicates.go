package decide

import (
	"fmt"

	"beechgrade/internal/cluster/overload/retrybudget"
)

// budgetTolerance is the rounding error allowed in a retry budget.
const budgetTolerance = 1e-6

// duplicateCounts counts a group's first attempts and duplicates (hedged requests and retries) by the
// router's actions alone.
type duplicateCounts struct {
	since      Time
	firsts     int
	duplicates int
	floor      float64 // the largest share of the floor that this router has had
}

// checkDuplicates checks that a group's hedged requests and retries stay within what its first attempts, the
// floor and loans from other routers allow.
func (c *checker) checkDuplicates(r *Router, request *request, view *requestView) {
	budget := r.settings.RetryBudget
	if budget == nil {
		c.duplicatesByGroup = nil
		return
	}
	if c.duplicatesByGroup == nil {
		c.duplicatesByGroup = map[int]*duplicateCounts{}
	}
	counts := c.duplicatesByGroup[request.group.id]
	if counts == nil {
		counts = &duplicateCounts{since: r.now}
		c.duplicatesByGroup[request.group.id] = counts
	}
	counts.floor = max(counts.floor, budget.OwnFloor(r.settings.Peers, r.settings.Processes))
	switch {
	case view.attempts == 0:
		counts.firsts++
	case len(view.openAttempts) > 0 || view.mayHaveRun:
		counts.duplicates++
	}
	spans := (r.now - counts.since + retrybudget.SlowStartTime).Seconds() / budget.Span.Seconds()
	most := budget.AttemptShare*float64(counts.firsts) + counts.floor*(1+spans) + budget.Lent[request.group.id]
	c.checks.That(float64(counts.duplicates) <= most+budgetTolerance, "decide: duplicates stay within the retry budget", func() string {
		return fmt.Sprintf("group %d: %d duplicates, at most %v allowed; %+v", request.group.id, counts.duplicates, most, *counts)
	})
}
