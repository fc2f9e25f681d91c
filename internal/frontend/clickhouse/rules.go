package clickhouse

import (
	"net/url"
	"strconv"
	"strings"

	"beechgrade/internal/protocol/httpwire"
)

// Rule says which queries are of a class of their own. What is empty matches all.
type Rule struct {
	Name           string // of the class
	User           string
	Database       string
	Path           string // the path of the URL, whole; the server is asked at "/"
	Header         string // a field of the head...
	Value          string // ...and its value
	DeadlineMs     float64
	MaxStalenessMs float64 // its reads see data no older than that, 0 for any
}

// Matches tells whether a query is of a rule.
func (r *Rule) Matches(h *httpwire.Head, path string, params url.Values) bool {
	database := params.Get("database")
	if database == "" {
		database = h.Get("X-ClickHouse-Database")
	}
	return (r.User == "" || r.User == User(h, params)) && (r.Database == "" || r.Database == database) && (r.Path == "" || r.Path == path) &&
		(r.Header == "" || h.Get(r.Header) == r.Value)
}

// Classes are the names of a rule's two classes, of what reads and of what may write; those of the front itself are of "".
func Classes(rule string) (reads, writes string) {
	if rule == "" {
		return ReadClass, WriteClass
	}
	return "clickhouse-" + rule + "-reads", "clickhouse-" + rule + "-writes"
}

// classify finds the rule of a query, its class, its deadline, and its target at the server.
func (f *Frontend) classify(h *httpwire.Head, path, query string, params url.Values, reads bool) (rule *Rule, class string, deadline float64, target string) {
	name, deadline, target := "", f.options.DeadlineMs, h.Target
	for i := range f.options.Rules {
		if r := &f.options.Rules[i]; r.Matches(h, path, params) {
			rule, name, deadline = r, r.Name, r.DeadlineMs
			if r.Path != "" {
				target = "/" + strings.TrimSuffix("?"+query, "?")
			}
			break
		}
	}
	class, writes := Classes(name)
	if !reads {
		class = writes
	}
	return rule, class, deadline, target
}

// clientTimeoutMs is how many milliseconds a client says in its head that it waits, 0 where it does not.
func (f *Frontend) clientTimeoutMs(h *httpwire.Head) float64 {
	if f.options.DeadlineHeader == "" {
		return 0
	}
	x, err := strconv.ParseFloat(h.Get(f.options.DeadlineHeader), 64)
	if err != nil || !(x > 0) || x > 1e9 {
		return 0
	}
	return x
}
