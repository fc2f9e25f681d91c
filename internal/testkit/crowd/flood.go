package crowd

import (
	"fmt"
	"io"
	"net"
	"sync"

	"beechgrade/internal/protocol/pgwire"
)

const (
	floodClients = 6
	floodBytes   = 1 << 16 // written at once
)

// FloodKind is a kind of messages that need no server or are invalid.
type FloodKind struct {
	Name string
	Next func(n int) []byte // returns the n-th message of a client
}

// FloodKinds returns the kinds of floods of clients that speak PostgreSQL's protocol.
func FloodKinds() []FloodKind {
	always := func(message []byte) func(int) []byte { return func(int) []byte { return message } }
	return []FloodKind{
		{"empty queries", always(pgwire.AppendQuery(nil, ""))},
		{"Sync", always(pgwire.AppendWithoutBody(nil, pgwire.Sync))},
		{"no id", always(pgwire.AppendQuery(nil, "SELECT content FROM kv WHERE name = 'k'"))},
		{"SET", always(pgwire.AppendQuery(nil, "SET a = b"))},
		{"new names", func(n int) []byte {
			return pgwire.AppendQuery(nil, fmt.Sprintf("SELECT 1 /* id=%d,c=class-%d,t=tenant-%d,k=key-%d,d=100,cluster=%d */", n, n, n, n, n))
		}},
		{"skipped messages", always(pgwire.AppendWithoutBody(nil, pgwire.Execute))},
		{"valid requests", func(n int) []byte {
			statement := "SELECT content FROM kv WHERE name = 'k' /* id=%p-%d,c=read,d=100,cluster=0 */"
			return pgwire.AppendQuery(nil, fmt.Sprintf(statement, always, n))
		}},
	}
}

// PingFlood returns the flood of the ClickHouse frontend.
func PingFlood() FloodKind {
	return FloodKind{"ping", func(int) []byte { return []byte("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n") }}
}

// Flood has some clients send messages of a kind at full speed, without waiting for the answers, which they read, until stop is closed. The error
// is that of a client that never had a connection, nil if all had one.
func Flood(address string, startup []byte, kind FloodKind, stop <-chan struct{}) error {
	failed := make(chan error, floodClients)
	var clients sync.WaitGroup
	for range floodClients {
		clients.Go(func() { failed <- flood(address, startup, kind.Next, stop) })
	}
	clients.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

// flood plays one client, which connects again where its connection ends.
func flood(address string, startup []byte, next func(n int) []byte, stop <-chan struct{}) error {
	for n := 0; ; {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			if n == 0 {
				return err
			}
			return nil // the pooler may have ended
		}
		go func() {
			<-stop
			_ = conn.Close()
		}()
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		_, _ = conn.Write(startup)
		for err == nil {
			var chunk []byte
			for len(chunk) < floodBytes {
				chunk = append(chunk, next(n)...)
				n++
			}
			_, err = conn.Write(chunk)
		}
		_ = conn.Close()
		select {
		case <-stop:
			return nil
		default:
		}
	}
}
