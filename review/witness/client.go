package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"beechgrade/internal/protocol/pgwire"
)

// pgClient is a client of the address of (pooling ...).
type pgClient struct {
	conn   net.Conn
	reader pgwire.Reader
	buffer []byte
	rows   []string // the first values of the rows of the last answer
}

// connect connects a client and completes its startup. Settings are names and values, one after the other.
func connect(address, user, database string, settings ...string) (*pgClient, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &pgClient{conn: conn, reader: pgwire.NewReader(1 << 24), buffer: make([]byte, 1<<15)}
	if err := c.send(startup(append([]string{"user", user, "database", database}, settings...))); err != nil {
		return nil, err
	}
	_, err = c.answer(5 * time.Second)
	return c, err
}

// startup returns a startup message with these names and values.
func startup(parameters []string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 0}, pgwire.Version)
	for _, text := range parameters {
		b = append(append(b, text...), 0)
	}
	b = append(b, 0)
	binary.BigEndian.PutUint32(b, uint32(len(b)))
	return b
}

func (c *pgClient) send(b []byte) error {
	_, err := c.conn.Write(b)
	return err
}

// answer reads messages up to ReadyForQuery, and returns the command tags and the codes of errors in them.
func (c *pgClient) answer(limit time.Duration) (texts []string, err error) {
	c.rows = nil
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	for {
		m, ok, err := c.reader.Next()
		if err != nil {
			return texts, err
		}
		if !ok {
			n, err := c.conn.Read(c.buffer)
			if err != nil {
				return texts, err
			}
			c.reader.Feed(c.buffer[:n])
			continue
		}
		switch m.Type {
		case pgwire.DataRow:
			value, _ := pgwire.Column(m.Body)
			c.rows = append(c.rows, string(value))
		case pgwire.CommandComplete:
			text, _ := pgwire.Text(m.Body)
			texts = append(texts, text)
		case pgwire.ErrorResponse:
			texts = append(texts, "error "+pgwire.ErrorCode(m.Body))
		case pgwire.ReadyForQuery:
			return texts, nil
		}
	}
}

// query sends a simple query and returns its answer.
func (c *pgClient) query(sql string, limit time.Duration) ([]string, error) {
	if err := c.send(pgwire.AppendQuery(nil, sql)); err != nil {
		return nil, err
	}
	return c.answer(limit)
}

// executeMessages appends the messages that run a prepared statement with one text value, and a Sync.
func executeMessages(dst []byte, name, value string) []byte {
	rest := []byte{0, 0, 0, 1}
	rest = binary.BigEndian.AppendUint32(rest, uint32(len(value)))
	rest = append(rest, value...)
	rest = append(rest, 0, 0)
	dst = pgwire.AppendBind(dst, "", name, rest)
	dst = append(dst, "E\x00\x00\x00\x09\x00\x00\x00\x00\x00"...)
	return append(dst, "S\x00\x00\x00\x04"...)
}

func describe(texts []string, err error) string {
	if err != nil {
		return fmt.Sprintf("%v, then %v", texts, err)
	}
	return fmt.Sprint(texts)
}
