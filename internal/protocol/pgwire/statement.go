package pgwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
	"strconv"
	"strings"
)

// ErrNoComment says that a statement does not end in the comment that names its request.
var ErrNoComment = errors.New("statement has no request comment")

// ErrStatement says that a statement is of no kind that servers are asked.
var ErrStatement = errors.New("only SELECT, INSERT, UPDATE and DELETE are taken")

const (
	maxWaitMs = 24 * 3600 * 1000 // that a client may say it waits: a day
	maxName   = 256              // of an id, a class, a tenant or a key
)

// Statement is a client's statement with what its comment says.
type Statement struct {
	RequestID      string
	Class          string
	Tenant         string
	IdempotencyKey string  // k, by which servers know a repeat
	WaitMs         float64 // d: how long the client waits, from when it sent the request
	Group          int     // cluster
	AfterCommitMs  int64   // Unix ms of the session's last commit, 0 for none
	IsRetry        bool
	SessionKey     string // the first quoted value, which names the session where there are any
	Writes         bool   // it changes data, by its first word

	head, tail string // the statement up to the value of d, and from its end on
}

// ParseStatement reads a statement and its closing comment. Names not known here are skipped.
func ParseStatement(sql string) (Statement, error) {
	body := strings.TrimRight(sql, "; \t\r\n")
	from := strings.LastIndex(body, "/*")
	if from < 0 || !strings.HasSuffix(body, "*/") || len(body) < from+4 {
		return Statement{}, ErrNoComment
	}
	s := Statement{}
	word, _, _ := strings.Cut(strings.TrimLeft(body, " \t\r\n"), " ")
	switch strings.ToUpper(word) {
	case "SELECT":
	case "INSERT", "UPDATE", "DELETE":
		s.Writes = true
	default:
		return Statement{}, ErrStatement
	}
	seen := map[string]bool{}
	fields := body[from+2 : len(body)-2]
	at := from + 2
	for part := range strings.SplitSeq(fields, ",") {
		name, val, ok := strings.Cut(part, "=")
		valAt := at + len(name) + 1
		at += len(part) + 1
		if !ok {
			continue
		}
		raw := val
		val = strings.TrimSpace(val)
		var err error
		name = strings.TrimSpace(name)
		switch name {
		case "id", "c", "t", "k", "d", "cluster", "after", "r":
			if seen[name] {
				return Statement{}, fmt.Errorf("comment: %s: said twice", name)
			}
			seen[name] = true
		}
		switch name {
		case "id":
			s.RequestID = val
		case "c":
			s.Class = val
		case "t":
			s.Tenant = val
		case "k":
			s.IdempotencyKey = val
		case "d":
			valAt += strings.Index(raw, val)
			s.head, s.tail = sql[:valAt], sql[valAt+len(val):]
			if s.WaitMs, err = strconv.ParseFloat(val, 64); err == nil && !(s.WaitMs > 0 && s.WaitMs <= maxWaitMs) {
				err = strconv.ErrRange
			}
		case "cluster":
			s.Group, err = strconv.Atoi(val)
		case "after":
			if s.AfterCommitMs, err = strconv.ParseInt(val, 10, 64); err == nil && s.AfterCommitMs < 0 {
				err = strconv.ErrRange
			}
		case "r":
			s.IsRetry = val == "1"
		}
		if err != nil {
			return Statement{}, fmt.Errorf("comment: %s: %w", name, err)
		}
	}
	if s.RequestID == "" || s.Class == "" || s.head == "" || !seen["cluster"] {
		return Statement{}, fmt.Errorf("comment: id, c, d and cluster are needed: %w", ErrNoComment)
	}
	if max(len(s.RequestID), len(s.Class), len(s.Tenant), len(s.IdempotencyKey)) > maxName {
		return Statement{}, fmt.Errorf("comment: id, c, t or k of over %d bytes: %w", maxName, ErrNoComment)
	}
	if _, rest, ok := strings.Cut(body[:from], "'"); ok {
		s.SessionKey, _, _ = strings.Cut(rest, "'")
	}
	return s, nil
}

// AppendQuery appends the statement as a query to a server, with d saying how long this program waits.
func (s *Statement) AppendQuery(dst []byte, waitMs int) []byte {
	return AppendQuery(dst, s.head, strconv.Itoa(waitMs), s.tail)
}

// longQuery is the length of a statement that a server may not take at once, so that it is written in parts.
const longQuery = 1 << 14

// QueryParts is AppendQuery's in parts that share the statement's memory, with the number of the one that holds waitMs; nil for
// one that is short.
func (s *Statement) QueryParts(waitMs int) (parts []string, wait int) {
	if len(s.head)+len(s.tail) <= longQuery {
		return nil, 0
	}
	parts = []string{"", s.head, strconv.Itoa(waitMs), s.tail, "\x00"}
	n := 4
	for _, p := range parts {
		n += len(p)
	}
	parts[0] = string(binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(n)))
	return parts, 2
}

// Pairs yields the names and values of a list such as 'inflight=7,util=0.61'.
func Pairs(list string) iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for part := range strings.SplitSeq(list, ",") {
			if name, val, ok := strings.Cut(part, "="); ok && !yield(strings.TrimSpace(name), strings.TrimSpace(val)) {
				return
			}
		}
	}
}
