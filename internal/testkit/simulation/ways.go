package simulation

import (
	"slices"

	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// ways are what befalls those from poolers to servers, and from the list to poolers. They outlive processes.
type ways struct {
	servers int
	cut     []int       // faults in force, by pooler*servers+server
	thin    [][]float64 // parts that are lost, likewise
	held    []int       // by pooler
	waits   [][]func()  // lists that it is yet to be told
}

func newWays(poolers, servers int) *ways {
	return &ways{servers: servers, cut: make([]int, poolers*servers), thin: make([][]float64, poolers*servers), held: make([]int, poolers), waits: make([][]func(), poolers)}
}

// strike has a fault of ways strike, or end.
func (w *ways) strike(f *scenario.Fault, servers []*model.Server, on bool) {
	for _, p := range f.Poolers {
		for _, s := range servers {
			k := p*w.servers + s.No
			switch {
			case f.What == "cut" && on:
				w.cut[k]++
			case f.What == "cut":
				w.cut[k]--
			case on:
				w.thin[k] = append(w.thin[k], f.Value)
			default:
				if i := slices.Index(w.thin[k], f.Value); i >= 0 {
					w.thin[k] = slices.Delete(w.thin[k], i, i+1)
				}
			}
		}
	}
}

// good tells whether nothing befalls the way from a pooler to a server.
func (w *ways) good(p, s int) bool { k := p*w.servers + s; return w.cut[k] == 0 && len(w.thin[k]) == 0 }

// holdAll has the list tell some poolers nothing, or all that it has not told them.
func (w *ways) holdAll(poolers []int, on bool) {
	for _, p := range poolers {
		if on {
			w.held[p]++
			continue
		}
		if w.held[p]--; w.held[p] == 0 {
			waits := w.waits[p]
			w.waits[p] = nil
			for _, tell := range waits {
				tell()
			}
		}
	}
}

// hold keeps what the list would tell a pooler until it may.
func (w *ways) hold(p int, tell func()) bool {
	if w.held[p] == 0 {
		return false
	}
	w.waits[p] = append(w.waits[p], tell)
	return true
}

// cut tells whether nothing gets from this pooler to a server.
func (p *pooler) cut(s *model.Server) bool {
	return p.e.ways.cut[p.no*p.e.ways.servers+s.No] > 0 || p.e.apart(p, s)
}

// loses draws whether what it sends to a server is lost on a thin way.
func (p *pooler) loses(s *model.Server) bool {
	for _, part := range p.e.ways.thin[p.no*p.e.ways.servers+s.No] {
		if p.e.rng.Float64() < part {
			return true
		}
	}
	return false
}
