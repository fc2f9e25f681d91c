// Package fake writes records as poolers would of a made-up day, for tests and measurements.
package fake

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"

	"beechgrade/internal/decide"
	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

// Day is a made-up day. Times are in milliseconds.
type Day struct {
	Seed     uint64
	From     float64 // Unix ms
	Poolers  int
	Groups   int
	Members  int // of each group
	Requests int // of each pooler
	EveryMs  float64
	SkewMs   float64 // poolers' clocks lie up to so far to both sides
	StepAt   int     // pooler 0's machine clock steps behind so many of its requests, 0 for never...
	StepMs   float64 // ...by so much, and the process starts again
	Outages  []Outage
	Pack     bool
	Segment  int64
}

// Outage is a primary's end, by the share of the day at which it is.
type Outage struct {
	Group int
	At    float64 // ms from the day's start
	GapMs float64 // until the next member takes writes
}

// Classes are the classes of the day.
func Classes() []*recordpb.Class {
	return []*recordpb.Class{{Name: "read", Worth: 1, AimUs: 200000, DeadlineUs: 800000, Read: "any"},
		{Name: "write", Worth: 3, LateWorth: 0.3, AimUs: 250000, DeadlineUs: 2000000, Read: "write"}}
}

// Write writes the day's records below a folder, one folder for each pooler, and returns the number of events.
func (d Day) Write(dir string) (events int) {
	for p := range d.Poolers {
		events += d.pooler(p, filepath.Join(dir, fmt.Sprintf("p%d", p)))
	}
	return events
}

func (d Day) pooler(no int, dir string) (events int) {
	rng := rand.New(rand.NewPCG(d.Seed, uint64(no)))
	skew := 0.0
	if d.Poolers > 1 {
		skew = d.SkewMs * (2*float64(no)/float64(d.Poolers-1) - 1)
	}
	segment := max(d.Segment, 64<<10)
	now := d.From
	done := 0
	for run := 0; done < d.Requests; run++ {
		from, to := done, d.Requests
		if no == 0 && d.StepAt > 0 {
			if run == 0 {
				to = min(to, d.StepAt)
			} else {
				skew = d.StepMs
			}
		}
		opt := record.Options{Pooler: fmt.Sprintf("p%d", no), Program: "made up", RunStartMs: now + skew, Classes: Classes(), Files: record.Dir(dir),
			SegmentBytes: segment, TotalBytes: 1 << 40, QueueLength: 1 << 14, Compress: d.Pack, Log: slog.New(slog.DiscardHandler),
			WarmupStartShare: 0.15, WarmupMs: 18000, DrainGraceMs: 250}
		record.Write(opt, func(put func(*record.Event)) {
			emit := func(e record.Event) {
				e.At += skew
				events++
				put(&e)
			}
			emit(record.Event{At: now, Kind: recordpb.Kind_KIND_START})
			emit(record.Event{At: now, Kind: recordpb.Kind_KIND_LIST, Full: true, Number: 1})
			for g := range d.Groups {
				for m := range d.Members {
					emit(record.Event{At: now, Kind: recordpb.Kind_KIND_ENTRY, Server: Server(g, m), Group: int64(g), Primary: m == 0})
				}
			}
			for i := from; i < to; i++ {
				now = d.From + float64(i)*d.EveryMs + rng.Float64()*d.EveryMs/2
				d.request(rng, i, now, emit)
				if i%int(max(1, 1000/d.EveryMs)) == 0 {
					emit(record.Event{At: now, Kind: recordpb.Kind_KIND_GAUGE, Sessions: 10, Connections: 20, WallClockMs: now + skew})
				}
			}
			emit(record.Event{At: now, Kind: recordpb.Kind_KIND_STOP})
		})
		done = to
	}
	return events
}

// Server is the name of a group's member.
func Server(group, member int) string { return fmt.Sprintf("s-%d-%d", group, member) }

// request emits the events of one request from its arrival to its answer. Attempts end at once, so that the events stay in order of time.
func (d Day) request(rng *rand.Rand, i int, now float64, emit func(record.Event)) {
	g, class := rng.IntN(d.Groups), int32(rng.IntN(2))
	no, took := uint64(i+1), 1+rng.Float64()*20
	key := rng.Uint64()
	emit(record.Event{At: now, Kind: recordpb.Kind_KIND_REQUEST, Request: no, Class: class, Group: int64(g), Session: key, ID: rng.Uint64(), RemainingMs: 800})
	primary, ok := 0, true
	for _, o := range d.Outages {
		if at := now - d.From; o.Group == g && at >= o.At {
			primary = 1
			ok = at >= o.At+o.GapMs
		}
	}
	member, role := primary, decide.RolePrimary
	if class == 0 {
		if member = rng.IntN(d.Members); member != primary {
			role = decide.RoleReplica
		}
	}
	a := record.Event{At: now, Kind: recordpb.Kind_KIND_ATTEMPT, Request: no, Class: class, Group: int64(g), Server: Server(g, member), DurationMs: took,
		Role: uint8(role), Position: now - 1}
	if role == decide.RoleReplica {
		a.Position -= rng.Float64() * 30
	}
	final, reason := recordpb.Final_FINAL_SERVED, record.ReasonNone
	if class == 1 && !ok {
		a.Server, a.Result, a.Role, a.Position = Server(g, 0), uint8(decide.Unreachable), 0, 0
		final, reason = recordpb.Final_FINAL_REFUSED, record.ReasonEnded+record.Reason(decide.Unreachable)
	}
	if !ok && class == 0 && member == 1 { // not the primary yet
		a.Role = uint8(decide.RoleReplica)
	}
	if class == 0 && member == 0 && primary == 1 { // gone, or back as a replica
		a.Role = uint8(decide.RoleReplica)
	}
	emit(a)
	emit(record.Event{At: now, Kind: recordpb.Kind_KIND_ANSWER, Request: no, Class: class, Group: int64(g), Final: final, Reason: reason, DurationMs: took, Attempt: 1})
}
