package simulation

import (
	"slices"

	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// linkFaults holds the active faults of the links from poolers to servers, and of the delivery of endpoint lists to poolers. They survive
// the restart of a process.
type linkFaults struct {
	servers      int
	cut          []int       // number of faults that cut a link, by pooler*servers+server
	lossy        [][]float64 // loss rates of the active faults, by pooler*servers+server
	listsHeld    []int       // by pooler: number of faults that hold its lists back
	pendingLists [][]func()  // by pooler: deliveries that are held back
}

func newLinkFaults(poolers, servers int) *linkFaults {
	return &linkFaults{
		servers:      servers,
		cut:          make([]int, poolers*servers),
		lossy:        make([][]float64, poolers*servers),
		listsHeld:    make([]int, poolers),
		pendingLists: make([][]func(), poolers),
	}
}

// inject starts a fault of links, or ends it if on is false.
func (l *linkFaults) inject(f *scenario.Fault, servers []*model.Server, on bool) {
	for _, p := range f.Poolers {
		for _, s := range servers {
			k := p*l.servers + s.No
			switch {
			case f.Kind == "cut" && on:
				l.cut[k]++
			case f.Kind == "cut":
				l.cut[k]--
			case on:
				l.lossy[k] = append(l.lossy[k], f.Value)
			default:
				if i := slices.Index(l.lossy[k], f.Value); i >= 0 {
					l.lossy[k] = slices.Delete(l.lossy[k], i, i+1)
				}
			}
		}
	}
}

// healthy reports whether no fault affects the link from a pooler to a server.
func (l *linkFaults) healthy(p, s int) bool {
	k := p*l.servers + s
	return l.cut[k] == 0 && len(l.lossy[k]) == 0
}

// holdLists starts to hold lists back from some poolers, or ends it if on is false. It then makes the deliveries that no other fault holds
// back.
func (l *linkFaults) holdLists(poolers []int, on bool) {
	for _, p := range poolers {
		if on {
			l.listsHeld[p]++
			continue
		}
		if l.listsHeld[p]--; l.listsHeld[p] == 0 {
			pending := l.pendingLists[p]
			l.pendingLists[p] = nil
			for _, deliver := range pending {
				deliver()
			}
		}
	}
}

// holdList holds a delivery back if a fault holds the pooler's lists, and reports whether one does.
func (l *linkFaults) holdList(p int, deliver func()) bool {
	if l.listsHeld[p] == 0 {
		return false
	}
	l.pendingLists[p] = append(l.pendingLists[p], deliver)
	return true
}

// linkCut reports whether a fault cuts the link from this pooler to a server, or between their sites.
func (p *pooler) linkCut(s *model.Server) bool {
	return p.sim.links.cut[p.no*p.sim.links.servers+s.No] > 0 || p.sim.sitesDisconnected(p, s)
}

// dropsRequest draws whether a request to a server is lost because of a fault of the link.
func (p *pooler) dropsRequest(s *model.Server) bool {
	for _, rate := range p.sim.links.lossy[p.no*p.sim.links.servers+s.No] {
		if p.sim.rng.Float64() < rate {
			return true
		}
	}
	return false
}
