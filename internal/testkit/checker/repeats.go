package checker

import "fmt"

// RepeatsBounded counts what was sent again by poolers, outside them: of copies, and of repeats of what may have run, a group has no more than was earned
// by what was asked of it, as long as all poolers hear one another.
const RepeatsBounded Rule = "poolers send again no more of what may have run than they earn"

// repeatCounts are those of the groups since the first ask.
type repeatCounts struct {
	received, repeated []int // by group
	processesStarted   int   // processes that began since
	reported           []bool
}

func newRepeatCounts(groups int) repeatCounts {
	return repeatCounts{received: make([]int, groups), repeated: make([]int, groups), reported: make([]bool, groups)}
}

// checkRepeat holds an attempt, which goes out, to the bound of its group.
func (c *Checker) checkRepeat(at float64, request *clientRequest, server int) {
	o := c.overload
	if o == nil || o.MaxRepeats == nil || !request.countsAsLoad || len(o.faults) > 0 && o.faultDuring(0, at, 0, func(x *faultSpan) bool { return x.poolers }) {
		return
	}
	for i := range request.attempts {
		if !request.attempts[i].neverRan {
			o.repeats.repeated[request.group]++
			break
		}
	}
	c.checked[RepeatsBounded]++
	n, most := o.repeats.repeated[request.group], o.MaxRepeats(o.repeats.received[request.group], o.Poolers+o.repeats.processesStarted, at-o.start)
	if float64(n) > most && !o.repeats.reported[request.group] {
		o.repeats.reported[request.group] = true
		c.breach(Breach{Rule: RepeatsBounded, At: at, ID: request.id, Server: server, Text: fmt.Sprintf("group %d: %d sent again, of %d asked in %.0f ms; it may have %.1f", request.group, n,
			o.repeats.received[request.group], at-o.start, most)}, request.events)
	}
}
