package main

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ClickHouse/ch-go/compress"
	chproto "github.com/ClickHouse/ch-go/proto"
	clickhouse "github.com/ClickHouse/clickhouse-go/v2"
	"github.com/ClickHouse/clickhouse-go/v2/lib/column"
	"github.com/ClickHouse/clickhouse-go/v2/lib/proto"

	"beechgrade/internal/testkit/fake/clickhouseserver"
)

// answerInNativeFormat makes a fake server answer a driver in blocks of the Native format, as its settings request.
func answerInNativeFormat(s *clickhouseserver.Server) {
	s.Answer(func(w http.ResponseWriter, r *http.Request, run *clickhouseserver.Run, body []byte) bool {
		q := r.URL.Query()
		text := strings.TrimSpace(q.Get("query"))
		if text == "" {
			text = strings.TrimSpace(string(body))
		}
		if q.Get("default_format") != "Native" {
			return false
		}
		switch {
		case strings.HasPrefix(text, "SELECT displayName()"):
			return writeBlock(w, r, []string{"displayName()", "version()", "revision()", "timezone()"}, []string{"String", "String", "UInt32", "String"},
				[]any{s.Name, "25.8.1.1", uint32(clickhouse.ClientTCPProtocolVersion), "UTC"})
		case strings.HasPrefix(text, "DESCRIBE TABLE"):
			return writeBlock(w, r, []string{"name", "type", "default_type", "default_expression", "comment", "codec_expression", "ttl_expression"}, []string{"String", "String", "String", "String", "String", "String", "String"},
				[]any{"obra", "String", "", "", "", "", ""}, []any{"horas", "UInt64", "", "", "", "", ""})
		case strings.HasPrefix(text, "SELECT number"):
			var rows [][]any
			for i := range 5000 {
				rows = append(rows, []any{uint64(i)})
			}
			return writeBlock(w, r, []string{"number"}, []string{"UInt64"}, rows...)
		case text == "SELECT 1":
			return writeBlock(w, r, []string{"1"}, []string{"UInt8"}, []any{uint8(1)})
		case strings.HasPrefix(text, "SELECT name"):
			return writeBlock(w, r, []string{"name"}, []string{"String"}, []any{s.Name})
		case strings.HasPrefix(text, "INSERT"):
			n, err := countRows(r, body)
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return true
			}
			run.Text = fmt.Sprintf("INSERT of %d rows", n)
			return true
		}
		return false
	})
}

// writeBlock answers with one block, compressed as the request asks.
func writeBlock(w http.ResponseWriter, r *http.Request, names, types []string, rows ...[]any) bool {
	b := proto.NewBlock()
	for i := range names {
		if err := b.AddColumn(names[i], column.Type(types[i])); err != nil {
			http.Error(w, err.Error(), 500)
			return true
		}
	}
	for _, row := range rows {
		if err := b.Append(row...); err != nil {
			http.Error(w, err.Error(), 500)
			return true
		}
	}
	buf := &chproto.Buffer{}
	if err := b.Encode(buf, clickhouse.ClientTCPProtocolVersion); err != nil {
		http.Error(w, err.Error(), 500)
		return true
	}
	out := buf.Buf
	if r.URL.Query().Get("compress") == "1" {
		method := compress.LZ4
		if r.URL.Query().Get("network_compression_method") == "ZSTD" {
			method = compress.ZSTD
		}
		c := compress.NewWriter(0, method)
		if err := c.Compress(out); err != nil {
			http.Error(w, err.Error(), 500)
			return true
		}
		out = c.Data
	}
	if r.Header.Get("Accept-Encoding") == "gzip" {
		w.Header().Set("Content-Encoding", "gzip")
		z := gzip.NewWriter(w)
		_, _ = z.Write(out)
		_ = z.Close()
		return true
	}
	_, _ = w.Write(out)
	return true
}

// countRows returns the number of rows in a request's body of Native blocks.
func countRows(r *http.Request, body []byte) (int, error) {
	in := io.Reader(bytes.NewReader(body))
	if r.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(in)
		if err != nil {
			return 0, err
		}
		in = z
	}
	reader := chproto.NewReader(in)
	if r.URL.Query().Get("decompress") == "1" {
		reader.EnableCompression()
	}
	n := 0
	for {
		b := proto.NewBlock()
		err := b.Decode(reader, 0)
		if errors.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		n += b.Rows()
	}
}

