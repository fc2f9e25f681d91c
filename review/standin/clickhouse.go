package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const clickHouseSettings = `(clickhouse (listen "%s") (group 0))
`

// clickHouseServer starts a server of the ClickHouse HTTP interface. It answers a query with the query's text, after the time that
// the text names.
func clickHouseServer(r *record) (addr string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		query := request.URL.Query().Get("query") + string(body)
		if request.URL.Path == "/ping" || request.URL.Path == "/replicas_status" {
			_, _ = io.WriteString(w, "Ok.\n")
			return
		}
		r.line("server: on the connection from %s: %s %.80q", request.RemoteAddr, request.Method, query)
		work := writeWork
		if strings.Contains(query, "slow") {
			work = 400 * time.Millisecond
		}
		time.Sleep(work)
		_, _ = io.WriteString(w, query+"\n")
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(handler)) }() //nolint:gosec // a stand-in on loopback
	return l.Addr().String(), nil
}

const usualQueries = 20

// hiddenLength: a bad client sends one query whose head names its own length in the field Connection; usual clients ask after it.
func hiddenLength(e *env) (broken bool, err error) {
	addr, err := clickHouseServer(e.record)
	if err != nil {
		return false, err
	}
	f, err := newFleet(e.record, options{addresses: []string{addr}})
	if err != nil {
		return false, err
	}
	listen, err := freeAddress()
	if err != nil {
		return false, err
	}
	file := filepath.Join(e.folder, "operators.sexp")
	if err := os.WriteFile(file, fmt.Appendf(nil, clickHouseSettings, listen), 0o600); err != nil {
		return false, err
	}
	if _, err := e.startPooler(poolerOptions{name: "p1", discovery: f.discovery, settings: file}); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	if err := badQuery(e, listen, e.trouble); err != nil {
		return false, err
	}
	for i := range usualQueries {
		want := fmt.Sprintf("SELECT 'client %d'", i)
		got, err := postQuery(listen, want)
		e.record.line("usual client %d: asked %q, got %q, error %v", i, want, got, err)
		if err == nil && strings.TrimSpace(got) != want && !strings.Contains(got, "DB::Exception") {
			e.record.line("usual client %d was served the answer to another client's query", i)
			broken = true
		}
	}
	return broken, nil
}

// badQuery sends a query with a body that looks like another request. With hide, the field Connection names Content-Length.
func badQuery(e *env, addr string, hide bool) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	body := "POST /?query=SELECT+'slow,+of+the+bad+client' HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	connection := "keep-alive"
	if hide {
		connection = "content-length"
	}
	e.record.line("bad client: POST with Connection: %s and a body of %d bytes", connection, len(body))
	if _, err := fmt.Fprintf(conn, "POST /?query=SELECT+'bad' HTTP/1.1\r\nHost: x\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n%s", connection, len(body), body); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		e.record.line("bad client: no answer: %v", err)
		return nil
	}
	e.record.line("bad client: status %d", response.StatusCode)
	return response.Body.Close()
}

// postQuery sends a query on a connection of its own.
func postQuery(addr, query string) (string, error) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+addr+"/", "text/plain", strings.NewReader(query))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}
