package simulation

import (
	"slices"

	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// linkFaults are what befalls those from poolers to servers, and from the list to poolers. They outlive processes.
type linkFaults struct {
	servers      int
	cut          []int       // faults in force, by pooler*servers+server
	lossy        [][]float64 // parts that are lost, likewise
	listsHeld    []int       // by pooler
	pendingLists [][]func()  // lists that it is yet to be told
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

// inject has a fault of ways strike, or end.
func (w *linkFaults) inject(f *scenario.Fault, servers []*model.Server, on bool) {
	for _, p := range f.Poolers {
		for _, s := range servers {
			k := p*w.servers + s.No
			switch {
			case f.Kind == "cut" && on:
				w.cut[k]++
			case f.Kind == "cut":
				w.cut[k]--
			case on:
				w.lossy[k] = append(w.lossy[k], f.Value)
			default:
				if i := slices.Index(w.lossy[k], f.Value); i >= 0 {
					w.lossy[k] = slices.Delete(w.lossy[k], i, i+1)
				}
			}
		}
	}
}

// healthy tells whether nothing befalls the way from a pooler to a server.
func (w *linkFaults) healthy(p, s int) bool {
	k := p*w.servers + s
	return w.cut[k] == 0 && len(w.lossy[k]) == 0
}

// holdLists has the list tell some poolers nothing, or all that it has not told them.
func (w *linkFaults) holdLists(poolers []int, on bool) {
	for _, p := range poolers {
		if on {
			w.listsHeld[p]++
			continue
		}
		if w.listsHeld[p]--; w.listsHeld[p] == 0 {
			waits := w.pendingLists[p]
			w.pendingLists[p] = nil
			for _, tell := range waits {
				tell()
			}
		}
	}
}

// holdList keeps what the list would tell a pooler until it may.
func (w *linkFaults) holdList(p int, tell func()) bool {
	if w.listsHeld[p] == 0 {
		return false
	}
	w.pendingLists[p] = append(w.pendingLists[p], tell)
	return true
}

// cut tells whether nothing gets from this pooler to a server.
func (p *pooler) cut(s *model.Server) bool {
	return p.sim.links.cut[p.no*p.sim.links.servers+s.No] > 0 || p.sim.sitesCut(p, s)
}

// dropsRequest draws whether what it sends to a server is lost on a thin way.
func (p *pooler) dropsRequest(s *model.Server) bool {
	for _, part := range p.sim.links.lossy[p.no*p.sim.links.servers+s.No] {
		if p.sim.rng.Float64() < part {
			return true
		}
	}
	return false
}
