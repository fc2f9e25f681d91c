package clickhouse

import (
	"net/url"
	"testing"
)

// TestReadOnlyQueriesAreRecognised: only queries that are known to change no data are classified as read-only, because read-only
// queries may be retried.
func TestReadOnlyQueriesAreRecognised(t *testing.T) {
	for _, c := range []struct {
		method, query, body string
		known, want         bool
	}{
		{"GET", "SELECT 1", "", true, true},
		{"GET", "anything: the server allows GET only to read", "", true, true},
		{"POST", "SELECT 1", "", true, true},
		{"POST", "", " -- a comment\n /* and */ (select 1)", true, true},
		{"POST", "WITH x AS (SELECT 1) SELECT * FROM x", "", true, true},
		{"POST", "WITH x AS (SELECT 1) INSERT INTO t SELECT * FROM x", "", true, false},
		{"POST", "SELECT 1 INTO OUTFILE 'x'", "", true, false},
		{"POST", "INSERT INTO t FORMAT TSV", "SELECT", true, false},
		{"POST", "", "INSERT INTO t SELECT 1", true, false},
		{"POST", "", "SELECT 1", false, false}, // it may be compressed
		{"POST", "SELECT 1 FORMAT", "xx", false, true},
		{"POST", "SELECTED", "", true, false},
		{"POST", "/* SELECT */ DROP TABLE t", "", true, false},
		{"POST", "", "", true, false},
		{"PUT", "OPTIMIZE TABLE t", "", true, false},
	} {
		got := IsReadOnly(c.method, url.Values{"query": {c.query}}, []byte(c.body), c.known)
		if got != c.want {
			t.Errorf("query %+v: read-only is %v, want %v", c, got, c.want)
		}
	}
	if !IsReadOnly("POST", url.Values{"query": {"INSERT"}, "readonly": {"1"}}, nil, true) {
		t.Error("a query with readonly=1 was not classified as read-only")
	}
}
