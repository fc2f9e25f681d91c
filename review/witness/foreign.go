package main

import (
	"time"
)

func init() { cases["foreign"] = playForeign }

const foreignSettings = `
(pooling
  (listen "POOLING")
  (class "office" (needs primary) (aim 500ms) (deadline 60s))
  (pool (database "obra") (user "*") (mode session) (class "office") (group 0) (connections 8)))
`

// playForeign: in a pool by session, each client logs in to its application by a function of the database that sets the setting app.person.
// One client disconnects. No statement may run under its settings after that.
func playForeign(s *scene) (broken bool, err error) {
	g, err := s.startGroup()
	if err != nil {
		return false, err
	}
	p, err := s.startPooler("pooler-1", foreignSettings, g.address, g.entries)
	if err != nil {
		return false, err
	}
	ana, err := connect(p.pooling, "escritorio", "obra")
	if err != nil {
		return false, err
	}
	defer ana.conn.Close()
	for _, sql := range []string{"SELECT app_login('ana')", "SELECT current_setting('app.person', true)"} {
		texts, err := ana.query(sql, 5*time.Second)
		s.note("client ana: %s: %s, rows %q", sql, describe(texts, err), ana.rows)
		if err != nil {
			return false, err
		}
	}
	if s.trouble {
		s.note("client ana disconnects")
		_ = ana.send([]byte("X\x00\x00\x00\x04"))
		_ = ana.conn.Close()
		time.Sleep(time.Second) // the pooler notices it meanwhile
	}
	rui, err := connect(p.pooling, "escritorio", "obra")
	if err != nil {
		return false, err
	}
	defer rui.conn.Close()
	for _, sql := range []string{"SELECT current_setting('app.person', true)", "INSERT INTO hours (note) VALUES ('of rui')"} {
		texts, err := rui.query(sql, 5*time.Second)
		s.note("client rui, who has not logged in: %s: %s, rows %q", sql, describe(texts, err), rui.rows)
		if err != nil {
			return false, err
		}
	}
	for _, sql := range g.servers[0].done {
		s.note("%s has run: %s", g.servers[0].name, sql)
	}
	return g.servers[0].timesDone("'of rui') under app.person=ana") > 0, nil
}
