package emulate

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/core"
	"beechgrade/internal/decide"
	"beechgrade/internal/peers/overload/joined"
	"beechgrade/internal/peers/part"
)

// partsEach is how many ticks there are for one walk over the state of what handles overload.
const partsEach = 8

// sharer tells the checker what a pooler hears of servers through others' probes.
type sharer struct {
	*core.Core
	x *peer
}

func (c sharer) ProbeTold(store string, result decide.Result, said backend.Said, ageMs float64) {
	if e := c.x.p.e; result == decide.OK && said.Role != decide.RoleUnknown {
		if st := c.x.p.store(store); st != nil {
			e.check.Word(e.s.now, said.Position, c.x.p.no, st.s.No, said.Role == decide.RolePrimary)
		}
	}
	c.Core.ProbeTold(store, result, said, ageMs)
}

// Overloaded has poolers handle overload as one.
func Overloaded(opt joined.Options) Joined {
	return func(h Host) []part.Part {
		c := h.x.p.core
		opt, told := opt, joined.Core(sharer{c, h.x})
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
		j.Begin()
		return []part.Part{j}
	}
}
