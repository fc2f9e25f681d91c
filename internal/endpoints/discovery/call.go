package discovery

import (
	"errors"
	"fmt"
	"net"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/timers"
)

const statusOK = 200

// Errors that end a call.
var (
	errSilent           = errors.New("no progress within the silence timeout")
	errStaleList        = errors.New("list is older than one received before")
	errWatchEnded       = errors.New("discovery ended the watch")
	errNoList           = errors.New("response ended without a list")
	errConnectionClosed = errors.New("discovery closed the connection")
)

// httpCall is one HTTP call, on a connection of its own.
type httpCall struct {
	client            *Client
	path              string
	isWatch           bool
	startedAt         float64
	generationAtStart int64 // the client's newestGeneration when the call was started
	conn              *eventloop.Conn
	response          response
	timeout           *timers.Timer
	listReceived      bool
	lastGeneration    int64 // of the last list received
	ended             bool
}

func (c *Client) startCall(path string, isWatch bool) *httpCall {
	call := &httpCall{client: c, path: path, isWatch: isWatch, startedAt: c.loop.Now(), generationAtStart: c.newestGeneration}
	call.resetTimeout()
	c.loop.Dial(c.address, connectTimeoutMs, call, call.finish)
	return call
}

// resetTimeout restarts the timeout for the call's next progress.
func (call *httpCall) resetTimeout() {
	loop := call.client.loop
	loop.StopTimer(call.timeout)
	call.timeout = loop.At(loop.Now()+silenceTimeoutMs, func() { call.finish(errSilent) })
}

// isTimeout reports whether a call ended by a timeout, while connecting or afterwards.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.Is(err, errSilent) || errors.As(err, &netError) && netError.Timeout()
}

// finish ends the call. An error counts as a failure unless the call has been replaced; the end of a watch is always an error.
func (call *httpCall) finish(err error) {
	if call.ended {
		return
	}
	call.ended = true
	client := call.client
	client.loop.StopTimer(call.timeout)
	if call.conn != nil {
		call.conn.Close()
	}
	isCurrent := !call.isWatch || client.watch == call
	if client.fullFetch == call {
		client.fullFetch = nil
	}
	if client.watch == call {
		client.watch = nil
	}
	if err == nil {
		return
	}
	if !call.isWatch { // the full list is missing: the caller's next Watch must open a new watch
		client.watchOpenedEarly = false
	}
	if isCurrent {
		client.log.Info("call to discovery failed", "call", call.path, "err", err)
		client.recoverFrom(call, err)
	}
}

// recoverFrom reopens a failed watch if the client does so by itself, and passes any other failure on.
func (c *Client) recoverFrom(call *httpCall, err error) {
	switch {
	case c.pushMode && call.isWatch:
		c.scheduleWatch(c.loop.Now() - call.startedAt)
	case call.isWatch && isTimeout(err): // missed changes must reach the list before the caller's next poll may be due
		c.watchOpenedEarly = false
		c.Watch()
	default:
		c.events.ListFailed()
	}
}

// Opened sends the request.
func (call *httpCall) Opened(conn *eventloop.Conn) {
	call.conn = conn
	if call.ended {
		conn.Close()
		return
	}
	request := "GET " + call.path + " HTTP/1.1\r\nHost: " + call.client.address + "\r\nAccept: application/json\r\n\r\n"
	_ = conn.Write([]byte(request)) // if the write fails, the connection closes and Closed is called
}

// Data handles bytes of the response.
func (call *httpCall) Data(b []byte) {
	if call.ended {
		return
	}
	before := call.progress()
	err := call.response.feed(b, call.decodeList)
	if !call.ended && call.progress() != before {
		call.resetTimeout()
	}
	switch {
	case err != nil:
		call.finish(err)
	case call.response.inBody && call.response.status != statusOK:
		call.finish(fmt.Errorf("response status %d, want 200", call.response.status))
	case call.listReceived && !call.isWatch: // bytes after the list are ignored
		call.finish(nil)
	case call.response.ended && call.isWatch:
		call.finish(errWatchEnded)
	case call.response.ended:
		call.finish(errNoList)
	}
}

// progress grows with each step of the response. Single bytes do not count as steps, so that a response that trickles in times out.
// Empty lines count only on a watch, which sends them to show that it is alive.
func (call *httpCall) progress() int {
	if call.isWatch {
		return call.response.progressSteps + call.response.lineBreaks
	}
	return call.response.progressSteps
}

// decodeList decodes one JSON object of the body as a list.
func (call *httpCall) decodeList(object []byte) error {
	if call.ended || call.response.status != statusOK {
		return nil
	}
	var list List
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(object, &list); err != nil {
		return fmt.Errorf("decode list: %w", err)
	}
	if len(list.Instances) > maxInstances || list.Generation < 0 {
		return fmt.Errorf("list out of bounds: generation %d with %d instances", list.Generation, len(list.Instances))
	}
	return call.acceptList(&list)
}

// acceptList passes a list on, unless a newer one was received. Discovery handles calls one after another, so a response may be older
// than a list that was received on another call.
func (call *httpCall) acceptList(list *List) error {
	client := call.client
	isFirst := !call.listReceived
	wentBack := !isFirst && list.Generation < call.lastGeneration
	if wentBack || !call.isWatch && list.Generation < client.newestGeneration {
		return fmt.Errorf("generation %d after %d: %w", list.Generation, max(call.lastGeneration, client.newestGeneration), errStaleList)
	}
	if call.isWatch && isFirst && list.Generation < call.generationAtStart { // discovery has restarted
		client.newestGeneration = list.Generation
		client.incomplete = true
		list.Restarted = true
	}
	call.listReceived = true
	call.lastGeneration = list.Generation
	if list.Generation < client.newestGeneration { // the other call has received a newer list
		return nil
	}
	client.newestGeneration = list.Generation
	client.incomplete = client.incomplete && !list.Reset
	if client.incomplete { // changes to a list that was not received
		client.Fetch()
	}
	client.events.Listed(list)
	return nil
}

// Closed ends the call when its connection is closed.
func (call *httpCall) Closed(err error) {
	call.conn = nil
	if err == nil {
		err = errConnectionClosed
	}
	call.finish(err)
}
