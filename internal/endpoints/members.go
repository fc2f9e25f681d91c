// Package endpoints joins the sources of the server list to the core: what they say goes to the judge, and what that makes
// of it to the core, the log, the records and the snapshot's file.
package endpoints

import (
	"fmt"
	"log/slog"
	"math"

	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/endpoints/reconcile"
	"beechgrade/internal/endpoints/snapshot"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

// Names of the sources that are not the operators' to name.
const (
	Platform = "platform" // the platform's discovery
	Consul   = "consul"
	Static   = "static"
	Known    = "known" // what was known at the start: the configuration's list, or a snapshot
)

// Loop is where everything here runs.
type Loop interface {
	Now() float64
	At(ms float64, do func()) *timers.Timer
	Post(f func())
}

// Directory is the platform's discovery, where it is a source.
type Directory interface {
	Watch()
	Fetch()
}

// Options say what the list is made of.
type Options struct {
	Judge    reconcile.Settings
	Platform bool           // the platform's discovery is a source
	Snapshot string         // a file, empty for none
	Saver    snapshot.Saver // in place of a file where there is none; nil for none
}

// Members makes the list. It belongs to the loop.
type Members struct {
	loop   Loop
	log    *slog.Logger
	opt    Options
	judge  *reconcile.Judge
	events discovery.Events
	dir    Directory // nil where the platform's discovery is none
	rec    *record.Recorder
	gen    int64
	shown  int    // servers in the list
	hung   uint64 // grows with each call of the judge that is hung up: the ones before come to nothing
	ready  bool
	due    map[string]bool // sources that have not been heard yet

	dirty  bool // the list has changed since it was saved
	saving bool
	saveAt float64
}

const saveEvery = 5000 // ms between snapshots

// New makes members; known is what is known at the start.
func New(l Loop, log *slog.Logger, opt Options, events discovery.Events, known *discovery.List) *Members {
	m := &Members{loop: l, log: log, opt: opt, events: events, due: map[string]bool{}}
	for _, s := range opt.Judge.Sources {
		m.due[s] = true
	}
	opt.Judge.Sources = append(append([]string(nil), opt.Judge.Sources...), Known)
	m.judge = reconcile.New(opt.Judge)
	r := &reconcile.Report{Whole: true}
	for i := range known.Instances {
		if c, ok := claimOf(&known.Instances[i]); ok {
			r.Claims = append(r.Claims, c)
		}
	}
	if opt.Snapshot != "" {
		m.opt.Saver = snapshot.Path(opt.Snapshot)
	}
	if m.opt.Saver != nil {
		f, err := m.opt.Saver.Load()
		switch {
		case err != nil:
			log.Warn("starting without the saved list", "err", err)
		case f != nil:
			for i := range f.Entries {
				r.Claims = append(r.Claims, claimOfEntry(&f.Entries[i]))
			}
			log.Info("starting with the saved list", "file", opt.Snapshot, "servers", len(f.Entries), "saved_s_ago", math.Round((l.Now()-f.SavedMs)/1000))
		}
	}
	m.judge.Heard(l.Now(), Known, r)
	return m
}

// Begin is the list that the core starts with.
func (m *Members) Begin() discovery.List {
	_, said := m.judge.Take()
	m.tell(said)
	l := discovery.List{Generation: m.gen, Reset: true}
	for _, e := range m.judge.List() {
		l.Instances = append(l.Instances, instanceOf(&e))
	}
	m.shown, m.ready = len(l.Instances), true
	return l
}

// Use has the platform's discovery asked.
func (m *Members) Use(d Directory) { m.dir = d }

// Record has what is said and judged recorded.
func (m *Members) Record(r *record.Recorder) { m.rec = r }

// Watch is core.Directory's.
func (m *Members) Watch() {
	if m.dir != nil {
		m.dir.Watch()
	}
}

// Fetch is core.Directory's.
func (m *Members) Fetch() {
	if m.dir != nil {
		m.dir.Fetch()
	}
}

// Listed is discovery.Events'.
func (m *Members) Listed(l *discovery.List) {
	m.Heard(Platform, ReportOf(l))
}

// ReportOf is what a list in the platform's form says.
func ReportOf(l *discovery.List) *reconcile.Report {
	r := &reconcile.Report{Whole: l.Reset, Generation: l.Generation}
	for i := range l.Instances {
		n := &l.Instances[i]
		if n.Lifecycle == "removed" {
			r.Removed = append(r.Removed, n.ID)
		} else if c, ok := claimOf(n); ok {
			r.Claims = append(r.Claims, c)
		}
	}
	return r
}

// ListFailed is discovery.Events'. The core asks again, as ever.
func (m *Members) ListFailed() {
	m.Lost(Platform, "its watch ended")
	m.events.ListFailed()
}

// Heard is consul.Sink's.
func (m *Members) Heard(source string, r *reconcile.Report) {
	now := m.loop.Now()
	m.recordSaid(source, r)
	if m.judge.Heard(now, source, r) && source == Platform {
		m.Fetch()
	}
	if !r.More {
		delete(m.due, source)
	}
	if len(m.due) == 0 {
		m.due = map[string]bool{"": true} // once
		m.judge.Retire(now, Known)
	}
	m.publish()
}

// Lost is consul.Sink's.
func (m *Members) Lost(source, why string) {
	m.judge.Lost(m.loop.Now(), source, why)
	m.publish()
}

// Noted is consul.Sink's.
func (m *Members) Noted(source string, w reconcile.What, why string) {
	m.judge.Noted(m.loop.Now(), source, w, why)
	m.publish()
}

// ServerReported is core.ReportSink's: what a server said of itself in an answer or a probe's.
func (m *Members) ServerReported(server string, primary, replica bool, position float64) {
	w := reconcile.Word{Position: position}
	switch {
	case primary:
		w.Role = reconcile.Primary
	case replica:
		w.Role = reconcile.Replica
	}
	if m.judge.Told(m.loop.Now(), server, w); m.ready && m.emit() { // most answers say nothing new
		m.again()
	}
}

// Override takes the operators' word.
func (m *Members) Override(o reconcile.Override) {
	m.judge.Override(m.loop.Now(), o)
	m.publish()
}

// publish carries on what the judge has made, and sees to it that it is called in time.
func (m *Members) publish() {
	if m.ready {
		m.emit()
		m.again()
	}
}

// emit carries on what the judge has made, and tells whether there was anything.
func (m *Members) emit() bool {
	out, said := m.judge.Take()
	m.tell(said)
	if len(out) > 0 {
		m.gen++
		l := discovery.List{Generation: m.gen, Reset: m.shown == 0}
		for i := range out {
			if n := instanceOf(&out[i]); !l.Reset || n.Lifecycle != "removed" {
				l.Instances = append(l.Instances, n)
			}
		}
		m.shown = m.judge.Len()
		m.events.Listed(&l)
		m.dirty = true
		m.save()
	}
	return len(out)+len(said) > 0
}

// again hangs up the judge's next call.
func (m *Members) again() {
	m.hung++
	no, next := m.hung, m.judge.Tick(m.loop.Now())
	m.emit()
	if next > 0 {
		m.loop.At(max(next, m.loop.Now()+1), func() {
			if m.hung == no {
				m.again()
			}
		})
	}
}

// tell logs and records judgements.
func (m *Members) tell(said []reconcile.Judgement) {
	for i := range said {
		g := &said[i]
		m.log.Info("members", "what", string(g.What), "server", g.Server, "source", g.Source, "why", g.Why)
		m.rec.Put(&record.Event{At: m.loop.Now(), Kind: recordpb.Kind_KIND_JUDGED, Server: g.Server, Group: int64(g.Group), Source: g.Source, Text: string(g.What) + ": " + g.Why})
	}
}

func (m *Members) recordSaid(source string, r *reconcile.Report) {
	if !m.rec.On() {
		return
	}
	now := m.loop.Now()
	for i := range r.Claims {
		c := &r.Claims[i]
		m.rec.Put(&record.Event{At: now, Kind: recordpb.Kind_KIND_SAID, Server: c.ID, Group: int64(c.Group), Source: source, Health: uint8(c.Health), Role: uint8(c.Role),
			Primary: c.Role == reconcile.Primary, Number: int64(c.Started), Text: c.Address})
	}
	for _, id := range r.Removed {
		m.rec.Put(&record.Event{At: now, Kind: recordpb.Kind_KIND_SAID, Server: id, Source: source, State: uint8(reconcile.Gone)})
	}
}

// save writes the snapshot, not too often and one at a time, on a goroutine of its own.
func (m *Members) save() {
	if m.opt.Saver == nil || m.saving || !m.dirty || m.shown == 0 {
		return
	}
	now := m.loop.Now()
	if now < m.saveAt {
		m.saving = true
		m.loop.At(m.saveAt, func() { m.saving = false; m.save() })
		return
	}
	m.saving, m.dirty, m.saveAt = true, false, now+saveEvery
	f := &snapshot.File{SavedMs: clock.Wall(), Entries: m.judge.List()}
	go func() {
		err := m.opt.Saver.Save(f)
		m.loop.Post(func() {
			m.saving = false
			if err != nil {
				m.log.Warn("the list could not be saved", "err", err)
				return
			}
			m.save()
		})
	}()
}

// claimOf is what an entry of the platform's form says.
func claimOf(n *discovery.Instance) (reconcile.Claim, bool) {
	c := reconcile.Claim{ID: n.ID, Address: n.HostPort, Group: n.Cell, Zone: n.Zone, Kind: n.MachineType, Weight: n.Weight, Started: float64(n.StartedAtMs)}
	switch n.Role {
	case "primary":
		c.Role = reconcile.Primary
	case "replica":
		c.Role = reconcile.Replica
	}
	if n.Lifecycle == "draining" {
		c.Health = reconcile.Maintenance
	}
	return c, n.ID != "" && n.HostPort != "" && n.Lifecycle != "removed"
}

func claimOfEntry(e *reconcile.Entry) reconcile.Claim {
	c := reconcile.Claim{ID: e.ID, Address: e.Address, Group: e.Group, Zone: e.Zone, Kind: e.Kind, Weight: e.Weight, Started: e.Started}
	if e.State == reconcile.Draining {
		c.Health = reconcile.Maintenance
	}
	if e.Primary {
		c.Role = reconcile.Primary
	}
	return c
}

// instanceOf is an entry of the list in the form that the core takes.
func instanceOf(e *reconcile.Entry) discovery.Instance {
	n := discovery.Instance{ID: e.ID, HostPort: e.Address, Zone: e.Zone, MachineType: e.Kind, Cell: e.Group, Weight: e.Weight, StartedAtMs: int64(e.Started),
		Lifecycle: [...]string{"up", "draining", "removed"}[e.State]}
	if n.Weight <= 0 {
		n.Weight = 1
	}
	if e.Primary {
		n.Role = "primary"
	}
	return n
}

// Entry is a server as the list has it.
func (m *Members) Entry(id string) (reconcile.Entry, bool) { return m.judge.Entry(id) }

// Sum says in a line what the list holds.
func (m *Members) Sum() string {
	return fmt.Sprintf("%d servers, %d removals held back", m.shown, m.judge.Held())
}
