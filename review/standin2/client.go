package main

import (
	"errors"
	"fmt"
	"net"
	"time"

	"beechgrade/internal/protocol/pgwire"
)

// answerWithin is how long a client waits for an answer.
const answerWithin = 30 * time.Second

// client is a client's connection.
type client struct {
	conn  net.Conn
	input pgwire.Reader
}

// answer is the answer to a statement, or to a text of several.
type answer struct {
	value []byte // of the last row
	tag   string // of the last statement
	code  string // of the error, empty for none
	text  string // of the error
	state byte
}

func (a answer) String() string {
	if a.code != "" {
		return a.code + " " + a.text
	}
	if len(a.value) > longValue {
		return fmt.Sprintf("%s %d bytes", a.tag, len(a.value))
	}
	return fmt.Sprintf("%s %q", a.tag, a.value)
}

// connect opens a connection.
func connect(address, user, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, answerWithin)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	c := &client{conn: conn, input: pgwire.NewReader(maxMessage)}
	if _, err := conn.Write(pgwire.AppendStartup(nil, user, database)); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	a, err := c.read()
	if err == nil && a.code != "" {
		err = fmt.Errorf("connect: %s", a)
	}
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// query sends a simple query and reads the answer.
func (c *client) query(sql string) (answer, error) {
	if _, err := c.conn.Write(pgwire.AppendQuery(nil, sql)); err != nil {
		return answer{}, fmt.Errorf("send: %w", err)
	}
	return c.read()
}

// sendAll sends simple queries in one write.
func (c *client) sendAll(commands []string) error {
	var b []byte
	for _, sql := range commands {
		b = pgwire.AppendQuery(b, sql)
	}
	if _, err := c.conn.Write(b); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

// prepared prepares a statement under a name, runs it and reads the answer.
func (c *client) prepared(name, sql string) (answer, error) {
	b := pgwire.AppendParse(nil, name, sql, []byte{0, 0})
	b = pgwire.AppendBind(b, "", name, []byte{0, 0, 0, 0, 0, 0})
	b = append(b, pgwire.Execute, 0, 0, 0, 9, 0, 0, 0, 0, 0)
	b = pgwire.AppendWithoutBody(b, pgwire.Sync)
	if _, err := c.conn.Write(b); err != nil {
		return answer{}, fmt.Errorf("send: %w", err)
	}
	return c.read()
}

// read reads messages up to ReadyForQuery, or up to the end of the connection after an error.
func (c *client) read() (a answer, err error) {
	buffer := make([]byte, 1<<16)
	_ = c.conn.SetReadDeadline(time.Now().Add(answerWithin))
	for {
		m, ok, err := c.input.Next()
		if err != nil {
			return a, fmt.Errorf("answer: %w", err)
		}
		if !ok {
			n, err := c.conn.Read(buffer)
			if err != nil && a.code != "" {
				return a, nil
			}
			if err != nil {
				return a, fmt.Errorf("answer: %w", err)
			}
			c.input.Feed(buffer[:n])
			continue
		}
		switch m.Type {
		case pgwire.DataRow:
			if a.value, err = pgwire.Column(m.Body); err != nil {
				return a, fmt.Errorf("answer: %w", err)
			}
			a.value = append([]byte(nil), a.value...)
		case pgwire.CommandComplete:
			a.tag, _ = pgwire.Text(m.Body)
		case pgwire.ErrorResponse:
			if a.code == "" {
				a.code, a.text = pgwire.ErrorCode(m.Body), errorText(m.Body)
			}
		case pgwire.ReadyForQuery:
			a.state = m.Body[0]
			return a, nil
		}
	}
}

// errorText returns the text of an ErrorResponse.
func errorText(body []byte) string {
	for i := 0; i < len(body) && body[i] != 0; {
		end := i + 1
		for end < len(body) && body[end] != 0 {
			end++
		}
		if body[i] == 'M' {
			return string(body[i+1 : end])
		}
		i = end + 1
	}
	return ""
}
