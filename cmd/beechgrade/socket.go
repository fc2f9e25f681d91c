package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// inheritListener returns the listening socket whose descriptor EDGE_SOCKET_FD names; nil where the variable is not set.
func inheritListener(env func(string) string) (net.Listener, error) {
	v := env("EDGE_SOCKET_FD")
	if v == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(v)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("EDGE_SOCKET_FD: want a descriptor number above 2, got %q", v)
	}
	f := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(f) // has its own copy of the descriptor
	_ = f.Close()
	if err != nil {
		return nil, fmt.Errorf("EDGE_SOCKET_FD: descriptor %d: %w", fd, err)
	}
	if _, ok := ln.(*net.TCPListener); !ok {
		_ = ln.Close()
		return nil, fmt.Errorf("EDGE_SOCKET_FD: descriptor %d is not a TCP listener", fd)
	}
	return ln, nil
}
