package fleet

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/discovery"
)

const (
	keepHistory = 4096
	aliveEvery  = 2 * time.Second
)

// listEntry is what the list has of a server.
type listEntry struct {
	discovery.Instance
	wasUp bool
}

// change is an entry as of a generation.
type change struct {
	gen int64
	discovery.Instance
}

func (d *directory) start(f *Fleet) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.listener, d.addr = l, l.Addr().String()
	d.gen, d.entries, d.watchers = 1, map[string]*listEntry{}, map[chan struct{}]bool{}
	for _, s := range f.order {
		d.entries[s.Name] = &listEntry{Instance: discovery.Instance{ID: s.Name, HostPort: s.Addr, Zone: "room", MachineType: "padrao-4",
			Cell: s.group.id, Lifecycle: "up", Weight: 1, Role: s.role()}}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) { d.endpoints(f, w, r) })
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = d.server.Serve(l) }()
	return nil
}

func (d *directory) close() {
	if d.server != nil {
		_ = d.server.Close()
	}
}

func (s *Server) role() string {
	if s.group.primary == s {
		return "primary"
	}
	return "replica"
}

// change has the list say something new of a server, late: its lifecycle, or its role where that is empty. The
// fleet's lock is held.
func (d *directory) change(f *Fleet, s *Server, lifecycle string, roleLate float64) {
	role, started := s.role(), s.started
	f.later(f.cfg.List.draw(f.rng)+roleLate+d.extra, func(now float64) {
		e := d.entries[s.Name]
		was := e.Instance
		if lifecycle == "" {
			e.Role = role
		} else {
			e.Lifecycle, e.StartedAtMs = lifecycle, int64(started)
		}
		if e.Instance == was {
			return
		}
		d.gen++
		d.history = append(d.history, change{d.gen, e.Instance})
		d.history = d.history[max(0, len(d.history)-keepHistory):]
		if lifecycle == "draining" && !d.gone && len(d.watchers) > 0 {
			s.drainTold = now
		}
		d.wakeAll()
	})
}

func (d *directory) wakeAll() {
	for w := range d.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// List is the list as discovery has it now.
func (f *Fleet) List() discovery.List {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dir.whole(f)
}

func (d *directory) whole(f *Fleet) discovery.List {
	l := discovery.List{Generation: d.gen, Reset: true}
	for _, s := range f.order {
		if e := d.entries[s.Name]; e.Lifecycle != "removed" {
			l.Instances = append(l.Instances, e.Instance)
		}
	}
	return l
}

// since is what has changed after a generation, or the whole list where that is not known.
func (d *directory) since(f *Fleet, gen int64) discovery.List {
	if gen <= 0 || gen > d.gen || len(d.history) > 0 && gen < d.history[0].gen-1 || len(d.history) == 0 && gen < d.gen {
		return d.whole(f)
	}
	l := discovery.List{Generation: d.gen}
	for _, c := range d.history {
		if c.gen > gen {
			l.Instances = append(l.Instances, c.Instance)
		}
	}
	return l
}

func (d *directory) endpoints(f *Fleet, w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	if d.gone {
		f.mu.Unlock()
		http.Error(w, "discovery is down", http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		l := d.whole(f)
		f.mu.Unlock()
		d.say(w, &l)
		return
	}
	gen, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wake := make(chan struct{}, 1)
	d.watchers[wake] = true
	l := d.since(f, gen)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(d.watchers, wake)
		f.mu.Unlock()
	}()
	flush, ok := w.(http.Flusher)
	if !ok {
		return
	}
	if l.Reset || len(l.Instances) > 0 {
		d.say(w, &l)
	}
	flush.Flush()
	tick := time.NewTicker(aliveEvery)
	defer tick.Stop()
	gen = l.Generation
	for {
		select {
		case <-r.Context().Done():
			return
		case <-tick.C:
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
		case <-wake:
			f.mu.Lock()
			gone, next := d.gone, d.since(f, gen)
			f.mu.Unlock()
			if gone {
				panic(http.ErrAbortHandler) // its watches end
			}
			if next.Generation > gen {
				gen = next.Generation
				d.say(w, &next)
			}
		}
		flush.Flush()
	}
}

func (d *directory) say(w io.Writer, l *discovery.List) {
	if b, err := jsoniter.Marshal(l); err == nil {
		_, _ = w.Write(append(b, '\n'))
	}
}
