package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"time"
)

const (
	shipMs        = 15 // after which a replica has a commit, without any fault
	commandWithin = 20 * time.Second

	longBytes    = 1 << 20               // of a value
	slowly       = 60 * time.Millisecond // between pieces, so that a value takes a second
	longSessions = 6
	behindMs     = 400                    // of replicas that have fallen behind
	knownAfter   = 200 * time.Millisecond // what an answer tells counts as known after 100 ms, and every limit is 50 ms longer
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

// enter sends an entry as a transaction of three statements, and reports whether all were answered.
func (r *run) enter(who, address, key string) bool {
	c, err := connect(address, "app", "obra")
	if err != nil {
		r.note("%s: %v", who, err)
		return false
	}
	defer c.close()
	for _, sql := range []string{"BEGIN", insertion(key), "COMMIT"} {
		if a, err := r.ask(who, c, sql); err != nil || a.code != "" {
			return false
		}
	}
	return true
}

func insertion(key string) string {
	return fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', '0800')", key)
}

// platformStatement returns a statement of the platform's protocol.
func platformStatement(sql, id, class string) string {
	return fmt.Sprintf("%s /* id=%s,c=%s,d=1500,cluster=0 */", sql, id, class)
}

// longCase: a session writes a value that is longer than the pooler buffers, the primary sends the answer in pieces, and the session then reads what
// it has written.
func longCase(r *run) error {
	servers, discovery, err := r.group(3)
	if err != nil {
		return err
	}
	for _, s := range servers[1:] {
		s.lagMs = behindMs
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
			r.note("%s: stale: its write was answered %v before the read was sent", session, knownAfter)
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
	time.Sleep(knownAfter)
	read, err := r.ask(session, c, platformStatement("SELECT content FROM kv WHERE name = '"+session+"'", "b"+session, "conferir-ponto"))
	if err != nil || read.code != "" {
		return nil, err
	}
	return &read, nil
}

// behindCase: a client sends writes behind a read of a long value, and the connection of that read is reset in the middle of the value.
func behindCase(r *run) error {
	servers, discovery, err := r.group(1)
	if err != nil {
		return err
	}
	servers[0].table.commit([]row{{key: "big", value: `\x` + strings.Repeat("61", longBytes)}})
	time.Sleep(10 * shipMs * time.Millisecond)
	for _, s := range servers {
		s.pieces, s.resetsLong = slowly, r.trouble
	}
	p := &pooler{run: r, name: "n1", discovery: discovery, tokens: "brought"}
	if err := p.start(); err != nil {
		return err
	}
	c, err := connect(p.listen, "backend", "store")
	if err != nil {
		return err
	}
	defer c.close()
	keys := []string{"ana", "rui", "eva"}
	commands := []string{platformStatement("SELECT content FROM kv WHERE name = 'big'", "read", "relatorio-mes")}
	for _, key := range keys {
		insert := fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('%s', '\x61') RETURNING content`, key)
		commands = append(commands, platformStatement(insert, "write-"+key, "registrar-ponto"))
	}
	if err := c.sendAll(commands); err != nil {
		return err
	}
	r.note("client: sent %d commands at once", len(commands))
	answered := -1 // without the read
	for _, sql := range commands {
		a, err := c.read()
		if _, err = r.told("client", sql, a, err); err != nil {
			break
		}
		answered++
	}
	ran := 0
	for _, key := range keys {
		ran += len(servers[0].table.values(key, servers[0].position()))
	}
	r.note("writes: %d sent, %d run, %d answered", len(keys), ran, max(answered, 0))
	if max(answered, 0) < ran {
		return errBroken
	}
	return nil
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
		db.onRun(func(sql string) {
			if sql == "COMMIT" {
				r.note("the pooler is killed")
				p.kill()
			}
		})
	}
	transaction, err := r.unlisted(p, db, folder, "ana", r.enter("foreman", address, "ana"))
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
