package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Times of the cases with the platform's clients, as in the deployment's classes.
const (
	writeWork = 30 * time.Millisecond
	readWork  = 80 * time.Millisecond
)

// platformClient sends statements of the platform's protocol.
type platformClient struct {
	*client
	env *env
}

// platformClients opens connections for sessions, one each.
func (e *env) platformClients(addr string, n int) (all []platformClient, err error) {
	for range n {
		c, err := connect(addr, "backend", "store")
		if err != nil {
			return nil, err
		}
		all = append(all, platformClient{c, e})
	}
	return all, nil
}

var lastID atomic.Uint64

// write writes the session's row.
func (c platformClient) write(session, value string) answer {
	return c.logged(session, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', '%s') RETURNING content /* id=%016x,c=entry,d=2000,cluster=0 */",
		session, value, lastID.Add(1)))
}

// readRow reads the session's row.
func (c platformClient) readRow(session string) answer {
	return c.logged(session, fmt.Sprintf("SELECT content FROM kv WHERE name = '%s' /* id=%016x,c=own,d=2000,cluster=0 */", session, lastID.Add(1)))
}

func (c platformClient) logged(session, sql string) answer {
	c.env.record.line("session %s sends: %s", session, sql)
	a := c.ask(sql)
	c.env.record.line("session %s gets: %s", session, a)
	return a
}

// forAll calls a function for each session at the same time, with its connection, and returns the answers.
func forAll(clients []platformClient, do func(c platformClient, session string) answer) []answer {
	answers := make([]answer, len(clients))
	var all sync.WaitGroup
	for i, c := range clients {
		all.Go(func() { answers[i] = do(c, fmt.Sprintf("s%d", i)) })
	}
	all.Wait()
	return answers
}

// sharedSocket returns a listening socket that processes inherit, and its address. It stays in the mode that the processes give it; with
// blocking, it is put into blocking mode as each process is started.
func sharedSocket(blocking bool) (socket *os.File, addr string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = l.Close() }()
	file, err := l.(*net.TCPListener).File()
	if err != nil || blocking {
		return file, l.Addr().String(), err // os/exec puts the descriptor of such a file into blocking mode
	}
	defer func() { _ = file.Close() }()
	fd, err := syscall.Dup(int(file.Fd()))
	return os.NewFile(uintptr(fd), "socket"), l.Addr().String(), err
}

// keptUpgrade: with sessions' commits kept by the pooler, a second process takes over the clients' socket.
func keptUpgrade(e *env) (broken bool, err error) {
	f, err := newFleet(e.record, options{replicas: 2, lag: func() time.Duration { return 3 * time.Second }, work: writeWork, readWork: readWork})
	if err != nil {
		return false, err
	}
	socket, addr, err := sharedSocket(false)
	if err != nil {
		return false, err
	}
	start := func(name string) (*pooler, error) {
		return e.startPooler(poolerOptions{name: name, discovery: f.discovery, listener: socket, listen: addr,
			change: func(c tree) { at(c, "settings", "family_info")["tokens"] = "kept" }})
	}
	first, err := start("old")
	if err != nil {
		return false, err
	}
	clients, err := e.platformClients(addr, 20)
	if err != nil {
		return false, err
	}
	forAll(clients, func(c platformClient, s string) answer { return c.write(s, "old") })
	time.Sleep(3500 * time.Millisecond) // the replicas have these rows now
	if e.trouble {
		if _, err := start("new"); err != nil {
			return false, err
		}
	}
	for _, a := range forAll(clients, func(c platformClient, s string) answer { return c.write(s, "new") }) {
		if a.Tag == "" {
			return false, fmt.Errorf("a write was not served: %s", a)
		}
	}
	if e.trouble {
		e.record.line("SIGTERM to the old process, as the new one says yes")
		first.terminate()
		time.Sleep(300 * time.Millisecond)
	}
	again, err := e.platformClients(addr, len(clients))
	if err != nil {
		return false, err
	}
	for i, a := range forAll(again, func(c platformClient, s string) answer { return c.readRow(s) }) {
		if a.Tag != "" && a.Code == "" && a.Value != "new" {
			e.record.line("session s%d: the read does not show the write that was answered", i)
			broken = true
		}
	}
	for _, c := range append(clients, again...) {
		_ = c.conn.Close()
	}
	return broken, nil
}

const (
	copyClients = 40
	copyReads   = 100 // of each client
	copyEvery   = 50  // reads, of which one is answered twice
)

// platformCopy: servers answer one read of fifty twice, the second time a millisecond later.
func platformCopy(e *env) (broken bool, err error) {
	var reads, wrong atomic.Int32
	f, err := newFleet(e.record, options{replicas: 2, lag: func() time.Duration { return 0 }, work: 5 * time.Millisecond, apart: time.Millisecond,
		copies: func(sql string) bool {
			return e.trouble && strings.HasPrefix(sql, "SELECT") && reads.Add(1)%copyEvery == 0
		}})
	if err != nil {
		return false, err
	}
	p, err := e.startPooler(poolerOptions{name: "p1", discovery: f.discovery})
	if err != nil {
		return false, err
	}
	for i := range copyClients {
		f.commit(fmt.Sprintf("s%d", i), fmt.Sprintf("v%d", i))
	}
	time.Sleep(time.Second)
	clients, err := e.platformClients(p.listen, copyClients)
	if err != nil {
		return false, err
	}
	forAll(clients, func(c platformClient, s string) (a answer) {
		for i := range copyReads {
			a = c.ask(fmt.Sprintf("SELECT content FROM kv WHERE name = '%s' /* id=%016x,c=report,d=1200,cluster=0 */", s, lastID.Add(1)))
			if a.Tag != "" && a.Code == "" && a.Value != "v"+s[1:] {
				wrong.Add(1)
				e.record.line("session %s was served another one's value: %s", s, a)
			}
			time.Sleep(time.Duration(i%20) * time.Millisecond)
		}
		return a
	})
	e.record.line("%d of %d reads were served another session's value; %d answers had a second copy", wrong.Load(), copyClients*copyReads, reads.Load()/copyEvery)
	return wrong.Load() > 0, nil
}

