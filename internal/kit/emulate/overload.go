package emulate

import (
	"beechgrade/internal/peers/overload/joined"
	"beechgrade/internal/peers/part"
)

// partsEach is how many ticks there are for one walk over the state of what handles overload.
const partsEach = 8

// Overloaded has poolers handle overload as one.
func Overloaded(opt joined.Options) Joined {
	return func(h Host) []part.Part {
		c := h.x.p.core
		opt, told := opt, joined.Core(c)
		if m := h.x.p.e.opt.Mutant; m != nil {
			if m.Over != nil {
				m.Over(h.No(), &opt)
			}
			if m.Core != nil {
				told = m.Core(h.No(), c)
			}
		}
		j := joined.New(opt, told, h)
		j.Check(h.x.p.e.checks, partsEach)
		if opt.Shed {
			c.Weigh(j)
		}
		if opt.Share {
			c.Probing(joined.Prober{Joined: j})
		}
		h.x.over = j
		return []part.Part{j}
	}
}
