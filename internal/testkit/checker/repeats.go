package checker

import "fmt"

// RepeatsBounded counts what was sent again by poolers, outside them: of copies, and of repeats of what may have run, a group has no more than was earned
// by what was asked of it, as long as all poolers hear one another.
const RepeatsBounded Rule = "poolers send again no more of what may have run than they earn"

// repeats are those of the groups since the first ask.
type repeats struct {
	asked, again []int // by group
	began        int   // processes that began since
	told         []bool
}

func newRepeats(groups int) repeats {
	return repeats{asked: make([]int, groups), again: make([]int, groups), told: make([]bool, groups)}
}

// sentAgain holds an attempt, which goes out, to the bound of its group.
func (c *Checker) sentAgain(at float64, q *request, server int) {
	o := c.over
	if o == nil || o.Repeats == nil || !q.loads || len(o.troubles) > 0 && o.troubled(0, at, 0, func(x *trouble) bool { return x.poolers }) {
		return
	}
	for i := range q.attempts {
		if !q.attempts[i].never {
			o.twice.again[q.group]++
			break
		}
	}
	c.checked[RepeatsBounded]++
	n, most := o.twice.again[q.group], o.Repeats(o.twice.asked[q.group], o.Poolers+o.twice.began, at-o.from)
	if float64(n) > most && !o.twice.told[q.group] {
		o.twice.told[q.group] = true
		c.breach(Breach{Rule: RepeatsBounded, At: at, ID: q.id, Server: server, Text: fmt.Sprintf("group %d: %d sent again, of %d asked in %.0f ms; it may have %.1f", q.group, n,
			o.twice.asked[q.group], at-o.from, most)}, q.events)
	}
}
