package database

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"

	"beechgrade/internal/endpoints/discovery"
)

// poolerEntrances holds the addresses of every server and of the list that are reserved for one pooler each. By the address, the fakes know
// which pooler connects, so that a fault can be limited to the links of one pooler.
type poolerEntrances struct {
	n         int
	cut       map[link]int       // number of cuts in force
	losses    map[link][]float64 // shares of requests that are lost
	holds     []int              // number of holds of the list in force, by pooler
	listAddrs []string           // address of the list, by pooler
}

// link is the connection path between a pooler and a server.
type link struct{ pooler, server int }

// SetPoolerCount makes every server and the list listen at an address of its own for each pooler. It is called before Start.
func (f *Fleet) SetPoolerCount(n int) {
	f.perPooler = poolerEntrances{n: n, cut: map[link]int{}, losses: map[link][]float64{}, holds: make([]int, n)}
}

func (f *Fleet) listenPerPooler() error {
	for i := range f.perPooler.n {
		at := fmt.Sprintf("127.79.0.%d:0", i+1)
		l, err := net.Listen("tcp", at)
		if err != nil {
			return fmt.Errorf("listen for the list of pooler %d: %w", i, err)
		}
		f.perPooler.listAddrs = append(f.perPooler.listAddrs, l.Addr().String())
		f.dir.poolerServers = append(f.dir.poolerServers, f.dir.serve(f, l, i))
		for _, s := range f.servers {
			l, err := net.Listen("tcp", at)
			if err != nil {
				return fmt.Errorf("listen for server %s, pooler %d: %w", s.Name, i, err)
			}
			s.poolerListeners = append(s.poolerListeners, l)
			f.wg.Add(1)
			go s.accept(l, i)
		}
	}
	return nil
}

// DiscoveryAt returns the address of the list for a pooler.
func (f *Fleet) DiscoveryAt(pooler int) string {
	if pooler < 0 || pooler >= f.perPooler.n {
		return f.dir.addr
	}
	return f.perPooler.listAddrs[pooler]
}

// ListAt returns the list for a pooler.
func (f *Fleet) ListAt(pooler int) discovery.List {
	l := f.List()
	return *f.at(pooler, &l)
}

// at returns a list with the addresses for a pooler. It copies the instances before it changes them.
func (f *Fleet) at(pooler int, l *discovery.List) *discovery.List {
	if pooler < 0 || pooler >= f.perPooler.n {
		return l
	}
	l.Instances = slices.Clone(l.Instances)
	for i := range l.Instances {
		if s := f.world.Server(l.Instances[i].ID); s != nil {
			l.Instances[i].HostPort = f.servers[s.No].poolerListeners[pooler].Addr().String()
		}
	}
	return l
}

// CutLink cuts the link between a pooler and a server, or ends one cut. Cuts are counted.
func (f *Fleet) CutLink(pooler, server int, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.perPooler.cut[link{pooler, server}]--; on {
		f.perPooler.cut[link{pooler, server}] += 2
	}
}

// LoseOnLink drops a share of a pooler's requests to a server, or ends one such loss.
func (f *Fleet) LoseOnLink(pooler, server int, share float64, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := link{pooler, server}
	if on {
		f.perPooler.losses[w] = append(f.perPooler.losses[w], share)
	} else if i := slices.Index(f.perPooler.losses[w], share); i >= 0 {
		f.perPooler.losses[w] = slices.Delete(f.perPooler.losses[w], i, i+1)
	}
}

// HoldList holds the list back from a pooler, or ends one hold; at the last, the changes that were held back are sent.
func (f *Fleet) HoldList(pooler int, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.perPooler.holds[pooler]--; on {
		f.perPooler.holds[pooler] += 2
	}
	f.dir.wakeAll()
}

func (d *poolerEntrances) listHeld(pooler int) bool {
	return pooler >= 0 && pooler < d.n && d.holds[pooler] > 0
}

// anyListHeld reports whether the list is held back from any pooler.
func (d *poolerEntrances) anyListHeld() bool {
	return slices.ContainsFunc(d.holds, func(n int) bool { return n > 0 })
}

// linkCut reports whether the connection's link is cut.
func (c *conn) linkCut() bool {
	c.s.f.mu.Lock()
	defer c.s.f.mu.Unlock()
	return c.pooler >= 0 && c.s.f.perPooler.cut[link{c.pooler, c.s.No}] > 0
}

// dropsRequest decides at random whether a request on this connection is lost.
func (c *conn) dropsRequest() bool {
	if c.pooler < 0 {
		return false
	}
	c.s.f.mu.Lock()
	defer c.s.f.mu.Unlock()
	w := link{c.pooler, c.s.No}
	return c.s.f.perPooler.cut[w] > 0 || slices.ContainsFunc(c.s.f.perPooler.losses[w], func(share float64) bool { return rand.Float64() < share })
}
