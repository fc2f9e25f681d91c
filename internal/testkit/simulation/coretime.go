package simulation

import "beechgrade/internal/testkit/clients"

// CoreTime is the execution time of servers, in seconds, by the result for the client; observed at servers and clients.
type CoreTime struct {
	InTime           float64 `json:"in_time"`    // for attempts served within their latency objective
	Late             float64 `json:"late"`       // for first attempts served later
	LateRetries      float64 `json:"again"`      // for retries served later
	Wasted           float64 `json:"vain"`       // for attempts that were not served
	Abandoned        float64 `json:"after"`      // after the client's attempt had ended
	MeanWait         float64 `json:"mean_wait"`  // mean wait for a core, ms
	CancelledWaiting uint64  `json:"called_off"` // number of attempts cancelled before execution
}

// coreTimeCounts accumulates CoreTime.
type coreTimeCounts struct {
	CoreTime
	waited float64
	jobs   uint64
}

// worked counts the execution of an attempt that a server has answered.
func (x *coreTimeCounts) worked(a *attempt) {
	waited, worked := a.job.Times(a.pooler.sim.sched.now)
	if worked <= 0 || a.client == nil || a.pooler.sim.allDrawn {
		return
	}
	x.waited += waited
	x.jobs++
	x.add(a, worked)
}

// cancelled counts an attempt that its pooler cancelled.
func (x *coreTimeCounts) cancelled(a *attempt) {
	if a.client == nil || !a.job.InProgress() || a.pooler.sim.allDrawn {
		return
	}
	_, worked := a.job.Times(a.pooler.sim.sched.now)
	if worked <= 0 {
		x.CancelledWaiting++
		return
	}
	x.add(a, worked)
}

func (x *coreTimeCounts) add(a *attempt, worked float64) {
	if a.client.ended {
		x.Abandoned += worked / 1000
	} else {
		a.client.workedMs += worked
	}
}

// ended assigns the execution time of a client's attempt to its result.
func (x *coreTimeCounts) ended(v *clientAttempt, t *clients.Attempt) {
	switch sec := v.workedMs / 1000; {
	case t.Kind != clients.Served:
		x.Wasted += sec
	case t.Ended-t.First <= t.Class.Aim:
		x.InTime += sec
	case v.number > 0:
		x.LateRetries += sec
	default:
		x.Late += sec
	}
	v.workedMs = 0
}

func (x *coreTimeCounts) result() CoreTime {
	if x.jobs > 0 {
		x.MeanWait = x.waited / float64(x.jobs)
	}
	return x.CoreTime
}
