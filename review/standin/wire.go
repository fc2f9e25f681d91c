package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// message is a message of PostgreSQL's protocol.
type message struct {
	kind byte
	body []byte
}

// text returns the text before the first zero byte of the body.
func (m message) text() string {
	text, _, _ := bytes.Cut(m.body, []byte{0})
	return string(text)
}

const maxBody = 16 << 20

// readMessage reads one message; without a type byte it is a startup message.
func readMessage(r io.Reader, typed bool) (message, error) {
	var m message
	head := make([]byte, 5)
	if !typed {
		head = head[:4]
	}
	if _, err := io.ReadFull(r, head); err != nil {
		return m, err
	}
	if typed {
		m.kind = head[0]
		head = head[1:]
	}
	length := int(binary.BigEndian.Uint32(head))
	if length < 4 || length > maxBody {
		return m, fmt.Errorf("a message of length %d", length)
	}
	m.body = make([]byte, length-4)
	_, err := io.ReadFull(r, m.body)
	return m, err
}

// appendMessage appends a message. A type of 0 is left out.
func appendMessage(dst []byte, kind byte, body []byte) []byte {
	if kind != 0 {
		dst = append(dst, kind)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)+4))
	return append(dst, body...)
}

// appendStrings appends a message whose body consists of strings that end with a zero byte.
func appendStrings(dst []byte, kind byte, texts ...string) []byte {
	var body []byte
	for _, text := range texts {
		body = append(append(body, text...), 0)
	}
	return appendMessage(dst, kind, body)
}

// appendStartup appends a startup message.
func appendStartup(dst []byte, user, database string) []byte {
	body := binary.BigEndian.AppendUint32(nil, 3<<16)
	for _, text := range []string{"user", user, "database", database} {
		body = append(append(body, text...), 0)
	}
	return appendMessage(dst, 0, append(body, 0))
}

// appendRow appends RowDescription and DataRow of one column.
func appendRow(dst []byte, column, value string) []byte {
	description := append([]byte{0, 1}, column...)
	description = append(description, 0)
	description = binary.BigEndian.AppendUint32(description, 0)
	description = binary.BigEndian.AppendUint16(description, 0)
	description = binary.BigEndian.AppendUint32(description, 17)
	description = binary.BigEndian.AppendUint16(description, 0xffff)
	description = binary.BigEndian.AppendUint32(description, 0xffffffff)
	description = binary.BigEndian.AppendUint16(description, 0)
	dst = appendMessage(dst, 'T', description)
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	return appendMessage(dst, 'D', append(row, value...))
}

// appendError appends an ErrorResponse.
func appendError(dst []byte, code, text string) []byte {
	body := []byte("SERROR\x00VERROR\x00C" + code + "\x00M" + text + "\x00\x00")
	return appendMessage(dst, 'E', body)
}

// answer is what a client got for one statement.
type answer struct {
	Value string // of the row, if there was one
	Rows  int
	Tag   string
	Code  string // SQLSTATE of an error
	Ended bool   // the connection ended before ReadyForQuery
}

// String returns the answer for the record.
func (a answer) String() string {
	switch {
	case a.Code != "":
		return fmt.Sprintf("error %s (connection ended: %v)", a.Code, a.Ended)
	case a.Ended:
		return "connection ended"
	}
	return fmt.Sprintf("%s, rows %d, value %.60q", a.Tag, a.Rows, a.Value)
}

// client is a client's connection to a pooler.
type client struct {
	conn net.Conn
}

const clientTimeout = 15 * time.Second

// connect opens a connection and waits until the pooler is ready for a query.
func connect(addr, user, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn}
	if _, err := conn.Write(appendStartup(nil, user, database)); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	if a := c.read(); a.Ended || a.Code != "" {
		return nil, errors.Join(fmt.Errorf("startup: %s", a), conn.Close())
	}
	return c, nil
}

// read reads one answer, up to ReadyForQuery.
func (c *client) read() (a answer) {
	_ = c.conn.SetReadDeadline(time.Now().Add(clientTimeout))
	for {
		m, err := readMessage(c.conn, true)
		if err != nil {
			a.Ended = true
			return a
		}
		switch m.kind {
		case 'D':
			a.Rows++
			if len(m.body) >= 6 {
				a.Value = string(m.body[6:])
			}
		case 'C':
			a.Tag = m.text()
		case 'I':
			a.Tag = "empty"
		case 'E':
			for _, field := range strings.Split(string(m.body), "\x00") {
				if strings.HasPrefix(field, "C") {
					a.Code = field[1:]
				}
			}
		case 'Z':
			return a
		}
	}
}

// send sends statements, each as a message of its own, without waiting for answers.
func (c *client) send(statements ...string) error {
	var out []byte
	for _, sql := range statements {
		out = appendStrings(out, 'Q', sql)
	}
	_, err := c.conn.Write(out)
	return err
}

// ask sends one statement and reads its answer.
func (c *client) ask(sql string) answer {
	if c.send(sql) != nil {
		return answer{Ended: true}
	}
	return c.read()
}
