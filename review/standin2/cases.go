package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"time"
)

const (
	shipMs        = 15              // after which a replica has a commit, without any fault
	cutFor        = 6 * time.Second // the longest that a part of the servers is cut off
	healedAfter   = time.Second     // after the cut, within which a client tries again
	sessionsEach  = 60
	settlePause   = 500 * time.Millisecond
	commandWithin = 20 * time.Second
	workMs        = 5 // of a statement

	longBytes    = 1 << 20               // of a value
	slowly       = 60 * time.Millisecond // between pieces, so that a value takes a second
	longSessions = 12
	killAfter    = 500 * time.Millisecond // while a long answer is being sent
)

// group starts a primary and replicas, and discovery.
func (r *run) group(replicas int) (servers []*server, discovery string, err error) {
	t := &table{}
	for i := range 1 + replicas {
		role, lag := primary, int64(0)
		if i > 0 {
			role, lag = replica, shipMs
		}
		s, err := r.startServer(fmt.Sprintf("db-%d", i), role, lag, t)
		if err != nil {
			return nil, "", err
		}
		servers = append(servers, s)
	}
	discovery, err = r.startDiscovery(servers)
	return servers, discovery, err
}

// pooled starts a pooler with a pool by transaction, and returns the pooler and the address for the pool's clients.
func (r *run) pooled(discovery, pool, more string) (p *pooler, address string, err error) {
	if address, err = freeAddress(); err != nil {
		return nil, "", err
	}
	settings := fmt.Sprintf(`(pooling
  (listen %q)
  (class "office" (needs primary) (aim 500ms) (deadline 60s))
  (class "office-reads" (needs session) (aim 500ms) (deadline 60s))
  (pool (database "obra") (user "*") (mode transaction)
    (class "office") (reads "office-reads") (group 0) %s))
%s`, address, pool, more)
	p = &pooler{run: r, name: "n1", discovery: discovery, tokens: "brought", settings: settings}
	if err = p.start(); err != nil {
		return nil, "", err
	}
	return p, address, r.awaitPool(address)
}

// awaitPool waits until the pool serves.
func (r *run) awaitPool(address string) (err error) {
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline); time.Sleep(retryPause) {
		var c *client
		if c, err = connect(address, "first", "obra"); err != nil {
			continue
		}
		a, queryErr := c.query("SELECT count(*) FROM kv WHERE name = 'nobody'")
		c.close()
		if err = queryErr; err == nil && a.code == "" {
			return nil
		}
	}
	return fmt.Errorf("the pool does not serve: %w", err)
}

// told notes an answer, and passes it on.
func (r *run) told(who, sql string, a answer, err error) (answer, error) {
	if err != nil {
		r.note("%s: %s: %v", who, sql, err)
		return a, fmt.Errorf("%s: %w", who, err)
	}
	r.note("%s: %s: %s", who, sql, a)
	return a, nil
}

// ask sends a simple query and notes the answer.
func (r *run) ask(who string, c *client, sql string) (answer, error) {
	a, err := c.query(sql)
	return r.told(who, sql, a, err)
}

// errNotRun reports a transaction that surely did not run, as its client was told.
var errNotRun = errors.New("did not run")

// errUnknown reports a transaction of which its client was told that the outcome is unknown.
var errUnknown = errors.New("outcome unknown")

// enter sends an entry as a transaction of three statements, and returns what the client was told.
func (r *run) enter(who, address, key string) error {
	c, err := connect(address, "app", "obra")
	if err != nil {
		r.note("%s: %v", who, err)
		return errNotRun
	}
	defer c.close()
	for _, sql := range []string{"BEGIN", insertion(key), "COMMIT"} {
		a, err := r.ask(who, c, sql)
		switch {
		case err != nil:
			return errUnknown
		case a.code == "08007":
			return errUnknown
		case a.code != "":
			return fmt.Errorf("%w: %s", errNotRun, a.code)
		}
	}
	return nil
}

func insertion(key string) string {
	return fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', '0800')", key)
}

