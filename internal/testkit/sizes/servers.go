// Package sizes measures the resources that one pooler uses in front of fleets of database servers of different sizes, at the same
// traffic: CPU time, memory, descriptors, connections and bytes of endpoint lists. The daemon is real; servers and discovery are
// fakes in this process, on loopback.
package sizes

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/protocol/pgwire"
)

const (
	groupSize       = 3               // a primary and its replicas
	watchInterval   = 2 * time.Second // interval of the keep-alive lines of a watch
	answerTime      = 2 * time.Millisecond
	changedShare    = 0.05 // share of the servers whose entries change in a minute
	baselineServers = 200  // number of servers of weight 1 whose total capacity suits the traffic of a pooler
	messageBuffer   = 1 << 12
)

// fakeFleet is a fleet of fake database servers with their discovery.
type fakeFleet struct {
	listeners []net.Listener
	http      *http.Server
	address   string // of the discovery endpoint

	connections atomic.Int64 // accepted by servers
	listBytes   atomic.Int64

	mu      sync.Mutex
	list    discovery.List
	changed chan struct{} // closed at the next change
	changes []discovery.List
}

// newFakeFleet starts the servers and the discovery endpoint.
func newFakeFleet(servers int) (*fakeFleet, error) {
	s := &fakeFleet{changed: make(chan struct{}), list: discovery.List{Generation: 1, Reset: true}}
	for i := range servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.close()
			return nil, fmt.Errorf("server %d: %w", i, err)
		}
		s.listeners = append(s.listeners, l)
		role := "replica"
		if i%groupSize == 0 {
			role = "primary"
		}
		s.list.Instances = append(s.list.Instances, discovery.Instance{
			ID:          fmt.Sprintf("server-%d", i),
			HostPort:    l.Addr().String(),
			Zone:        "room",
			MachineType: "padrao-4",
			Cell:        i / groupSize,
			Lifecycle:   "up",
			Weight:      float64(baselineServers) / float64(servers),
			Role:        role,
		})
		go s.accept(l, role)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.close()
		return nil, fmt.Errorf("discovery: %w", err)
	}
	s.address = l.Addr().String()
	s.http = &http.Server{Handler: http.HandlerFunc(s.endpoints), ReadHeaderTimeout: watchInterval}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

func (s *fakeFleet) close() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
	if s.http != nil {
		_ = s.http.Close()
	}
}

// known returns a copy of the complete list.
func (s *fakeFleet) known() discovery.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.list
	list.Instances = append([]discovery.Instance{}, list.Instances...)
	return list
}

// change changes the weight of one server's entry, and notifies the watches.
func (s *fakeFleet) change(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Generation++
	s.list.Instances[i].Weight *= 1.01
	s.changes = append(s.changes, discovery.List{Generation: s.list.Generation, Instances: []discovery.Instance{s.list.Instances[i]}})
	close(s.changed)
	s.changed = make(chan struct{})
}

// changeUntil changes entries at a constant rate until a given time.
func (s *fakeFleet) changeUntil(end time.Time) {
	every := time.Duration(float64(time.Minute) / (changedShare * float64(len(s.listeners))))
	for i := 0; time.Now().Add(every).Before(end); i++ {
		time.Sleep(every)
		s.change(i * 7 % len(s.listeners))
	}
}

// endpoints answers discovery requests with the complete list, followed by its changes if the request is a watch.
func (s *fakeFleet) endpoints(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fullList, next, changed := s.list, len(s.changes), s.changed
	b, err := jsoniter.Marshal(fullList)
	s.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	flusher, ok := w.(http.Flusher)
	for s.writeLine(w, b); ok && r.URL.Query().Get("watch") != ""; {
		flusher.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(watchInterval):
			s.writeLine(w, nil)
		case <-changed:
		}
		s.mu.Lock()
		updates := s.changes[next:]
		next, changed = len(s.changes), s.changed
		s.mu.Unlock()
		for i := range updates {
			if b, err := jsoniter.Marshal(updates[i]); err == nil {
				s.writeLine(w, b)
			}
		}
	}
}

func (s *fakeFleet) writeLine(w io.Writer, line []byte) {
	n, _ := w.Write(append(line, '\n'))
	s.listBytes.Add(int64(n))
}

func (s *fakeFleet) accept(l net.Listener, role string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go func() {
			defer func() { _ = conn.Close() }()
			_ = serveSession(conn, role)
		}()
	}
}

// serveSession serves one connection until it ends.
func serveSession(conn net.Conn, role string) error {
	var size [4]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return err
	}
	if _, err := io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(size[:]))-4); err != nil {
		return err
	}
	if _, err := conn.Write(pgwire.AppendStartupResponse(nil)); err != nil {
		return err
	}
	in, buffer := pgwire.NewReader(1<<18), make([]byte, messageBuffer)
	for {
		message, ok, err := in.Next()
		if err != nil || ok && message.Type != 'Q' {
			return err
		}
		if !ok {
			n, err := conn.Read(buffer)
			if err != nil {
				return err
			}
			in.Feed(buffer[:n])
			continue
		}
		sql, err := pgwire.Text(message.Body)
		if err != nil {
			return err
		}
		if _, err := conn.Write(answer(sql, role)); err != nil {
			return err
		}
	}
}

// answer returns the answer to a health check at once, and the answer to a query after answerTime.
func answer(sql, role string) []byte {
	now := time.Now().UnixMilli()
	if sql == "SHOW load" {
		leads := 0
		if role == "primary" {
			leads = 1
		}
		report := fmt.Appendf(nil, "x0=%d.%03d,x1=%d", now/1000, now%1000, leads)
		return pgwire.AppendReady(pgwire.AppendComplete(pgwire.AppendRow(nil, "content", report), "SHOW"))
	}
	time.Sleep(answerTime)
	b := pgwire.AppendComplete(pgwire.AppendRow(nil, "content", []byte("v")), "SELECT 1")
	b = pgwire.AppendParameter(b, "role", role)
	b = pgwire.AppendParameter(b, "applied_ms", fmt.Sprint(now))
	return pgwire.AppendReady(b)
}
