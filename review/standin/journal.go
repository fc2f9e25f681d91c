package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const journalSettings = `(journal (dir "%s") (mode before))
`

// journalGap: the pooler is killed while a server holds the answer to a write; the journal has to list that write. With the disruption,
// the write is a transaction block, without it a single statement.
func journalGap(e *env) (broken bool, err error) {
	f, err := newFleet(e.record, options{replicas: 0, work: writeWork,
		onWrite: func(_ *server, sql string, _ *net.TCPConn) bool {
			if !strings.Contains(sql, "warm") {
				time.Sleep(10 * time.Second)
			}
			return false
		}})
	if err != nil {
		return false, err
	}
	addr, err := freeAddress()
	if err != nil {
		return false, err
	}
	dir := filepath.Join(e.folder, "journal")
	file := filepath.Join(e.folder, "operators.sexp")
	if err := os.WriteFile(file, fmt.Appendf(nil, journalSettings+poolSettings, dir, addr, 4), 0o600); err != nil {
		return false, err
	}
	p, err := e.startPooler(poolerOptions{name: "p1", discovery: f.discovery, settings: file})
	if err != nil {
		return false, err
	}
	if err := e.warm(addr); err != nil {
		return false, err
	}
	c, err := connect(addr, "office", "obra")
	if err != nil {
		return false, err
	}
	last := "INSERT INTO kv (name, content) VALUES ('ponto', '08h0') RETURNING content"
	if e.trouble {
		e.record.line("client: BEGIN: %s", c.ask("BEGIN"))
		e.record.line("client: INSERT: %s", c.ask(last))
		last = "COMMIT"
	}
	e.record.line("client sends: %s", last)
	if err := c.send(last); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	e.record.line("the INSERT was committed %d times, and its client has no answer; the pooler is killed", f.versions("ponto"))
	p.kill()
	out, err := exec.CommandContext(background, "bin/beechgrade-kit", "journal", "pending", dir).CombinedOutput()
	e.record.line("journal pending: %s, error %v", out, err)
	return err == nil && !strings.Contains(string(out), "s-0"), nil
}
