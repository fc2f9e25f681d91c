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

// directory is the fake discovery service: it serves the model's endpoint list over HTTP.
type directory struct {
	addr          string
	server        *http.Server
	listener      net.Listener
	watchers      map[chan struct{}]bool
	silent        bool // new requests are accepted and not answered
	poolerServers []*http.Server
	silentSince   float64 // time at which the watches then open stopped sending for good, 0 for never
}

// notificationBoundMs is the time after which a pooler is expected to have replaced a watch that stopped sending. A change that such a
// watch misses counts as delivered then.
const notificationBoundMs = 6000

// SetListSilent makes the open watches stop sending for good, and leaves new requests unanswered until it is called with false.
func (f *Fleet) SetListSilent(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dir.silent = on; on {
		f.dir.silentSince = f.clk.Now()
		f.dir.wakeAll()
	}
}

// notifiedBy returns the time at which a change of the list at the given time counts as delivered to the watchers.
func (d *directory) notifiedBy(at float64) float64 {
	if d.silentSince > 0 {
		return max(at, d.silentSince+notificationBoundMs)
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

// serve serves the list on a listener: that of a pooler, or the shared one if pooler is -1.
func (d *directory) serve(f *Fleet, l net.Listener, pooler int) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) { d.endpoints(f, w, r, pooler) })
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	return s
}

func (d *directory) close() {
	if d.server != nil {
		_ = d.server.Close()
	}
	for _, s := range d.poolerServers {
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

func (d *directory) endpoints(f *Fleet, w http.ResponseWriter, r *http.Request, pooler int) {
	watch := r.URL.Query().Get("watch") != ""
	f.mu.Lock()
	if f.dir.silent || f.perPooler.listHeld(pooler) && !watch {
		f.mu.Unlock()
		<-r.Context().Done()
		return
	}
	silentBefore := f.dir.silentSince
	if f.world.List.Unavailable {
		f.mu.Unlock()
		http.Error(w, "discovery is down", http.StatusServiceUnavailable)
		return
	}
	if !watch {
		l := f.world.List.Snapshot()
		f.mu.Unlock()
		d.writeList(w, f.at(pooler, &l))
		return
	}
	gen, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wake := make(chan struct{}, 1)
	d.watchers[wake] = true
	l := f.world.List.Since(gen)
	if f.perPooler.listHeld(pooler) {
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
		d.writeList(w, f.at(pooler, &l))
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
			unavailable, silent, next := f.world.List.Unavailable, f.dir.silentSince != silentBefore, f.world.List.Since(gen)
			if f.perPooler.listHeld(pooler) {
				next.Generation = gen
			}
			f.mu.Unlock()
			if silent {
				<-r.Context().Done()
				return
			}
			if unavailable {
				panic(http.ErrAbortHandler) // closes the watch
			}
			if next.Generation > gen {
				gen = next.Generation
				d.writeList(w, f.at(pooler, &next))
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
