package simulator

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"beechgrade/internal/decide"
)

func (d *Decoder) item(b *Batch, f *fields) error {
	it := Item{Instance: -1, Kind: DeliverEvent}
	switch f.name {
	case "CENSUS":
		return d.census(f)
	case "PROVISION":
		it.Kind = StartInstance
		pairs := map[string]string{}
		for f.next() {
			switch f.key {
			case "front":
				it.Instance = f.integer()
			case "prng":
				it.Seed = uint64(f.int64())
			default:
				pairs[f.key] = string(f.val)
			}
		}
		if f.err == nil {
			var zero time.Duration
			var err error
			if it.Settings, zero, err = Settings(pairs); err != nil {
				return fmt.Errorf("PROVISION: %w", err)
			}
			d.zero[it.Instance] = zero
		}
	case "CRASH_NOW":
		it.Kind = StopInstance
		for f.next() {
			if f.key == "front" {
				it.Instance = f.integer()
			}
		}
		delete(d.zero, it.Instance)
	case "MEMBERS":
		l := &decide.EndpointList{}
		slot, how := -1, ""
		for f.next() {
			switch f.key {
			case "front":
				it.Instance = f.integer()
			case "how":
				how = string(f.val)
			case "slot":
				slot = f.integer()
			}
		}
		kind, ok := listKinds[how]
		if !ok {
			return fmt.Errorf("MEMBERS: unknown how %q", how)
		}
		l.Kind = kind
		if kind != decide.ListFailed {
			if slot < 0 || slot >= slots {
				return fmt.Errorf("MEMBERS: slot %d out of range", slot)
			}
			l.Endpoints = d.lists[slot]
		}
		it.Event = l
	case "ASK":
		it.Instance, it.Event = decodeRequest(f)
	case "SETTLED":
		it.Instance, it.Event = d.decodeOutcome(f)
	case "EXPIRED":
		e := &decide.Abandoned{}
		for f.next() {
			switch f.key {
			case "front":
				it.Instance = f.integer()
			case "request_id":
				e.ID = decide.RequestID(f.val)
			}
		}
		it.Event = e
	case "TIMEOUT_FIRED":
		e := &decide.Timer{}
		for f.next() {
			switch f.key {
			case "front":
				it.Instance = f.integer()
			case "tag":
				e.Tag = f.int64()
			}
		}
		it.Event = e
	case "ECHO":
		e := &decide.HealthCheckResult{Result: decide.TimedOut}
		var stats []byte
		for f.next() {
			switch f.key {
			case "front":
				it.Instance = f.integer()
			case "store":
				e.Server = decide.ServerID(f.val)
			case "disposition":
				e.Result = result(f.val)
			case "server_stats":
				stats = f.val
			}
		}
		e.Load = report(stats, d.zero[it.Instance], f)
		it.Event = e
	default:
		return nil // a message that this adapter has no use for
	}
	if f.err == nil && it.Instance < 0 {
		return fmt.Errorf("%s: front missing or negative", f.name)
	}
	if f.err == nil {
		b.Items = append(b.Items, it)
	}
	return f.err
}

func decodeRequest(f *fields) (int, *decide.Request) {
	front, options, work := -1, 0, time.Duration(0)
	e := &decide.Request{Class: -1, Group: -1}
	for f.next() {
		switch f.key {
		case "front":
			front = f.integer()
		case "request_id":
			e.ID = decide.RequestID(f.val)
		case "party":
			e.Tenant = f.integer()
		case "due_ns":
			e.Deadline = f.duration()
		case "shard":
			e.Group = f.integer()
		case "session":
			e.Session = string(f.val)
		case "token_ms":
			e.SinceCommit = max(0, time.Duration(f.float()*float64(time.Millisecond)))
		case "expected_ns":
			work = f.duration()
		case "options":
			options = f.integer()
		case "cls":
			e.Class = f.integer()
		}
	}
	if options&1 != 0 {
		e.WorkHint = work
	}
	e.ClientRetry = options&2 != 0
	if e.ID == "" {
		f.fail("request_id")
	}
	return front, e
}

