package pooling

import (
	"fmt"
	"strings"

	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
)

// adminDatabase is the database in which clients query the state of the pools.
const adminDatabase = "beechgrade"

// Parameters of the startup message that the pooler handles itself.
const (
	parameterUser            = "user"
	parameterDatabase        = "database"
	parameterOptions         = "options"
	parameterReplication     = "replication"
	parameterApplicationName = "application_name"
	parameterClientEncoding  = "client_encoding"
	protocolOptionPrefix     = "_pq_."
)

// startupOnly are the parameters of the startup message that are not settings of the session.
var startupOnly = map[string]bool{parameterUser: true, parameterDatabase: true, parameterOptions: true, parameterReplication: true}

// startup handles the next packet of the client's startup phase.
func (c *client) startup() (more bool, err error) {
	packet, ok, err := c.input.StartupMessage()
	if err != nil || !ok {
		return false, err
	}
	switch packet.Kind {
	case pgwire.StartupEncrypt:
		c.send([]byte{pgwire.EncryptionRefused})
		return true, nil
	case pgwire.StartupCancel:
		c.frontend.cancel(packet.PID, packet.Secret)
		c.close()
		return false, nil
	}
	c.handleStartupPacket(packet)
	return true, nil
}

// handleStartupPacket handles the startup message: the client is rejected, or added to its pool.
func (c *client) handleStartupPacket(packet pgwire.StartupPacket) {
	c.started = true
	if len(packet.Unknown) > 0 || packet.Minor > 0 {
		c.output = pgwire.AppendNegotiate(c.output, packet.Unknown)
	}
	if !c.joinPool(packet.Params) {
		return
	}
	settings := startupSettings(packet.Params)
	if len(settings) > sessionstate.MaxSettings {
		c.endWithError(codeProtocol, "too many settings in the startup message")
		return
	}
	c.state = sessionstate.NewClient(c.frontend.statements, settings)
	c.frontend.assignCancelKey(c)
	c.recordBegin()
	c.answerStartup(settings)
}

// joinPool adds the client to its pool, or lets it use the admin database. It returns false if the client is rejected.
func (c *client) joinPool(params map[string]string) bool {
	user, database := params[parameterUser], params[parameterDatabase]
	if database == "" {
		database = user
	}
	switch {
	case user == "":
		c.endWithError(codeInvalidUser, "no user name in the startup message")
		return false
	case wantsReplication(params[parameterReplication]):
		c.endWithError(codeUnsupported, "replication is not taken by a pooler")
		return false
	case c.frontend.draining:
		c.endWithError(codeCannotConnectNow, textShuttingDown)
		return false
	case database == adminDatabase:
		c.admin = true
		return true
	}
	p := c.frontend.poolOf(database, user, params[parameterApplicationName])
	if p == nil {
		c.endWithError(codeUnknownDatabase, fmt.Sprintf("no pool for database %q and user %q", database, user))
		return false
	}
	if p.options.MaxClients > 0 && p.clients >= p.options.MaxClients {
		c.endWithError(codeTooManyClients, "too many clients in this pool")
		return false
	}
	c.pool = p
	p.clients++
	return true
}

func wantsReplication(value string) bool {
	switch value {
	case "", "false", "off", "0":
		return false
	}
	return true
}

// startupSettings returns the settings in a startup message.
func startupSettings(params map[string]string) map[string]string {
	settings := map[string]string{}
	for name, value := range params {
		if !startupOnly[name] && !strings.HasPrefix(name, protocolOptionPrefix) {
			settings[name] = value
		}
	}
	for name, value := range startupOptions(params[parameterOptions]) {
		settings[name] = value
	}
	return settings
}

// answerStartup completes the startup of a client that requested these settings.
func (c *client) answerStartup(settings map[string]string) {
	c.params = map[string]string{}
	for name, value := range c.frontend.params {
		c.params[name] = value
	}
	for _, name := range []string{parameterApplicationName, parameterClientEncoding} {
		if value, ok := settings[name]; ok {
			c.params[name] = value
		}
	}
	c.output = pgwire.AppendAuthenticationOK(c.output)
	for _, name := range sortedKeys(c.params) {
		c.output = pgwire.AppendParameter(c.output, name, c.params[name])
	}
	c.output = pgwire.AppendBackendKeyData(c.output, c.pid, c.secret)
	c.output = pgwire.AppendReady(c.output)
}

// startupOptions parses the settings in the startup parameter "options": "-c name=value", "-cname=value" and "--name=value".
func startupOptions(text string) map[string]string {
	settings := map[string]string{}
	words := strings.Fields(text)
	for i, word := range words {
		switch {
		case word == "-c" && i+1 < len(words):
			word = words[i+1]
		case strings.HasPrefix(word, "--"):
			word = strings.ReplaceAll(word[2:], "-", "_")
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		default:
			continue
		}
		if name, value, ok := strings.Cut(word, "="); ok {
			settings[name] = value
		}
	}
	return settings
}