// limitCase: the link to the primary is cut as a COMMIT is answered, and the transaction reaches the limit of its pool meanwhile.
func limitCase(r *run) error {
	servers, discovery, err := r.group(1)
	if err != nil {
		return err
	}
	_, address, err := r.pooled(discovery, "(transaction 4s)", "")
	if err != nil {
		return err
	}
	var cutAt atomic.Int64
	if r.trouble {
		servers[0].onRun(func(_ *session, sql string) {
			if sql == "COMMIT" && cutAt.CompareAndSwap(0, nowMs()) {
				r.note("the link to %s is cut for %v", servers[0].id, cutFor)
				servers[0].cut(cutFor)
			}
		})
	}
	for try := 1; ; try++ {
		outcome := r.enter("foreman", address, "ana")
		if outcome == nil {
			break
		}
		r.note("foreman: try %d: %v", try, outcome)
		if errors.Is(outcome, errUnknown) {
			r.note("foreman: the outcome is unknown, so the entry is not sent again")
			break
		}
		if try > 20 {
			return errors.New("the entry is never taken")
		}
		time.Sleep(healedAfter)
	}
	if rows := servers[0].table.values("ana", servers[0].position()); len(rows) > 1 {
		r.note("the entry stands %d times in the table", len(rows))
		return errBroken
	}
	return nil
}

// platformStatement returns a statement of the platform's protocol.
func platformStatement(sql, id, class string) string {
	return fmt.Sprintf("%s /* id=%s,c=%s,d=1500,cluster=0 */", sql, id, class)
}

// upgradeCase: a session writes at the old process of an upgrade, and reads at the new one.
func upgradeCase(r *run) error {
	servers, discovery, err := r.group(3)
	if err != nil {
		return err
	}
	for _, s := range servers {
		s.workMs = workMs
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("the clients' socket: %w", err)
	}
	defer func() { _ = listener.Close() }()
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return errors.New("the clients' socket is not TCP")
	}
	file, err := tcp.File()
	if err != nil {
		return fmt.Errorf("the clients' socket: %w", err)
	}
	defer func() { _ = file.Close() }()
	address := listener.Addr().String()
	start := func(name string) (*pooler, error) {
		p := &pooler{run: r, name: name, listen: address, discovery: discovery, tokens: "kept", inherited: file}
		return p, p.start()
	}
	old, err := start("n1")
	if err != nil {
		return err
	}
	open := func() (clients []*client, err error) {
		for range sessionsEach {
			c, err := connect(address, "backend", "store")
			if err != nil {
				return nil, err
			}
			r.atEnd(c.close)
			clients = append(clients, c)
		}
		return clients, nil
	}
	writers, err := open()
	if err != nil {
		return err
	}
	for i, c := range writers { // all members are known and have answered
		if _, err := r.ask("warm-up", c, platformStatement("SELECT content FROM kv WHERE name = 'w'", fmt.Sprintf("w%d", i), "relatorio-mes")); err != nil {
			return err
		}
	}
	time.Sleep(settlePause)
	next := old
	if r.trouble {
		if next, err = start("n1-next"); err != nil {
			return err
		}
	}
	readers, err := open()
	if err != nil {
		return err
	}
	stale, served := 0, 0
	for i := range sessionsEach {
		session := fmt.Sprintf("s%d", i)
		insert := fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('%s', '\x%02x') RETURNING content`, session, i)
		written, err := r.ask(session, writers[i], platformStatement(insert, "a"+session, "registrar-ponto"))
		if err != nil {
			return err
		}
		if written.code != "" {
			continue
		}
		read, err := r.ask(session, readers[i], platformStatement("SELECT content FROM kv WHERE name = '"+session+"'", "b"+session, "conferir-ponto"))
		if err != nil {
			return err
		}
		if read.code != "" {
			continue
		}
		served++
		if string(read.value) != string([]byte{byte(i)}) {
			stale++
			r.note("%s: stale: its write was answered before the read was sent", session)
		}
	}
	r.note("reads served: %d, of them stale: %d; old process: running %v, %s reads; new process: running %v, %s reads", served, stale,
		old.running(), old.served("conferir-ponto"), next.running(), next.served("conferir-ponto"))
	switch {
	case stale > 0:
		return errBroken
	case served == 0:
		return errors.New("no read was served")
	}
	return nil
}

// longCase: a session writes a value that is longer than the pooler buffers, the primary sends the answer in pieces, and the session then reads what
// it has written.
func longCase(r *run) error {
	servers, discovery, err := r.group(3)
	if err != nil {
		return err
	}
	p := &pooler{run: r, name: "n1", discovery: discovery, tokens: "kept"}
	if err := p.start(); err != nil {
		return err
	}
	if r.trouble {
		servers[0].pieces = slowly
	}
	stale, served := 0, 0
	for i := range longSessions {
		session := fmt.Sprintf("s%d", i)
		c, err := connect(p.listen, "backend", "store")
		if err != nil {
			return err
		}
		read, err := r.writeAndRead(c, session)
		c.close()
		if err != nil {
			return err
		}
		if read == nil {
			continue
		}
		served++
		if len(read.value) != longBytes {
			stale++
			r.note("%s: stale: its write was answered before the read was sent", session)
		}
	}
	r.note("reads served: %d, of them stale: %d; the primary has %d rows", served, stale, len(servers[0].table.rows))
	switch {
	case stale > 0:
		return errBroken
	case served == 0:
		return errors.New("no read was served")
	}
	return nil
}

// longInsert returns a write of a long value.
func longInsert(session string) string {
	insert := fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('%s', '\x%s') RETURNING content`, session, strings.Repeat("61", longBytes))
	return strings.Replace(platformStatement(insert, "a"+session, "registrar-ponto"), "d=1500", "d=2000", 1)
}

