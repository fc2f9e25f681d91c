// Package crowd plays many clients at once that hold a pooler's memory or processor: they stop in the middle of a message, send far ahead, read
// slowly, or send at full speed. A Habit says what each client of a crowd does; Run and Flood play it until a channel is closed. All
// connections go to the address that the caller gives, which must be on loopback.
package crowd

import (
	"context"
	"net"
	"sync"
	"time"
)

// Message returns what a client sends on a connection. Its ids differ from those of all other connections.
type Message func(client, connection int) []byte

// Habit is what each client of a crowd does on each of its connections.
type Habit struct {
	Name       string
	Startup    []byte
	Message    Message       // what it sends
	PieceBytes int           // bytes that are written at once, 0 for all
	PiecePause time.Duration // between two pieces
	ReadBytes  int           // bytes of the answers that are read at once
	ReadPause  time.Duration // between two reads, DefaultReadPause if 0
	Leaves     bool          // a client whose connection ends does not connect again
}

const (
	// DefaultReadPause is the pause between two reads of a client.
	DefaultReadPause = 10 * time.Millisecond
	// writeBufferBytes is the part of a client's message that the system may hold unsent: all that a crowd's clients have unsent counts towards the
	// machine's limit of TCP memory, beyond which the system drops the segments of every connection.
	writeBufferBytes = 1 << 16
	// returnPause is the time before a client whose connection has ended connects again.
	returnPause = 200 * time.Millisecond
)

// Run plays a crowd at an address: client n has the habit with index n modulo their number. It returns once stop is closed and all connections
// are closed. The error is that of a client that never had a connection, nil if all had one.
func Run(address string, habits []Habit, clients int, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	var group sync.WaitGroup
	for n := range clients {
		group.Go(func() {
			if err := habits[n%len(habits)].play(address, n, stop); err != nil {
				cancel(err)
			}
		})
	}
	group.Wait()
	return context.Cause(ctx)
}

// play plays one client until stop is closed.
func (habit *Habit) play(address string, n int, stop <-chan struct{}) error {
	for connections := 0; ; connections++ {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			if connections > 0 { // the pooler may have ended
				return nil
			}
			return err
		}
		if stopped := habit.useConnection(conn, habit.Message(n, connections), stop); stopped || habit.Leaves {
			return nil
		}
		select {
		case <-stop:
			return nil
		case <-time.After(returnPause):
		}
	}
}

// useConnection sends a message on a connection and reads the answers, and reports whether stop was closed before the connection ended.
func (habit *Habit) useConnection(conn net.Conn, message []byte, stop <-chan struct{}) (stopped bool) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(habit.ReadBytes) // so that the system does not read for a slow client
		_ = tcp.SetWriteBuffer(writeBufferBytes)
	}
	var both sync.WaitGroup
	ended := make(chan struct{})
	both.Go(func() { habit.write(conn, message, ended) })
	both.Go(func() {
		defer close(ended)
		habit.read(conn, stop)
	})
	select {
	case <-stop:
		stopped = true
	case <-ended:
	}
	_ = conn.Close()
	both.Wait()
	return stopped
}

// write sends the startup and the message, in pieces if the habit says so, until the connection has ended.
func (habit *Habit) write(conn net.Conn, message []byte, ended <-chan struct{}) {
	_, _ = conn.Write(habit.Startup)
	piece := habit.PieceBytes
	if piece == 0 {
		piece = len(message)
	}
	for len(message) > 0 {
		count := min(piece, len(message))
		if _, err := conn.Write(message[:count]); err != nil {
			return
		}
		message = message[count:]
		select {
		case <-ended:
			return
		case <-time.After(habit.PiecePause):
		}
	}
}

// read reads the answers until the connection ends or stop is closed.
func (habit *Habit) read(conn net.Conn, stop <-chan struct{}) {
	pause := habit.ReadPause
	if pause == 0 {
		pause = DefaultReadPause
	}
	buffer := make([]byte, habit.ReadBytes)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}
