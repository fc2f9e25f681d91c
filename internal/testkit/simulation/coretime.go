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
func (x *coreTimeCounts) executed(a *attempt) {
	waitedMs, executedMs := a.job.Times(a.pooler.sim.sched.now)
	if executedMs <= 0 || a.client == nil || a.pooler.sim.allRequestsDrawn {
		return
	}
	x.waitedMs += waitedMs
	x.executions++
	x.add(a, executedMs)
}

// cancelled counts an attempt that its pooler cancelled.
func (x *coreTimeCounts) cancelled(a *attempt) {
	if a.client == nil || !a.job.InProgress() || a.pooler.sim.allRequestsDrawn {
		return
	}
	_, executedMs := a.job.Times(a.pooler.sim.sched.now)
	if executedMs <= 0 {
		x.CancelledWaiting++
		return
	}
	x.add(a, executedMs)
}

func (x *coreTimeCounts) add(a *attempt, executedMs float64) {
	if a.client.ended {
		x.Abandoned += executedMs / 1000
	} else {
		a.client.executedMs += executedMs
	}
}

// attemptEnded adds the execution time of a client's attempt to that of its result.
func (x *coreTimeCounts) attemptEnded(v *clientAttempt, t *clients.Attempt) {
	switch sec := v.executedMs / 1000; {
	case t.Kind != clients.Served:
		x.Wasted += sec
	case t.Ended-t.First <= t.Class.Aim:
		x.InTime += sec
	case v.number > 0:
		x.LateRetries += sec
	default:
		x.Late += sec
	}
	v.executedMs = 0
}

func (x *coreTimeCounts) result() CoreTime {
	if x.executions > 0 {
		x.MeanWait = x.waitedMs / float64(x.executions)
	}
	return x.CoreTime
}
