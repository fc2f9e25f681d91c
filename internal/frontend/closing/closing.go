// Package closing bounds the client connections that a frontend closes in steps. Such a connection is kept open for a while after its last output,
// so that the client can read that output; while descriptors are short, the ones that have been closing for longest are closed at once.
//
// Its inputs are the connections that begin to close and those that have ended; it belongs to the event loop.
package closing

import "container/list"

// maxKept is how many connections may be closing where descriptors are short.
const maxKept = 8

// Conn is a connection that can be closed at once.
type Conn interface{ Close() }

// Queue holds the connections that are being closed, in the order in which they began to. The zero value holds none.
type Queue struct{ conns list.List }

// Entry is the place of a connection in a Queue. The zero value is in no queue.
type Entry struct{ element *list.Element }

// Add adds a connection that begins to close.
func (queue *Queue) Add(conn Conn) Entry { return Entry{queue.conns.PushBack(conn)} }

// Remove removes a connection that has ended, if it is in the queue.
func (queue *Queue) Remove(entry *Entry) {
	if entry.element != nil {
		queue.conns.Remove(entry.element)
		entry.element = nil
	}
}

// Len returns the number of connections that are being closed.
func (queue *Queue) Len() int { return queue.conns.Len() }

// CloseOldest closes the connection that has been closing for longest, if there are more than may be kept where descriptors are short, and reports
// whether it closed one. The connection's owner must call Remove when it ends.
func (queue *Queue) CloseOldest() bool {
	if queue.conns.Len() <= maxKept {
		return false
	}
	oldest, ok := queue.conns.Remove(queue.conns.Front()).(Conn)
	if ok {
		oldest.Close()
	}
	return ok
}

// FreeDescriptors closes connections until there are descriptors to spare, and reports whether there are.
func (queue *Queue) FreeDescriptors(spare func() int) bool {
	for spare() < 0 {
		if !queue.CloseOldest() {
			return false
		}
	}
	return true
}
