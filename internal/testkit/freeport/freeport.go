// Package freeport chooses addresses at which processes of tests and rehearsals listen. An address is chosen before its process opens it; so its port lies
// outside of those that the system gives to outgoing connections, which could take it meanwhile, and no two addresses of this process are the same
// within as many as there are ports.
package freeport

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
)

const (
	ports            = 12000 // that are chosen from, below the first one of outgoing connections
	leastPort        = 1024  // the first one that needs no privilege
	usualFirstPort   = 32768 // of outgoing connections, where the system does not say
	outgoingPortFile = "/proc/sys/net/ipv4/ip_local_port_range"
)

// ErrNone is returned if no port is free.
var ErrNone = errors.New("no port is free")

// next counts the ports that were chosen, from a random one on, as other processes choose, too.
var next atomic.Uint32

func init() { next.Store(rand.Uint32N(ports)) }

// Address returns an address of 127.0.0.1 at which nobody listens.
func Address() (string, error) {
	first := max(leastPort, firstOutgoingPort()-ports)
	for range ports {
		address := fmt.Sprintf("127.0.0.1:%d", first+int(next.Add(1)%ports))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address, nil
		}
	}
	return "", ErrNone
}

// firstOutgoingPort returns the first port that the system gives to outgoing connections.
func firstOutgoingPort() int {
	text, err := os.ReadFile(outgoingPortFile)
	var first int
	if _, scanErr := fmt.Sscan(string(text), &first); err != nil || scanErr != nil {
		return usualFirstPort
	}
	return first
}
