package discovery

import (
	"testing"
)

// TestTricklingResponseTimesOut checks that single bytes do not count as progress anywhere in a response: a call whose head, chunk
// head or list never completes is ended like a silent one.
func TestTricklingResponseTimesOut(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		fetch bool
		first string
		then  string
	}{
		"head":                   {first: "HTTP/1.1 200 OK\r\nX: ", then: "xxxx"},
		"status":                 {first: "H", then: "TTP/"},
		"head with status 503":   {first: "HTTP/1.1 503 Busy\r\nX: ", then: "xxxx"},
		"chunk head":             {first: chunked + "1", then: ";xxx"},
		"chunk size":             {first: chunked, then: "0000"},
		"list":                   {first: okHead + "{", then: "    "},
		"full list":              {fetch: true, first: okHead + "{", then: "    "},
		"empty lines on a fetch": {fetch: true, first: okHead, then: "\n\n\n\n"},
		"spaces on a watch":      {first: okHead, then: "    "},
	} {
		t.Run(name, func(t *testing.T) {
			server := newScriptedServer(t)
			s := newTestClient(t, server)
			var call *acceptedCall
			if c.fetch {
				s.onLoop(s.client.Fetch)
				call = server.nextFetch()
			} else {
				s.onLoop(s.client.Watch)
				call = server.nextWatch(4)
			}
			call.send(c.first)
			s.waitUntilRead()
			for _, b := range c.then[:2] { // within the timeout
				s.advance(1000)
				call.send(string(b))
				s.waitUntilRead()
			}
			s.advance(silenceTimeoutMs - 2000 + 1)
			call.wantEnd()
			if c.fetch {
				s.wantEvent("failed")
			} else {
				server.nextWatch(4)
			}
		})
	}
}

// TestProgressKeepsCallsOpen checks that empty lines and lists keep a watch open, and that each step of a list keeps a fetch open.
func TestProgressKeepsCallsOpen(t *testing.T) {
	server := newScriptedServer(t)
	s := newTestClient(t, server)
	s.onLoop(s.client.Watch)
	s.onLoop(s.client.Fetch)
	calls := server.next2()
	watch, fetch := calls["/v1/endpoints?watch=1&from=4"], calls["/v1/endpoints"]
	for _, part := range []struct{ watch, fetch string }{
		{okHead, okHead},
		{"\n", "{"},
		{`{"generation":5,`, `"generation":5,"reset":true}`},
		{`"instances":[]}` + "\n", ""},
		{"\n", ""},
	} {
		s.advance(2000)
		watch.send(part.watch)
		fetch.send(part.fetch)
		s.waitUntilRead()
	}
	s.wantEvent("list 5, full true")
	s.wantEvent("list 5, full false")
	watch.sendList(6, false)
	s.wantEvent("list 6, full false")
}

// TestUnansweredDialTimesOut checks that a connection that is never established counts as a silent watch: the watch is reopened at
// once and no failure is reported, as that would delay the next call.
func TestUnansweredDialTimesOut(t *testing.T) {
	for name, pushed := range map[string]bool{"requested": false, "pushed": true} {
		t.Run(name, func(t *testing.T) {
			server, drain := fullListener(t)
			s := newTestClient(t, server)
			s.onLoop(func() {
				if pushed {
					s.client.SetPushMode(true)
				} else {
					s.client.Watch()
				}
			})
			var first *httpCall
			s.onLoop(func() { first = s.client.watch })
			s.waitUntil("the first watch has timed out", func() bool { return s.client.watch != first })
			if pushed {
				s.advance(minRetryPauseMs)
			}
			s.waitUntil("the next watch is started", func() bool { return s.client.watch != nil })
			select {
			case got := <-s.events:
				t.Fatalf("event %q, want none", got)
			default:
			}
			drain()
			watch := server.nextAfterDrain(s, "/v1/endpoints?watch=1&from=4")
			watch.send(okHead)
			watch.sendList(5, false)
			s.wantEvent("list 5, full false")
		})
	}
}
