package main

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net"
	"regexp"
	"slices"
	"strings"
	"time"

	"beechgrade/internal/protocol/pgwire"
)

var (
	selectContent = regexp.MustCompile(`^SELECT content FROM kv WHERE name = '([^']*)'`)
	selectCount   = regexp.MustCompile(`^SELECT count\(\*\) FROM kv WHERE name = '([^']*)'`)
	selectAfter   = regexp.MustCompile(`^SELECT count\(\*\) FROM ponto WHERE inicio >= '([^']*)'`)
	insertContent = regexp.MustCompile(`^INSERT INTO kv \(name, content\) VALUES \('([^']*)', '([^']*)'\)`)
	setZone       = regexp.MustCompile(`(?i)^SET TIME ZONE '([^']*)'`)
	setAny        = regexp.MustCompile(`(?i)^SET "?(\w+)"? (?:TO|=) (.*)$`)
	resetAny      = regexp.MustCompile(`(?i)^RESET "?(\w+)"?`)
	showAny       = regexp.MustCompile(`(?i)^SHOW "?(\w+)"?`)
)

// zones are the time zones that the stand-in knows, without the machine's own files.
var zones = map[string]*time.Location{
	"UTC":            time.UTC,
	"America/Recife": time.FixedZone("America/Recife", -3*3600),
}

// entry is the one row of the table ponto: a worker's start on 1 December at 22:30 in Recife.
var entry = time.Date(2026, 12, 2, 1, 30, 0, 0, time.UTC)

func (c *session) timeZone() string {
	if zone := c.settings["timezone"]; zone != "" {
		return zone
	}
	return "UTC"
}

// prepare reads a statement. As in PostgreSQL, its literals are converted then, under the settings in force.
func (c *session) prepare(sql string) (prepared, error) {
	p := prepared{sql: strings.TrimRight(strings.TrimSpace(sql), ";")}
	if m := selectAfter.FindStringSubmatch(p.sql); m != nil {
		at, err := time.ParseInLocation("2006-01-02 15:04", m[1], zones[c.timeZone()])
		if err != nil {
			return p, fmt.Errorf("literal: %w", err)
		}
		p.from = at.Unix()
	}
	return p, nil
}

// execute runs a statement. ok is false if it failed.
func (c *session) execute(p prepared) (out []byte, ok bool) {
	sql := p.sql
	word, _, _ := strings.Cut(strings.ToUpper(sql), " ")
	if c.state == pgwire.StateFailedTransaction && word != "ROLLBACK" && word != "COMMIT" {
		return c.failed("25P02", "the transaction is aborted"), false
	}
	if strings.HasPrefix(sql, "SHOW load") {
		return c.load(), true
	}
	out, ok = c.run(p, word)
	c.server.mu.Lock()
	ran := c.server.ran
	c.server.mu.Unlock()
	if ran != nil {
		ran(sql)
	}
	return out, ok
}

// load is the server's report of its load.
func (c *session) load() []byte {
	isPrimary, position := 0, min(c.server.position(), nowMs())
	if c.server.role == primary {
		isPrimary = 1
	}
	report := fmt.Sprintf("x0=%d.%03d,x1=%d", position/1000, position%1000, isPrimary)
	return pgwire.AppendComplete(pgwire.AppendRow(nil, "load", []byte(report)), "SHOW")
}

func (c *session) run(p prepared, word string) (out []byte, ok bool) {
	sql := p.sql
	switch word {
	case "BEGIN":
		c.state = pgwire.StateTransaction
		c.before = maps.Clone(c.settings)
		return pgwire.AppendComplete(nil, "BEGIN"), true
	case "COMMIT":
		return c.commit(), true
	case "ROLLBACK":
		c.rollback()
		return pgwire.AppendComplete(nil, "ROLLBACK"), true
	case "INSERT":
		return c.insert(sql)
	case "SELECT":
		return c.selected(p)
	}
	switch {
	case setZone.MatchString(sql):
		c.settings["timezone"] = setZone.FindStringSubmatch(sql)[1]
		return pgwire.AppendComplete(nil, "SET"), true
	case setAny.MatchString(sql):
		m := setAny.FindStringSubmatch(sql)
		c.settings[strings.ToLower(m[1])] = strings.Trim(m[2], "'")
		return pgwire.AppendComplete(nil, "SET"), true
	case resetAny.MatchString(sql):
		delete(c.settings, strings.ToLower(resetAny.FindStringSubmatch(sql)[1]))
		return pgwire.AppendComplete(nil, "RESET"), true
	case showAny.MatchString(sql):
		value := c.settings[strings.ToLower(showAny.FindStringSubmatch(sql)[1])]
		return pgwire.AppendComplete(pgwire.AppendRow(nil, "value", []byte(value)), "SHOW"), true
	}
	return c.failed("42601", "this stand-in does not know the statement "+sql), false
}

