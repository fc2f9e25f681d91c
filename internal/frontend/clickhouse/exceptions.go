package clickhouse

import (
	"net/http"
	"strconv"
)

// exceptionCode is ClickHouse's number of an exception.
type exceptionCode int

// Codes of the exceptions that the pooler itself answers with.
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

// codeNoThread (CANNOT_SCHEDULE_TASK) is the code of a server that cannot start a thread for the query.
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

// headerExceptionCode is the header of an answer that holds the code of an exception.
const headerExceptionCode = "X-ClickHouse-Exception-Code"

// parseExceptionCode parses the value of headerExceptionCode. It returns 0 if the value is empty or not a number as ClickHouse writes it.
func parseExceptionCode(field string) exceptionCode {
	code, err := strconv.Atoi(field)
	if err != nil || strconv.Itoa(code) != field {
		return 0
	}
	return exceptionCode(code)
}

// exception is an answer in ClickHouse's format by which the pooler rejects a query or reports its failure.
type exception struct {
	status      int // HTTP status
	code        exceptionCode
	text        string
	retryAfterS int // value of Retry-After, in seconds; 0 to omit the header
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

// tooMuchHeld is the exception of a client that holds too much memory.
func tooMuchHeld() exception {
	return exception{status: http.StatusServiceUnavailable, code: codeTooMany, text: "too much is waiting here already"}
}

// badRequest is the exception of an invalid request, with a 4xx status.
func badRequest(status int, text string) exception {
	return exception{status: status, code: codeBadRequest, text: text}
}

func unsupported(text string) exception {
	return exception{status: http.StatusNotImplemented, code: codeUnsupported, text: text}
}

// requestTimedOut is the exception of a request that has not arrived in full in time.
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

// retrySeconds rounds a time to whole seconds, at least 1, for Retry-After.
func retrySeconds(retryMs float64) int { return max(1, int(retryMs/1000+0.5)) }

// statusReasons are the reason phrases of HTTP statuses. A status that is not listed is sent with an empty phrase.
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
