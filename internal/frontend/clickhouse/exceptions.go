package clickhouse

import (
	"net/http"
	"strconv"
)

// exceptionCode is the number that ClickHouse has for an exception.
type exceptionCode int

// The exceptions that the pooler answers by itself.
const (
	codeUnsupported exceptionCode = 1
	codeBadRequest  exceptionCode = 36
	codeTimeout     exceptionCode = 159
	codeQuota       exceptionCode = 201
	codeTooMany     exceptionCode = 202
	codeNetwork     exceptionCode = 210
	codeNoServer    exceptionCode = 279
	codeNoSession   exceptionCode = 372
	codeLocked      exceptionCode = 373
)

// codeNoThread is the exception of a server that cannot start a thread for the query.
const codeNoThread exceptionCode = 439

var exceptionNames = map[exceptionCode]string{
	codeUnsupported: "UNSUPPORTED_METHOD",
	codeBadRequest:  "BAD_ARGUMENTS",
	codeTimeout:     "TIMEOUT_EXCEEDED",
	codeQuota:       "QUOTA_EXCEEDED",
	codeTooMany:     "TOO_MANY_SIMULTANEOUS_QUERIES",
	codeNetwork:     "NETWORK_ERROR",
	codeNoServer:    "ALL_CONNECTION_TRIES_FAILED",
	codeNoSession:   "SESSION_NOT_FOUND",
	codeLocked:      "SESSION_IS_LOCKED",
}

// headerExceptionCode is the field of an answer that has the code of an exception.
const headerExceptionCode = "X-ClickHouse-Exception-Code"

// parseExceptionCode returns the code in a field of an answer, or 0 where the field is absent or not a number as ClickHouse writes it.
func parseExceptionCode(field string) exceptionCode {
	code, err := strconv.Atoi(field)
	if err != nil || strconv.Itoa(code) != field {
		return 0
	}
	return exceptionCode(code)
}

// exception is an answer by which the pooler rejects a query or reports its failure, in ClickHouse's form.
type exception struct {
	status      int // of HTTP
	code        exceptionCode
	text        string
	retryAfterS int // seconds after which the client may retry, 0 if the answer does not tell
}

const (
	textShutdown    = "the pooler is ending; the query has not run, and may be sent again"
	textSessionLost = "the session's server has gone, and what it held; it has not run, and the next query begins anew"
	textBodyStalled = "the rest of the body does not come"
	textHeadStalled = "the rest of the head does not come"
)

// rejectedTooMany is the exception of a query that has not run and may be retried soon.
func rejectedTooMany(text string) exception {
	return exception{status: http.StatusServiceUnavailable, code: codeTooMany, text: text, retryAfterS: 1}
}

// badRequest is the exception of a request that is not valid, with one of HTTP's statuses 4xx.
func badRequest(status int, text string) exception {
	return exception{status: status, code: codeBadRequest, text: text}
}

func unsupported(text string) exception {
	return exception{status: http.StatusNotImplemented, code: codeUnsupported, text: text}
}

// requestTimedOut is the exception of a request that does not arrive in time.
func requestTimedOut(text string) exception {
	return exception{status: http.StatusRequestTimeout, code: codeTimeout, text: text}
}

// outcomeUnknown is the exception of a query that may have run.
func outcomeUnknown(text string) exception {
	return exception{status: http.StatusBadGateway, code: codeNetwork, text: text}
}

func noSession(text string) exception {
	return exception{status: http.StatusNotFound, code: codeNoSession, text: text}
}

// retrySeconds rounds a time to the whole seconds of Retry-After, at least 1.
func retrySeconds(retryMs float64) int { return max(1, int(retryMs/1000+0.5)) }

// statusReasons are the reason phrases of the statuses that the pooler answers with. A status without one has an empty phrase.
var statusReasons = map[int]string{
	http.StatusOK:                          "OK",
	http.StatusBadRequest:                  "Bad Request",
	http.StatusNotFound:                    "Not Found",
	http.StatusRequestTimeout:              "Request Timeout",
	http.StatusRequestEntityTooLarge:       "Content Too Large",
	http.StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	http.StatusInternalServerError:         "Internal Server Error",
	http.StatusNotImplemented:              "Not Implemented",
	http.StatusBadGateway:                  "Bad Gateway",
	http.StatusServiceUnavailable:          "Service Unavailable",
	http.StatusGatewayTimeout:              "Gateway Timeout",
}
