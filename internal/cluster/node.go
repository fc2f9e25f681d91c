// Package cluster runs a pooler as a member of the cluster: it connects the membership view (package view), the fleet-wide limits
// (package quota) and the modules (package module) to sockets. Small messages are sent in datagrams, full exchanges and large messages
// over streams, both on one address. Goroutines read, write, authenticate and encode messages, and post received messages to the event
// loop; the state machines run on the loop only. Queues that other processes can fill are bounded: messages beyond a bound are dropped
// and counted. A node that receives nothing keeps running; each state machine documents what it does in that case.
//
// Without (peers ...) in the operators' settings there is no Node, no socket and no goroutine.
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
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/invariant"
)

// Options configure a Node.
type Options struct {
	Listen    string // host:port, both numeric
	Advertise string // the address by which other processes reach this one; Listen if empty
	Key       Key
	Record    view.Record // the record of this process; Addr is set from Advertise
	View      view.Settings
	Quota     *quota.Settings // fleet-wide limits; nil for none
	RetryBind bool            // the pooler's previous process may still use the address: retry until it is free
}

// Loop is the event loop that the state machines run on. Post may be called from any goroutine, the other methods on the loop.
type Loop interface {
	Now() float64
	At(ms float64, do func()) *timers.Timer
	Post(f func())
	Job(name string, intervalMs float64, run func()) *eventloop.Job
}

// Events receives what the state machines decide, on the event loop.
type Events interface {
	// CountsChanged reports counts that differ from the previous ones.
	CountsChanged(c view.Counts)
	// MemberChanged reports a process that is new, or whose record changed. previous is the state before the change.
	MemberChanged(r view.Record, previous view.State, isNew bool)
	// AllowanceChanged reports the rate and burst that this pooler may use of a limit from now on.
	AllowanceChanged(limit string, amount, burst float64)
}

const (
	maxPendingEvents     = 256 // functions posted to the loop that have not run yet
	maxQueuedDatagrams   = 512 // datagrams that wait for the socket
	maxConcurrentStreams = 8   // streams opened by this process, and as many accepted ones
	streamTimeoutMs      = 1500
	retryPauseMs         = 50
	gossipMs             = 10  // the usual time between ticks, in which little is due
	leaveTimeoutMs       = 200 // for sending the queued datagrams
)

// Stats are counters since the start.
type Stats struct {
	DatagramsIn, DatagramsOut  uint64
	Dropped                    uint64 // received messages that are not authentic or malformed, and sends to malformed addresses
	Overflowed                 uint64 // messages dropped because a queue was full
	Exchanges, ExchangesFailed uint64 // full exchanges that this process started, and how many of them failed
}

// Node is this process as a member of the cluster. Its methods must be called on the event loop.
type Node struct {
	options     Options
	loop        Loop
	ticks       *eventloop.Job
	log         *slog.Logger
	events      Events
	view        *view.View
	counts      view.Counts
	viewActions []view.Action
	localIP     netip.Addr

	quota        *quota.Quota // nil if there are no limits
	quotaSelf    view.ID      // the ID of this process in quota
	quotaActions []quota.Action
	quotaDue     float64

	modules []module.Module

	checks        *invariant.Checks // nil if invariants are not checked
	checkInterval int

	udp        *net.UDPConn
	tcp        *net.TCPListener
	workers    sync.WaitGroup
	sendQueue  chan datagram
	writerDone chan struct{} // closed once all queued datagrams were sent

	pendingEvents   atomic.Int64
	openExchanges   atomic.Int64
	received, sent  atomic.Uint64
	dropped         atomic.Uint64
	overflowed      atomic.Uint64
	exchanges       atomic.Uint64
	exchangesFailed atomic.Uint64
	stopped         bool // accessed on the loop only
}

// New returns a Node that is not started yet.
func New(loop Loop, log *slog.Logger, options Options, events Events) *Node {
	if options.Advertise == "" {
		options.Advertise = options.Listen
	}
	return &Node{
		options: options, loop: loop, log: log, events: events,
		sendQueue: make(chan datagram, maxQueuedDatagrams), writerDone: make(chan struct{}),
	}
}

// CheckInvariants enables the checks of the view's and the quota's invariants, once in interval events. It is called before Start.
func (node *Node) CheckInvariants(checks *invariant.Checks, interval int) {
	node.checks, node.checkInterval = checks, interval
}

