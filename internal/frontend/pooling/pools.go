package pooling

import (
	"slices"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/pooling/connpool"
)

// poolKey identifies a pool: the settings that apply, and the database and user that clients requested.
type poolKey struct {
	options        int // index into Options.Pools
	database, user string
}

// pool holds the server connections for one database and user.
type pool struct {
	key     poolKey
	name    string // DATABASE/USER
	options *PoolOptions
	conns   *connpool.Pool
	clients int
	failed  map[string]bool // servers whose last dial failed
}

// matches reports whether the settings apply to a client.
func (o *PoolOptions) matches(database, user, app string) bool {
	accepts := func(setting, value string) bool { return setting == "*" || setting == "" || setting == value }
	return accepts(o.Database, database) && accepts(o.User, user) && accepts(o.App, app)
}

// poolOf returns a client's pool, by the first settings that apply; nil if none do. The pool is created if it does not exist.
func (f *Frontend) poolOf(database, user, app string) *pool {
	i := slices.IndexFunc(f.options.Pools, func(o PoolOptions) bool { return o.matches(database, user, app) })
	if i < 0 {
		return nil
	}
	key := poolKey{i, database, user}
	for _, p := range f.pools {
		if p.key == key {
			return p
		}
	}
	options := &f.options.Pools[i]
	p := &pool{key: key, name: database + "/" + user, options: options, conns: connpool.New(options.Limits), failed: map[string]bool{}}
	f.pools = append(f.pools, p)
	if conns, ok := f.assignedLimits[p.name]; ok {
		f.AssignLimit(p.name, conns)
	}
	return p
}

// isUnused reports whether a pool has no clients and no connections.
func (p *pool) isUnused() bool {
	idle, used, dialing, waiting := p.conns.Counts()
	return p.clients == 0 && idle+used+dialing+waiting == 0 && p.conns.QueuedTransactions() == 0
}

// removeUnusedPools removes pools that nobody uses once there are more than maxUnusedPools pools: where the settings accept any name, clients
// create one for each. A pool is created again when it is needed.
func (f *Frontend) removeUnusedPools() {
	if len(f.pools) > maxUnusedPools {
		f.pools = slices.DeleteFunc(f.pools, (*pool).isUnused)
	}
}

// Pools returns the number of pools.
func (f *Frontend) Pools() int { return len(f.pools) }

// expireLeases ends expired leases of limits. It must be called before a limit is used.
func (f *Frontend) expireLeases() {
	if f.options.ExpireLeases != nil {
		f.options.ExpireLeases()
	}
}

// AssignLimit limits the connections of all pools with a name, DATABASE/USER, together. The limit is divided evenly among them.
func (f *Frontend) AssignLimit(name string, conns int) {
	f.assignedLimits[name] = conns
	pools := f.poolsNamed(name)
	for i, p := range pools {
		share := (conns + len(pools) - 1 - i) / len(pools)
		f.execute(p, p.conns.AssignLimit(share, f.now()))
	}
}

// RestoreLimits ends AssignLimit: the pools with a name get the limits of their settings again.
func (f *Frontend) RestoreLimits(name string) {
	delete(f.assignedLimits, name)
	for _, p := range f.poolsNamed(name) {
		f.execute(p, p.conns.RestoreLimits(f.now()))
	}
}

// Demand returns how many connections the pools with a name have, and how many they would use without a limit.
func (f *Frontend) Demand(name string) (has, want int) {
	for _, p := range f.poolsNamed(name) {
		idle, used, dialing, waiting := p.conns.Counts()
		has += idle + used + dialing
		want += used + waiting + p.conns.QueuedTransactions()
	}
	return has, want
}

func (f *Frontend) poolsNamed(name string) (pools []*pool) {
	for _, p := range f.pools {
		if p.name == name {
			pools = append(pools, p)
		}
	}
	return pools
}

// idBits is the number of bits of each half of a connpool.ID that is made of a slotmap.Ref.
const idBits = 32

func packRef(r slotmap.Ref) uint64 { return uint64(r.Gen)<<idBits | uint64(r.Index) }

func unpackRef(id connpool.ID) slotmap.Ref {
	return slotmap.Ref{Index: uint32(id), Gen: uint32(id >> idBits)}
}

// execute carries out the actions of a pool.
func (f *Frontend) execute(p *pool, actions []connpool.Action) {
	for _, action := range actions {
		switch action.Kind {
		case connpool.Dial:
			f.dial(p, action.Server)
		case connpool.Close:
			if l, ok := f.links.Get(unpackRef(action.Conn)); ok {
				l.close()
			}
		case connpool.Assign:
			f.assign(p, action)
		case connpool.Admit:
			if c, ok := f.clients.Get(unpackRef(action.Waiter)); ok {
				f.eventLoop.At(f.now(), c.onAdmitted) // by a timer, because it causes further actions
			}
		case connpool.Reject:
			f.reject(p, action)
		}
	}
}

// assign assigns a connection to the attempt that waits for it.
func (f *Frontend) assign(p *pool, action connpool.Action) {
	a, waits := f.attempts.Get(unpackRef(action.Waiter))
	l, open := f.links.Get(unpackRef(action.Conn))
	switch {
	case !open:
	case !waits:
		l.free()
	case !f.events.MaySend(a.id):
		l.free()
		f.endAttempt(a, decide.Cancelled, nil)
	case !l.clean():
		l.close()
		f.execute(p, p.conns.Request(action.Waiter, a.server, f.now()))
	default:
		a.transaction.client.assign(a, l)
	}
}

// reject ends a wait for admission or for a connection without success.
func (f *Frontend) reject(p *pool, action connpool.Action) {
	if action.Server != "" {
		if a, ok := f.attempts.Get(unpackRef(action.Waiter)); ok {
			f.rejectAttempt(a, p)
		}
		return
	}
	if c, ok := f.clients.Get(unpackRef(action.Waiter)); ok {
		f.Counts.Rejected++
		f.eventLoop.At(f.now(), c.onRejected)
	}
}

// rejectAttempt ends an attempt that got no connection: its server could not be reached, or the pool had none for it.
func (f *Frontend) rejectAttempt(a *attempt, p *pool) {
	f.Counts.Rejected++
	waitedMs := f.now() - a.transaction.submittedAt
	waitedTooLong := p.options.Limits.MaxWaitMs > 0 && waitedMs >= p.options.Limits.MaxWaitMs
	switch {
	case p.conns.IsDraining(a.server):
		f.endAttempt(a, decide.Overloaded, nil)
	case !waitedTooLong && f.isUnreachable(p, a.server):
		f.endAttempt(a, decide.Unreachable, nil)
	default: // waited too long, or the queue is full
		a.transaction.noConnection = true
		f.endAttempt(a, decide.Overloaded, nil)
	}
}

func (f *Frontend) isUnreachable(p *pool, server string) bool {
	return f.addresses[server] == "" || p.failed[server]
}
