package simulation

import "beechgrade/internal/testkit/clients"

// Spent is what servers' cores did, in seconds, while clients asked, by what became of it for the client; counted at servers and clients.
type Spent struct {
	InTime float64 `json:"in_time"`    // for tries that were served within their aim
	Late   float64 `json:"late"`       // for first tries served later
	Again  float64 `json:"again"`      // for retries served later
	Vain   float64 `json:"vain"`       // for those that ended in any other way while it ran or before
	After  float64 `json:"after"`      // done, or begun and called off, after its try was over
	Waits  float64 `json:"mean_wait"`  // ms for a core, of what had one
	Unrun  uint64  `json:"called_off"` // called off before it had a core
}

// spends keeps the counts.
type spends struct {
	Spent
	waited float64
	jobs   uint64
}

// worked counts the work on an attempt that a server has answered.
func (x *spends) worked(a *attempt) {
	waited, worked := a.job.Times(a.p.e.s.now)
	if worked <= 0 || a.v == nil || a.p.e.drawn {
		return
	}
	x.waited += waited
	x.jobs++
	x.had(a, worked)
}

// calledOff counts an attempt that its pooler wants no more.
func (x *spends) calledOff(a *attempt) {
	if a.v == nil || !a.job.InProgress() || a.p.e.drawn {
		return
	}
	_, worked := a.job.Times(a.p.e.s.now)
	if worked <= 0 {
		x.Unrun++
		return
	}
	x.had(a, worked)
}

func (x *spends) had(a *attempt, worked float64) {
	if a.v.over {
		x.After += worked / 1000
	} else {
		a.v.worked += worked
	}
}

// ended counts what a try that is over had.
func (x *spends) ended(v *visit, t *clients.Try) {
	switch sec := v.worked / 1000; {
	case t.Kind != clients.Served:
		x.Vain += sec
	case t.Ended-t.First <= t.Class.Aim:
		x.InTime += sec
	case v.no > 0:
		x.Again += sec
	default:
		x.Late += sec
	}
	v.worked = 0
}

func (x *spends) result() Spent {
	if x.jobs > 0 {
		x.Waits = x.waited / float64(x.jobs)
	}
	return x.Spent
}