// Start opens the sockets and starts the view. With Options.RetryBind it returns nil if the sockets cannot be opened, and keeps trying.
func (node *Node) Start() error {
	listenAddr, err := netip.ParseAddrPort(node.options.Listen)
	if err != nil {
		return fmt.Errorf("cluster: listen on %s: %w", node.options.Listen, err)
	}
	node.localIP = listenAddr.Addr()
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

// retryBind tries to open the sockets again.
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
		return fmt.Errorf("cluster: listen on %s: %w", node.options.Listen, err)
	}
	udp, err := net.ListenUDP("udp", addr)
	if err != nil {
		return fmt.Errorf("cluster: listen on %s: %w", node.options.Listen, err)
	}
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: addr.IP, Port: addr.Port})
	if err != nil {
		return errors.Join(fmt.Errorf("cluster: listen on %s: %w", node.options.Listen, err), udp.Close())
	}
	node.udp, node.tcp = udp, tcp
	return nil
}

func (node *Node) startView() {
	self := node.options.Record
	self.Addr = node.options.Advertise
	node.view = view.New(node.options.View, self, node.loop.Now())
	node.view.CheckInvariants(node.checks, node.checkInterval)
	for _, run := range []func(){node.readLoop, node.writeLoop, node.acceptLoop} {
		node.workers.Add(1)
		go run()
	}
	node.updateModules()
	node.log.Info("cluster: listening", "listen", node.options.Listen, "id", hexID(self.ID), "seeds", node.options.View.SeedAddresses)
	node.ticks = node.loop.Job("gossip", gossipMs, node.tick)
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
	node.ticks.ScheduleIn(node.view.NextTick() - node.loop.Now())
}

// handleView passes an event to the view and carries out the resulting actions.
func (node *Node) handleView(event view.Event) {
	if node.stopped || node.view == nil {
		return
	}
	node.viewActions = node.view.Handle(node.loop.Now(), event, node.viewActions[:0])
	membersChanged := node.view.Self().ID != node.quotaSelf
	for i := range node.viewActions {
		if node.applyViewAction(&node.viewActions[i]) {
			membersChanged = true
		}
	}
	clear(node.viewActions)
	if counts := node.view.Counts(); counts != node.counts {
		node.counts = counts
		membersChanged = true
		node.events.CountsChanged(counts)
	}
	if membersChanged {
		node.updateQuotaMembers()
		node.updateModules()
	}
}

// applyViewAction carries out an action of the view, and reports whether a member changed.
func (node *Node) applyViewAction(action *view.Action) (memberChanged bool) {
	switch action.Kind {
	case view.Send:
		node.enqueueDatagram(action.Addr, envelope{Message: *action.Message})
	case view.StartExchange:
		node.startExchange(action.Addr)
	case view.RecordChanged:
		record := &action.Record
		node.log.Info("cluster: member changed", "pooler", record.Name, "id", hexID(record.ID), "addr", record.Addr,
			"state", record.State.String(), "incarnation", record.Incarnation)
		node.events.MemberChanged(*record, action.Previous, action.IsNew)
		return true
	case view.NameConflict:
		node.log.Error("cluster: two processes use one name or address", "err", action.Text)
	}
	return false
}

func hexID(id view.ID) string { return fmt.Sprintf("%x", uint64(id)) }

// Drain announces whether this pooler is draining, that is, accepts no new clients.
func (node *Node) Drain(draining bool) { node.handleView(view.SetDraining{Draining: draining}) }

// Counts returns the view's counts.
func (node *Node) Counts() view.Counts { return node.counts }

// Members returns the records of all known processes; nil before the view is started.
func (node *Node) Members() []view.Record {
	if node.view == nil {
		return nil
	}
	return node.view.Members()
}

// Name returns the name that this process uses: the configured one, unless another process uses that.
func (node *Node) Name() string {
	if node.view == nil {
		return node.options.Record.Name
	}
	return node.view.Self().Name
}

// Stats returns the counters.
func (node *Node) Stats() Stats {
	return Stats{DatagramsIn: node.received.Load(), DatagramsOut: node.sent.Load(), Dropped: node.dropped.Load(), Overflowed: node.overflowed.Load(), Exchanges: node.exchanges.Load(), ExchangesFailed: node.exchangesFailed.Load()}
}

// Leave announces that this process ends, unless quietly is set, for a process that is replaced by another process of the same pooler.
// It stops the state machines, sends the queued datagrams for at most leaveTimeoutMs, closes the sockets and waits for the goroutines.
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
	close(node.sendQueue) // writeLoop sends the queued datagrams, then ends
	select {
	case <-node.writerDone:
	case <-time.After(leaveTimeoutMs * time.Millisecond):
	}
	_ = node.udp.Close()
	_ = node.tcp.Close()
	node.workers.Wait()
}
