// Package cluster joins the fleet's view (package view) to sockets: datagrams for what is small, a stream for a full exchange, on one
// address. Reading, writing, hashing and coding are done on goroutines off the loop, which post what they make; the view itself is
// for the loop alone. Without (peers ...) in the operators' settings there is no socket and no goroutine of all this.
package cluster

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/invariant"
)

// Options say how a pooler is a peer.
type Options struct {
	Listen    string // host:port, both of them numbers
	Advertise string // what others are told, Listen where empty
	Key       Key
	Record    view.Record // but for the address
	View      view.Settings
	Limits    *quota.Settings // that hold for the whole fleet, nil for none
	Again     bool            // the address may still be held by this pooler's last process: it is asked for until it is free
}

// Loop is where the view lives.
type Loop interface {
	Now() float64
	At(ms float64, do func()) *timers.Timer
	Post(f func())
}

// Events is told what the view comes to, on the loop.
type Events interface {
	Fleet(c view.Counts)                              // whenever it differs from before
	Member(r view.Record, was view.State, isNew bool) // news of a process
	Allow(limit string, amount, burst float64)        // what this pooler may use of a limit from now on
}

// Bounds of what is done at a time for others.
const (
	waiting  = 256 // events that wait for the loop
	outgoing = 512 // datagrams that wait for the socket
	streams  = 8   // full exchanges of each side at a time
	streamMs = 1500
	againMs  = 50
	leaveMs  = 200 // that the last words may take
)

// Stats are counts since the start.
type Stats struct {
	In, Out          uint64 // datagrams
	Dropped          uint64 // what came without the key, or could not be read
	Overrun          uint64 // what came or went when too much waited
	Exchanges, Fails uint64 // full exchanges that this pooler began, and those of them that failed
}

// Peers is a pooler as one of a fleet.
type Peers struct {
	opt    Options
	loop   Loop
	log    *slog.Logger
	events Events
	view   *view.View
	counts view.Counts
	out    []view.Action
	local  netip.Addr

	quota *quota.Quota // nil where there is none
	lends view.ID      // whom the quota goes by
	acts  []quota.Action
	due   float64

	parts []module.Module

	checks *invariant.Checks // nil where nothing is checked
	every  int

	packet  *net.UDPConn
	listen  *net.TCPListener
	wg      sync.WaitGroup
	send    chan datagram
	written chan struct{} // closed once all that was to be sent has been

	posted   atomic.Int64
	asking   atomic.Int64
	in, sent atomic.Uint64
	dropped  atomic.Uint64
	overrun  atomic.Uint64
	traded   atomic.Uint64
	failed   atomic.Uint64
	ended    bool // on the loop: nothing is told to the view any more
}

// New makes a peer; Start begins it.
func New(l Loop, log *slog.Logger, opt Options, events Events) *Peers {
	if opt.Advertise == "" {
		opt.Advertise = opt.Listen
	}
	return &Peers{opt: opt, loop: l, log: log, events: events, send: make(chan datagram, outgoing), written: make(chan struct{})}
}

// Check has the invariants of the view and of the limits checked, from the beginning on.
func (p *Peers) Check(c *invariant.Checks, every int) { p.checks, p.every = c, every }

// Start opens the sockets and begins the view; it runs on the loop.
func (p *Peers) Start() error {
	at, err := netip.ParseAddrPort(p.opt.Listen)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	p.local = at.Addr()
	err = p.open()
	if err != nil && p.opt.Again {
		p.loop.At(p.loop.Now()+againMs, p.retry)
		return nil
	}
	if err == nil {
		p.begin()
	}
	return err
}

// retry asks for the address again.
func (p *Peers) retry() {
	if p.ended {
		return
	}
	if err := p.open(); err != nil {
		p.loop.At(p.loop.Now()+againMs, p.retry)
		return
	}
	p.begin()
}

