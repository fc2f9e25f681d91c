package pooling

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

const gaugeMs = 1000

// Record has the front record sessions, hands and pools.
func (f *Frontend) Record(r *record.Recorder) { f.recorder = r }

// sessionKey names a client's session to the decision module, and by its hash in records.
func sessionKey(pid uint32) string { return strconv.FormatUint(uint64(pid), 10) }

func (c *client) recordBegin() {
	if c.pool == nil || !c.frontend.recorder.Enabled() {
		return
	}
	c.session = xxhash.Sum64String(sessionKey(c.pid))
	c.frontend.recorder.Put(&record.Event{At: c.frontend.eventLoop.Now(), Kind: recordpb.Kind_KIND_SESSION_BEGIN, Pool: c.pool.name, Session: c.session})
}

func (c *client) recordEnd() {
	if c.pool == nil || c.session == 0 || !c.frontend.recorder.Enabled() {
		return
	}
	c.frontend.recorder.Put(&record.Event{At: c.frontend.eventLoop.Now(), Kind: recordpb.Kind_KIND_SESSION_END, Pool: c.pool.name, Session: c.session, Text: c.endCode,
		DurationMs: c.frontend.eventLoop.Now() - c.since})
}

// recordHand records how a wait for a server connection ended. It comes before the settings are sent ahead.
func (c *client) recordHand(assignment record.Assignment, l *link, waited float64, other bool) {
	if !c.frontend.recorder.Enabled() {
		return
	}
	e := record.Event{At: c.frontend.eventLoop.Now(), Kind: recordpb.Kind_KIND_HAND, Pool: c.pool.name, Session: c.session, Assignment: assignment, DurationMs: waited, FromOtherClient: other,
		Group: int64(c.pool.options.Group)}
	if l != nil {
		e.Server, e.ServerChanged, e.SettingsRestored = l.serverID, c.lastServer != "" && c.lastServer != l.serverID, c.state.SyncQuery(l.state) != ""
	}
	c.frontend.recorder.Put(&e)
}

// gauge records once a second what the pools hold.
func (f *Frontend) gauge() {
	now := f.eventLoop.Now()
	if !f.recorder.Enabled() || now < f.nextGaugeAt {
		return
	}
	f.nextGaugeAt = now + gaugeMs
	for _, p := range f.pools {
		idle, used, dialing, waiting := p.conns.Counts()
		e := record.Event{At: now, Kind: recordpb.Kind_KIND_POOL, Pool: p.name, PoolState: record.PoolState{Clients: int32(p.clients), Idle: int32(idle),
			Used: int32(used), Connecting: int32(dialing), Waiting: int32(waiting + p.conns.QueuedTransactions()), MaxConnections: int32(p.options.Limits.MaxConns)}}
		if at := p.conns.OldestWait(); at > 0 {
			e.PoolState.LongestWaitMs = now - at
		}
		f.recorder.Put(&e)
	}
}
