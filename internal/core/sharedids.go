package core

// SharedIDs are the ids of requests that the processes on a shared socket have sent and that must not run twice.
type SharedIDs interface {
	// Sent records an id, before its request is written for the first time.
	Sent(id string)
	// NotRun records that a request that was sent did not run.
	NotRun(id string)
	// MayHaveRun reports whether another process has sent a request with an id, which may have run.
	MayHaveRun(id string) bool
}

// mustNotRunAgain reports whether no other request may run under the id of this one. Frontends other than the platform's assign ids of their own,
// which never come again, and servers recognise requests with an idempotency key.
func (req *request) mustNotRunAgain() bool {
	return req.atMostOnce && req.platformProtocol && req.key == ""
}

// shareID records for the other processes that a request is about to be written.
func (c *Core) shareID(req *request) {
	if c.sharedIDs != nil && req.mustNotRunAgain() && !req.idShared {
		req.idShared = true
		c.sharedIDs.Sent(req.id)
	}
}

// withdrawID records for the other processes that a request has ended and did not run.
func (c *Core) withdrawID(req *request) {
	if req.idShared && !req.mayHaveRun() {
		c.sharedIDs.NotRun(req.id)
	}
}