func (p *Peers) open() error {
	addr, err := net.ResolveUDPAddr("udp", p.opt.Listen)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	packet, err := net.ListenUDP("udp", addr)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	listen, err := net.ListenTCP("tcp", &net.TCPAddr{IP: addr.IP, Port: addr.Port})
	if err != nil {
		return errors.Join(fmt.Errorf("peers: %w", err), packet.Close())
	}
	p.packet, p.listen = packet, listen
	return nil
}

func (p *Peers) begin() {
	me := p.opt.Record
	me.Addr = p.opt.Advertise
	p.view = view.New(p.opt.View, me, p.loop.Now())
	p.view.Check(p.checks, p.every)
	p.wg.Add(3)
	go p.reader()
	go p.writer()
	go p.accepter()
	p.tellParts()
	p.log.Info("peers", "listen", p.opt.Listen, "id", fmt.Sprintf("%x", uint64(me.ID)), "seeds", p.opt.View.Seeds)
	p.tick()
}

func (p *Peers) tick() {
	if p.ended {
		return
	}
	p.do(view.Tick{})
	p.share(quota.Tick{})
	for _, x := range p.parts {
		x.Tick()
	}
	p.loop.At(p.view.Next(), p.tick)
}

// do tells the view and carries out what it asks for.
func (p *Peers) do(e view.Event) {
	if p.ended || p.view == nil {
		return
	}
	p.out = p.view.Handle(p.loop.Now(), e, p.out[:0])
	news := p.view.Self().ID != p.lends
	for i := range p.out {
		a := &p.out[i]
		switch a.Kind {
		case view.Send:
			p.write(a.Addr, envelope{Message: *a.Message})
		case view.Trade:
			p.trade(a.Addr)
		case view.Changed:
			p.log.Info("fleet", "pooler", a.Record.Name, "id", fmt.Sprintf("%x", uint64(a.Record.ID)), "addr", a.Record.Addr, "state", a.Record.State.String(), "inc", a.Record.Inc)
			p.events.Member(a.Record, a.Was, a.New)
			news = true
		case view.Conflict:
			p.log.Error("fleet", "err", a.Text)
		}
	}
	clear(p.out)
	if c := p.view.Counts(); c != p.counts {
		p.counts, news = c, true
		p.events.Fleet(c)
	}
	if news {
		p.members()
		p.tellParts()
	}
}

// Drain tells the others that this pooler takes no more clients, or does again.
func (p *Peers) Drain(on bool) { p.do(view.Drain{On: on}) }

// Counts are the view's.
func (p *Peers) Counts() view.Counts { return p.counts }

// Members are all processes that are known; nil before the start.
func (p *Peers) Members() []view.Record {
	if p.view == nil {
		return nil
	}
	return p.view.Members()
}

// Name is what this process goes by; the settings' name, unless another has that.
func (p *Peers) Name() string {
	if p.view == nil {
		return p.opt.Record.Name
	}
	return p.view.Self().Name
}

// Stats are the counts so far.
func (p *Peers) Stats() Stats {
	return Stats{In: p.in.Load(), Out: p.sent.Load(), Dropped: p.dropped.Load(), Overrun: p.overrun.Load(), Exchanges: p.traded.Load(), Fails: p.failed.Load()}
}

// Leave tells the others that this process ends, and gives the address up; quietly where another of this pooler's processes goes
// on in its place. It runs on the loop, and nothing comes of the view afterwards.
func (p *Peers) Leave(quietly bool) {
	if p.ended {
		return
	}
	if !quietly {
		p.do(view.Leave{})
	}
	p.share(quota.Leave{})
	if p.view != nil {
		for _, x := range p.parts {
			x.Leave()
		}
	}
	p.ended = true
	if p.view == nil {
		return
	}
	close(p.send) // the writer sends what waits, then ends
	select {
	case <-p.written:
	case <-time.After(leaveMs * time.Millisecond):
	}
	_ = p.packet.Close()
	_ = p.listen.Close()
	p.wg.Wait()
}
