package cluster

import (
	"fmt"
	"net"
	"slices"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/encoding"
)

// moduleBody is a module's message: either the message to be sent, or the received bytes and the message decoded from them.
type moduleBody struct {
	message module.Message
	raw     []byte
	decoded any
}

func appendModuleBody(b []byte, message module.Message) []byte {
	if message == nil {
		return b
	}
	return encoding.AppendBytesField(b, fieldModuleBody, message.Append(nil))
}

// Register adds a module. It is called before Start, and panics if the module's kind is registered already or is not a module's kind.
func (node *Node) Register(mod module.Module) {
	kind := mod.Kind()
	if kind < module.FirstKind || kind > module.LastKind || node.moduleOfKind(kind) != nil {
		panic(fmt.Sprintf("cluster: module kind %d is registered already or out of range", kind))
	}
	node.modules = append(node.modules, mod)
}

func (node *Node) moduleOfKind(kind view.Kind) module.Module {
	i := slices.IndexFunc(node.modules, func(mod module.Module) bool { return mod.Kind() == kind })
	if i < 0 {
		return nil
	}
	return node.modules[i]
}

// Now implements module.Transport.
func (node *Node) Now() float64 { return node.loop.Now() }

// Send implements module.Transport. It does nothing before the view is started and after Leave.
func (node *Node) Send(addr string, to view.ID, kind view.Kind, message module.Message) {
	if node.stopped || node.view == nil {
		return
	}
	node.enqueueDatagram(addr, node.moduleEnvelope(to, kind, message))
}

func (node *Node) moduleEnvelope(to view.ID, kind view.Kind, message module.Message) envelope {
	header := view.Message{Kind: kind, From: node.view.Self().ID, Target: to}
	return envelope{Message: header, body: moduleBody{message: message}}
}

// SendStream implements module.Transport. It does nothing before the view is started and after Leave.
func (node *Node) SendStream(addr string, to view.ID, kind view.Kind, message module.Message, done func(ok bool)) {
	if node.stopped || node.view == nil {
		return
	}
	if !node.reserveStream() {
		done(false)
		return
	}
	request := node.moduleEnvelope(to, kind, message)
	go func() {
		defer node.openExchanges.Add(-1)
		_, err := node.exchange(addr, &request) // the content of the reply is not used
		if err != nil {
			node.log.Debug("cluster: sending a message over a stream failed", "addr", addr, "kind", kind, "err", err)
		}
		node.loop.Post(func() {
			if !node.stopped {
				done(err == nil)
			}
		})
	}()
}

// decodeModuleMessage has the module decode its message. It is called off the event loop.
func (node *Node) decodeModuleMessage(message *envelope) error {
	mod := node.moduleOfKind(message.Kind)
	if mod == nil {
		return fmt.Errorf("%w: no module of kind %d", ErrMalformed, message.Kind)
	}
	decoded, err := mod.Decode(message.body.raw)
	if err != nil {
		return fmt.Errorf("%w: kind %d: %w", ErrMalformed, message.Kind, err)
	}
	message.body.decoded = decoded
	return nil
}

// deliverToModule passes a decoded message to its module, unless the message is for another process.
func (node *Node) deliverToModule(message *envelope) {
	if node.stopped || node.view == nil {
		return
	}
	if message.Target != 0 && message.Target != node.view.Self().ID {
		return
	}
	node.moduleOfKind(message.Kind).Receive(message.From, message.body.decoded)
}

// serveModuleStream handles a module's message that arrived over a stream. The reply confirms that the message was received.
func (node *Node) serveModuleStream(conn net.Conn, message *envelope) {
	if err := node.decodeModuleMessage(message); err != nil {
		node.dropped.Add(1)
		return
	}
	replies := make(chan *envelope, 1)
	node.postToLoop(func() {
		if node.stopped {
			close(replies)
			return
		}
		node.deliverToModule(message)
		replies <- &envelope{Message: view.Message{Kind: kindExchange, From: node.view.Self().ID}}
	})
	node.writeReply(conn, replies)
}

// updateModules passes the members and counts of the view to all modules.
func (node *Node) updateModules() {
	if len(node.modules) == 0 || node.view == nil || node.stopped {
		return
	}
	self, members := node.view.Self().ID, node.view.Members()
	for _, mod := range node.modules {
		mod.UpdateMembers(self, members, node.counts)
	}
}
