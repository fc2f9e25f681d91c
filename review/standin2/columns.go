package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	columnGroup  = 9
	answerPieces = 20
	pieceBytes   = 1 << 10
	piecePause   = 100 * time.Millisecond
	insertBytes  = 1 << 20
)

// startColumns starts a stand-in of a ClickHouse server, whose reads take two seconds to be sent.
func (r *run) startColumns() (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("column store: %w", err)
	}
	s := &server{run: r, id: "ch-0", cell: columnGroup, listener: listener}
	service := &http.Server{ReadHeaderTimeout: heartbeat, Handler: http.HandlerFunc(s.columns)}
	r.atEnd(func() { _ = service.Close() })
	go func() { _ = service.Serve(listener) }()
	return s, nil
}

// columns answers a call.
func (s *server) columns(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query().Get("query")
	body, err := io.ReadAll(request.Body)
	switch {
	case request.URL.Path == "/ping":
		_, _ = io.WriteString(w, "Ok.\n")
		return
	case err != nil:
		s.run.note("%s: %s: the body breaks off after %d bytes", s.id, query, len(body))
		return
	case strings.HasPrefix(query, "INSERT"):
		s.run.note("%s: runs %s, with %d bytes", s.id, query, len(body))
		return
	}
	s.run.note("%s: runs %s", s.id, query)
	if text, ok := strings.CutPrefix(query, "echo "); ok {
		_, _ = io.WriteString(w, text)
		return
	}
	if text, ok := strings.CutPrefix(query, "slow "); ok {
		time.Sleep(slowRead)
		_, _ = io.WriteString(w, "the answer to "+text)
		return
	}
	controller := http.NewResponseController(w)
	for range answerPieces {
		_, err := io.WriteString(w, strings.Repeat("x", pieceBytes-1)+"\n")
		if err == nil {
			err = controller.Flush()
		}
		if err != nil || request.Context().Err() != nil {
			s.run.note("%s: %s: the connection ends before the answer", s.id, query)
			return
		}
		time.Sleep(piecePause)
	}
	s.run.note("%s: %s is answered", s.id, query)
}

// pipelineCase: a client of the ClickHouse interface sends an INSERT behind a query whose answer is still being sent.
func pipelineCase(r *run) error {
	store, err := r.startColumns()
	if err != nil {
		return err
	}
	discovery, err := r.startDiscovery([]*server{store})
	if err != nil {
		return err
	}
	address, err := freeAddress()
	if err != nil {
		return err
	}
	p := &pooler{run: r, name: "n1", discovery: discovery, tokens: "brought"}
	p.settings = fmt.Sprintf("(clickhouse (listen %q) (group %d))\n", address, columnGroup)
	if err := p.start(); err != nil {
		return err
	}
	conn, err := net.DialTimeout("tcp", address, answerWithin)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerWithin))
	read := "GET /?query=SELECT+1 HTTP/1.1\r\nHost: ch\r\n\r\n"
	insert := fmt.Sprintf("POST /?query=INSERT+INTO+t+FORMAT+TSV HTTP/1.1\r\nHost: ch\r\nContent-Length: %d\r\n\r\n%s", insertBytes,
		strings.Repeat("1\n", insertBytes/2))
	if _, err := io.WriteString(conn, read); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	r.note("client: sent the SELECT")
	sent := make(chan error, 1)
	send := func() {
		_, err := io.WriteString(conn, insert)
		r.note("client: sent the INSERT: %v", err)
		sent <- err
	}
	if r.trouble {
		go send()
	}
	input := bufio.NewReader(conn)
	first := r.wholeAnswer(input, "SELECT", answerPieces*pieceBytes)
	if !r.trouble {
		go send()
	}
	second := r.wholeAnswer(input, "INSERT", 0)
	<-sent
	if !first || !second {
		return errBroken
	}
	return nil
}

// wholeAnswer reads an answer and reports whether it is whole.
func (r *run) wholeAnswer(input *bufio.Reader, name string, length int) bool {
	response, err := http.ReadResponse(input, nil)
	if err != nil {
		r.note("client: %s has no answer: %v", name, err)
		return false
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	r.note("client: answer to %s: %s, %d bytes, %v", name, response.Status, len(body), err)
	return err == nil && (response.StatusCode != http.StatusOK || len(body) >= length)
}