// writeAndRead writes a long value, and reads it again once the whole answer is there. The answer is nil if one of the two was not served.
func (r *run) writeAndRead(c *client, session string) (*answer, error) {
	insert := longInsert(session)
	written, err := c.query(insert)
	if written, err = r.told(session, shortened(insert), written, err); err != nil || written.code != "" {
		return nil, err
	}
	read, err := r.ask(session, c, platformStatement("SELECT content FROM kv WHERE name = '"+session+"'", "b"+session, "conferir-ponto"))
	if err != nil || read.code != "" {
		return nil, err
	}
	return &read, nil
}

const report = "SELECT count(*) FROM ponto WHERE inicio >= '2026-12-02 00:00'"

// literalCase: two clients of a pool with different time zones prepare the same text, one after the other.
func literalCase(r *run) error {
	_, discovery, err := r.group(0)
	if err != nil {
		return err
	}
	_, address, err := r.pooled(discovery, "(connections 1)", "")
	if err != nil {
		return err
	}
	return r.twoClients(address, func(c *client) error {
		if _, err := r.ask("recife", c, "SET TIME ZONE 'America/Recife'"); err != nil {
			return err
		}
		a, err := c.prepared("q", report)
		_, err = r.told("recife", report, a, err)
		return err
	})
}

// scriptCase: a client sends a long script that sets its time zone; another client runs a report after it.
func scriptCase(r *run) error {
	_, discovery, err := r.group(0)
	if err != nil {
		return err
	}
	_, address, err := r.pooled(discovery, "(connections 1)", "")
	if err != nil {
		return err
	}
	const entries = 1200
	var script strings.Builder
	script.WriteString("SET TIME ZONE 'America/Recife';\n")
	for i := range entries {
		script.WriteString(insertion(fmt.Sprintf("m%d", i)) + ";\n")
	}
	return r.twoClients(address, func(c *client) error {
		a, err := c.query(strings.TrimSuffix(script.String(), ";\n"))
		_, err = r.told("recife", fmt.Sprintf("a script of %d statements, the first SET TIME ZONE 'America/Recife'", entries+1), a, err)
		return err
	})
}

// twoClients has a client in Recife do its work, and then a client with the default time zone, which is UTC, run the report. Its answer is 1 under
// its own settings. Without the disruption the second client has another user, whose connections are its own.
func (r *run) twoClients(address string, inRecife func(c *client) error) error {
	first, err := connect(address, "app", "obra")
	if err != nil {
		return err
	}
	defer first.close()
	if err := inRecife(first); err != nil {
		return err
	}
	user := "app"
	if !r.trouble {
		user = "other"
	}
	second, err := connect(address, user, "obra")
	if err != nil {
		return err
	}
	defer second.close()
	a, err := second.prepared("p", report)
	if a, err = r.told("office", report, a, err); err != nil {
		return err
	}
	if a.code != "" {
		return fmt.Errorf("the report was not served: %s", a)
	}
	if string(a.value) != "1" {
		r.note("office: its time zone is UTC, in which the entry at 2026-12-02 01:30 counts")
		return errBroken
	}
	return nil
}

