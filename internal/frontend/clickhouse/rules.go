package clickhouse

import (
	"encoding/base64"
	"net/url"
	"strconv"
	"strings"

	"beechgrade/internal/protocol/httpwire"
)

// Rule assigns the queries that it matches to classes of their own. An empty condition matches all queries.
type Rule struct {
	Name     string // part of the names of the classes
	User     string
	Database string
	Path     string // of the URL; replaced by "/" in the request to the server
	Header   string // name of a header of the request
	Value    string // of that header

	DeadlineMs     float64
	MaxStalenessMs float64 // bound on the staleness of the data for reads, 0 for none
}

// maxClientTimeoutMs is the longest time in Options.DeadlineHeader; a longer one is ignored.
const maxClientTimeoutMs = 1e9

// defaultUser is the user of a query that states none.
const defaultUser = "default"

// Matches reports whether a query matches the rule.
func (r *Rule) Matches(head *httpwire.Head, path string, params url.Values) bool {
	database := params.Get("database")
	if database == "" {
		database = head.Get("X-ClickHouse-Database")
	}
	switch {
	case r.User != "" && r.User != User(head, params):
		return false
	case r.Database != "" && r.Database != database:
		return false
	case r.Path != "" && r.Path != path:
		return false
	}
	return r.Header == "" || head.Get(r.Header) == r.Value
}

// User returns the user of a query: from the URL, ClickHouse's header or basic authentication, in the order of precedence of the
// servers.
func User(head *httpwire.Head, params url.Values) string {
	if user := params.Get("user"); user != "" {
		return user
	}
	if user := head.Get("X-ClickHouse-User"); user != "" {
		return user
	}
	scheme, credentials, _ := strings.Cut(head.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "Basic") {
		if decoded, err := base64.StdEncoding.DecodeString(strings.TrimSpace(credentials)); err == nil {
			user, _, _ := strings.Cut(string(decoded), ":")
			return user
		}
	}
	return defaultUser
}

// Classes returns the names of a rule's two classes. The empty name stands for the queries that match no rule.
func Classes(rule string) (reads, writes string) {
	if rule == "" {
		return ReadClass, WriteClass
	}
	return "clickhouse-" + rule + "-reads", "clickhouse-" + rule + "-writes"
}

// matchRule returns the first rule that matches a query, or nil.
func (f *Frontend) matchRule(head *httpwire.Head, path string, params url.Values) *Rule {
	for i := range f.options.Rules {
		if rule := &f.options.Rules[i]; rule.Matches(head, path, params) {
			return rule
		}
	}
	return nil
}

// clientTimeoutMs returns the client's timeout from the header Options.DeadlineHeader, 0 if it is absent or invalid.
func (f *Frontend) clientTimeoutMs(head *httpwire.Head) float64 {
	if f.options.DeadlineHeader == "" {
		return 0
	}
	ms, err := strconv.ParseFloat(head.Get(f.options.DeadlineHeader), 64)
	if err != nil || !(ms > 0) || ms > maxClientTimeoutMs {
		return 0
	}
	return ms
}
