package simulation

import (
	"log/slog"
	"maps"
	"slices"

	"beechgrade/internal/backend/journaled"
	"beechgrade/internal/core"
	"beechgrade/internal/eventloop/timers"
	durable "beechgrade/internal/storage/store"
	"beechgrade/internal/testkit/model"
)

// disk is a pooler's, with the durable store's promise: what was told as kept is there after a kill; of what was being written, all or
// nothing is. One write is under way at a time, and what comes meanwhile goes out together in the next.
type disk struct {
	p       *pooler
	writeMs model.Range
	entries map[string][]byte
	writing []appended // under way
	queue   []appended
	writes  int
}

type appended struct {
	entries []durable.Entry
	done    func(error)
}

// Append is journal.Store's.
func (d *disk) Append(entries []durable.Entry, done func(error)) {
	d.queue = append(d.queue, appended{entries, done})
	if len(d.writing) == 0 {
		d.write()
	}
}

func (d *disk) write() {
	d.writing, d.queue = d.queue, nil
	d.writes++
	p, life := d.p, d.p.incarnation
	p.sim.sched.at(p.sim.sched.now+p.sim.draw(d.writeMs), model.Func(func() {
		p.whenRunning(life, func() {
			out := d.writing
			d.writing = nil
			d.apply(out)
			for _, a := range out {
				a.done(nil)
			}
			if len(d.writing) == 0 && len(d.queue) > 0 {
				d.write()
			}
		})
	}), 0)
}

func (d *disk) apply(all []appended) {
	for _, a := range all {
		for _, e := range a.entries {
			if delete(d.entries, e.Key); !e.Deleted {
				d.entries[e.Key] = e.Value
			}
		}
	}
}

// processEnded has the pooler's process end: what was under way may have come to the disk.
func (d *disk) processEnded() {
	if d == nil {
		return
	}
	if len(d.writing) > 0 && d.p.sim.rng.IntN(2) == 0 {
		d.apply(d.writing)
	}
	d.writing, d.queue = nil, nil
}

// Range is journal.Store's.
func (d *disk) Range(from, to string, f func(key string, value []byte) bool) {
	for _, k := range slices.Sorted(maps.Keys(d.entries)) {
		if k >= from && (to == "" || k < to) && !f(k, d.entries[k]) {
			return
		}
	}
}

// journalLoop is journaled.Loop's.
type journalLoop struct{ processLoop }

// StopTimer is journaled.Loop's: what comes of a timer that was stopped finds its attempt ended.
func (journalLoop) StopTimer(*timers.Timer) {}

// journaled are the pooler's servers, behind its journal where it keeps one.
func (p *pooler) journaled() core.Servers {
	if p.disk == nil {
		return p
	}
	j := journaled.New(journalLoop{processLoop{p, p.incarnation}}, slog.New(slog.DiscardHandler), p.core, p.disk, p.sim.script.Journal.Mode)
	p.core.SetJournal(j)
	return j.Wrap(p)
}
