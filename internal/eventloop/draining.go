package eventloop

// Bounds for the peer of a connection that is closed while reading is paused, in milliseconds.
const (
	finalWriteMs = 1000 // to accept the buffered output
	finalReadMs  = 250  // to close its side after that
	drainCheckMs = 25   // between checks of whether the output was accepted
)

// drainingConn sends the last output of a connection whose reading is paused, and discards its input, each within a limit, before the
// descriptor is closed: a close with unread input resets the connection, and the reset may overtake the output. It implements Handler.
type drainingConn struct {
	conn        *Conn
	deadline    float64
	writeClosed bool
}

// drain takes over the descriptor of a connection that is closed, with output that the socket has not accepted.
func (l *Loop) drain(fd int, output []byte) {
	draining := &drainingConn{deadline: l.Now() + finalWriteMs}
	draining.conn = &Conn{loop: l, fd: fd, handler: draining, output: output}
	l.conns[fd] = draining.conn
	draining.conn.updateInterest()
	draining.check()
}

// check takes the next step of closing the connection.
func (draining *drainingConn) check() {
	conn := draining.conn
	if conn.closed {
		return
	}
	now := conn.loop.Now()
	if !draining.writeClosed && conn.Flush() == nil && conn.Unsent() == 0 {
		if conn.CloseWrite() != nil {
			conn.Close()
			return
		}
		draining.writeClosed = true
		draining.deadline = now + finalReadMs
	}
	if now >= draining.deadline {
		conn.Close()
		return
	}
	conn.loop.At(min(now+drainCheckMs, draining.deadline), draining.check)
}

// Opened implements Handler.
func (*drainingConn) Opened(*Conn) {}

// Data implements Handler. The input is discarded.
func (*drainingConn) Data([]byte) {}

// Closed implements Handler.
func (*drainingConn) Closed(error) {}
