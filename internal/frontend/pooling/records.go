package pooling

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

// Record sets the recorder for sessions, assignments of connections and the state of pools.
func (f *Frontend) Record(r *record.Recorder) { f.recorder = r }

// sessionKey identifies a client's session to the decision module, and by its hash in records.
func sessionKey(pid uint32) string { return strconv.FormatUint(uint64(pid), 10) }

// recordBegin records the start of a session.
func (c *client) recordBegin() {
	f := c.frontend
	if c.pool == nil || !f.recorder.Enabled() {
		return
	}
	c.sessionHash = xxhash.Sum64String(sessionKey(c.pid))
	f.recorder.Put(&record.Event{
		At:      f.now(),
		Kind:    recordpb.Kind_KIND_SESSION_BEGIN,
		Pool:    c.pool.name,
		Session: c.sessionHash,
	})
}

// recordEnd records the end of a session.
func (c *client) recordEnd() {
	f := c.frontend
	if c.pool == nil || c.sessionHash == 0 || !f.recorder.Enabled() {
		return
	}
	f.recorder.Put(&record.Event{
		At:         f.now(),
		Kind:       recordpb.Kind_KIND_SESSION_END,
		Pool:       c.pool.name,
		Session:    c.sessionHash,
		Text:       c.endCode,
		DurationMs: f.now() - c.connectedAt,
	})
}

// recordAssignment records how a wait for a server connection ended. It must be called before the session's settings are sent.
func (c *client) recordAssignment(assignment record.Assignment, l *link, waitedMs float64, fromOtherClient bool) {
	f := c.frontend
	if !f.recorder.Enabled() {
		return
	}
	event := record.Event{
		At:              f.now(),
		Kind:            recordpb.Kind_KIND_HAND,
		Pool:            c.pool.name,
		Session:         c.sessionHash,
		Assignment:      assignment,
		DurationMs:      waitedMs,
		FromOtherClient: fromOtherClient,
		Group:           int64(c.pool.options.Group),
	}
	if l != nil {
		event.Server = l.serverID
		event.ServerChanged = c.lastServer != "" && c.lastServer != l.serverID
		event.SettingsRestored = c.state.SyncQuery(l.state) != ""
	}
	f.recorder.Put(&event)
}

// recordPools records the state of the pools, at most once in recordPoolsMs.
func (f *Frontend) recordPools() {
	now := f.now()
	if !f.recorder.Enabled() || now < f.nextPoolRecordAt {
		return
	}
	f.nextPoolRecordAt = now + recordPoolsMs
	for _, p := range f.pools {
		f.recorder.Put(&record.Event{At: now, Kind: recordpb.Kind_KIND_POOL, Pool: p.name, PoolState: p.recordState(now)})
	}
}

func (p *pool) recordState(now float64) record.PoolState {
	idle, used, dialing, waiting := p.conns.Counts()
	return record.PoolState{
		Clients:        int32(p.clients),
		Idle:           int32(idle),
		Used:           int32(used),
		Connecting:     int32(dialing),
		Waiting:        int32(waiting + p.conns.QueuedTransactions()),
		MaxConnections: int32(p.options.Limits.MaxConns),
		LongestWaitMs:  p.longestWaitMs(now),
	}
}

// longestWaitMs returns the longest time that a client has been waiting for a connection, 0 if none waits.
func (p *pool) longestWaitMs(now float64) float64 {
	since := p.conns.OldestWait()
	if since <= 0 {
		return 0
	}
	return now - since
}
