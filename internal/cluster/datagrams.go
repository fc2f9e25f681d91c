package cluster

import (
	"errors"
	"net"
	"net/netip"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/cluster/view"
)

// datagram is one that goes out; the view's message is not changed any more.
type datagram struct {
	to       netip.AddrPort
	envelope envelope
}

// enqueueDatagram has a datagram go out, unless too many wait.
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

func (node *Node) readLoop() {
	defer node.workers.Done()
	b := make([]byte, MaxDatagramBytes+1)
	for {
		n, _, err := node.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a refusal of what was sent to one who has gone
		}
		if n > MaxDatagramBytes {
			node.dropped.Add(1)
			continue
		}
		message, err := node.options.Key.open(b[:n])
		ofPart := err == nil && message.Kind >= module.FirstKind && message.Kind <= module.LastKind
		if ofPart {
			err = node.decodeModuleMessage(message)
		}
		if err != nil || !ofPart && message.Kind > view.Gossip && (message.Kind != kindQuota || message.quota == nil) {
			node.dropped.Add(1)
			continue
		}
		node.received.Add(1)
		if ofPart {
			node.postToLoop(func() { node.deliverToModule(message) })
			continue
		}
		if message.Kind == kindQuota {
			node.postToLoop(func() { node.handleQuota(quota.Received{Message: message.quota}) })
			continue
		}
		node.postToLoop(func() { node.handleView(view.Received{Message: &message.Message}) })
	}
}

// postToLoop tells the view from a goroutine, unless too much waits for the loop.
func (node *Node) postToLoop(do func()) {
	if node.pendingEvents.Add(1) > maxPendingEvents {
		node.pendingEvents.Add(-1)
		node.overflowed.Add(1)
		return
	}
	node.loop.Post(func() {
		node.pendingEvents.Add(-1)
		do()
	})
}
