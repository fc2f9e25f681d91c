package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/invariant"
	"beechgrade/internal/protocol/pgwire"
)

// testTimeout bounds every wait of a test. No test depends on how soon something happens.
const testTimeout = 20 * time.Second

// peer is one end of a connection, with functions to write and read protocol messages.
type peer struct {
	t testing.TB
	net.Conn
	in *bufio.Reader
}

func newPeer(t testing.TB, c net.Conn) *peer {
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { _ = c.Close() })
	return &peer{t, c, bufio.NewReader(c)}
}

// message reads one message. Its type is 0 if the connection ends before the message or within it.
func (p *peer) message() (typ byte, body []byte) {
	var head [5]byte
	if _, err := io.ReadFull(p.in, head[:]); err != nil {
		return 0, nil
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	if _, err := io.ReadFull(p.in, body); err != nil {
		return 0, nil
	}
	return head[0], body
}

// answer reads up to ReadyForQuery or the end of the connection, and returns a summary: the message types, and the value of the row or the
// code of the error. The end of the connection is written as $.
func (p *peer) answer() string {
	var types, says string
	for {
		typ, body := p.message()
		switch typ {
		case 0:
			return types + "$" + says
		case 'D':
			v, _ := pgwire.Column(body)
			says = " " + string(v)
		case 'E':
			says = " " + pgwire.ErrorCode(body)
		}
		if types += string(typ); typ == 'Z' {
			return types + says
		}
	}
}

func (p *peer) want(answer string) {
	p.t.Helper()
	if got := p.answer(); got != answer {
		p.t.Fatalf("answer is %q, want %q", got, answer)
	}
}

func (p *peer) send(b []byte) { _, _ = p.Write(b) }

func query(id, class string, wait int) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("SELECT content FROM kv WHERE name = 'k' /* id=%s,c=%s,d=%d,cluster=0 */", id, class, wait))
}

// row returns a complete answer of a server with one row.
func row(value string) []byte {
	b := pgwire.AppendComplete(pgwire.AppendRow(nil, "content", []byte(value)), "SELECT 1")
	return pgwire.AppendReady(pgwire.AppendParameter(b, "role", "primary"))
}

// receivedQuery is a query that a scripted server received. Its text is (gone) if the connection ended.
type receivedQuery struct {
	*peer
	sql  string
	conn int // the number of its connection, from 1
}

// server starts a scripted server, which welcomes connections and hands their queries to the test.
func server(t testing.TB) (addr string, queries <-chan receivedQuery) {
	l := listen(t)
	ch := make(chan receivedQuery, 100)
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func(n int) {
				p := newPeer(t, c)
				var size [4]byte
				if _, err := io.ReadFull(p.in, size[:]); err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, p.in, int64(binary.BigEndian.Uint32(size[:]))-4)
				p.send(pgwire.AppendStartupResponse(nil))
				for {
					typ, body := p.message()
					if typ == 0 {
						ch <- receivedQuery{p, "(gone)", n}
						return
					}
					sql, _ := pgwire.Text(body)
					ch <- receivedQuery{p, sql, n}
				}
			}(n)
		}
	}()
	return l.Addr().String(), ch
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func next(t testing.TB, queries <-chan receivedQuery) receivedQuery {
	t.Helper()
	select {
	case q := <-queries:
		return q
	case <-time.After(testTimeout):
		t.Fatalf("the server received no query within %v", testTimeout)
		return receivedQuery{}
	}
}

// startPooler runs a pooler with one server, the primary of its group. watch is discovery's answer to a watch. change may alter the
// pooler's configuration.
func startPooler(t testing.TB, server string, watch http.HandlerFunc, change ...func(*config.Config)) (addr string, stop chan<- os.Signal, done <-chan error) {
	addr, _, stop, done = startPoolerWithReload(t, server, watch, nil, change...)
	return addr, stop, done
}

// startPoolerWithReload is startPooler with a channel for SIGHUP; load returns the configuration that the pooler reads at a reload.
func startPoolerWithReload(t testing.TB, server string, watch http.HandlerFunc, load func(config.Config) (*config.Config, error),
	change ...func(*config.Config)) (addr string, hup, stop chan<- os.Signal, done <-chan error) {
	cfg := testConfig(t, server, watch, change...)
	p := newPooler(cfg, slog.New(slog.DiscardHandler))
	first := *cfg
	p.load = func() (*config.Config, error) { return load(first) }
	return launch(t, p)
}

// testConfig returns the configuration of a pooler with one server.
func testConfig(t testing.TB, server string, watch http.HandlerFunc, change ...func(*config.Config)) *config.Config {
	if watch == nil {
		watch = func(w http.ResponseWriter, r *http.Request) {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}
	dir := httptest.NewServer(watch)
	t.Cleanup(func() { dir.CloseClientConnections(); dir.Close() })
	cfg := &config.Config{Name: "test", ListenAddress: "127.0.0.1:0", DiscoveryAddress: dir.Listener.Addr().String(),
		Limits: config.Limits{MemoryMB: 192, Sockets: 1024}, Classes: []string{"read", "write"},
		ConnectTimeoutMs: 5000, ServerIdleTimeoutMs: 30000,
		InitialList: discovery.List{Generation: 4, Reset: true, Instances: []discovery.Instance{
			{ID: "s-1", HostPort: server, Lifecycle: "up", Weight: 1, Role: "primary"}}},
		Settings: decide.Settings{Peers: 1, Tick: 2 * time.Millisecond, WatchList: true, ListShowsRole: true,
			ListRoleLive: true, MayCancel: true, MayDuplicate: true, MaxAttempts: 8, Classes: []decide.Class{
				{LatencyObjective: testTimeout, Deadline: testTimeout, PriorityWeight: 1, Read: decide.ReadAny},
				{LatencyObjective: testTimeout, Deadline: testTimeout, PriorityWeight: 1, Read: decide.Write, Idempotency: decide.NotIdempotent}}}}
	for _, f := range change {
		f(cfg)
	}
	return cfg
}

// launch runs a pooler until the test ends.
func launch(t testing.TB, p *pooler) (addr string, hup, stop chan<- os.Signal, done <-chan error) {
	ready, ended, sig, again := make(chan string, 1), make(chan error, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	p.loop.Ready = func() { ready <- p.loop.Addr() }
	broken := make(chan invariant.Breach, 1)
	p.check(invariant.New(func(b invariant.Breach) {
		select {
		case broken <- b:
		default:
		}
	}), 1)
	go func() { ended <- p.run(sig, again) }()
	t.Cleanup(func() {
		select {
		case b := <-broken:
			t.Errorf("breach of an invariant: %v", b)
		default:
		}
		select {
		case sig <- syscall.SIGTERM:
		default:
		}
	})
	select {
	case addr = <-ready:
	case err := <-ended:
		t.Fatalf("the pooler ended at its start: %v", err)
	}
	return addr, again, sig, ended
}

func dial(t testing.TB, addr string) *peer {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return newPeer(t, c)
}

// client connects to a pooler and completes the startup.
func client(t testing.TB, addr string) *peer {
	p := dial(t, addr)
	p.send(pgwire.AppendStartup(nil, "backend", "store"))
	p.want("RSSSSZ")
	return p
}
