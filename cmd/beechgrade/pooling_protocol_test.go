package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"testing"

	"beechgrade/internal/protocol/pgwire"
)

// TestPooledUnsupportedRequests: unsupported requests get a clear error, and the options of a newer client are negotiated.
func TestPooledUnsupportedRequests(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 2)"))
	c := dial(t, w.addr)
	c.send([]byte{0, 0, 0, 8, 4, 210, 22, 47}) // SSLRequest
	if b, err := c.in.ReadByte(); err != nil || b != 'N' {
		t.Fatalf("the answer to SSLRequest is %q, error %v, want 'N'", b, err)
	}
	start := func(minor uint32, params ...string) []byte {
		b := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 0}, pgwire.Version+minor)
		for _, s := range params {
			b = append(append(b, s...), 0)
		}
		b = append(b, 0)
		binary.BigEndian.PutUint32(b, uint32(len(b)))
		return b
	}
	c.send(start(2, "user", "tablet", "database", "obra", "_pq_.novel", "on")) // on the same connection
	negotiated := false
	for typ, body := c.message(); typ != 'Z'; typ, body = c.message() {
		if typ == 0 {
			t.Fatal("the connection ended during startup")
		}
		negotiated = negotiated || typ == 'v' && len(body) > 8 && binary.BigEndian.Uint32(body[4:]) == 1
	}
	if !negotiated {
		t.Error("the unknown option was not negotiated by NegotiateProtocolVersion")
	}
	c.send([]byte{'F', 0, 0, 0, 4, 'S', 0, 0, 0, 4}) // a function call, and Sync
	if got := readAnswers(c, 1); len(got) != 2 || got[0] != "E 0A000" || got[1] != "Z I" {
		t.Errorf("function call: got %q, want \"E 0A000\" and \"Z I\"", got)
	}
	for _, x := range []struct{ params, code string }{{"replication", "0A000"}, {"user", "28000"}} {
		c := dial(t, w.addr)
		p := []string{"user", "tablet", "database", "obra", "replication", "database"}
		if x.params == "user" {
			p = []string{"database", "obra"}
		}
		c.send(start(0, p...))
		if typ, body := c.message(); typ != 'E' || pgwire.ErrorCode(body) != x.code {
			t.Errorf("startup with an invalid %s: got %q %q, want SQLSTATE %s", x.params, typ, body, x.code)
		}
	}
}

// TestPooledSchemaChange: the columns of a table change under a prepared statement. Its client gets the error that PostgreSQL would give.
// A client that prepares the same text again gets a correct plan: the outdated one is not kept.
func TestPooledSchemaChange(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 1)"))
	c := w.connect("")
	w.exec(c, putKV, "k", "v")
	pc := c.PgConn()
	read := func(name string) string {
		return sqlState(pc.ExecPrepared(ctx, name, [][]byte{[]byte("k")}, nil, nil).Read().Err)
	}
	if _, err := pc.Prepare(ctx, "one", getKV, nil); err != nil || read("one") != "" {
		t.Fatalf("preparing and running the statement before the schema change: %v", err)
	}
	w.exec(c, "ALTER TABLE kv ADD COLUMN more text")
	if code := read("one"); code != "0A000" {
		t.Errorf("prepared statement after the schema change: SQLSTATE is %q, want 0A000", code)
	}
	if _, err := pc.Prepare(ctx, "two", getKV, nil); err != nil || read("two") != "" {
		t.Errorf("statement prepared after the schema change: error %v, SQLSTATE %q, want success", err, read("two"))
	}
}
