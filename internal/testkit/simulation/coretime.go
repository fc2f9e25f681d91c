package simulation

import "beechgrade/internal/testkit/clients"

// CoreTime is what servers' cores did, in seconds, while clients asked, by what became of it for the client; counted at servers and clients.
type CoreTime struct {
	InTime           float64 `json:"in_time"`    // for tries that were served within their aim
	Late             float64 `json:"late"`       // for first tries served later
	RetriesLate      float64 `json:"again"`      // for retries served later
	Wasted           float64 `json:"vain"`       // for those that ended in any other way while it ran or before
	Abandoned        float64 `json:"after"`      // done, or begun and called off, after its try was over
	MeanWait         float64 `json:"mean_wait"`  // ms for a core, of what had one
	CancelledWaiting uint64  `json:"called_off"` // called off before it had a core
}

// coreTimeCounts keeps the counts.
type coreTimeCounts struct {
	CoreTime
	waited float64
	jobs   uint64
}

// worked counts the work on an attempt that a server has answered.
func (x *coreTimeCounts) worked(a *attempt) {
	waited, worked := a.job.Times(a.pooler.sim.sched.now)
	if worked <= 0 || a.client == nil || a.pooler.sim.allDrawn {
		return
	}
	x.waited += waited
	x.jobs++
	x.add(a, worked)
}

// cancelled counts an attempt that its pooler wants no more.
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

// ended counts what a try that is over had.
func (x *coreTimeCounts) ended(v *clientAttempt, t *clients.Try) {
	switch sec := v.workedMs / 1000; {
	case t.Kind != clients.Served:
		x.Wasted += sec
	case t.Ended-t.First <= t.Class.Aim:
		x.InTime += sec
	case v.number > 0:
		x.RetriesLate += sec
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
