package pgwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
	"strconv"
	"strings"
)

// ErrNoComment is wrapped by errors about a statement that does not end in a comment that describes its request.
var ErrNoComment = errors.New("statement has no request comment")

// ErrStatement reports a statement of a kind that is not sent to servers.
var ErrStatement = errors.New("only SELECT, INSERT, UPDATE and DELETE are taken")

const (
	maxWaitMs     = 24 * 3600 * 1000 // a day
	maxNameBytes  = 256              // of an id, a class, a tenant or a key
	minSplitQuery = 1 << 14          // bytes; a server may not accept a longer statement at once, so that it is written in parts
	whitespace    = " \t\r\n"
)

// Names of the fields of a request comment.
const (
	fieldID             = "id"
	fieldClass          = "c"
	fieldTenant         = "t"
	fieldIdempotencyKey = "k"
	fieldWait           = "d"       // milliseconds
	fieldGroup          = "cluster" // the group of servers
	fieldAfter          = "after"   // position of the session's last commit
	fieldRetry          = "r"       // 1 for a client's retry
)

// Statement is a client's statement with the content of its comment. Its names, of which some are remembered for longer than the statement, share
// no memory with it.
type Statement struct {
	RequestID      string
	Class          string
	Tenant         string  // empty for none
	IdempotencyKey string  // by which servers recognise a repeated request, empty for none
	WaitMs         float64 // milliseconds that the client waits, counted from when it sent the request
	Group          int
	AfterCommitMs  int64 // Unix milliseconds of the session's last commit, 0 for none
	IsRetry        bool
	SessionKey     string // the first quoted value; it identifies the session where sessions are in use
	Writes         bool   // the first word is that of a command that changes data

	beforeWait, afterWait string // the statement before and after the value of the wait
}

// ParseStatement reads a statement and its closing comment. Unknown fields of the comment are skipped.
func ParseStatement(sql string) (Statement, error) {
	body := strings.TrimRight(sql, ";"+whitespace)
	commentAt := strings.LastIndex(body, "/*")
	if commentAt < 0 || !strings.HasSuffix(body, "*/") || len(body) < commentAt+len("/**/") {
		return Statement{}, ErrNoComment
	}
	s := Statement{}
	command, _, _ := strings.Cut(strings.TrimLeft(body, whitespace), " ")
	switch strings.ToUpper(command) {
	case "SELECT":
	case "INSERT", "UPDATE", "DELETE":
		s.Writes = true
	default:
		return Statement{}, ErrStatement
	}
	fieldsAt := commentAt + len("/*")
	if err := s.parseComment(sql, fieldsAt, len(body)-len("*/")); err != nil {
		return Statement{}, err
	}
	if _, rest, ok := strings.Cut(body[:commentAt], "'"); ok {
		s.SessionKey, _, _ = strings.Cut(rest, "'")
	}
	return s, nil
}

// parseComment reads the fields of the comment, which are sql[at:end].
func (s *Statement) parseComment(sql string, at, end int) error {
	seen := map[string]bool{}
	for part := range strings.SplitSeq(sql[at:end], ",") {
		name, value, ok := strings.Cut(part, "=")
		valueAt := at + len(name) + len("=")
		at += len(part) + len(",")
		if !ok {
			continue
		}
		name = strings.TrimSpace(name)
		if isCommentField(name) {
			if seen[name] {
				return fmt.Errorf("comment: %s: said twice", name)
			}
			seen[name] = true
		}
		if name == fieldWait {
			trimmed := strings.TrimSpace(value)
			valueAt += strings.Index(value, trimmed)
			s.beforeWait = sql[:valueAt]
			s.afterWait = sql[valueAt+len(trimmed):]
		}
		if err := s.setField(name, strings.TrimSpace(value)); err != nil {
			return fmt.Errorf("comment: %s: %w", name, err)
		}
	}
	return s.checkFields(seen)
}

func isCommentField(name string) bool {
	switch name {
	case fieldID, fieldClass, fieldTenant, fieldIdempotencyKey, fieldWait, fieldGroup, fieldAfter, fieldRetry:
		return true
	}
	return false
}

// setField sets one field of the comment.
func (s *Statement) setField(name, value string) (err error) {
	switch name {
	case fieldID:
		s.RequestID = strings.Clone(value)
	case fieldClass:
		s.Class = strings.Clone(value)
	case fieldTenant:
		s.Tenant = strings.Clone(value)
	case fieldIdempotencyKey:
		s.IdempotencyKey = strings.Clone(value)
	case fieldWait:
		s.WaitMs, err = strconv.ParseFloat(value, 64)
		if err == nil && !(s.WaitMs > 0 && s.WaitMs <= maxWaitMs) {
			err = strconv.ErrRange
		}
	case fieldGroup:
		s.Group, err = strconv.Atoi(value)
	case fieldAfter:
		s.AfterCommitMs, err = strconv.ParseInt(value, 10, 64)
		if err == nil && s.AfterCommitMs < 0 {
			err = strconv.ErrRange
		}
	case fieldRetry:
		s.IsRetry = value == "1"
	}
	return err
}

// checkFields checks that the required fields are present and none is too long.
func (s *Statement) checkFields(seen map[string]bool) error {
	if s.RequestID == "" || s.Class == "" || s.beforeWait == "" || !seen[fieldGroup] {
		return fmt.Errorf("comment: id, c, d and cluster are needed: %w", ErrNoComment)
	}
	if max(len(s.RequestID), len(s.Class), len(s.Tenant), len(s.IdempotencyKey)) > maxNameBytes {
		return fmt.Errorf("comment: id, c, t or k of over %d bytes: %w", maxNameBytes, ErrNoComment)
	}
	return nil
}

// AppendQuery appends the statement as a query to a server, with waitMs, the time that the pooler waits, in place of the time that the
// client waits.
func (s *Statement) AppendQuery(dst []byte, waitMs int) []byte {
	return AppendQuery(dst, s.beforeWait, strconv.Itoa(waitMs), s.afterWait)
}

// QueryParts returns the query of AppendQuery in parts that share the statement's memory, and the index of the part that holds waitMs.
// It returns nil for a short statement.
func (s *Statement) QueryParts(waitMs int) (parts []string, wait int) {
	if len(s.beforeWait)+len(s.afterWait) <= minSplitQuery {
		return nil, 0
	}
	const waitIndex = 2
	parts = []string{"", s.beforeWait, strconv.Itoa(waitMs), s.afterWait, "\x00"}
	length := lengthBytes
	for _, part := range parts {
		length += len(part)
	}
	parts[0] = string(binary.BigEndian.AppendUint32([]byte{Query}, uint32(length)))
	return parts, waitIndex
}

// Pairs yields the names and values of a list such as 'inflight=7,util=0.61'.
func Pairs(list string) iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for part := range strings.SplitSeq(list, ",") {
			name, value, ok := strings.Cut(part, "=")
			if ok && !yield(strings.TrimSpace(name), strings.TrimSpace(value)) {
				return
			}
		}
	}
}
