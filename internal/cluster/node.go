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
	Quota     *quota.Settings // that hold for the whole fleet, nil for none
	RetryBind bool            // the address may still be held by this pooler's last process: it is asked for until it is free
}

// Loop is where the view lives.
type Loop interface {
	Now() float64
	At(ms float64, do func()) *timers.Timer
	Post(f func())
}

// Events is told what the view comes to, on the loop.
type Events interface {
	CountsChanged(c view.Counts)                             // whenever it differs from before
	MemberChanged(r view.Record, was view.State, isNew bool) // news of a process
	AllowanceChanged(limit string, amount, burst float64)    // what this pooler may use of a limit from now on
}

// Bounds of what is done at a time for others.
const (
	maxPendingEvents     = 256 // events that wait for the loop
	maxQueuedDatagrams   = 512 // datagrams that wait for the socket
	maxConcurrentStreams = 8   // full exchanges of each side at a time
	streamTimeoutMs      = 1500
	retryPauseMs         = 50
	leaveTimeoutMs       = 200 // that the last words may take
)

// Stats are counts since the start.
type Stats struct {
	DatagramsIn, DatagramsOut  uint64 // datagrams
	Dropped                    uint64 // what came without the key, or could not be read
	Overflowed                 uint64 // what came or went when too much waited
	Exchanges, ExchangesFailed uint64 // full exchanges that this pooler began, and those of them that failed
}

// Node is a pooler as one of a fleet.
type Node struct {
	options     Options
	loop        Loop
	log         *slog.Logger
	events      Events
	view        *view.View
	counts      view.Counts
	viewActions []view.Action
	localIP     netip.Addr

	quota        *quota.Quota // nil where there is none
	quotaSelf    view.ID      // whom the quota goes by
	quotaActions []quota.Action
	quotaDue     float64

	modules []module.Module

	checks        *invariant.Checks // nil where nothing is checked
	checkInterval int

	udp        *net.UDPConn
	tcp        *net.TCPListener
	workers    sync.WaitGroup
	sendQueue  chan datagram
	writerDone chan struct{} // closed once all that was to be sent has been

	pendingEvents   atomic.Int64
	openExchanges   atomic.Int64
	received, sent  atomic.Uint64
	dropped         atomic.Uint64
	overflowed      atomic.Uint64
	exchanges       atomic.Uint64
	exchangesFailed atomic.Uint64
	stopped         bool // on the loop: nothing is told to the view any more
}

// New makes a peer; Start begins it.
func New(l Loop, log *slog.Logger, opt Options, events Events) *Node {
	if opt.Advertise == "" {
		opt.Advertise = opt.Listen
	}
	return &Node{options: opt, loop: l, log: log, events: events, sendQueue: make(chan datagram, maxQueuedDatagrams), writerDone: make(chan struct{})}
}

// CheckInvariants has the invariants of the view and of the limits checked, from the beginning on.
func (node *Node) CheckInvariants(c *invariant.Checks, every int) {
	node.checks, node.checkInterval = c, every
}

// Start opens the sockets and begins the view; it runs on the loop.
func (node *Node) Start() error {
	at, err := netip.ParseAddrPort(node.options.Listen)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	node.localIP = at.Addr()
	err = node.bind()
	if err != nil && node.options.RetryBind {
		node.loop.At(node.loop.Now()+retryPauseMs, node.retryBind)
		return nil
	}
	if err == nil {
		node.startView()
	}
	return err
}

// retryBind asks for the address again.
func (node *Node) retryBind() {
	if node.stopped {
		return
	}
	if err := node.bind(); err != nil {
		node.loop.At(node.loop.Now()+retryPauseMs, node.retryBind)
		return
	}
	node.startView()
}

func (node *Node) bind() error {
	addr, err := net.ResolveUDPAddr("udp", node.options.Listen)
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
	node.udp, node.tcp = packet, listen
	return nil
}

