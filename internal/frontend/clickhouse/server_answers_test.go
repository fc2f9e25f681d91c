package clickhouse

import (
	"net/http"
	"testing"

	"beechgrade/internal/decide"
	"beechgrade/internal/protocol/httpwire"
)

// TestOnlyRefusedQueriesAreRetried: an exception that the query caused is forwarded as its answer. Only an answer of a server that
// refuses to run queries, or fails without an exception, may lead to a retry.
func TestOnlyRefusedQueriesAreRetried(t *testing.T) {
	for _, c := range []struct {
		status int
		code   string
		want   decide.Result
	}{
		{http.StatusOK, "", decide.OK},
		{http.StatusNotFound, "60", decide.OK},
		{http.StatusInternalServerError, "241", decide.OK},
		{http.StatusInternalServerError, "202", decide.Overloaded},
		{http.StatusServiceUnavailable, "439", decide.Overloaded},
		{http.StatusInternalServerError, "0202", decide.OK},
		{http.StatusInternalServerError, "x", decide.OK},
		{http.StatusInternalServerError, "", decide.Failed},
		{http.StatusTooManyRequests, "", decide.Overloaded},
		{http.StatusServiceUnavailable, "", decide.Overloaded},
	} {
		head := &httpwire.Head{Status: c.status}
		if c.code != "" {
			head.Headers = []httpwire.Header{{Name: headerExceptionCode, Value: c.code}}
		}
		if got := resultOf(head); got != c.want {
			t.Errorf("status %d, exception code %q: result %v, want %v", c.status, c.code, got, c.want)
		}
	}
}
