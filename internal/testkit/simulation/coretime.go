package simulation

import "beechgrade/internal/testkit/clients"

// CoreTime is the execution time at servers in seconds, by the result that the client had. It is measured at servers and clients.
type CoreTime struct {
	InTime           float64 `json:"in_time"`    // for attempts served within their latency objective
	Late             float64 `json:"late"`       // for first attempts served later
	LateRetries      float64 `json:"again"`      // for retries served later
	Wasted           float64 `json:"vain"`       // for attempts that were not served
	Abandoned        float64 `json:"after"`      // spent on attempts whose client's attempt had already ended
	MeanWait         float64 `json:"mean_wait"`  // mean time in ms that an attempt waited for a core
	CancelledWaiting uint64  `json:"called_off"` // number of attempts cancelled before execution
}

// coreTimeCounts accumulates CoreTime.
type coreTimeCounts struct {
	CoreTime
	waitedMs   float64
	executions uint64
}

// executed counts the execution of an attempt that a server has answered.
func (c *coreTimeCounts) executed(a *attempt) {
	waitedMs, executedMs := a.job.Times(a.pooler.sim.sched.now)
	if executedMs <= 0 || a.client == nil || a.pooler.sim.allRequestsDrawn {
		return
	}
	c.waitedMs += waitedMs
	c.executions++
	c.add(a, executedMs)
}

// cancelled counts an attempt that its pooler cancelled.
func (c *coreTimeCounts) cancelled(a *attempt) {
	if a.client == nil || !a.job.InProgress() || a.pooler.sim.allRequestsDrawn {
		return
	}
	_, executedMs := a.job.Times(a.pooler.sim.sched.now)
	if executedMs <= 0 {
		c.CancelledWaiting++
		return
	}
	c.add(a, executedMs)
}

func (c *coreTimeCounts) add(a *attempt, executedMs float64) {
	if a.client.ended {
		c.Abandoned += executedMs / 1000
	} else {
		a.client.executedMs += executedMs
	}
}

// attemptEnded adds the execution time of a client's attempt to that of its result.
func (c *coreTimeCounts) attemptEnded(ca *clientAttempt, t *clients.Attempt) {
	switch sec := ca.executedMs / 1000; {
	case t.Kind != clients.Served:
		c.Wasted += sec
	case t.Ended-t.First <= t.Class.Aim:
		c.InTime += sec
	case ca.number > 0:
		c.LateRetries += sec
	default:
		c.Late += sec
	}
	ca.executedMs = 0
}

func (c *coreTimeCounts) result() CoreTime {
	if c.executions > 0 {
		c.MeanWait = c.waitedMs / float64(c.executions)
	}
	return c.CoreTime
}
