package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// inheritListener returns the listening socket that the process was given by EDGE_SOCKET_FD; nil where it was given none.
func inheritListener(env func(string) string) (net.Listener, error) {
	v := env("EDGE_SOCKET_FD")
	if v == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(v)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("EDGE_SOCKET_FD: want the number of a descriptor above 2, got %q", v)
	}
	f := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(f) // a copy
	_ = f.Close()
	if err != nil {
		return nil, fmt.Errorf("EDGE_SOCKET_FD: descriptor %d: %w", fd, err)
	}
	if _, ok := ln.(*net.TCPListener); !ok {
		_ = ln.Close()
		return nil, fmt.Errorf("EDGE_SOCKET_FD: descriptor %d is no TCP listener", fd)
	}
	return ln, nil
}
