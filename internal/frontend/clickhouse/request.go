package clickhouse

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/clickhouse/limits"
	"beechgrade/internal/frontend/clickhouse/sessions"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/protocol/httpwire"
)

const (
	// deadlineMarginMs is the time before the deadline from which a failed request is reported as timed out.
	deadlineMarginMs = 50
	// maxExecutionTimeS is the longest max_execution_time, in seconds; a longer one is ignored.
	maxExecutionTimeS = 1e6
)

// request is a client's query. It implements platform.Client and backend.Query.
type request struct {
	client *client
	number uint64 // unique in the frontend
	head   *httpwire.Head
	params url.Values // of the URL

	rawBody       []byte // the body as received, chunk headers included; only the beginning of a streamed body
	streamsBody   bool   // the body is longer than may be buffered, and is forwarded as it arrives
	bodyForwarded bool   // more than the beginning was forwarded, so the request cannot be sent to another server

	rule      *Rule // the rule that matches the request, nil for none
	class     string
	readOnly  bool
	queryID   string  // assigned by the client or the pooler
	deadline  float64 // when the client stops waiting, on the event loop's clock
	timeoutMs float64 // from the end of the body to the deadline

	session    sessions.Key // the zero Key for none
	onlyServer string       // the server that has the session, empty for any
	limitID    limits.ID    // the request's ID in the limiter, 0 for none

	submitted     bool        // to the dispatcher
	ref           slotmap.Ref // the dispatcher's reference, set after the submission
	reachedServer bool        // an attempt has reached a server
	attemptLink   *link       // the connection of the current attempt
	answerLink    *link       // the connection whose answer is being forwarded
	answered      bool        // the answer has begun, or the client has disconnected
}

// AppendQuery implements backend.Query. It appends the request as received, but for the fields that concern only the client's
// connection.
func (r *request) AppendQuery(dst []byte, _ int) []byte {
	dst = append(dst, r.head.Method...)
	dst = append(dst, ' ')
	dst = append(dst, r.head.Target...)
	dst = append(dst, " HTTP/1.1\r\n"...)
	dst = r.head.AppendFields(dst, "expect")
	dst = r.head.AppendFraming(dst)
	if r.head.Get("Host") == "" {
		dst = append(dst, "Host: clickhouse\r\n"...)
	}
	dst = append(dst, "\r\n"...)
	return append(dst, r.rawBody...)
}

// content returns the content of the body as far as it was buffered, while the request is being handled.
func (r *request) content() []byte {
	if r.head.Chunked {
		return r.client.incoming.decoded
	}
	return r.rawBody
}

// Served implements platform.Client. The answer on the connection Frontend.serving has begun.
func (r *request) Served([]byte) {
	l := r.client.frontend.serving
	if l == nil || r.answered {
		return
	}
	r.answered = true
	r.answerLink = l
	if !r.streamsBody {
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

// Disconnected implements platform.Disconnectable. A client may close its write side after the end of a streamed body that is still
// unread; client.poll handles that case.
func (r *request) Disconnected() bool {
	return r.client.state == clientClosed || !r.streamsBody && r.client.conn.PeerClosed()
}

// Rejected implements platform.Client.
func (r *request) Rejected(retryMs float64) {
	code := codeTooMany
	if !r.reachedServer {
		code = codeNoServer
	}
	r.client.answerException(r, exception{
		status:      http.StatusServiceUnavailable,
		code:        code,
		text:        "the query has not run; it may be sent again",
		retryAfterS: retrySeconds(retryMs),
	})
}

// RejectedUnfunded implements platform.PrepaidClient.
func (r *request) RejectedUnfunded(slowed bool, retryMs float64) {
	r.client.answerException(r, exception{
		status:      http.StatusPaymentRequired,
		code:        codeQuota,
		text:        platform.NoCreditMessage(slowed),
		retryAfterS: retrySeconds(retryMs),
	})
}

// Failed implements platform.Client.
func (r *request) Failed() {
	if r.client.frontend.loop.Now() >= r.deadline-deadlineMarginMs {
		r.client.answerException(r, exception{
			status: http.StatusGatewayTimeout, code: codeTimeout, text: "no answer in time; the query may have run",
		})
		return
	}
	r.client.answerException(r, outcomeUnknown("the answer was lost; the query may have run"))
}

// dropBody frees the buffered beginning of a streamed body.
func (r *request) dropBody() {
	if !r.bodyForwarded {
		r.bodyForwarded = true
		r.rawBody = nil
		r.client.chargeMemory()
	}
}

// handleRequest handles a request whose body is complete, or has begun and will be streamed.
func (c *client) handleRequest(head *httpwire.Head) {
	c.closeAfterAnswer = head.Close
	c.hasSentRequest = true
	path, rawQuery, _ := strings.Cut(head.Target, "?")
	params, err := url.ParseQuery(rawQuery)
	r := &request{client: c, head: head, params: params, rawBody: c.incoming.raw, streamsBody: !c.incoming.body.Done()}
	c.incoming.raw = nil
	c.request = r
	if c.answerLocally(r, path, err) {
		return
	}
	now := c.frontend.loop.Now()
	c.classify(r, path, rawQuery)
	c.setDeadline(r, now)
	c.assignIDs(r)
	user := strings.Clone(User(head, params)) // as the query ID, it outlives the head
	if params.Get("session_id") != "" && !c.beginSessionQuery(r, user) {
		return
	}
	c.admit(r, user, now)
}

// answerLocally answers a request that is invalid or needs no server. It reports whether it did.
func (c *client) answerLocally(r *request, path string, urlErr error) bool {
	switch {
	case c.connectedWhileDraining:
		c.closeAfterAnswer = true
		c.answerException(r, rejectedTooMany(textShutdown))
	case urlErr != nil || !strings.HasPrefix(path, "/"):
		c.closeAfterAnswer = true
		c.answerException(r, badRequest(http.StatusBadRequest, "the URL cannot be read"))
	case path == "/ping" || c.isEmptyGet(r, path):
		c.answerText(r, http.StatusOK, textOK)
	case path == "/replicas_status":
		status, text := c.frontend.replicasStatus(r.params.Get("verbose") == "1")
		c.answerText(r, status, text)
	case !isQueryMethod(r.head.Method):
		c.closeAfterAnswer = true
		c.answerException(r, unsupported("GET, HEAD, POST and PUT are taken"))
	default:
		return false
	}
	return true
}

// isEmptyGet reports whether a request has no query and asks for the root page, by which clients check that the server is available.
func (c *client) isEmptyGet(r *request, path string) bool {
	isGet := r.head.Method == http.MethodGet || r.head.Method == http.MethodHead
	return path == "/" && isGet && r.params.Get("query") == "" && len(r.content()) == 0
}

func isQueryMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut:
		return true
	}
	return false
}

