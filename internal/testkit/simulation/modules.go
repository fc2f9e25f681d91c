package simulation

import (
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/testkit/model"
)

// ModuleMaker returns the modules of a pooler's process when it starts, in addition to the view and quotas. They act through the Host.
type ModuleMaker func(h Host) []module.Module

// Host is the process that a module belongs to. It implements module.Transport.
type Host struct{ peer *peer }

// No returns the pooler's number, Incarnation the number of its earlier processes.
func (h Host) No() int             { return h.peer.pooler.no }
func (h Host) Incarnation() uint32 { return h.peer.incarnation }

// At calls do at the given time, unless the process has ended by then. A pause of the machine delays the call.
func (h Host) At(ms float64, do func()) { processLoop{h.peer.pooler, h.peer.incarnation}.At(ms, do) }

// Now implements module.Transport.
func (h Host) Now() float64 { return h.peer.pooler.sim.sched.now }

// Send implements module.Transport. The encoded message is delivered subject to the faults of the link.
func (h Host) Send(addr string, to view.ID, kind view.Kind, message module.Message) {
	x := h.peer
	fleet, sim := x.fleet, x.pooler.sim
	receiver := fleet.poolerAt(addr)
	if m := sim.options.Mutant; m != nil && m.ModuleMessage != nil {
		message = m.ModuleMessage(x.pooler.no, message)
	}
	b := message.Append(nil)
	if receiver == nil || receiver == x.pooler || len(b) > module.MaxBodyBytes {
		return
	}
	if kind == module.KindOverload && (b[0] == reportKind || b[0] == decisionsKind) {
		sim.check.DatagramSent(sim.sched.now)
	}
	fleet.moduleMessages++
	fleet.moduleBytes += datagramHeaderBytes + uint64(len(b))
	from := x.view.Self().ID
	for _, extraMs := range fleet.net.CopyDelays(x.pooler.no, receiver.no, fleet.rng) {
		sim.sched.After(sim.poolerLinkDelay(x.pooler, receiver)+extraMs, model.Func(func() { receiver.receiveModuleMessage(from, to, kind, b) }), 0)
	}
}

// The first bytes of encoded overload messages that carry reports and decisions. Other messages are about health checks.
const reportKind, decisionsKind = 1, 2

// SendStream implements module.Transport. A stream loses nothing, but cannot be opened on a cut link.
func (h Host) SendStream(addr string, to view.ID, kind view.Kind, message module.Message, done func(ok bool)) {
	x := h.peer
	f, sim := x.fleet, x.pooler.sim
	receiver := f.poolerAt(addr)
	b := message.Append(nil)
	if receiver == nil || receiver == x.pooler || len(b) > module.MaxStreamBytes || f.net.Cut(x.pooler.no, receiver.no) || f.net.Cut(receiver.no, x.pooler.no) {
		h.At(sim.sched.now+streamTimeoutMs, func() { done(false) })
		return
	}
	f.streamed += uint64(len(b))
	from := x.view.Self().ID
	sim.sched.After(2*sim.poolerLinkDelay(x.pooler, receiver)+2*f.net.ExtraDelayMs(x.pooler.no, receiver.no), model.Func(func() {
		ok := !f.net.Cut(x.pooler.no, receiver.no) && receiver.receiveModuleMessage(from, to, kind, b)
		h.At(sim.sched.now+sim.poolerLinkDelay(x.pooler, receiver), func() { done(ok) })
	}), 0)
}

const streamTimeoutMs = 1500 // the daemon's timeout

// receiveModuleMessage decodes a message and delivers it to its module, after a pause of the machine if there is one. It reports whether
// the process accepted the message.
func (p *pooler) receiveModuleMessage(from, to view.ID, kind view.Kind, b []byte) bool {
	y := p.peer
	if y == nil || !p.up {
		return false
	}
	for _, mod := range y.modules {
		if mod.Kind() != kind {
			continue
		}
		message, err := mod.Decode(b)
		if err != nil {
			return false
		}
		p.whenRunning(y.incarnation, func() {
			if to == 0 || to == y.view.Self().ID {
				mod.Receive(from, message)
			}
		})
		return true
	}
	return false
}

// moduleMakers returns the makers of each pooler's modules: first those that the scenario configures, then those of the options.
func (sim *Simulation) moduleMakers() (makers []ModuleMaker) {
	if o := sim.script.Overload; o != nil {
		makers = append(makers, WithOverload(o.Options))
	}
	if sim.funds != nil {
		makers = append(makers, sim.funds.Join)
	}
	if v := sim.script.OutlierDetection; v != nil {
		makers = append(makers, WithOutlierDetection(v.Options))
	}
	return append(makers, sim.options.Modules...)
}

// updateModules passes the current members of the view to all modules.
func (x *peer) updateModules() {
	for _, m := range x.modules {
		m.UpdateMembers(x.view.Self().ID, x.view.Members(), x.view.Counts())
	}
}
