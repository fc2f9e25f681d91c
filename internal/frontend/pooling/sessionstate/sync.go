package sessionstate

import (
	"cmp"
	"slices"
	"strings"

	"beechgrade/internal/protocol/sqltext"
)

// Settings that have a syntax of their own.
const (
	settingSessionAuthorization = "session_authorization"
	settingRole                 = "role"
	settingTimeZone             = "timezone"
)

// settingDateStyle has two parts, of which a value may give one. It is reset first, so that the other part is not that of another client.
const settingDateStyle = "datestyle"

// isIdentity reports whether a setting is the user or the role of the session.
func isIdentity(name string) bool { return name == settingSessionAuthorization || name == settingRole }

// SyncQuery returns the query that gives the connection the client's settings; it is empty if none differ. Synced must be called once the
// query was answered.
func (c *Client) SyncQuery(s *Server) string {
	var names []string
	for name := range s.settings {
		if _, ok := c.settings[name]; !ok {
			names = append(names, name)
		}
	}
	for name, value := range c.settings {
		if s.settings[name] != value {
			names = append(names, name)
		}
	}
	_, hasRole := c.settings[settingRole]
	if hasRole && slices.Contains(names, settingSessionAuthorization) && !slices.Contains(names, settingRole) {
		names = append(names, settingRole) // reset by the change of the user
	}
	slices.SortFunc(names, compareSettings)
	var query strings.Builder
	for i, name := range names {
		if i > 0 {
			query.WriteString("; ")
		}
		if value, ok := c.settings[name]; ok {
			query.WriteString(setStatement(name, value))
		} else {
			query.WriteString(resetStatement(name))
		}
	}
	return query.String()
}

func setStatement(name, value string) string {
	switch name {
	case settingSessionAuthorization:
		return "SET SESSION AUTHORIZATION " + value
	case settingTimeZone:
		return "SET TIME ZONE " + value
	case settingRole:
		return "SET ROLE " + value
	case settingDateStyle:
		return resetStatement(name) + "; SET " + quoteName(name) + " TO " + value
	}
	return "SET " + quoteName(name) + " TO " + value
}

func resetStatement(name string) string {
	if name == settingSessionAuthorization {
		return "RESET SESSION AUTHORIZATION"
	}
	return "RESET " + quoteName(name)
}

// compareSettings orders settings: the session authorization comes first, because others may need it, and the role last, because setting
// the authorization resets the role.
func compareSettings(a, b string) int {
	return cmp.Or(cmp.Compare(settingRank(a), settingRank(b)), strings.Compare(a, b))
}

func settingRank(name string) int {
	switch name {
	case settingSessionAuthorization:
		return 0
	case settingRole:
		return 2
	}
	return 1
}

// Synced records that the connection has the client's settings now.
func (c *Client) Synced(s *Server) {
	s.settings = make(map[string]string, len(c.settings))
	for name, value := range c.settings {
		s.settings[name] = value
	}
}

// quoteName quotes each part of a setting's name.
func quoteName(name string) string {
	parts := strings.Split(name, ".")
	for i, part := range parts {
		parts[i] = sqltext.QuoteIdentifier(part)
	}
	return strings.Join(parts, ".")
}
