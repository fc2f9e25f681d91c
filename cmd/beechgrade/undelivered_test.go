package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/protocol/pgwire"
)

// TestPartlyDeliveredQueryIsAbandoned: a server reads nothing for a while, so that part of a query waits in the pooler's socket. Its client
// leaves, its deadline passes, or the remaining time stated in it has become too old, and only then does the server read on: the query
// never arrives completely, and so does not run. A query that was written completely may have run as far as the pooler can know, and is
// not sent again.
func TestPartlyDeliveredQueryIsAbandoned(t *testing.T) {
	for name, tc := range map[string]struct {
		size, wait int
		end        func(c *peer)
	}{
		"the client leaves":   {15_000, 9000, func(c *peer) { _ = c.Close() }},
		"its deadline passes": {15_000, 80, func(c *peer) { c.want("EZ 58000") }},
		"the stated remaining time is outdated": {15_000, 19000, func(c *peer) {
			_ = c.SetDeadline(time.Now().Add(5 * time.Second)) // the request ends long before its deadline
			c.want("EZ 58000")
		}},
		"the client leaves, a part is written":   {120_000, 9000, func(c *peer) { _ = c.Close() }},
		"its deadline passes, a part is written": {120_000, 700, func(c *peer) { c.want("EZ 58000") }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := listen(t)
			limitReceiveBuffer(t, l)
			began, gate, received := make(chan struct{}), make(chan struct{}), make(chan string, 9)
			go func() {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				p := newPeer(t, nc)
				var size [4]byte
				if _, err := io.ReadFull(p.in, size[:]); err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, p.in, int64(binary.BigEndian.Uint32(size[:]))-4)
				p.send(pgwire.AppendStartupResponse(nil))
				_, _ = p.in.Peek(1)
				close(began)
				<-gate
				if typ, body := p.message(); typ != 0 {
					received <- fmt.Sprintf("a complete query of %d bytes", len(body))
				} else {
					received <- "(gone)"
				}
			}()
			p := newPooler(testConfig(t, l.Addr().String(), nil, func(c *config.Config) {
				c.Settings.Classes[1].LatencyObjective, c.Settings.Classes[1].LateWeight = time.Second, 0.5
			}), slog.New(slog.DiscardHandler))
			pooler, _, _, _ := launch(t, p)
			c := client(t, pooler)
			c.send(pgwire.AppendQuery(nil, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('k', '%s') RETURNING content /* id=1,c=write,d=%d,cluster=0 */", patternValue(tc.size), tc.wait)))
			<-began
			wantAttempts := uint64(1) // the pooler has written 15 KB to its socket completely, but only a part of 120 KB, which the server does not read
			if tc.size > 1<<14 {
				wantAttempts = 0
			}
			waitUntilOnLoop(t, p, "the query waits in the socket", func() bool { return unsentTo(t, l.Addr()) > 0 && p.core.Metrics().Attempts == wantAttempts })
			tc.end(c)
			waitUntilOnLoop(t, p, "its request has ended", func() bool { return p.core.OpenRequests() == 0 })
			time.Sleep(networkDelay)
			close(gate)
			if got := <-received; got != "(gone)" {
				t.Errorf("the server got %s, want an incomplete query and the end of its connection", got)
			}
		})
	}
}

// unsentTo returns how many bytes are in the send queues of this process's connections to an address, as the kernel reports them.
func unsentTo(t testing.TB, addr net.Addr) (bytes int64) {
	t.Helper()
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	remote := fmt.Sprintf("0100007F:%04X", addr.(*net.TCPAddr).Port)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line) // number, local, remote, state, send and receive queue
		if len(fields) < 5 || fields[2] != remote {
			continue
		}
		queue, _, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			t.Fatalf("send queue in line %q of /proc/self/net/tcp: %v", line, err)
		}
		bytes += n
	}
	return bytes
}

// limitReceiveBuffer makes a listener's connections buffer few unread bytes.
func limitReceiveBuffer(t testing.TB, l net.Listener) {
	t.Helper()
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}
	if err != nil {
		t.Fatalf("setting the listener's receive buffer: %v", err)
	}
}

// waitUntilOnLoop waits until a condition, evaluated on a pooler's event loop, holds.
func waitUntilOnLoop(t testing.TB, p *pooler, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		got := make(chan bool, 1)
		p.loop.Post(func() { got <- holds() })
		if <-got {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", testTimeout, what)
		}
	}
}
