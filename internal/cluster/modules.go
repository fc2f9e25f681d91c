package cluster

import (
	"fmt"
	"net"
	"slices"
	"time"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/encoding"
)

// moduleBody is a part's message: words on their way out, or what was read of those that came.
type moduleBody struct {
	message module.Message
	raw     []byte
	decoded any
}

func appendModuleBody(b []byte, payload module.Message) []byte {
	if payload == nil {
		return b
	}
	return encoding.AppendBytesField(b, 9, payload.Append(nil))
}

// Register has a part live beside the view; before Start.
func (node *Node) Register(mod module.Module) {
	if k := mod.Kind(); k < module.FirstKind || k > module.LastKind || node.moduleOfKind(k) != nil {
		panic(fmt.Sprintf("peers: kind %d of a part", k))
	}
	node.modules = append(node.modules, mod)
}

func (node *Node) moduleOfKind(k view.Kind) module.Module {
	if i := slices.IndexFunc(node.modules, func(mod module.Module) bool { return mod.Kind() == k }); i >= 0 {
		return node.modules[i]
	}
	return nil
}

// Now is part.Net's.
func (node *Node) Now() float64 { return node.loop.Now() }

// Send is part.Net's.
func (node *Node) Send(addr string, to view.ID, kind view.Kind, payload module.Message) {
	if node.stopped || node.view == nil {
		return
	}
	node.enqueueDatagram(addr, envelope{Message: view.Message{Kind: kind, From: node.view.Self().ID, Target: to}, body: moduleBody{message: payload}})
}

// SendStream is part.Net's.
func (node *Node) SendStream(addr string, to view.ID, kind view.Kind, payload module.Message, done func(ok bool)) {
	if node.stopped || node.view == nil {
		return
	}
	if node.openExchanges.Add(1) > maxConcurrentStreams {
		node.openExchanges.Add(-1)
		node.overflowed.Add(1)
		done(false)
		return
	}
	message := &envelope{Message: view.Message{Kind: kind, From: node.view.Self().ID, Target: to}, body: moduleBody{message: payload}}
	go func() {
		defer node.openExchanges.Add(-1)
		_, err := node.exchange(addr, message) // the answer is one side of a full exchange, and says that it was taken
		if err != nil {
			node.log.Debug("peers: stream", "addr", addr, "kind", kind, "err", err)
		}
		node.loop.Post(func() {
			if !node.stopped {
				done(err == nil)
			}
		})
	}()
}

// decodeModuleMessage has a part read its message, off the loop.
func (node *Node) decodeModuleMessage(message *envelope) error {
	mod := node.moduleOfKind(message.Kind)
	if mod == nil {
		return fmt.Errorf("%w: kind %d", ErrMalformed, message.Kind)
	}
	m, err := mod.Decode(message.body.raw)
	if err != nil {
		return fmt.Errorf("%w: kind %d: %w", ErrMalformed, message.Kind, err)
	}
	message.body.decoded = m
	return nil
}

// deliverToModule passes on what a part was told; what was for another process is not for this one.
func (node *Node) deliverToModule(message *envelope) {
	if node.stopped || node.view == nil || message.Target != node.view.Self().ID && message.Target != 0 {
		return
	}
	node.moduleOfKind(message.Kind).Receive(message.From, message.body.decoded)
}

// serveModuleStream takes a part's message that came over a stream.
func (node *Node) serveModuleStream(conn net.Conn, message *envelope) {
	if err := node.decodeModuleMessage(message); err != nil {
		node.dropped.Add(1)
		return
	}
	got := make(chan *envelope, 1)
	node.postToLoop(func() {
		if node.stopped {
			close(got)
			return
		}
		node.deliverToModule(message)
		got <- &envelope{Message: view.Message{Kind: kindExchange, From: node.view.Self().ID}}
	})
	select {
	case mine := <-got:
		if mine != nil {
			_, _ = conn.Write(appendFrame(nil, node.options.Key.seal(nil, mine)))
		}
	case <-time.After(streamTimeoutMs * time.Millisecond):
	}
}

// updateModules tells all parts who is there.
func (node *Node) updateModules() {
	if len(node.modules) == 0 || node.view == nil || node.stopped {
		return
	}
	self, all := node.view.Self().ID, node.view.Members()
	for _, mod := range node.modules {
		mod.UpdateMembers(self, all, node.counts)
	}
}
