package main

import (
	"math"

	"golang.org/x/sys/unix"
)

// How descriptors are divided. docs/design/request-path.md describes in which order clients and server connections are closed for each other.
const (
	reservedDescriptors  = 64   // for discovery, the listener, the runtime, and dials, which briefly hold two
	maxServerShare       = 0.45 // share of the rest that connections to servers may take
	minServerShare       = 0.2  // share of the rest that clients leave to connections to servers
	maxFrontendShare     = 0.75 // share that the optional frontends may take, so that the platform's clients find some
	activeClientsDivisor = 4    // clients are evicted once those with requests hold one in so many of all descriptors
)

// platformDescriptors returns how many descriptors the platform's clients and server connections may hold together.
func (p *pooler) platformDescriptors() int {
	return p.sockets() - reservedDescriptors - p.frontendDescriptors()
}

func (p *pooler) platformShare(part float64) int {
	return int(part * float64(p.platformDescriptors()))
}

// maxServerConnections returns how many server connections there may be, given the current number of clients.
func (p *pooler) maxServerConnections() int {
	return min(p.platformShare(maxServerShare), p.platformDescriptors()-p.platform.Occupied())
}

// spareForClients returns how many more clients may connect.
func (p *pooler) spareForClients() int {
	return p.platformDescriptors() - p.platform.Occupied() - max(p.platformShare(minServerShare), p.backend.Conns())
}

// freeClientDescriptor closes a client to make room for a server connection, and reports whether one was closed.
func (p *pooler) freeClientDescriptor() bool {
	return p.backend.Conns() < p.platformShare(maxServerShare) && p.platform.FreeDescriptor()
}

// releaseDescriptor makes room for a client: it closes a client connection of another frontend that is closing anyway, or an idle server
// connection. It reports whether one was closed.
func (p *pooler) releaseDescriptor() bool {
	if p.pooling != nil && p.pooling.CloseOldest() || p.clickhouse != nil && p.clickhouse.CloseOldest() {
		return true
	}
	return p.backend.Conns() > p.platformShare(minServerShare) && p.backend.CloseOldest()
}

// frontendDescriptors returns how many descriptors the optional frontends hold. The platform's frontend and its server connections are not counted.
func (p *pooler) frontendDescriptors() int {
	n := 0
	if p.pooling != nil {
		n += p.pooling.Sessions() + p.pooling.Conns()
	}
	if p.scatter != nil {
		n += p.scatter.Conns()
	}
	if p.clickhouse != nil {
		n += p.clickhouse.Clients() + p.clickhouse.Conns()
	}
	return n
}

// spareConns returns how many more descriptors the optional frontends may take.
func (p *pooler) spareConns() int {
	all := p.sockets() - reservedDescriptors
	spare := min(all-p.platform.Sessions()-p.backend.Conns(), int(maxFrontendShare*float64(all)))
	return spare - p.frontendDescriptors()
}

// sockets returns how many descriptors this process may hold. The configured limit is shared by the processes on an inherited socket; the system's
// limit applies to each process.
func (p *pooler) sockets() int {
	if p.otherProcesses == 0 {
		return min(p.descriptorLimit, p.cfg.Limits.Sockets)
	}
	return min(p.descriptorLimit, max(2*reservedDescriptors, p.cfg.Limits.Sockets-p.othersDescriptors))
}

// systemLimit returns how many descriptors the system allows this process. Beyond it no connection can be accepted or dialled.
func systemLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// memory returns how many bytes of memory this process may use.
func (p *pooler) memory() int { return p.cfg.Limits.MemoryMB << 20 / (1 + p.otherProcesses) }