func (c *session) commit() []byte {
	if c.state == pgwire.StateFailedTransaction {
		c.rollback()
		return pgwire.AppendComplete(nil, "ROLLBACK")
	}
	c.state = pgwire.StateIdle
	c.commitPending()
	c.server.run.note("%s: runs COMMIT", c.server.id)
	return pgwire.AppendComplete(nil, "COMMIT")
}

func (c *session) rollback() {
	c.state = pgwire.StateIdle
	c.pending = nil
	if c.before != nil {
		c.settings = c.before
	}
}

func (c *session) insert(sql string) (out []byte, ok bool) {
	m := insertContent.FindStringSubmatch(sql)
	if m == nil {
		return c.failed("42601", "this stand-in does not know the statement "+sql), false
	}
	if c.server.role != primary {
		return c.failed("25006", "this is no primary"), false
	}
	time.Sleep(time.Duration(c.server.workMs) * time.Millisecond)
	c.pending = append(c.pending, row{key: m[1], value: m[2]})
	if c.state == pgwire.StateIdle && !strings.Contains(sql, "RETURNING") {
		c.commitPending()
	}
	c.server.run.note("%s: runs %s", c.server.id, shortened(sql))
	if value := bytesOf(m[2]); len(value) > longValue && c.state == pgwire.StateIdle {
		// As PostgreSQL does, the row is sent while the statement runs; the commit comes when all of it was sent.
		if c.server.commitsFirst {
			c.commitPending()
		}
		if err := c.sendInPieces(pgwire.AppendRow(nil, "content", value)); err != nil {
			return c.failed("08006", err.Error()), false
		}
		c.commitPending()
		c.server.run.note("%s: committed at %d", c.server.id, c.commitMs)
		return pgwire.AppendComplete(nil, "INSERT 0 1"), true
	}
	if strings.Contains(sql, "RETURNING") {
		return pgwire.AppendComplete(pgwire.AppendRow(nil, "content", bytesOf(m[2])), "INSERT 0 1"), true
	}
	return pgwire.AppendComplete(nil, "INSERT 0 1"), true
}

// sendInPieces sends a long row, or resets the connection in the middle of it.
func (c *session) sendInPieces(row []byte) error {
	sent := 0
	for piece := range slices.Chunk(row, longValue) {
		if c.server.resetsLong && sent > len(row)/2 {
			c.server.run.note("%s: resets the connection after %d of %d bytes of the row", c.server.id, sent, len(row))
			if tcp, ok := c.conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.conn.Close()
		}
		if _, err := c.conn.Write(piece); err != nil {
			return fmt.Errorf("send a row: %w", err)
		}
		sent += len(piece)
		time.Sleep(c.server.pieces)
	}
	return nil
}

// longValue is the length from which a row does not fit the buffers on its way.
const longValue = 1 << 16

// shortened returns a statement as it is noted.
func shortened(sql string) string {
	if len(sql) <= 1<<10 {
		return sql
	}
	return fmt.Sprintf("%s... (%d bytes) ...%s", sql[:80], len(sql), sql[len(sql)-80:])
}

// bytesOf returns the bytes of a bytea literal.
func bytesOf(literal string) []byte {
	if digits, ok := strings.CutPrefix(literal, `\x`); ok {
		if b, err := hex.DecodeString(digits); err == nil {
			return b
		}
	}
	return []byte(literal)
}

func (c *session) selected(p prepared) (out []byte, ok bool) {
	var value []byte
	switch {
	case selectContent.MatchString(p.sql):
		time.Sleep(time.Duration(c.server.workMs) * time.Millisecond)
		if values := c.server.table.values(selectContent.FindStringSubmatch(p.sql)[1], c.server.position()); len(values) > 0 {
			value = bytesOf(values[len(values)-1])
		}
	case selectCount.MatchString(p.sql):
		value = fmt.Append(nil, len(c.server.table.values(selectCount.FindStringSubmatch(p.sql)[1], c.server.position())))
	case p.from != 0:
		count := 0
		if entry.Unix() >= p.from {
			count = 1
		}
		value = fmt.Append(nil, count)
	default:
		return c.failed("42601", "this stand-in does not know the statement "+p.sql), false
	}
	if len(value) > longValue {
		c.server.run.note("%s: runs %s: %d bytes", c.server.id, p.sql, len(value))
		if err := c.sendInPieces(pgwire.AppendRow(nil, "value", value)); err != nil {
			return c.failed("08006", err.Error()), false
		}
		return pgwire.AppendComplete(nil, "SELECT 1"), true
	}
	c.server.run.note("%s: runs %s under TimeZone %s: %q", c.server.id, p.sql, c.timeZone(), value)
	return pgwire.AppendComplete(pgwire.AppendRow(nil, "value", value), "SELECT 1"), true
}
