package cluster

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
)

// startExchange begins a full exchange.
func (node *Node) startExchange(addr string) {
	if node.openExchanges.Add(1) > maxConcurrentStreams {
		node.openExchanges.Add(-1)
		node.overflowed.Add(1)
		return
	}
	mine := node.localEnvelope()
	node.exchanges.Add(1)
	go func() {
		defer node.openExchanges.Add(-1)
		message, err := node.exchange(addr, mine)
		if err != nil {
			node.exchangesFailed.Add(1)
			node.log.Debug("peers: exchange", "addr", addr, "err", err)
			return
		}
		node.postToLoop(func() { node.handleView(view.ExchangeCompleted{Records: message.Records}) })
	}()
}

// localEnvelope is this process's side of an exchange; it is made on the loop.
func (node *Node) localEnvelope() *envelope {
	me := node.view.Self()
	return &envelope{Message: view.Message{Kind: kindExchange, From: me.ID, Records: node.view.Records()}, counts: node.counts}
}

func (node *Node) exchange(addr string, mine *envelope) (*envelope, error) {
	d := net.Dialer{Timeout: streamTimeoutMs * time.Millisecond, LocalAddr: &net.TCPAddr{IP: node.localIP.AsSlice()}}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return Exchange(conn, node.options.Key, mine)
}

// Exchange has one side of an exchange over a connection that is up.
func Exchange(conn net.Conn, key Key, mine *envelope) (*envelope, error) {
	_ = conn.SetDeadline(time.Now().Add(streamTimeoutMs * time.Millisecond))
	if _, err := conn.Write(appendFrame(nil, key.seal(nil, mine))); err != nil {
		return nil, err
	}
	return readFrame(conn, key)
}

// readFrame reads one sealed message of a stream. Nothing is set aside for what a length promises before it has come.
func readFrame(c io.Reader, key Key) (*envelope, error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > MaxStreamBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrMalformed, n)
	}
	b, err := io.ReadAll(io.LimitReader(c, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(b) < int(n) {
		return nil, io.ErrUnexpectedEOF
	}
	return key.open(b)
}

func (node *Node) acceptLoop() {
	defer node.workers.Done()
	room := make(chan struct{}, maxConcurrentStreams)
	for {
		conn, err := node.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(retryPauseMs * time.Millisecond) // no descriptor
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			node.overflowed.Add(1)
			_ = conn.Close()
			continue
		}
		go func() {
			defer func() { _ = conn.Close(); <-room }()
			node.serveStream(conn)
		}()
	}
}

// serveStream has the other side of an exchange.
func (node *Node) serveStream(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(streamTimeoutMs * time.Millisecond))
	message, err := readFrame(conn, node.options.Key)
	if err == nil && message.Kind >= module.FirstKind && message.Kind <= module.LastKind {
		node.serveModuleStream(conn, message)
		return
	}
	if err != nil || message.Kind != kindExchange && message.Kind != kindStatusQuery {
		node.dropped.Add(1)
		return
	}
	got := make(chan *envelope, 1)
	if node.pendingEvents.Add(1) > maxPendingEvents {
		node.pendingEvents.Add(-1)
		node.overflowed.Add(1)
		return
	}
	node.loop.Post(func() {
		node.pendingEvents.Add(-1)
		if node.stopped {
			close(got)
			return
		}
		mine := node.localEnvelope()
		if message.Kind == kindExchange {
			node.handleView(view.ExchangeCompleted{Records: message.Records})
		} else {
			mine.avoided = node.avoidedServers()
		}
		got <- mine
	})
	select {
	case mine := <-got:
		if mine != nil {
			_, _ = conn.Write(appendFrame(nil, node.options.Key.seal(nil, mine)))
		}
	case <-time.After(streamTimeoutMs * time.Millisecond):
	}
}
