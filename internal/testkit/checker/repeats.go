package checker

import "fmt"

// RepeatsBounded limits the hedged requests, and retries of attempts that may have run, of a group to the retry budget that its requests
// earn, while all poolers can reach one another.
const RepeatsBounded Rule = "poolers send again no more of what may have run than they earn"

// repeatCounts are the counts by group since the first request.
type repeatCounts struct {
	received, repeated []int // by group
	processesStarted   int   // pooler processes started since the first request
	reported           []bool
}

func newRepeatCounts(groups int) repeatCounts {
	return repeatCounts{received: make([]int, groups), repeated: make([]int, groups), reported: make([]bool, groups)}
}

// checkRepeat checks an attempt that is sent against the bound of its group.
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
		c.breach(Breach{
			Rule:   RepeatsBounded,
			At:     at,
			ID:     request.id,
			Server: server,
			Text: fmt.Sprintf("group %d: %d sent again, of %d asked in %.0f ms; it may have %.1f", request.group, n,
				o.repeats.received[request.group], at-o.start, most),
		}, request.events)
	}
}
