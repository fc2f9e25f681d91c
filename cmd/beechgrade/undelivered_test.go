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

// TestUndeliveredIsTakenBack: a server reads nothing for a while, so that a part of a query waits in the pooler's socket. Its client leaves, its
// time is over, or what it says of its time has waited for too long, and only then does the server read on: the query never gets whole there, and so does
// not begin. One that is written whole may have run by then, for all that can be known, and is not sent again.
func TestUndeliveredIsTakenBack(t *testing.T) {
	for name, story := range map[string]struct {
		size, wait int
		end        func(c *peer)
	}{
		"the client leaves": {15_000, 9000, func(c *peer) { _ = c.Close() }},
		"its time is over":  {15_000, 80, func(c *peer) { c.want("EZ 58000") }},
		"it says more than is left": {15_000, 19000, func(c *peer) {
			_ = c.SetDeadline(time.Now().Add(5 * time.Second)) // it does not wait for its time
			c.want("EZ 58000")
		}},
		"the client leaves, a part is written": {120_000, 9000, func(c *peer) { _ = c.Close() }},
		"its time is over, a part is written":  {120_000, 700, func(c *peer) { c.want("EZ 58000") }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := listen(t)
			narrow(t, l)
			began, gate, heard := make(chan struct{}), make(chan struct{}), make(chan string, 9)
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
					heard <- fmt.Sprintf("a whole query of %d bytes", len(body))
				} else {
					heard <- "(gone)"
				}
			}()
			p := newPooler(testConfig(t, l.Addr().String(), nil, func(c *config.Config) {
				c.Settings.Classes[1].LatencyObjective, c.Settings.Classes[1].LateWeight = time.Second, 0.5
			}), slog.New(slog.DiscardHandler))
			pooler, _, _, _ := launch(t, p)
			c := client(t, pooler)
			c.send(pgwire.AppendQuery(nil, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('k', '%s') RETURNING content /* id=1,c=write,d=%d,cluster=0 */", long(story.size), story.wait)))
			<-began
			whole := uint64(1) // of 15 KB the last byte has left the pooler; of 120 KB only a part has, which the server does not take
			if story.size > 1<<14 {
				whole = 0
			}
			until(t, p, "it waits in the socket", func() bool { return unsentTo(t, l.Addr()) > 0 && p.core.Metrics().Attempts == whole })
			story.end(c)
			until(t, p, "its request has ended", func() bool { return p.core.OpenRequests() == 0 })
			time.Sleep(lateBy)
			close(gate)
			if got := <-heard; got != "(gone)" {
				t.Errorf("the server got %s", got)
			}
		})
	}
}

// unsentTo returns how many bytes wait in the sockets of this process's connections to an address, as its machine reports them.
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
			t.Fatal(err)
		}
		bytes += n
	}
	return bytes
}

// narrow has a listener's connections take little that is not read.
func narrow(t testing.TB, l net.Listener) {
	t.Helper()
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}
	if err != nil {
		t.Fatal(err)
	}
}

// until waits until something holds on a pooler's loop.
func until(t testing.TB, p *pooler, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		got := make(chan bool, 1)
		p.loop.Post(func() { got <- holds() })
		if <-got {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not so: %s", what)
		}
	}
}
