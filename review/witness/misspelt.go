package main

import "time"

func init() { cases["misspelt"] = playMisspelt }

// playMisspelt: in a pool by transaction, client ana sets the setting app.person. Another client, rui, gives a time zone at its startup that
// the server does not know. No statement may run under another client's settings.
func playMisspelt(s *scene) (broken bool, err error) {
	zone := "America/Recife"
	if s.trouble {
		zone = "America/Recif"
	}
	g, err := s.startGroup()
	if err != nil {
		return false, err
	}
	p, err := s.startPooler("pooler-1", pipelinedSettings, g.address, g.entries)
	if err != nil {
		return false, err
	}
	ana, err := connect(p.pooling, "escritorio", "obra")
	if err != nil {
		return false, err
	}
	defer ana.conn.Close()
	for _, sql := range []string{"SET app.person TO 'ana'", "INSERT INTO hours (note) VALUES ('of ana')"} {
		texts, err := ana.query(sql, 5*time.Second)
		s.note("client ana: %s: %s", sql, describe(texts, err))
		if err != nil {
			return false, err
		}
	}
	rui, err := connect(p.pooling, "escritorio", "obra", "TimeZone", zone)
	s.note("client rui connects with TimeZone %s: %s", zone, describe(nil, err))
	if err != nil {
		return false, nil // told at the startup, as by a server
	}
	defer rui.conn.Close()
	sql := "INSERT INTO hours (note) VALUES ('of rui')"
	texts, err := rui.query(sql, 5*time.Second)
	s.note("client rui: %s: %s", sql, describe(texts, err))
	time.Sleep(300 * time.Millisecond)
	if g.servers[0].timesDone("of ana") == 0 {
		return false, errNotSettled
	}
	return g.servers[0].timesDone("'of rui') under app.person=ana") > 0, nil
}
