package database

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"

	"beechgrade/internal/endpoints/discovery"
)

// poolerEntrances are addresses that each pooler has for itself, of every server and of the list: by them the stand-ins know who calls, and what
// befalls one pooler's ways befalls it alone.
type poolerEntrances struct {
	n    int
	cut  map[link]int       // faults in force
	thin map[link][]float64 // parts that are lost
	hold []int              // by pooler
	list []string           // where the list answers each
}

type link struct{ door, server int }

// SetPoolerCount makes servers and the list listen at an address for each pooler. It is called before Start.
func (f *Fleet) SetPoolerCount(n int) {
	f.doors = poolerEntrances{n: n, cut: map[link]int{}, thin: map[link][]float64{}, hold: make([]int, n)}
}

func (f *Fleet) listenPerPooler() error {
	for i := range f.doors.n {
		at := fmt.Sprintf("127.79.0.%d:0", i+1)
		l, err := net.Listen("tcp", at)
		if err != nil {
			return fmt.Errorf("the list's door %d: %w", i, err)
		}
		f.doors.list = append(f.doors.list, l.Addr().String())
		f.dir.doors = append(f.dir.doors, f.dir.serve(f, l, i))
		for _, s := range f.servers {
			l, err := net.Listen("tcp", at)
			if err != nil {
				return fmt.Errorf("server %s's door %d: %w", s.Name, i, err)
			}
			s.doors = append(s.doors, l)
			f.wg.Add(1)
			go s.accept(l, i)
		}
	}
	return nil
}

// DiscoveryAt returns the address of the list for a pooler.
func (f *Fleet) DiscoveryAt(door int) string {
	if door < 0 || door >= f.doors.n {
		return f.dir.addr
	}
	return f.doors.list[door]
}

// ListAt returns the list for a pooler.
func (f *Fleet) ListAt(door int) discovery.List {
	l := f.List()
	return *f.at(door, &l)
}

// at returns a list with the addresses for a pooler.
func (f *Fleet) at(door int, l *discovery.List) *discovery.List {
	if door < 0 || door >= f.doors.n {
		return l
	}
	l.Instances = slices.Clone(l.Instances)
	for i := range l.Instances {
		if s := f.world.Server(l.Instances[i].ID); s != nil {
			l.Instances[i].HostPort = f.servers[s.No].doors[door].Addr().String()
		}
	}
	return l
}

// CutLink cuts the link between a pooler and a server, or ends that.
func (f *Fleet) CutLink(door, server int, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doors.cut[link{door, server}]--; on {
		f.doors.cut[link{door, server}] += 2
	}
}

// LoseOnLink loses a share of a pooler's requests to a server, or ends that.
func (f *Fleet) LoseOnLink(door, server int, part float64, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := link{door, server}
	if on {
		f.doors.thin[w] = append(f.doors.thin[w], part)
	} else if i := slices.Index(f.doors.thin[w], part); i >= 0 {
		f.doors.thin[w] = slices.Delete(f.doors.thin[w], i, i+1)
	}
}

// HoldList holds the list back from a pooler, or delivers what was held back.
func (f *Fleet) HoldList(door int, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doors.hold[door]--; on {
		f.doors.hold[door] += 2
	}
	f.dir.wakeAll()
}

func (d *poolerEntrances) listHeld(door int) bool { return door >= 0 && door < d.n && d.hold[door] > 0 }

// anyListHeld reports whether the list is held back from any pooler.
func (d *poolerEntrances) anyListHeld() bool {
	return slices.ContainsFunc(d.hold, func(n int) bool { return n > 0 })
}

// linkCut reports whether the connection's link is cut.
func (c *conn) linkCut() bool {
	c.s.f.mu.Lock()
	defer c.s.f.mu.Unlock()
	return c.door >= 0 && c.s.f.doors.cut[link{c.door, c.s.No}] > 0
}

// dropsRequest draws whether a message that came over the connection is to be lost.
func (c *conn) dropsRequest() bool {
	if c.door < 0 {
		return false
	}
	c.s.f.mu.Lock()
	defer c.s.f.mu.Unlock()
	w := link{c.door, c.s.No}
	return c.s.f.doors.cut[w] > 0 || slices.ContainsFunc(c.s.f.doors.thin[w], func(part float64) bool { return rand.Float64() < part })
}
