package core

import (
	"encoding/binary"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
)

// requestTable holds the requests that are open or have attempts in flight, and remembers for some minutes which requests may have
// run.
type requestTable struct {
	slotmap.Table[*request]
	byID     map[string]slotmap.Ref // the latest request of each id
	sentKeys recentKeys             // keys of requests that may have run
	sentIDs  recentKeys             // ids of requests that must not run twice and may have run
}

// newRequestTable returns an empty table.
func newRequestTable() requestTable { return requestTable{byID: map[string]slotmap.Ref{}} }

// setKeyLifetime sets the least time for which keys and ids are remembered.
func (table *requestTable) setKeyLifetime(ms float64) {
	table.sentKeys.lifetimeMs = ms
	table.sentIDs.lifetimeMs = ms
}

// add stores a request.
func (table *requestTable) add(req *request) slotmap.Ref {
	ref := table.Put(req)
	table.byID[req.id] = ref
	return ref
}

// latest returns the latest request with an id, as long as it has a slot.
func (table *requestTable) latest(id string) (*request, bool) { return table.Get(table.byID[id]) }

// release frees the slot of a request that is done.
func (table *requestTable) release(ref slotmap.Ref, req *request, now float64) {
	table.rememberIfRun(req, now)
	table.Remove(ref)
	if table.byID[req.id] == ref { // otherwise a newer request has the same id
		delete(table.byID, req.id)
	}
}

// rememberIfRun remembers the id of a request that may have run, if the request must not run twice. That holds for an answered request too: its
// client may have left before it received the answer, which cannot be seen while other bytes are in front of the close.
func (table *requestTable) rememberIfRun(req *request, now float64) {
	if req.mustNotRunAgain() && req.mayHaveRun() {
		table.sentIDs.recordSend(req.id, now, now)
	}
}

// mayHaveRun reports whether a request with that id that must not run twice has ended and may have run.
func (table *requestTable) mayHaveRun(id string, now float64) bool {
	_, known := table.sentIDs.firstSent(id, now)
	return known
}

// A RequestID consists of the index of the request's slot and the slot's generation.
const (
	refIndexBytes  = 4
	requestIDBytes = 8
)

// requestID returns the router's ID of the request in a slot. The clients' own ids are not unique among clients.
func requestID(ref slotmap.Ref) decide.RequestID {
	var id [requestIDBytes]byte
	binary.BigEndian.PutUint32(id[:refIndexBytes], ref.Index)
	binary.BigEndian.PutUint32(id[refIndexBytes:], ref.Gen)
	return decide.RequestID(id[:])
}

// refOf returns the slot of the request with a RequestID.
func refOf(id decide.RequestID) slotmap.Ref {
	if len(id) != requestIDBytes {
		return slotmap.Ref{}
	}
	b := []byte(id)
	return slotmap.Ref{Index: binary.BigEndian.Uint32(b[:refIndexBytes]), Gen: binary.BigEndian.Uint32(b[refIndexBytes:])}
}
