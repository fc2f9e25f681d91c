package cluster

import (
	"errors"
	"net"
	"net/netip"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/cluster/view"
)

// datagram is a message that is queued to be sent in a datagram. Its envelope must not change any more.
type datagram struct {
	to       netip.AddrPort
	envelope envelope
}

// enqueueDatagram queues a message for an address. It is dropped if the queue is full.
func (node *Node) enqueueDatagram(addr string, message envelope) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		node.dropped.Add(1)
		return
	}
	select {
	case node.sendQueue <- datagram{to, message}:
	default:
		node.overflowed.Add(1)
	}
}

// writeLoop sends the queued datagrams until the queue is closed.
func (node *Node) writeLoop() {
	defer node.workers.Done()
	defer close(node.writerDone)
	var b []byte
	for d := range node.sendQueue {
		b = node.options.Key.seal(b[:0], &d.envelope)
		if _, err := node.udp.WriteToUDPAddrPort(b, d.to); err == nil {
			node.sent.Add(1)
		}
	}
}

// readLoop receives datagrams until the socket is closed.
func (node *Node) readLoop() {
	defer node.workers.Done()
	b := make([]byte, MaxDatagramBytes+1)
	for {
		n, _, err := node.udp.ReadFromUDPAddrPort(b)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // an earlier datagram to a process that has ended was refused
			continue
		case n > MaxDatagramBytes:
			node.dropped.Add(1)
			continue
		}
		node.receiveDatagram(b[:n])
	}
}

// receiveDatagram decodes a datagram and posts it to the event loop. b is reused afterwards.
func (node *Node) receiveDatagram(b []byte) {
	message, err := node.options.Key.open(b)
	if err == nil && message.isForModule() {
		err = node.decodeModuleMessage(message)
	}
	if err != nil || !message.isDatagram() {
		node.dropped.Add(1)
		return
	}
	node.received.Add(1)
	switch {
	case message.isForModule():
		node.postToLoop(func() { node.deliverToModule(message) })
	case message.Kind == kindQuota:
		node.postToLoop(func() { node.handleQuota(quota.Received{Message: message.quota}) })
	default:
		node.postToLoop(func() { node.handleView(view.Received{Message: &message.Message}) })
	}
}

func (e *envelope) isForModule() bool { return e.Kind >= module.FirstKind && e.Kind <= module.LastKind }

// isDatagram reports whether the message is of a kind that is sent in datagrams.
func (e *envelope) isDatagram() bool {
	isQuota := e.Kind == kindQuota && e.quota != nil
	return e.isForModule() || isQuota || e.Kind <= view.Gossip
}

// postToLoop runs a function on the event loop. It reports false, and does nothing, if maxPendingEvents functions are pending.
func (node *Node) postToLoop(do func()) bool {
	if node.pendingEvents.Add(1) > maxPendingEvents {
		node.pendingEvents.Add(-1)
		node.overflowed.Add(1)
		return false
	}
	node.loop.Post(func() {
		node.pendingEvents.Add(-1)
		do()
	})
	return true
}
