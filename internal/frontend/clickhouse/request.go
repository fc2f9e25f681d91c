package clickhouse

import (
	"encoding/base64"
	"net/url"
	"strconv"
	"strings"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/clickhouse/limits"
	"beechgrade/internal/frontend/clickhouse/sessions"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/protocol/httpwire"
)

// Exception codes, as ClickHouse numbers them, that the pooler gives by itself.
const (
	codeUnsupported = 1   // UNSUPPORTED_METHOD
	codeTimeout     = 159 // TIMEOUT_EXCEEDED
	codeQuota       = 201 // QUOTA_EXCEEDED
	codeTooMany     = 202 // TOO_MANY_SIMULTANEOUS_QUERIES
	codeNetwork     = 210 // NETWORK_ERROR
	codeNoServer    = 279 // ALL_CONNECTION_TRIES_FAILED
	codeBadRequest  = 36  // BAD_ARGUMENTS
	codeNoSession   = 372 // SESSION_NOT_FOUND
	codeLocked      = 373 // SESSION_IS_LOCKED
)

// request is one query of a client. It is platform.Client and its attempts' backend.Query.
type request struct {
	client     *client
	ref        slotmap.Ref // the core's
	head       *httpwire.Head
	rawBody    []byte // the body as it came, framing and all, or what is held of it
	readOnly   bool
	deadline   float64
	timeoutMs  float64 // from the end of its body to due
	uploads    bool    // its body passes through
	bodyPassed bool    // ...and more of it than is held has gone on: it can go nowhere else
	uploadLink *link   // that it is out on
	onlyServer string  // the server that has its session
	session    sessions.Key
	rule       *Rule // nil for none
	submitted  bool  // the core has it
	answered   bool  // it has its answer, or its client has gone
	reached    bool  // an attempt got to a server
	answerLink *link
	number     uint64
	queryID    string // its query_id, given or made
	params     url.Values
	class      string
	limitID    limits.ID // its place among its user's, 0 for none
}

// User is the user that a query comes as: by the URL, the header or Basic, as the server takes them.
func User(h *httpwire.Head, params url.Values) string {
	if u := params.Get("user"); u != "" {
		return u
	}
	if u := h.Get("X-ClickHouse-User"); u != "" {
		return u
	}
	if scheme, rest, _ := strings.Cut(h.Get("Authorization"), " "); strings.EqualFold(scheme, "Basic") {
		if b, err := base64.StdEncoding.DecodeString(strings.TrimSpace(rest)); err == nil {
			u, _, _ := strings.Cut(string(b), ":")
			return u
		}
	}
	return "default"
}

// dropBody gives up what is held of a body: from here on it can go nowhere else.
func (r *request) dropBody() {
	if !r.bodyPassed {
		r.bodyPassed = true
		r.client.countBuffered(-len(r.rawBody))
		r.rawBody = nil
	}
}

// AppendQuery is backend.Query's: the request as it came, for a connection that is kept.
func (r *request) AppendQuery(dst []byte, _ int) []byte {
	dst = append(append(append(append(dst, r.head.Method...), ' '), r.head.Target...), " HTTP/1.1\r\n"...)
	dst = r.head.AppendFields(dst, "expect")
	if r.head.Get("Host") == "" {
		dst = append(dst, "Host: clickhouse\r\n"...)
	}
	return append(append(dst, "\r\n"...), r.rawBody...)
}

// Served is platform.Client's: the server's answer has begun to come.
func (r *request) Served([]byte) {
	if l := r.client.frontend.serving; l != nil && !r.answered {
		r.answered, r.answerLink = true, l
		if !r.uploads {
			r.rawBody = nil
		}
		l.client = r.client
		if r.client.conn.ReadingPaused() {
			r.client.conn.ResumeReading()
		}
		if r.session != (sessions.Key{}) {
			r.client.frontend.sessions.Bind(r.session, l.server.id)
		}
	}
}

// Disconnected is platform.Departing's. A client whose body passes through may end its sending behind it; client.look decides on that.
func (r *request) Disconnected() bool {
	return r.client.closed || !r.uploads && r.client.conn.PeerClosed()
}

// Rejected is platform.Client's.
func (r *request) Rejected(retryMs float64) {
	code, name := codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES"
	if !r.reached {
		code, name = codeNoServer, "ALL_CONNECTION_TRIES_FAILED"
	}
	r.client.answerException(r, 503, code, name, "the query has not run; it may be sent again", max(1, int(retryMs/1000+0.5)))
}

// RejectedUnfunded is platform.PrepaidClient's.
func (r *request) RejectedUnfunded(slowed bool, retryMs float64) {
	r.client.answerException(r, 402, codeQuota, "QUOTA_EXCEEDED", platform.NoCreditMessage(slowed), max(1, int(retryMs/1000+0.5)))
}

// Failed is platform.Client's.
func (r *request) Failed() {
	if r.client.frontend.loop.Now() >= r.deadline-50 {
		r.client.answerException(r, 504, codeTimeout, "TIMEOUT_EXCEEDED", "no answer in time; the query may have run", 0)
		return
	}
	r.client.answerException(r, 502, codeNetwork, "NETWORK_ERROR", "the answer was lost; the query may have run", 0)
}

// IsReadOnly tells whether a query is known to change nothing: ClickHouse holds GET and readonly to that by itself, and a
// statement that begins so cannot write.
func IsReadOnly(method string, params url.Values, body []byte, known bool) bool {
	if method == "GET" || method == "HEAD" {
		return true
	}
	if ro := params.Get("readonly"); ro == "1" || ro == "2" {
		return true
	}
	sql := params.Get("query")
	if known {
		sql += "\n" + string(body)
	} else if strings.TrimSpace(sql) == "" {
		return false // it cannot be read
	}
	return statementReads(sql)
}

// statementReads tells whether a statement begins as one that reads. Whatever might hide more is taken for a write.
func statementReads(sql string) bool {
	sql = skipBlank(sql)
	end := strings.IndexFunc(sql, func(r rune) bool { return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z') })
	if end < 0 {
		end = len(sql)
	}
	switch strings.ToUpper(sql[:end]) {
	case "SELECT", "SHOW", "DESCRIBE", "DESC", "EXISTS":
		return !strings.Contains(strings.ToUpper(sql), "OUTFILE")
	case "EXPLAIN":
		return true
	case "WITH":
		return !strings.Contains(strings.ToUpper(sql), "INSERT")
	}
	return false
}

// skipBlank passes over blanks, comments and opening brackets at a statement's start.
func skipBlank(s string) string {
	for {
		was := s
		s = strings.TrimLeft(s, " \t\r\n\f\v(")
		if strings.HasPrefix(s, "--") || strings.HasPrefix(s, "#!") {
			_, s, _ = strings.Cut(s, "\n")
		}
		if strings.HasPrefix(s, "/*") {
			_, s, _ = strings.Cut(s, "*/")
		}
		if s == was {
			return s
		}
	}
}

// executionLimitMs is the time that a query's own settings leave it, 0 for none.
func executionLimitMs(params url.Values) float64 {
	x, err := strconv.ParseFloat(params.Get("max_execution_time"), 64)
	if err != nil || !(x > 0) || x > 1e6 {
		return 0
	}
	return x * 1000
}

var _ platform.Client = (*request)(nil)
