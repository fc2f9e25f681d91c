package main

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"strings"
	"time"
)

func init() { cases["unlisted"] = playUnlisted }

const unlistedSettings = pipelinedSettings + `
(journal (dir "DIR/journal") (mode before))
`

// playUnlisted: a client writes by an explicit transaction, and the pooler is killed while the server commits it. Every write that ran has to
// be answered or listed.
func playUnlisted(s *scene) (broken bool, err error) {
	const commitTakes = 300 * time.Millisecond // until its answer, after the server has written it
	g, err := s.startGroup()
	if err != nil {
		return false, err
	}
	primary := g.servers[0]
	committed := make(chan string, 16)
	primary.commits = func(_ *dbSession, statements []string, _ string) {
		committed <- statements[0]
		time.Sleep(commitTakes)
	}
	p, err := s.startPooler("pooler-1", unlistedSettings, g.address, g.entries)
	if err != nil {
		return false, err
	}
	answered := map[string]bool{}
	// run has a client run statements one after the other, and the pooler killed while the last one commits.
	run := func(kill bool, marker string, statements ...string) error {
		c, err := connect(p.pooling, "escritorio", "obra")
		if err != nil {
			return err
		}
		defer c.conn.Close()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for i, sql := range statements {
				texts, err := c.query(sql, 10*time.Second)
				s.note("client: %s: %s", sql, describe(texts, err))
				if err != nil {
					return
				}
				answered[marker] = i == len(statements)-1
			}
		}()
		if kill {
			select {
			case <-committed:
			case <-time.After(10 * time.Second):
				return errNotSettled
			}
			s.note("pooler-1 is killed")
			p.kill()
		}
		<-ended
		return nil
	}
	if err := run(s.trouble, "entry-1", "INSERT INTO hours (note) VALUES ('entry-1')"); err != nil {
		return false, err
	}
	if !s.trouble {
		p.kill()
	}
	listedAlone, err := s.listed(primary.name)
	if err != nil {
		return false, err
	}
	if out, err := exec.Command("bin/beechgrade-kit", "journal", "clear", s.dir+"/journal").CombinedOutput(); err != nil {
		return false, fmt.Errorf("journal clear: %w: %s", err, out)
	}
	if err := s.restart(p, "pooler-1"); err != nil {
		return false, err
	}
	if err := run(s.trouble, "entry-2", "BEGIN", "INSERT INTO hours (note) VALUES ('entry-2')", "COMMIT"); err != nil {
		return false, err
	}
	if !s.trouble {
		p.kill()
	}
	listedInBlock, err := s.listed(primary.name)
	if err != nil {
		return false, err
	}
	for marker, listed := range map[string]int{"entry-1": listedAlone, "entry-2": listedInBlock} {
		ran := primary.timesDone(marker)
		s.note("%s: ran %d times, answered %v, %d attempts listed", marker, ran, answered[marker], listed)
		if ran > 0 && !answered[marker] && listed == 0 {
			broken = true
		}
	}
	return broken, nil
}

// listed returns how many attempts at a server the journal lists. The pooler must have ended.
func (s *scene) listed(server string) (int, error) {
	out, err := exec.Command("bin/beechgrade-kit", "journal", "pending", "--json", s.dir+"/journal").CombinedOutput()
	text := strings.TrimSpace(string(out))
	s.note("journal pending: %s", text)
	if err != nil {
		return 0, fmt.Errorf("journal pending: %w", err)
	}
	var any json.RawMessage
	_ = json.Unmarshal([]byte(text), &any)
	return strings.Count(text, `"`+server+`"`), nil
}
