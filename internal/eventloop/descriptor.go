package eventloop

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// descriptorTries is how often duplicating a descriptor is tried, with acceptPause in between, if the process has none left.
const descriptorTries = 25

// duplicateDescriptor returns a duplicate of the descriptor of a connection, and closes the connection, so that the runtime does not
// poll the socket.
func duplicateDescriptor(socket net.Conn) (fd int, err error) {
	defer func() { _ = socket.Close() }()
	raw, err := rawConn(socket)
	if err != nil {
		return 0, err
	}
	for range descriptorTries {
		var failed error
		duplicate := func(old uintptr) { fd, failed = unix.FcntlInt(old, unix.F_DUPFD_CLOEXEC, 0) }
		if err := raw.Control(duplicate); err != nil {
			return 0, err
		}
		if failed == nil {
			return fd, nil
		}
		err = os.NewSyscallError("fcntl", failed)
		time.Sleep(acceptPause)
	}
	return 0, err
}

// listeningDescriptor returns the descriptor of a listener, which the listener continues to own.
func listeningDescriptor(listener net.Listener) (fd int, err error) {
	raw, err := rawConn(listener)
	if err != nil {
		return 0, err
	}
	err = raw.Control(func(listening uintptr) { fd = int(listening) })
	return fd, err
}

func rawConn(socket any) (syscall.RawConn, error) {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("no descriptor: %T", socket)
	}
	return conn.SyscallConn()
}

// acceptDescriptor accepts a connection without the runtime's poller, which resets a connection if it has no memory to register it. It
// does not use unix.Accept4, which makes a further call to determine the protocol, and closes the connection if that call fails.
func acceptDescriptor(listening int) (fd int, err error) {
	fd, _, err = syscall.Accept4(listening, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	return fd, err
}
