package main

import (
	"math"

	"golang.org/x/sys/unix"
)

// How descriptors are divided. docs/design/request-path.md has the order in which clients and connections make way.
const (
	reservedDescriptors  = 64   // for discovery, the listener, the runtime, and dials, which hold two for a moment
	maxServerShare       = 0.45 // of the rest, that connections to servers may take
	minServerShare       = 0.2  // of the rest, that clients leave to connections to servers
	activeClientsDivisor = 4    // clients with requests that hold one in so many of all descriptors are many
)

// platformDescriptors is how many descriptors the platform's clients and connections to servers may hold together.
func (p *pooler) platformDescriptors() int {
	return p.sockets() - reservedDescriptors - p.frontendDescriptors()
}

func (p *pooler) platformShare(part float64) int {
	return int(part * float64(p.platformDescriptors()))
}

// maxServerConnections is how many connections to servers there may be beside the clients that there are.
func (p *pooler) maxServerConnections() int {
	return min(p.platformShare(maxServerShare), p.platformDescriptors()-p.platform.Occupied())
}

// spareForClients is how many more clients there may be.
func (p *pooler) spareForClients() int {
	return p.platformDescriptors() - p.platform.Occupied() - max(p.platformShare(minServerShare), p.backend.Conns())
}

// freeClientDescriptor has a client make way for a connection to a server, and reports whether one did.
func (p *pooler) freeClientDescriptor() bool {
	return p.backend.Conns() < p.platformShare(maxServerShare) && p.platform.FreeDescriptor()
}

// freeServerDescriptor has an idle connection to a server make way for a client, and reports whether one did.
func (p *pooler) freeServerDescriptor() bool {
	return p.backend.Conns() > p.platformShare(minServerShare) && p.backend.CloseOldest()
}

// frontendDescriptors is how many descriptors the other fronts hold, beside the first one and its connections to servers.
func (p *pooler) frontendDescriptors() int {
	n := 0
	if p.pooling != nil {
		n += p.pooling.Sessions() + p.pooling.Conns()
	}
	if p.scatter != nil {
		n += p.scatter.Conns()
	}
	if p.clickhouse != nil {
		n += p.clickhouse.Sessions() + p.clickhouse.Conns()
	}
	return n
}

// spareConns is how many descriptors the other fronts may take yet.
func (p *pooler) spareConns() int {
	return p.sockets() - reservedDescriptors - p.platform.Sessions() - p.backend.Conns() - p.frontendDescriptors()
}

// sockets is how many descriptors this process may hold, of those that the machine has. The system's limit holds for each process alone.
func (p *pooler) sockets() int {
	if p.otherProcesses == 0 {
		return min(p.descriptorLimit, p.cfg.Limits.Sockets)
	}
	return min(p.descriptorLimit, max(2*reservedDescriptors, p.cfg.Limits.Sockets-p.othersDescriptors))
}

// descriptorLimit is how many descriptors the system lets this process have. Beyond it nothing can be accepted or dialled.
func systemLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// memory is how many bytes this process may take.
func (p *pooler) memory() int { return p.cfg.Limits.MemoryMB << 20 / (1 + p.otherProcesses) }