// classify sets a request's rule and the properties that follow from the rule and the statement: its class, its timeout, and whether it
// is read-only and so may be retried.
func (c *client) classify(r *request, path, rawQuery string) {
	known := r.params.Get("decompress") == "" && r.head.Get("Content-Encoding") == ""
	// A query is not retried if its body is not buffered, or its result depends on its session.
	retryable := !r.streamsBody && r.params.Get("session_id") == ""
	r.readOnly = retryable && IsReadOnly(r.head.Method, r.params, r.content(), known)
	c.incoming.decoded = nil
	r.timeoutMs = c.frontend.options.DeadlineMs
	name := ""
	if r.rule = c.frontend.matchRule(r.head, path, r.params); r.rule != nil {
		name = r.rule.Name
		r.timeoutMs = r.rule.DeadlineMs
		if r.rule.Path != "" {
			r.head.Target = "/" + strings.TrimSuffix("?"+rawQuery, "?")
		}
	}
	readClass, writeClass := Classes(name)
	r.class = writeClass
	if r.readOnly {
		r.class = readClass
	}
}

// setDeadline sets a request's deadline, which max_execution_time and the client's deadline header may shorten.
func (c *client) setDeadline(r *request, now float64) {
	for _, ms := range []float64{executionLimitMs(r.params), c.frontend.clientTimeoutMs(r.head)} {
		if ms > 0 {
			r.timeoutMs = min(r.timeoutMs, ms)
		}
	}
	r.deadline = now + r.timeoutMs
	if r.streamsBody {
		r.deadline += c.frontend.options.UploadTimeoutMs
	}
}

// assignIDs assigns a request its number, and a query ID if it has none, so that the query can be found at the server, for
// example by KILL QUERY.
func (c *client) assignIDs(r *request) {
	f := c.frontend
	f.lastRequestNumber++
	r.number = f.lastRequestNumber
	r.queryID = strings.Clone(r.params.Get("query_id")) // outlives the head, of which it is a part
	if r.queryID == "" {
		r.queryID = fmt.Sprintf("%s-%x-%d", f.options.Name, uint64(f.startedAt), r.number)
		r.head.Target = withParameter(r.head.Target, "query_id", r.queryID)
	}
}

// withParameter adds a URL parameter to the target of a request.
func withParameter(target, name, value string) string {
	separator := "?"
	if strings.Contains(target, "?") {
		separator = "&"
	}
	return target + separator + name + "=" + url.QueryEscape(value)
}

// executionLimitMs returns a query's max_execution_time in ms, 0 if it is absent or invalid.
func executionLimitMs(params url.Values) float64 {
	seconds, err := strconv.ParseFloat(params.Get("max_execution_time"), 64)
	if err != nil || !(seconds > 0) || seconds > maxExecutionTimeS {
		return 0
	}
	return seconds * 1000
}

var (
	_ platform.Client         = (*request)(nil)
	_ platform.PrepaidClient  = (*request)(nil)
	_ platform.Disconnectable = (*request)(nil)
)
