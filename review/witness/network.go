package main

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// network is the network between poolers and one server. While it is cut, it takes no byte and gives none: connections stay open and
// quiet, and new ones never come up. At the end of the cut they are reset.
type network struct {
	address string
	to      string

	mu    sync.Mutex
	ended chan struct{} // closed at the end of the cut; nil while there is none
	conns map[*net.TCPConn]bool
}

// Of the connections between machines: the bytes of a segment, and what the network itself holds.
const (
	segmentBytes = 1460
	heldBytes    = 4096
)

func listenNetwork(to string) (*network, error) {
	n := &network{to: to, conns: map[*net.TCPConn]bool{}}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var first, second error
		err := raw.Control(func(fd uintptr) {
			first = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			second = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, heldBytes)
		})
		if err == nil {
			err = first
		}
		if err == nil {
			err = second
		}
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n.address = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.carry(c.(*net.TCPConn))
		}
	}()
	return n, nil
}

// whole waits for the end of a cut, if there is one.
func (n *network) whole() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (n *network) cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = make(chan struct{})
}

// heal ends the cut and resets the connections.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	n.conns = map[*net.TCPConn]bool{}
	close(n.ended)
	n.ended = nil
}

func (n *network) carry(c *net.TCPConn) {
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	n.whole()
	out, err := net.Dial("tcp", n.to)
	if err != nil {
		_ = c.Close()
		return
	}
	server := out.(*net.TCPConn)
	n.mu.Lock()
	n.conns[server] = true
	n.mu.Unlock()
	go n.copy(c, server)
	n.copy(server, c)
}

func (n *network) copy(to, from *net.TCPConn) {
	b := make([]byte, heldBytes)
	for {
		n.whole()
		k, err := from.Read(b)
		n.whole() // what was on its way when the cut began is lost
		if err == nil {
			_, err = to.Write(b[:k])
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
