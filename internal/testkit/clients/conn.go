package clients

import (
	"errors"
	"net"

	"time"

	"beechgrade/internal/protocol/pgwire"
)

// Conn is a client's connection to a pooler, in the platform's protocol.
type Conn struct{ link *link }

// Answer is a pooler's answer.
type Answer struct {
	Kind   Kind
	Code   string  // SQLSTATE of an error
	WaitMs float64 // wait that a refusal advises
	Value  []byte
}

// Dial connects to a pooler.
func Dial(addr string) (*Conn, error) {
	l, err := dial(addr)
	if err != nil {
		return nil, err
	}
	return &Conn{l}, nil
}

// Query sends a statement and waits up to wait for its answer. After an error the connection cannot be used again.
func (c *Conn) Query(sql string, wait time.Duration) (Answer, error) {
	_ = c.link.SetDeadline(time.Now().Add(wait))
	if _, err := c.link.Write(pgwire.AppendQuery(nil, sql)); err != nil {
		return Answer{Kind: Broken}, err
	}
	a, err := c.link.answer()
	var ne net.Error
	switch {
	case errors.As(err, &ne) && ne.Timeout():
		return Answer{Kind: Unanswered}, err
	case err != nil:
		return Answer{Kind: Broken}, err
	case a.code == "":
		return Answer{Kind: Served, Value: a.value}, nil
	case a.code == "53300" || a.code == "57P03":
		return Answer{Kind: Refused, Code: a.code, WaitMs: a.wait}, nil
	}
	return Answer{Kind: Failed, Code: a.code}, nil
}

// Close closes the connection.
func (c *Conn) Close() error { return c.link.Close() }

// Statement returns the SQL text of an attempt of a request in the platform's form.
func Statement(a *Request, c *Class, id string, wrote uint64, after, patienceMs float64) string {
	return statement(a, c, &Attempt{ID: id, WriteNumber: wrote}, after, patienceMs)
}

// Watcher is a Sink that is also notified before an attempt is sent, with the time at which its client gives up.
type Watcher interface {
	BeforeSend(t *Attempt, untilMs, afterMs float64)
}
