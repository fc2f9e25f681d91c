package discovery

import (
	"testing"
)

// TestTricklingResponseTimesOut checks that single bytes are no progress anywhere in a response: a call whose head, chunk head
// or list never completes ends like a silent one.
func TestTricklingResponseTimesOut(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		fetch bool
		first string
		then  string
	}{
		"head":                     {first: "HTTP/1.1 200 OK\r\nX: ", then: "xxxx"},
		"status":                   {first: "H", then: "TTP/"},
		"refusal's head":           {first: "HTTP/1.1 503 Busy\r\nX: ", then: "xxxx"},
		"chunk's head":             {first: chunked + "1", then: ";xxx"},
		"chunk's size":             {first: chunked, then: "0000"},
		"list":                     {first: okHead + "{", then: "    "},
		"whole list":               {fetch: true, first: okHead + "{", then: "    "},
		"empty lines for the list": {fetch: true, first: okHead, then: "\n\n\n\n"},
		"spaces on a watch":        {first: okHead, then: "    "},
	} {
		t.Run(name, func(t *testing.T) {
			at := newScriptedServer(t)
			s := newTestClient(t, at)
			var call *acceptedCall
			if c.fetch {
				s.onLoop(s.client.Fetch)
				call = at.nextFetch()
			} else {
				s.onLoop(s.client.Watch)
				call = at.nextWatch(4)
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
				at.nextWatch(4)
			}
		})
	}
}

// TestProgressKeepsCallsOpen checks that empty lines and lists keep a watch open, and each step of a list a fetch.
func TestProgressKeepsCallsOpen(t *testing.T) {
	at := newScriptedServer(t)
	s := newTestClient(t, at)
	s.onLoop(s.client.Watch)
	s.onLoop(s.client.Fetch)
	calls := at.next2()
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
	s.wantEvent("list 5, whole true")
	s.wantEvent("list 5, whole false")
	watch.sendList(6, false)
	s.wantEvent("list 6, whole false")
}

// TestUnansweredDialTimesOut checks that a connection that never comes up counts as silence: the watch is reopened at once,
// without a failure, which would delay the next call.
func TestUnansweredDialTimesOut(t *testing.T) {
	for name, pushed := range map[string]bool{"requested": false, "pushed": true} {
		t.Run(name, func(t *testing.T) {
			at, empty := fullListener(t)
			s := newTestClient(t, at)
			s.onLoop(func() {
				if pushed {
					s.client.SetPushMode(true)
				} else {
					s.client.Watch()
				}
			})
			var first *httpCall
			s.onLoop(func() { first = s.client.watch })
			s.waitUntil("the dial is given up", func() bool { return s.client.watch != first })
			if pushed {
				s.advance(minRetryPauseMs)
			}
			s.waitUntil("the next is on its way", func() bool { return s.client.watch != nil })
			select {
			case got := <-s.events:
				t.Fatalf("event %q", got)
			default:
			}
			empty()
			watch := at.nextAfterEmpty(s, "/v1/endpoints?watch=1&from=4")
			watch.send(okHead)
			watch.sendList(5, false)
			s.wantEvent("list 5, whole false")
		})
	}
}
