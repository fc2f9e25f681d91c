package pooling

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

const gaugeMs = 1000

// Record has the front record sessions, hands and pools.
func (f *Front) Record(r *record.Recorder) { f.rec = r }

// sessionKey names a client's session to the decision module, and by its hash in records.
func sessionKey(pid uint32) string { return strconv.FormatUint(uint64(pid), 10) }

func (c *client) recordBegin() {
	if c.pool == nil || !c.f.rec.Enabled() {
		return
	}
	c.session = xxhash.Sum64String(sessionKey(c.pid))
	c.f.rec.Put(&record.Event{At: c.f.loop.Now(), Kind: recordpb.Kind_KIND_SESSION_BEGIN, Pool: c.pool.name, Session: c.session})
}

func (c *client) recordEnd() {
	if c.pool == nil || c.session == 0 || !c.f.rec.Enabled() {
		return
	}
	c.f.rec.Put(&record.Event{At: c.f.loop.Now(), Kind: recordpb.Kind_KIND_SESSION_END, Pool: c.pool.name, Session: c.session, Text: c.ended,
		DurationMs: c.f.loop.Now() - c.since})
}

// recordHand records how a wait for a server connection ended. It comes before the settings are sent ahead.
func (c *client) recordHand(assignment record.Assignment, l *link, waited float64, other bool) {
	if !c.f.rec.Enabled() {
		return
	}
	e := record.Event{At: c.f.loop.Now(), Kind: recordpb.Kind_KIND_HAND, Pool: c.pool.name, Session: c.session, Assignment: assignment, DurationMs: waited, FromOtherClient: other,
		Group: int64(c.pool.opt.Group)}
	if l != nil {
		e.Server, e.ServerChanged, e.SettingsRestored = l.store, c.last != "" && c.last != l.store, c.carry.Sync(l.server) != ""
	}
	c.f.rec.Put(&e)
}

// gauge records once a second what the pools hold.
func (f *Front) gauge() {
	now := f.loop.Now()
	if !f.rec.Enabled() || now < f.gaugeAt {
		return
	}
	f.gaugeAt = now + gaugeMs
	for _, p := range f.pools {
		idle, used, dialing, waiting := p.share.Counts()
		e := record.Event{At: now, Kind: recordpb.Kind_KIND_POOL, Pool: p.name, PoolState: record.PoolState{Clients: int32(p.clients), Idle: int32(idle),
			Used: int32(used), Connecting: int32(dialing), Waiting: int32(waiting + p.share.Outside()), MaxConnections: int32(p.opt.Limits.Most)}}
		if at := p.share.Oldest(); at > 0 {
			e.PoolState.LongestWaitMs = now - at
		}
		f.rec.Put(&e)
	}
}