// doubtCase: the connection is reset under an INSERT that has run, and its session reads.
func doubtCase(r *run) error {
	servers, discovery, err := r.group(2)
	if err != nil {
		return err
	}
	_, address, err := r.pooled(discovery, "(connections 10)", "")
	if err != nil {
		return err
	}
	var resets atomic.Bool
	servers[0].onRun(func(s *session, sql string) {
		if strings.HasPrefix(sql, "INSERT") && resets.Swap(false) {
			r.note("%s: resets the connection under the statement", servers[0].id)
			s.reset()
		}
	})
	unseen, twice := 0, 0
	for i := range sessionsEach / 2 {
		session := fmt.Sprintf("s%d", i)
		c, err := connect(address, "app", "obra")
		if err != nil {
			return err
		}
		seen, err := r.enterAndCheck(session, c, &resets)
		c.close()
		if err != nil {
			return err
		}
		if !seen {
			unseen++
		}
		if len(servers[0].table.values(session, servers[0].position())) > 1 {
			twice++
		}
		time.Sleep(10 * retryPause)
	}
	r.note("sessions: %d; that did not see their own committed write: %d; entries that stand twice: %d", sessionsEach/2, unseen, twice)
	if unseen > 0 {
		return errBroken
	}
	return nil
}

// enterAndCheck sends an entry, checks whether it is there, and sends it again if it is not. It reports whether the check saw it.
func (r *run) enterAndCheck(session string, c *client, resets *atomic.Bool) (seen bool, err error) {
	resets.Store(r.trouble)
	if _, err := r.ask(session, c, insertion(session)); err != nil {
		return false, err
	}
	a, err := r.ask(session, c, "SELECT count(*) FROM kv WHERE name = '"+session+"'")
	if err != nil {
		return false, err
	}
	if string(a.value) != "0" {
		return true, nil
	}
	_, err = r.ask(session, c, insertion(session))
	return false, err
}

// journaledCase: the pooler is killed while a write that has run is being answered: first one of the platform's protocol whose long answer has begun,
// then a transaction of a pool whose COMMIT is unanswered.
func journaledCase(r *run) error {
	servers, discovery, err := r.group(0)
	if err != nil {
		return err
	}
	db, folder := servers[0], r.path("journal")
	p, address, err := r.pooled(discovery, "", fmt.Sprintf("(journal (dir %q))\n", folder))
	if err != nil {
		return err
	}
	if r.trouble {
		db.commitsFirst, db.pieces = true, slowly
		time.AfterFunc(killAfter, func() {
			r.note("the pooler is killed")
			p.kill()
		})
	}
	answered := false
	if c, err := connect(p.listen, "backend", "store"); err == nil {
		written, err := c.query(longInsert("sao"))
		c.close()
		written, err = r.told("foreman", shortened(longInsert("sao")), written, err)
		answered = err == nil && written.code == ""
	}
	long, err := r.unlisted(p, db, folder, "sao", answered)
	if err != nil {
		return err
	}
	if err := p.start(); err != nil {
		return err
	}
	if err := r.awaitPool(address); err != nil {
		return err
	}
	if r.trouble {
		db.onRun(func(_ *session, sql string) {
			if sql == "COMMIT" {
				r.note("the pooler is killed")
				p.kill()
			}
		})
	}
	transaction, err := r.unlisted(p, db, folder, "ana", r.enter("foreman", address, "ana") == nil)
	if err != nil {
		return err
	}
	if long || transaction {
		return errBroken
	}
	return nil
}

// unlisted ends the pooler, and reports whether a write has run, was not answered and is not in the journal.
func (r *run) unlisted(p *pooler, db *server, folder, key string, answered bool) (bool, error) {
	p.kill()
	ctx, cancel := context.WithTimeout(context.Background(), commandWithin)
	defer cancel()
	command := exec.CommandContext(ctx, "bin/beechgrade-kit", "journal", "pending", folder)
	command.Stderr = os.Stderr
	pending, err := command.Output()
	if err != nil {
		return false, fmt.Errorf("journal pending: %w", err)
	}
	ran := len(db.table.values(key, db.position())) > 0
	listed := strings.Contains(string(pending), db.id)
	r.note("journal pending: %q", pending)
	r.note("%s: ran: %v; answered whole: %v; listed: %v", key, ran, answered, listed)
	return ran && !answered && !listed, nil
}
