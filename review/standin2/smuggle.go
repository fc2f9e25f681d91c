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
	smuggleRounds = 10
	slowRead      = 200 * time.Millisecond
)

// smuggleCase: a bad client of the ClickHouse interface names Content-Length among the options of its connection, and another client reads after it.
func smuggleCase(r *run) error {
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
	foreign, own := 0, 0
	for i := range smuggleRounds {
		if err := r.badClient(address, i); err != nil {
			return err
		}
		want := fmt.Sprintf("office %d", i)
		got, err := r.plainRead(address, "good client", want)
		if err != nil {
			return err
		}
		switch {
		case got == want:
			own++
		case strings.Contains(got, "the answer to"):
			foreign++
			r.note("good client: this is the answer to a query that it has not sent")
		}
		time.Sleep(2 * slowRead)
	}
	r.note("the good client's answers: %d its own, %d foreign", own, foreign)
	switch {
	case foreign > 0:
		return errBroken
	case own == 0:
		return fmt.Errorf("no query of the good client was served")
	}
	return nil
}

// badClient sends a GET whose body is another GET, and reads the answer.
func (r *run) badClient(address string, round int) error {
	conn, err := net.DialTimeout("tcp", address, answerWithin)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerWithin))
	body := fmt.Sprintf("GET /?query=slow+payroll+%d HTTP/1.1\r\nHost: ch\r\n\r\n", round)
	options := "keep-alive"
	if r.trouble {
		options = "keep-alive, content-length"
	}
	head := fmt.Sprintf("GET /?query=echo+bad HTTP/1.1\r\nHost: ch\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n", options, len(body))
	if _, err := io.WriteString(conn, head+body); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	r.note("bad client: sent GET echo bad, Connection: %s, Content-Length: %d; the body is GET slow payroll %d", options, len(body), round)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.note("bad client: no answer: %v", err)
		return nil
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	r.note("bad client: %s %q %v", response.Status, text, err)
	return nil
}

// plainRead sends a query that the server answers by its own text, and returns the answer.
func (r *run) plainRead(address, who, text string) (string, error) {
	response, err := http.Get("http://" + address + "/?query=echo+" + strings.ReplaceAll(text, " ", "+"))
	if err != nil {
		return "", fmt.Errorf("%s: %w", who, err)
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	r.note("%s: sent GET echo %s: %s %q %v", who, text, response.Status, got, err)
	return string(got), nil
}
