package pooling

import (
	"fmt"
	"strings"

	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
)

func (c *client) startup() (bool, error) {
	s, ok, err := c.input.StartupMessage()
	if err != nil || !ok {
		return false, err
	}
	switch s.Kind {
	case pgwire.StartupEncrypt:
		c.send([]byte{'N'})
		return true, nil
	case pgwire.StartupCancel:
		c.frontend.cancel(s.PID, s.Secret)
		c.close()
		return false, nil
	}
	return true, c.start(s)
}

// startupOnly are parameters of the startup message that are no settings.
var startupOnly = map[string]bool{"user": true, "database": true, "options": true, "replication": true}

func (c *client) start(s pgwire.StartupPacket) error {
	c.started = true
	f, p := c.frontend, s.Params
	user, database := p["user"], p["database"]
	if database == "" {
		database = user
	}
	if len(s.Unknown) > 0 || s.Minor > 0 {
		c.output = pgwire.AppendNegotiate(c.output, s.Unknown)
	}
	switch {
	case user == "":
		c.endWithError("28000", "no user name in the startup message")
		return nil
	case p["replication"] != "" && p["replication"] != "false" && p["replication"] != "off" && p["replication"] != "0":
		c.endWithError("0A000", "replication is not taken by a pooler")
		return nil
	case f.draining:
		c.endWithError("57P03", "the pooler is shutting down")
		return nil
	case database == "beechgrade":
		c.admin = true
	default:
		c.pool = f.poolOf(database, user, p["application_name"])
		if c.pool == nil {
			c.endWithError("3D000", fmt.Sprintf("no pool for database %q and user %q", database, user))
			return nil
		}
		if c.pool.options.MaxClients > 0 && c.pool.clients >= c.pool.options.MaxClients {
			c.pool = nil
			c.endWithError("53300", "too many clients in this pool")
			return nil
		}
		c.pool.clients++
	}
	settings := map[string]string{}
	for n, v := range p {
		if !startupOnly[n] && !strings.HasPrefix(n, "_pq_.") {
			settings[n] = v
		}
	}
	for n, v := range startupOptions(p["options"]) {
		settings[n] = v
	}
	if len(settings) > sessionstate.MaxSettings {
		c.endWithError("08P01", "too many settings in the startup message")
		return nil
	}
	c.state = sessionstate.NewClient(f.statements, settings)
	f.newKey(c)
	c.recordBegin()
	c.params = map[string]string{}
	c.output = append(c.output, 'R', 0, 0, 0, 8, 0, 0, 0, 0)
	for _, n := range sortedKeys(f.params) {
		c.params[n] = f.params[n]
	}
	if v, ok := settings["application_name"]; ok {
		c.params["application_name"] = v
	}
	if v, ok := settings["client_encoding"]; ok {
		c.params["client_encoding"] = v
	}
	for _, n := range sortedKeys(c.params) {
		c.output = pgwire.AppendParameter(c.output, n, c.params[n])
	}
	c.output = pgwire.AppendKey(c.output, c.pid, c.secret)
	c.output = pgwire.AppendReady(c.output)
	return nil
}

// startupOptions reads settings out of the option "-c name=value".
func startupOptions(s string) map[string]string {
	out := map[string]string{}
	words := strings.Fields(s)
	for i, w := range words {
		switch {
		case w == "-c" && i+1 < len(words):
			w = words[i+1]
		case strings.HasPrefix(w, "--"):
			w = strings.ReplaceAll(w[2:], "-", "_")
		case strings.HasPrefix(w, "-c"):
			w = w[2:]
		default:
			continue
		}
		if n, v, ok := strings.Cut(w, "="); ok {
			out[n] = v
		}
	}
	return out
}
