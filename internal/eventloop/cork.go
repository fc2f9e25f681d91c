package eventloop

// corkedBytes is how much output Cork holds back at most.
const corkedBytes = 1 << 14

// Cork holds output back until Uncork, so that the answers to many small messages are sent by one system call. Calls may be nested.
func (c *Conn) Cork() { c.corkDepth++ }

// Uncork ends Cork, and sends what was held back. If that fails, the connection is closed, and Closed has been called when Uncork returns.
func (c *Conn) Uncork() {
	c.corkDepth--
	if c.corkDepth == 0 {
		_ = c.Flush() // a failed write closes the connection
	}
}

// Flush sends as much of the buffered output as the socket accepts. If that fails, the connection is closed.
func (c *Conn) Flush() error {
	if c.closed || c.Unsent() == 0 || c.closingOrUnopened() {
		return nil
	}
	err := c.flush()
	if err != nil && !c.readingPaused { // a paused connection notices the failure when reading resumes
		c.loop.closeConn(c, err)
		return err
	}
	c.updateInterest()
	return nil
}

// writeCorked buffers output, and sends it if it is more than Cork holds back.
func (c *Conn) writeCorked(b []byte) error {
	c.buffer(b)
	if c.Unsent() < corkedBytes {
		return nil
	}
	return c.Flush()
}
