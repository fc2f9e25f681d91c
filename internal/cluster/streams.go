package cluster

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"beechgrade/internal/cluster/view"
)

const (
	streamTimeout    = streamTimeoutMs * time.Millisecond
	acceptRetryPause = retryPauseMs * time.Millisecond
	frameLengthBytes = 4
)

// startExchange starts a full exchange with the process at an address.
func (node *Node) startExchange(addr string) {
	if !node.reserveStream() {
		return
	}
	local := node.localEnvelope()
	node.exchanges.Add(1)
	go func() {
		defer node.openExchanges.Add(-1)
		reply, err := node.exchange(addr, local)
		if err != nil {
			node.exchangesFailed.Add(1)
			node.log.Debug("cluster: exchange of member records with another pooler failed", "addr", addr, "err", err)
			return
		}
		node.postToLoop(func() { node.handleView(view.ExchangeCompleted{Records: reply.Records}) })
	}()
}

// reserveStream counts a stream that this process is about to open. It reports false if maxConcurrentStreams are open.
func (node *Node) reserveStream() bool {
	if node.openExchanges.Add(1) > maxConcurrentStreams {
		node.openExchanges.Add(-1)
		node.overflowed.Add(1)
		return false
	}
	return true
}

// localEnvelope returns this process's side of an exchange. It is called on the event loop.
func (node *Node) localEnvelope() *envelope {
	self := node.view.Self()
	return &envelope{Message: view.Message{Kind: kindExchange, From: self.ID, Records: node.view.Records()}, counts: node.counts}
}

func (node *Node) exchange(addr string, local *envelope) (*envelope, error) {
	dialer := net.Dialer{Timeout: streamTimeout, LocalAddr: &net.TCPAddr{IP: node.localIP.AsSlice()}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return Exchange(conn, node.options.Key, local)
}

// Exchange sends a message over an open connection and returns the reply.
func Exchange(conn net.Conn, key Key, message *envelope) (*envelope, error) {
	_ = conn.SetDeadline(time.Now().Add(streamTimeout))
	if _, err := conn.Write(appendFrame(nil, key.seal(nil, message))); err != nil {
		return nil, err
	}
	return readFrame(conn, key)
}

// readFrame reads one sealed message from a stream. It allocates memory for the bytes that have arrived, not for the announced length.
func readFrame(r io.Reader, key Key) (*envelope, error) {
	var length [frameLengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > MaxStreamBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrMalformed, n)
	}
	b, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(b) < int(n) {
		return nil, io.ErrUnexpectedEOF
	}
	return key.open(b)
}

// acceptLoop serves the streams that other processes open, until the listener is closed.
func (node *Node) acceptLoop() {
	defer node.workers.Done()
	slots := make(chan struct{}, maxConcurrentStreams)
	for {
		conn, err := node.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryPause) // for instance, no file descriptor is free
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			node.overflowed.Add(1)
			_ = conn.Close()
			continue
		}
		go func() {
			defer func() {
				_ = conn.Close()
				<-slots
			}()
			node.serveStream(conn)
		}()
	}
}

// serveStream answers a full exchange, a status query or a module's message.
func (node *Node) serveStream(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(streamTimeout))
	message, err := readFrame(conn, node.options.Key)
	if err == nil && message.isForModule() {
		node.serveModuleStream(conn, message)
		return
	}
	if err != nil || message.Kind != kindExchange && message.Kind != kindStatusQuery {
		node.dropped.Add(1)
		return
	}
	replies := make(chan *envelope, 1)
	posted := node.postToLoop(func() {
		if node.stopped {
			close(replies)
			return
		}
		reply := node.localEnvelope()
		if message.Kind == kindExchange {
			node.handleView(view.ExchangeCompleted{Records: message.Records})
		} else {
			reply.avoided = node.avoidedServers()
		}
		replies <- reply
	})
	if posted {
		node.writeReply(conn, replies)
	}
}

// writeReply waits for the reply of the event loop and writes it. It writes nothing on a time-out or if replies is closed.
func (node *Node) writeReply(conn net.Conn, replies <-chan *envelope) {
	select {
	case reply := <-replies:
		if reply != nil {
			_, _ = conn.Write(appendFrame(nil, node.options.Key.seal(nil, reply)))
		}
	case <-time.After(streamTimeout):
	}
}
