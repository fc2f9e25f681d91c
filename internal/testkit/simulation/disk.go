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

// disk is a pooler's durable store. Acknowledged entries survive a kill; of a write in progress, either all entries or none do. There is
// one write at a time: entries that arrive during a write are batched into the next one.
type disk struct {
	pooler     *pooler
	writeMs    model.Range
	entries    map[string][]byte
	inProgress []pendingWrite
	queue      []pendingWrite
	writes     int
}

type pendingWrite struct {
	entries []durable.Entry
	done    func(error)
}

// Append implements journal.Store.
func (d *disk) Append(entries []durable.Entry, done func(error)) {
	d.queue = append(d.queue, pendingWrite{entries, done})
	if len(d.inProgress) == 0 {
		d.write()
	}
}

func (d *disk) write() {
	d.inProgress, d.queue = d.queue, nil
	d.writes++
	p, incarnation := d.pooler, d.pooler.incarnation
	p.sim.sched.at(p.sim.sched.now+p.sim.draw(d.writeMs), model.Func(func() {
		p.whenRunning(incarnation, func() {
			writes := d.inProgress
			d.inProgress = nil
			d.apply(writes)
			for _, a := range writes {
				a.done(nil)
			}
			if len(d.inProgress) == 0 && len(d.queue) > 0 {
				d.write()
			}
		})
	}), 0)
}

func (d *disk) apply(all []pendingWrite) {
	for _, a := range all {
		for _, e := range a.entries {
			if delete(d.entries, e.Key); !e.Deleted {
				d.entries[e.Key] = e.Value
			}
		}
	}
}

// processEnded handles the end of the pooler's process. The write in progress succeeds with a probability of one half.
func (d *disk) processEnded() {
	if d == nil {
		return
	}
	if len(d.inProgress) > 0 && d.pooler.sim.rng.IntN(2) == 0 {
		d.apply(d.inProgress)
	}
	d.inProgress, d.queue = nil, nil
}

// Range implements journal.Store.
func (d *disk) Range(from, to string, f func(key string, value []byte) bool) {
	for _, k := range slices.Sorted(maps.Keys(d.entries)) {
		if k >= from && (to == "" || k < to) && !f(k, d.entries[k]) {
			return
		}
	}
}

// journalLoop implements journaled.Loop.
type journalLoop struct{ processLoop }

// StopTimer implements journaled.Loop. Simulated timers cannot be stopped: the timer still fires, but finds its attempt ended.
func (journalLoop) StopTimer(*timers.Timer) {}

// serversBehindJournal returns the pooler's servers for the core, wrapped in the journal if there is one.
func (p *pooler) serversBehindJournal() core.Servers {
	if p.disk == nil {
		return p
	}
	j := journaled.New(journalLoop{processLoop{p, p.incarnation}}, slog.New(slog.DiscardHandler), p.core, p.disk, p.sim.script.Journal.Mode)
	p.core.SetJournal(j)
	return j.Wrap(p)
}
