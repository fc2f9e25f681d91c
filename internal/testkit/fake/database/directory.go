package database

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/endpoints/discovery"
)

const keepAliveInterval = 2 * time.Second

// directory is the fake discovery: the model's list over HTTP.
type directory struct {
	addr     string
	server   *http.Server
	listener net.Listener
	watchers map[chan struct{}]bool
	silent   bool // what is called is taken and not answered
	doors    []*http.Server
	fellAt   float64 // the watches that were open fell silent then, for good; 0 for never
}

// notificationBoundMs is when what a silent watch misses counts as told, from when it fell silent.
const notificationBoundMs = 6000

// SetListSilent has the watches that are open fall silent, and what is called from now on not be answered; not so ends the latter.
func (f *Fleet) SetListSilent(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dir.silent = on; on {
		f.dir.fellAt = f.clk.Now()
		f.dir.wakeAll()
	}
}

// notifiedBy is when what the list says now counts as told.
func (d *directory) notifiedBy(at float64) float64 {
	if d.fellAt > 0 {
		return max(at, d.fellAt+notificationBoundMs)
	}
	return at
}

func (d *directory) start(f *Fleet) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.listener, d.addr, d.watchers = l, l.Addr().String(), map[chan struct{}]bool{}
	d.server = d.serve(f, l, -1)
	return nil
}

// serve answers at an address: that of a pooler, or -1 for the one that all share.
func (d *directory) serve(f *Fleet, l net.Listener, door int) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) { d.endpoints(f, w, r, door) })
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	return s
}

func (d *directory) close() {
	if d.server != nil {
		_ = d.server.Close()
	}
	for _, s := range d.doors {
		_ = s.Close()
	}
}

func (d *directory) wakeAll() {
	for w := range d.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

func (d *directory) endpoints(f *Fleet, w http.ResponseWriter, r *http.Request, door int) {
	watch := r.URL.Query().Get("watch") != ""
	f.mu.Lock()
	if f.dir.silent || f.doors.listHeld(door) && !watch {
		f.mu.Unlock()
		<-r.Context().Done()
		return
	}
	fell := f.dir.fellAt
	if f.world.List.Unavailable {
		f.mu.Unlock()
		http.Error(w, "discovery is down", http.StatusServiceUnavailable)
		return
	}
	if !watch {
		l := f.world.List.Snapshot()
		f.mu.Unlock()
		d.writeList(w, f.at(door, &l))
		return
	}
	gen, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wake := make(chan struct{}, 1)
	d.watchers[wake] = true
	l := f.world.List.Since(gen)
	if f.doors.listHeld(door) {
		l = discovery.List{Generation: gen}
	}
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
		d.writeList(w, f.at(door, &l))
	}
	flush.Flush()
	tick := time.NewTicker(keepAliveInterval)
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
			gone, silent, next := f.world.List.Unavailable, f.dir.fellAt != fell, f.world.List.Since(gen)
			if f.doors.listHeld(door) {
				next.Generation = gen
			}
			f.mu.Unlock()
			if silent {
				<-r.Context().Done()
				return
			}
			if gone {
				panic(http.ErrAbortHandler) // its watches end
			}
			if next.Generation > gen {
				gen = next.Generation
				d.writeList(w, f.at(door, &next))
			}
		}
		flush.Flush()
	}
}

func (d *directory) writeList(w io.Writer, l *discovery.List) {
	if b, err := jsoniter.Marshal(l); err == nil {
		_, _ = w.Write(append(b, '\n'))
	}
}
