package fleet

import (
	"net"
	"net/http"
	"sync"

	"beechgrade/internal/membership/discovery"
)

// ways are relays between one pooler and each server, so that these can be cut off from one another while others reach both. The pooler has a
// discovery of its own, which names the relays.
type ways struct {
	addr   string
	server *http.Server
	by     map[string]*way // by its server's address
}

// way is a relay to a server.
type way struct {
	to     string
	listen net.Listener

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// Ways opens them for a pooler, after Start, where it has none.
func (f *Fleet) Ways(no int) error {
	if f.ways[no] != nil {
		return nil
	}
	w := &ways{by: map[string]*way{}}
	for _, s := range f.servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		x := &way{to: s.addr, listen: l, conns: map[net.Conn]bool{}}
		w.by[s.addr] = x
		go x.accept()
	}
	var err error
	if w.server, w.addr, err = f.dir.serve(f, w.named); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ways == nil {
		f.ways = map[int]*ways{}
	}
	f.ways[no] = w
	return nil
}

// named has a list name the relays in place of the servers.
func (w *ways) named(l *discovery.List) {
	all := make([]discovery.Instance, len(l.Instances))
	for i, x := range l.Instances {
		if y := w.by[x.HostPort]; y != nil {
			x.HostPort = y.listen.Addr().String()
		}
		all[i] = x
	}
	l.Instances = all
}

// DiscoveryOf is where a pooler finds its discovery, and ListOf what that says now.
func (f *Fleet) DiscoveryOf(no int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.ways[no]; w != nil {
		return w.addr
	}
	return f.dir.addr
}

// ListOf is what a pooler's discovery says now.
func (f *Fleet) ListOf(no int) discovery.List {
	l := f.List()
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.ways[no]; w != nil {
		w.named(&l)
	}
	return l
}

// Cut has nothing get from a pooler that has ways to a server, nor back; or mends that.
func (f *Fleet) Cut(no int, server string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if w := f.ways[no]; w != nil && s.Name == server {
			w.by[s.addr].set(on)
		}
	}
}

func (x *way) set(on bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cut = on
	if !on { // what was sent meanwhile is lost, and its connections with it
		for c := range x.conns {
			_ = c.Close()
		}
	}
}

func (x *way) isCut() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cut
}

func (x *way) accept() {
	for {
		c, err := x.listen.Accept()
		if err != nil {
			return
		}
		go x.carry(c)
	}
}

func (x *way) carry(c net.Conn) {
	there, err := net.Dial("tcp", x.to)
	if err != nil {
		_ = c.Close()
		return
	}
	x.mu.Lock()
	x.conns[c], x.conns[there] = true, true
	x.mu.Unlock()
	var wg sync.WaitGroup
	pass := func(to, of net.Conn) {
		defer wg.Done()
		b := make([]byte, 16<<10)
		for {
			n, err := of.Read(b)
			if n > 0 && !x.isCut() {
				if _, err := to.Write(b[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_, _ = to.Close(), of.Close()
	}
	wg.Add(2)
	go pass(there, c)
	go pass(c, there)
	wg.Wait()
	x.mu.Lock()
	delete(x.conns, c)
	delete(x.conns, there)
	x.mu.Unlock()
}

func (w *ways) close() {
	_ = w.server.Close()
	for _, x := range w.by {
		_ = x.listen.Close()
		x.set(false)
	}
}
