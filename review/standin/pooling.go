package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

const poolSettings = `(pooling (listen "%s")
  (class "office" (needs primary) (aim 500ms) (deadline 10s))
  (class "office-reads" (needs session) (aim 500ms) (deadline 10s))
  (pool (database "obra") (user "*") (mode transaction) (class "office") (reads "office-reads") (group 0) (connections %d) (wait 1s)))
`

// startPooling starts a pooler with the pooling frontend, waits until it serves, and returns its address for ordinary clients.
func (e *env) startPooling(f *fleet, connections int) (addr string, err error) {
	if addr, err = freeAddress(); err != nil {
		return "", err
	}
	file := filepath.Join(e.folder, "operators.sexp")
	if err := os.WriteFile(file, fmt.Appendf(nil, poolSettings, addr, connections), 0o600); err != nil {
		return "", err
	}
	if _, err = e.startPooler(poolerOptions{name: "p1", discovery: f.discovery, settings: file}); err != nil {
		return "", err
	}
	return addr, e.warm(addr)
}

// warm waits until a read and a write through the pooler succeed.
func (e *env) warm(addr string) error {
	for range 200 {
		if c, err := connect(addr, "warm", "obra"); err == nil {
			a := c.ask("INSERT INTO kv (name, content) VALUES ('warm', 'x')")
			b := c.ask("SELECT content FROM kv WHERE name = 'warm'")
			_ = c.conn.Close()
			if a.Tag != "" && b.Tag != "" {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("no write or read is served within 10 s")
}

// resetConn resets a connection.
func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

const pipelined = 120 // statements, of 2 KB each

// pipelinedInsert: a client sends a batch of INSERTs ahead of their answers; the connection to the primary is reset
// under the first one, which has run.
func pipelinedInsert(e *env) (broken bool, err error) {
	var resets atomic.Int32
	f, err := newFleet(e.record, options{replicas: 1, lag: func() time.Duration { return 10 * time.Millisecond }, work: 30 * time.Millisecond, ethernet: true,
		onWrite: func(_ *server, sql string, conn *net.TCPConn) bool {
			if !e.trouble || !strings.Contains(sql, "ponto-0'") || resets.Add(1) > 1 {
				return false
			}
			resetConn(conn)
			return true
		}})
	if err != nil {
		return false, err
	}
	addr, err := e.startPooling(f, 4)
	if err != nil {
		return false, err
	}
	c, err := connect(addr, "tablet", "obra")
	if err != nil {
		return false, err
	}
	defer func() { _ = c.conn.Close() }()
	var batch []string
	for i := range pipelined {
		batch = append(batch, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('ponto-%d', '%s')", i, strings.Repeat("0", 2000)))
	}
	e.record.line("client: sends %d INSERTs ahead of their answers", pipelined)
	if err := c.send(batch...); err != nil {
		return false, err
	}
	for i := range pipelined {
		a := c.read()
		e.record.line("client: answer to INSERT %d: %s", i, a)
		if a.Ended {
			break
		}
	}
	time.Sleep(500 * time.Millisecond)
	for i := range pipelined {
		if n := f.versions(fmt.Sprintf("ponto-%d", i)); n > 1 {
			e.record.line("INSERT %d has run %d times", i, n)
			broken = true
		}
	}
	return broken, nil
}

// falseRefusal: a write waits for a connection of its busy pool, gets one and runs; the connection is reset before the answer.
// A client that is refused asks again, as it may.
func falseRefusal(e *env) (broken bool, err error) {
	var resets atomic.Int32
	f, err := newFleet(e.record, options{replicas: 1, lag: func() time.Duration { return 10 * time.Millisecond }, work: writeWork,
		onWrite: func(_ *server, sql string, conn *net.TCPConn) bool {
			if !e.trouble || strings.Contains(sql, "warm") || resets.Add(1) > 1 {
				return false
			}
			resetConn(conn)
			return true
		}})
	if err != nil {
		return false, err
	}
	addr, err := e.startPooling(f, 1)
	if err != nil {
		return false, err
	}
	reader, err := connect(addr, "office", "obra")
	if err != nil {
		return false, err
	}
	defer func() { _ = reader.conn.Close() }()
	writer, err := connect(addr, "office", "obra")
	if err != nil {
		return false, err
	}
	defer func() { _ = writer.conn.Close() }()
	for _, sql := range []string{"BEGIN READ ONLY", "SELECT content FROM kv WHERE name = 'warm'"} {
		e.record.line("client R: %s: %s", sql, reader.ask(sql))
	}
	insert := "INSERT INTO kv (name, content) VALUES ('ponto', '08h0') RETURNING content"
	e.record.line("client W sends: %s", insert)
	if err := writer.send(insert); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	e.record.line("client R: COMMIT: %s", reader.ask("COMMIT"))
	a := writer.read()
	e.record.line("client W: answer: %s; its INSERT has run %d times", a, f.versions("ponto"))
	refused := a.Code == "53300" || a.Code == "57P03"
	broken = refused && f.versions("ponto") > 0
	if refused {
		e.record.line("client W asks again, as a refusal allows: %s", writer.ask(insert))
		e.record.line("its INSERT has run %d times", f.versions("ponto"))
	}
	return broken, nil
}

const (
	rounds     = 20
	copiedRead = 4 // the read whose answer is followed by a second copy
)

// secondCopy: one answer of a server is followed by a second copy; another client waits for the connection meanwhile. Both clients read one
// row of one column, so that neither can tell the other one's answer from its own.
func secondCopy(e *env) (broken bool, err error) {
	var reads atomic.Int32
	f, err := newFleet(e.record, options{replicas: 0, work: writeWork, readWork: readWork,
		copies: func(sql string) bool {
			return e.trouble && strings.Contains(sql, "'quadro'") && reads.Add(1) == copiedRead
		}})
	if err != nil {
		return false, err
	}
	addr, err := e.startPooling(f, 1)
	if err != nil {
		return false, err
	}
	reader, err := connect(addr, "office", "obra")
	if err != nil {
		return false, err
	}
	defer func() { _ = reader.conn.Close() }()
	writer, err := connect(addr, "office", "obra")
	if err != nil {
		return false, err
	}
	defer func() { _ = writer.conn.Close() }()
	served := func(round int, client, want string, a answer) {
		e.record.line("round %d: client %s: wants %q: %s", round, client, want, a)
		if a.Code == "" && !a.Ended && a.Tag == "SELECT 1" && a.Value != want {
			e.record.line("round %d: client %s was served a value that was made for the other client", round, client)
			broken = true
		}
	}
	for i := range rounds {
		forR, forW := fmt.Sprintf("board of R %d", i), fmt.Sprintf("payroll of W %d", i)
		f.commit("quadro", forR)
		f.commit("folha", forW)
		if err := reader.send("SELECT content FROM kv WHERE name = 'quadro'"); err != nil {
			return broken, err
		}
		time.Sleep(readWork / 4)
		if err := writer.send("SELECT content FROM kv WHERE name = 'folha' FOR UPDATE"); err != nil {
			return broken, err
		}
		r := reader.read()
		served(i, "R", forR, r)
		w := writer.read()
		served(i, "W", forW, w)
		if r.Ended || w.Ended {
			break
		}
	}
	return broken, nil
}

const sessions = 40

// unknownOutcome: the connection to the primary is reset under a write that has run; the session then reads its row.
func unknownOutcome(e *env) (broken bool, err error) {
	f, err := newFleet(e.record, options{replicas: 2, lag: func() time.Duration { return 15 * time.Millisecond }, work: time.Millisecond,
		onWrite: func(_ *server, sql string, conn *net.TCPConn) bool {
			if !e.trouble || strings.Contains(sql, "warm") {
				return false
			}
			resetConn(conn)
			return true
		}})
	if err != nil {
		return false, err
	}
	addr, err := e.startPooling(f, 10)
	if err != nil {
		return false, err
	}
	for i := range sessions {
		c, err := connect(addr, "tablet", "obra")
		if err != nil {
			return false, err
		}
		name := fmt.Sprintf("ponto-%d", i)
		a := c.ask(fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', '08h0')", name))
		e.record.line("session %d: INSERT: %s", i, a)
		b := c.ask(fmt.Sprintf("SELECT content FROM kv WHERE name = '%s'", name))
		e.record.line("session %d: SELECT: %s", i, b)
		if b.Tag == "SELECT 0" && f.versions(name) > 0 {
			e.record.line("session %d: the read does not show what the session has written", i)
			broken = true
		}
		_ = c.conn.Close()
		time.Sleep(30 * time.Millisecond)
	}
	return broken, nil
}

// resetAll: a client sets a role and resets all settings; its connection then serves another client.
func resetAll(e *env) (broken bool, err error) {
	f, err := newFleet(e.record, options{replicas: 0, work: time.Millisecond})
	if err != nil {
		return false, err
	}
	addr, err := e.startPooling(f, 1)
	if err != nil {
		return false, err
	}
	a, err := connect(addr, "tablet", "obra")
	if err != nil {
		return false, err
	}
	defer func() { _ = a.conn.Close() }()
	b, err := connect(addr, "tablet", "obra")
	if err != nil {
		return false, err
	}
	defer func() { _ = b.conn.Close() }()
	if e.trouble {
		for _, sql := range []string{"SET ROLE folha", "RESET ALL"} {
			e.record.line("client A: %s: %s", sql, a.ask(sql))
		}
	}
	got := b.ask("SHOW ROLE")
	e.record.line("client B, which has set nothing: SHOW ROLE: %s", got)
	return got.Value != "none", nil
}

// drainedSession: a session has a setting that cannot be carried; its server begins to drain while it reads.
func drainedSession(e *env) (broken bool, err error) {
	f, err := newFleet(e.record, options{replicas: 2, lag: func() time.Duration { return 10 * time.Millisecond }, work: time.Millisecond})
	if err != nil {
		return false, err
	}
	addr, err := e.startPooling(f, 10)
	if err != nil {
		return false, err
	}
	c, err := connect(addr, "tablet", "obra")
	if err != nil {
		return false, err
	}
	defer func() { _ = c.conn.Close() }()
	const zone = "INTERVAL '-03:00' HOUR TO MINUTE"
	e.record.line("client: SET TIME ZONE: %s", c.ask("SET TIME ZONE "+zone))
	for i := range 60 {
		if i == 20 && e.trouble {
			e.record.line("discovery: s-0 drains")
			f.drain("s-0")
		}
		a := c.ask("SELECT current_setting('timezone')")
		e.record.line("client: time zone: %s", a)
		if a.Ended || a.Code != "" { // the session was ended, and the client knows
			return broken, nil
		}
		if a.Value != zone {
			e.record.line("the statement ran with another time zone than the session has set")
			broken = true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return broken, nil
}