// TestClickHouseDriver runs the published Go driver over HTTP with each compression method: queries, batches larger than the pooler
// buffers, exceptions of servers and of the pooler, cancellation, and sessions, which must stay at one server.
func TestClickHouseDriver(t *testing.T) {
	w := startClickHouse(t, 3, `(hold 16k) (class "u" (user "outro") (deadline 5s) (aim 1s))`)
	for _, s := range w.servers {
		answerInNativeFormat(s)
	}
	open := func(method clickhouse.CompressionMethod, user string, more clickhouse.Settings) clickhouse.Conn {
		c, err := clickhouse.Open(&clickhouse.Options{Protocol: clickhouse.HTTP, Addr: []string{w.addr}, Auth: clickhouse.Auth{Database: "obra", Username: user, Password: "secret"},
			Compression: &clickhouse.Compression{Method: method}, Settings: more, Logger: slog.New(slog.DiscardHandler), DialTimeout: testTimeout, ReadTimeout: testTimeout})
		if err != nil {
			t.Fatalf("opening the driver: %v", err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	ctx := context.Background()
	for _, method := range []clickhouse.CompressionMethod{clickhouse.CompressionNone, clickhouse.CompressionLZ4, clickhouse.CompressionZSTD, clickhouse.CompressionGZIP} {
		t.Run(method.String(), func(t *testing.T) {
			c := open(method, "escritorio", nil)
			if err := c.Ping(ctx); err != nil {
				t.Fatalf("ping: %v", err)
			}
			rows, err := c.Query(ctx, "SELECT number FROM numbers")
			if err != nil {
				t.Fatalf("query for 5000 rows: %v", err)
			}
			sum, n := uint64(0), uint64(0)
			for rows.Next() {
				var x uint64
				if err := rows.Scan(&x); err != nil {
					t.Fatalf("row %d of the query: %v", n, err)
				}
				sum, n = sum+x, n+1
			}
			if rows.Err() != nil || n != 5000 || sum != n*(n-1)/2 {
				t.Errorf("rows of the query: got %d, sum %d, error %v, want 5000, sum %d", n, sum, rows.Err(), 5000*4999/2)
			}
			qid := "batch-" + method.String()
			batch, err := c.PrepareBatch(clickhouse.Context(ctx, clickhouse.WithQueryID(qid)), "INSERT INTO ponto (obra, horas)")
			if err != nil {
				t.Fatalf("preparing the batch: %v", err)
			}
			for i := range 20000 {
				if err := batch.Append(fmt.Sprint("obra-", i*7919%100003), uint64(i)); err != nil {
					t.Fatalf("appending row %d to the batch: %v", i, err)
				}
			}
			if err := batch.Send(); err != nil {
				t.Fatalf("sending the batch: %v", err)
			}
			found := 0
			for _, r := range w.runs(qid) {
				if strings.HasPrefix(r.Text, "INSERT of 20000 rows") && r.Kept {
					found++
				}
				if r.Bytes > 0 && r.Bytes < 16<<10 && strings.HasPrefix(r.Text, "INSERT") {
					t.Errorf("the batch has only %d bytes, which the pooler buffers whole: the test needs more than 16 KiB", r.Bytes)
				}
			}
			if found != 1 {
				t.Errorf("runs of the batch: got %+v, want one that kept 20000 rows", w.runs(qid))
			}
		})
	}
	t.Run("exceptions", func(t *testing.T) {
		c := open(clickhouse.CompressionLZ4, "escritorio", nil)
		if err := c.Ping(ctx); err != nil {
			t.Fatalf("ping: %v", err)
		}
		var e *clickhouse.Exception
		if err := c.Exec(ctx, "DROP TABLE x /* FAIL 497 */"); !errors.As(err, &e) || e.Code != 497 {
			t.Errorf("exception of the server: got %v, want code 497", err)
		}
		slow := open(clickhouse.CompressionNone, "outro", clickhouse.Settings{"max_execution_time": 1})
		if err := slow.Ping(ctx); err != nil {
			t.Fatalf("ping: %v", err)
		}
		if err := slow.Exec(ctx, "DROP TABLE x /* HANG */"); !errors.As(err, &e) || e.Code != 159 {
			t.Errorf("exception of the pooler: got %v, want code 159", err)
		}
	})
	t.Run("cancel", func(t *testing.T) {
		c := open(clickhouse.CompressionNone, "escritorio", nil)
		hangingRun := func() clickhouseserver.Run { // the driver's first query at a server has the same query ID
			for _, r := range w.runs("cancelled") {
				if strings.Contains(r.Text, "HANG") {
					return r
				}
			}
			return clickhouseserver.Run{}
		}
		short, cancel := context.WithCancel(clickhouse.Context(ctx, clickhouse.WithQueryID("cancelled")))
		go func() {
			for end := time.Now().Add(testTimeout); time.Now().Before(end) && hangingRun().ID == ""; time.Sleep(time.Millisecond) {
			}
			cancel()
		}()
		if err := c.Exec(short, "OPTIMIZE TABLE x /* HANG */"); !errors.Is(err, context.Canceled) {
			t.Errorf("cancelled query: error is %v, want %v", err, context.Canceled)
		}
		w.waitFor("the server sees the cancellation", func() bool { return hangingRun().Cancelled })
	})
	t.Run("session", func(t *testing.T) {
		c := open(clickhouse.CompressionLZ4, "escritorio", clickhouse.Settings{"session_id": "driver", "session_timeout": 60})
		names := map[string]bool{}
		for range 12 {
			var name string
			if err := c.QueryRow(ctx, "SELECT name").Scan(&name); err != nil {
				t.Fatalf("query in a session: %v", err)
			}
			names[name] = true
		}
		if len(names) != 1 {
			t.Errorf("servers of one session's queries: got %v, want one", names)
		}
	})
}