func (d *Decoder) decodeOutcome(f *fields) (int, *decide.Outcome) {
	front, note := -1, int64(0)
	e := &decide.Outcome{Result: decide.Failed}
	var stats []byte
	for f.next() {
		switch f.key {
		case "front":
			front = f.integer()
		case "request_id":
			e.ID = decide.RequestID(f.val)
		case "try":
			e.Attempt = f.integer()
		case "disposition":
			e.Result = result(f.val)
		case "no_more":
			e.Final = f.boolean()
		case "store":
			e.Server = decide.ServerID(f.val)
		case "note":
			note = f.int64()
		case "server_stats":
			stats = f.val
		}
	}
	zero := d.zero[front]
	switch note & 3 {
	case 1:
		e.Reported.Role = decide.RolePrimary
	case 2:
		e.Reported.Role = decide.RoleReplica
	}
	if note >= 4 {
		e.Reported.Position, e.Reported.HasPosition = zero+time.Duration(note/4)*time.Millisecond, true
	}
	e.Load = report(stats, zero, f)
	return front, e
}

func (d *Decoder) census(f *fields) error {
	slot, records := -1, 0
	for f.next() {
		switch f.key {
		case "slot":
			slot = f.integer()
		case "records":
			records = f.integer()
		}
	}
	if f.err != nil {
		return f.err
	}
	if slot < 0 || slot >= slots || records < 0 {
		return fmt.Errorf("CENSUS: slot %d or records %d out of range", slot, records)
	}
	var list []decide.Endpoint // fresh: events of this batch may still hold the old one
	for range records {
		line, err := d.readLine()
		if err != nil {
			return err
		}
		g := newFields(line)
		if g.name != "ENTRY" {
			return fmt.Errorf("want ENTRY, got %q", g.name)
		}
		e := decide.Endpoint{Capacity: 1}
		for g.next() {
			switch g.key {
			case "online_since_ns":
				e.Started = g.duration()
			case "shard":
				e.Group = g.integer()
			case "shape":
				e.Kind = g.integer()
			case "availability":
				s, ok := states[string(g.val)]
				if !ok {
					return fmt.Errorf("ENTRY: unknown availability %q", g.val)
				}
				e.State = s
			case "weight":
				e.Capacity = g.float()
			case "hall":
				e.Zone = g.integer()
			case "store":
				e.Server = decide.ServerID(g.val)
			case "is_primary":
				e.Primary = g.float() == 1
			}
		}
		if g.err != nil {
			return g.err
		}
		if e.Server == "" {
			return errors.New("ENTRY: store missing")
		}
		list = append(list, e)
	}
	d.lists[slot] = list
	return nil
}

var listKinds = map[string]decide.ListKind{
	"update": decide.ListChanges, "replace": decide.ListFull,
	"restored": decide.ListRestored, "unavailable": decide.ListFailed,
}

var states = map[string]decide.ServerState{
	"SERVING": decide.Serving, "DRAINING": decide.Draining, "DELETED": decide.Removed,
}

// result reads a disposition. A word not known here becomes an error that may have run: the reading
// that promises least.
func result(v []byte) decide.Result {
	switch string(v) {
	case "done":
		return decide.OK
	case "busy":
		return decide.Overloaded
	case "etimedout":
		return decide.TimedOut
	case "econnrefused":
		return decide.Unreachable
	case "econnreset":
		return decide.Reset
	case "ecanceled":
		return decide.Cancelled
	case "skipped":
		return decide.NotSent
	case "enoent":
		return decide.Misdirected
	}
	return decide.Failed
}

// report reads a load report; positions become times on the clock.
func report(v []byte, zero time.Duration, f *fields) decide.Report {
	var r decide.Report
	for len(v) > 0 {
		var pair []byte
		pair, v, _ = bytes.Cut(v, []byte{','})
		key, val, ok := bytes.Cut(pair, []byte{':'})
		if !ok {
			continue
		}
		switch string(key) {
		case "x0":
			// Rounded down to whole milliseconds: a printed figure may have been rounded up.
			ms := int64(f.parse(val) * 1000)
			r.Position, r.HasPosition = zero+time.Duration(ms)*time.Millisecond, true
		case "x1":
			r.Role = decide.RoleReplica
			if f.parse(val) == 1 {
				r.Role = decide.RolePrimary
			}
		case "busy_reqs":
			r.InFlight, r.HasInFlight = f.parse(val), true
		}
	}
	return r
}
