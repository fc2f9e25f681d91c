package main

import (
	"slices"
	"time"
)

func init() { cases["rolled-back"] = playRolledBack }

const rolledBackSettings = `
(pooling
  (listen "POOLING")
  (class "office" (needs primary) (aim 500ms) (deadline 60s))
  (pool (database "obra") (user "*") (mode transaction) (class "office") (group 0) (connections 8) (transaction 5s)))
`

// playRolledBack: the primary hangs for 12 s when it has committed a client's transaction, before its answer. A client that was told that its
// transaction was rolled back must not find it committed.
func playRolledBack(s *scene) (broken bool, err error) {
	const hangs = 12 * time.Second
	g, err := s.startGroup()
	if err != nil {
		return false, err
	}
	primary := g.servers[0]
	primary.commits = func(*dbSession, []string, string) {
		if s.trouble {
			primary.hang(hangs)
		}
	}
	p, err := s.startPooler("pooler-1", rolledBackSettings, g.address, g.entries)
	if err != nil {
		return false, err
	}
	c, err := connect(p.pooling, "escritorio", "obra")
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	var last []string
	for _, sql := range []string{"BEGIN", "INSERT INTO hours (note) VALUES ('entry-1')", "COMMIT"} {
		texts, err := c.query(sql, 30*time.Second)
		s.note("client: %s: %s", sql, describe(texts, err))
		last = texts
	}
	committed := primary.timesDone("entry-1")
	s.note("entry-1 was committed %d times; the client was told %q", committed, last)
	if committed == 0 {
		return false, errNotSettled
	}
	return slices.Contains(last, "error 57014"), nil
}