func (node *Node) startView() {
	me := node.options.Record
	me.Addr = node.options.Advertise
	node.view = view.New(node.options.View, me, node.loop.Now())
	node.view.CheckInvariants(node.checks, node.checkInterval)
	node.workers.Add(3)
	go node.readLoop()
	go node.writeLoop()
	go node.acceptLoop()
	node.updateModules()
	node.log.Info("peers", "listen", node.options.Listen, "id", fmt.Sprintf("%x", uint64(me.ID)), "seeds", node.options.View.SeedAddresses)
	node.tick()
}

func (node *Node) tick() {
	if node.stopped {
		return
	}
	node.handleView(view.Tick{})
	node.handleQuota(quota.Tick{})
	for _, mod := range node.modules {
		mod.Tick()
	}
	node.loop.At(node.view.NextTick(), node.tick)
}

// handleView tells the view and carries out what it asks for.
func (node *Node) handleView(e view.Event) {
	if node.stopped || node.view == nil {
		return
	}
	node.viewActions = node.view.Handle(node.loop.Now(), e, node.viewActions[:0])
	news := node.view.Self().ID != node.quotaSelf
	for i := range node.viewActions {
		a := &node.viewActions[i]
		switch a.Kind {
		case view.Send:
			node.enqueueDatagram(a.Addr, envelope{Message: *a.Message})
		case view.StartExchange:
			node.startExchange(a.Addr)
		case view.RecordChanged:
			node.log.Info("fleet", "pooler", a.Record.Name, "id", fmt.Sprintf("%x", uint64(a.Record.ID)), "addr", a.Record.Addr, "state", a.Record.State.String(), "inc", a.Record.Incarnation)
			node.events.MemberChanged(a.Record, a.Previous, a.IsNew)
			news = true
		case view.NameConflict:
			node.log.Error("fleet", "err", a.Text)
		}
	}
	clear(node.viewActions)
	if c := node.view.Counts(); c != node.counts {
		node.counts, news = c, true
		node.events.CountsChanged(c)
	}
	if news {
		node.updateQuotaMembers()
		node.updateModules()
	}
}

// Drain tells the others that this pooler takes no more clients, or does again.
func (node *Node) Drain(on bool) { node.handleView(view.SetDraining{Draining: on}) }

// Counts are the view's.
func (node *Node) Counts() view.Counts { return node.counts }

// Members are all processes that are known; nil before the start.
func (node *Node) Members() []view.Record {
	if node.view == nil {
		return nil
	}
	return node.view.Members()
}

// Name is what this process goes by; the settings' name, unless another has that.
func (node *Node) Name() string {
	if node.view == nil {
		return node.options.Record.Name
	}
	return node.view.Self().Name
}

// Stats are the counts so far.
func (node *Node) Stats() Stats {
	return Stats{DatagramsIn: node.received.Load(), DatagramsOut: node.sent.Load(), Dropped: node.dropped.Load(), Overflowed: node.overflowed.Load(), Exchanges: node.exchanges.Load(), ExchangesFailed: node.exchangesFailed.Load()}
}

// Leave tells the others that this process ends, and gives the address up; quietly where another of this pooler's processes goes
// on in its place. It runs on the loop, and nothing comes of the view afterwards.
func (node *Node) Leave(quietly bool) {
	if node.stopped {
		return
	}
	if !quietly {
		node.handleView(view.Leave{})
	}
	node.handleQuota(quota.Leave{})
	if node.view != nil {
		for _, mod := range node.modules {
			mod.Leave()
		}
	}
	node.stopped = true
	if node.view == nil {
		return
	}
	close(node.sendQueue) // the writer sends what waits, then ends
	select {
	case <-node.writerDone:
	case <-time.After(leaveTimeoutMs * time.Millisecond):
	}
	_ = node.udp.Close()
	_ = node.tcp.Close()
	node.workers.Wait()
}