const (
	longValue = 1 << 20
	cutAfter  = 300 << 10
)

// behindLong: a client sends a read of a long value, and writes right behind it. The read's server is lost in the middle of the value.
func behindLong(e *env) (broken bool, err error) {
	var cuts atomic.Int32
	f, err := newFleet(e.record, options{replicas: 2, lag: func() time.Duration { return 10 * time.Millisecond }, work: writeWork, readWork: readWork,
		cut: func(sql string) int {
			if e.trouble && strings.Contains(sql, "'long'") && cuts.Add(1) == 1 {
				return cutAfter
			}
			return 0
		}})
	if err != nil {
		return false, err
	}
	p, err := e.startPooler(poolerOptions{name: "p1", discovery: f.discovery})
	if err != nil {
		return false, err
	}
	f.commit("long", strings.Repeat("x", longValue))
	time.Sleep(time.Second)
	clients, err := e.platformClients(p.listen, 1)
	if err != nil {
		return false, err
	}
	c := clients[0]
	for c.write("warm", "x").Tag == "" { // until the primary is known
		time.Sleep(50 * time.Millisecond)
	}
	const writes = 3
	statements := []string{fmt.Sprintf("SELECT content FROM kv WHERE name = 'long' /* id=%016x,c=report,d=1200,cluster=0 */", lastID.Add(1))}
	for i := range writes {
		statements = append(statements, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('ponto-%d', '08h0') RETURNING content /* id=%016x,c=entry,d=2000,cluster=0 */",
			i, lastID.Add(1)))
	}
	e.record.line("client sends a read of %d bytes and %d writes behind it", longValue, writes)
	if err := c.send(statements...); err != nil {
		return false, err
	}
	for i := range statements {
		a := c.read()
		e.record.line("client: answer %d: %s", i, a)
		if a.Ended && a.Code == "" {
			for k := max(0, i-1); k < writes; k++ { // a write that was not forwarded could be sent once more by its client
				ran := f.versions(fmt.Sprintf("ponto-%d", k))
				e.record.line("write %d has no answer, and has run %d times", k, ran)
				broken = broken || ran > 0
			}
			break
		}
	}
	return broken, nil
}

const (
	upgradeRounds  = 8
	upgradeClients = 50
	killAfter      = 3700 * time.Millisecond // from SIGTERM, as the platform does
)

// blockingSocket: one process after the other takes over the clients' socket, which is in blocking mode as each one is started.
func blockingSocket(e *env) (broken bool, err error) {
	f, err := newFleet(e.record, options{replicas: 3, lag: func() time.Duration { return 20 * time.Millisecond }, work: 5 * time.Millisecond})
	if err != nil {
		return false, err
	}
	f.commit("x", "y")
	socket, addr, err := sharedSocket(e.trouble)
	if err != nil {
		return false, err
	}
	number := 0
	start := func() (*pooler, error) {
		number++
		return e.startPooler(poolerOptions{name: fmt.Sprintf("p%d", number), discovery: f.discovery, listener: socket, listen: addr})
	}
	current, err := start()
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var stop atomic.Bool
	var lost atomic.Int32
	var all sync.WaitGroup
	for range upgradeClients {
		all.Go(func() {
			for i := 0; !stop.Load(); i++ {
				c, err := connect(addr, "backend", "store")
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				for k := 0; k < 10+i%50 && !stop.Load(); k++ {
					began := time.Now()
					a := c.ask(fmt.Sprintf("SELECT content FROM kv WHERE name = 'x' /* id=%016x,c=report,d=1200,cluster=0 */", lastID.Add(1)))
					if took := time.Since(began); took > 1800*time.Millisecond {
						lost.Add(1)
						e.record.line("a request with d=1200 ends after %v: %s", took, a)
					}
					if a.Ended {
						break
					}
					time.Sleep(time.Duration(k%30) * time.Millisecond)
				}
				_ = c.conn.Close()
			}
		})
	}
	for range upgradeRounds {
		time.Sleep(1500 * time.Millisecond)
		old := current
		if current, err = start(); err != nil {
			return false, err
		}
		e.record.line("SIGTERM to the old process, as the new one says yes")
		old.terminate()
		select {
		case err := <-old.exited:
			old.exited <- err
			e.record.line("the old process has ended")
		case <-time.After(killAfter):
			e.record.line("the old process has not ended and is killed")
			old.kill()
			old.exited <- nil
		}
	}
	stop.Store(true)
	all.Wait()
	e.record.line("%d requests had no answer in time", lost.Load())
	return lost.Load() > 0, nil
}
