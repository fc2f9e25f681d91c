package credit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/lessor"
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/invariant"
)

// fleet is the poolers of a test in virtual time, with a log that takes logMs for an entry and loses none, and requests that take serveMs.
type fleet struct {
	t           *testing.T
	now         float64
	rng         *rand.Rand
	events      eventQueue
	n           int
	nodes       []*node
	log         [][]byte
	leader      int
	lossRate    float64
	partitioned func(a, b int) bool
	cutFromLog  func(a int) bool

	entries, bytes, messages, messageBytes int
	served, rejected, queued, requests     int
	charged                                int64
	ample                                  int64 // while less is charged, the funds are not short
	queuedEarly                            int   // queued while the funds were not short
	chargedAtFirstRejection                int64 // -1 before one
	admittedAt                             []float64
}

type node struct {
	fleet          *fleet
	number         int
	credit         *Credit
	applied        int
	queued         map[uint64]bool
	dead           bool
	suspendedUntil float64
}

type scheduledEvent struct {
	at float64
	no int
	do func()
}
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].no < q[k].no
}
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// How long things take, in ms; a link takes up to 1 ms more.
const (
	linkMs  = 1
	diskMs  = 2
	logMs   = 4
	serveMs = 20
	tickMs  = 50
)

func (f *fleet) at(ms float64, do func()) {
	f.n++
	heap.Push(&f.events, scheduledEvent{f.now + ms, f.n, do})
}

func (f *fleet) run(until float64) {
	for len(f.events) > 0 && f.events[0].at <= until {
		x := heap.Pop(&f.events).(scheduledEvent)
		f.now = x.at
		x.do()
	}
	f.now = until
}

func (n *node) Now() float64 { return n.fleet.now }
func (n *node) Send(addr string, to view.ID, _ view.Kind, w module.Message) {
	f := n.fleet
	b := w.Append(nil)
	if len(b) > module.MaxBodyBytes {
		f.t.Errorf("a datagram of %d bytes", len(b))
	}
	f.messages++
	f.messageBytes += len(b)
	y := f.nodes[int(to)-1]
	if f.lossRate > 0 && f.rng.Float64() < f.lossRate || f.partitioned != nil && f.partitioned(n.number, y.number) {
		return
	}
	f.at(linkMs+f.rng.Float64(), func() {
		m, err := DecodeMessage(b)
		if err != nil {
			f.t.Fatal(err)
		}
		if !y.dead {
			y.credit.Receive(view.ID(n.number+1), m)
		}
	})
}
func (n *node) SendStream(string, view.ID, view.Kind, module.Message, func(bool)) {}
func (n *node) Propose(entry []byte) {
	f := n.fleet
	if f.cutFromLog != nil && f.cutFromLog(n.number) || n.number != f.leader {
		return
	}
	f.entries++
	f.bytes += len(entry)
	f.at(logMs, func() {
		f.log = append(f.log, entry)
		for _, y := range f.nodes {
			f.at(f.rng.Float64(), y.catchUp)
		}
	})
}

func (n *node) catchUp() {
	for n.credit.ledger != nil && !n.dead && n.applied < len(n.fleet.log) && (n.fleet.cutFromLog == nil || !n.fleet.cutFromLog(n.number)) {
		n.applied++
		n.credit.Apply(uint64(n.applied), n.fleet.log[n.applied-1])
	}
}

func (n *node) Admit(tag uint64, h lease.Reservation) {
	delete(n.queued, tag)
	n.fleet.serve(n, h)
}

func (n *node) Reject(tag uint64) {
	delete(n.queued, tag)
	n.fleet.reject()
}

func (f *fleet) reject() {
	if f.rejected++; f.chargedAtFirstRejection < 0 {
		f.chargedAtFirstRejection = f.charged
	}
}

func (f *fleet) serve(n *node, h lease.Reservation) {
	f.served++
	f.admittedAt[n.number] = f.now
	f.charged += h.Amount
	f.at(serveMs, func() { n.credit.Settle(&h, lease.Usage{Served: 1}) })
}

// request sends a client's request to a pooler.
func (f *fleet) request(n *node, tenant string, class int) {
	f.requests++
	tag := uint64(f.requests)
	reservation, decision := n.credit.Reserve(lease.AdmissionRequest{Tenant: tenant, Class: class, Session: tag, Parts: 1, Tag: tag})
	switch decision {
	case lease.Admitted:
		f.serve(n, reservation)
	case lease.Queued:
		if f.queued++; f.chargedAtFirstRejection < 0 && f.charged < f.ample {
			f.queuedEarly++
		}
		n.queued[tag] = true
	default:
		f.reject()
	}
}

// newFleet starts poolers, the first three of which vote.
func newFleet(t *testing.T, poolers int, change func(s *Settings)) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(uint64(poolers), 7)), chargedAtFirstRejection: -1, admittedAt: make([]float64, poolers)}
	var all []view.Record
	for i := range poolers {
		all = append(all, view.Record{ID: view.ID(i + 1), Name: fmt.Sprintf("p%d", i), Addr: fmt.Sprint(i)})
	}
	for i := range poolers {
		s := Settings{
			Lease: lease.Defaults(), Lessor: lessor.Defaults(),
			Voters: []string{"p0", "p1", "p2"}, Name: all[i].Name, Holder: ledger.Holder(1000 + i),
		}
		s.Lease.Classes = []lease.Class{{Price: lease.Price{PerRequest: 1}, PriorityWeight: 1}}
		s.Lease.PrepaidTenants = []string{"t"}
		s.Lease.Checks = invariant.Test(t)
		s.Lessor.ExpiryDelay = s.Lease.ExpiryDelay()
		if change != nil {
			change(&s)
		}
		n := &node{fleet: f, number: i, queued: map[uint64]bool{}}
		f.nodes = append(f.nodes, n)
		n.credit = New(s, n, n, nil, n)
		n.credit.UpdateMembers(all[i].ID, all, view.Counts{})
		var tick func()
		tick = func() {
			if !n.dead {
				n.credit.Tick()
			}
			f.at(tickMs, tick)
		}
		f.at(f.rng.Float64()*tickMs, tick)
	}
	f.lead(0)
	return f
}

func (f *fleet) lead(i int) {
	f.leader = i
	for _, n := range f.nodes[:3] {
		n.credit.SetLeader(fmt.Sprintf("p%d", i))
	}
}

// load sends so many requests a second in all, spread over the poolers by weight, until a time.
func (f *fleet) load(rate, until float64, weight func(i int) float64, alive func(i int) bool) {
	sum := 0.0
	for i := range f.nodes {
		sum += weight(i)
	}
	for i, n := range f.nodes {
		r := rate * weight(i) / sum
		var next func()
		next = func() {
			if f.now > until {
				return
			}
			if !n.dead && (alive == nil || alive(i)) {
				f.request(n, "t", 0)
			}
			f.at(f.rng.ExpFloat64()*1000/r, next)
		}
		f.at(f.rng.ExpFloat64()*1000/r, next)
	}
}

func even(int) float64     { return 1 }
func byRank(i int) float64 { return 1 / float64(1+i) }

func pay(list ...lessor.Payment) func(s *Settings) { return func(s *Settings) { s.Payments = list } }

// check verifies the ledgers, and that no more was charged than was paid.
func (f *fleet) check(paid int64) {
	f.t.Helper()
	if f.charged > paid {
		f.t.Errorf("%d are charged, of %d paid", f.charged, paid)
	}
	for _, n := range f.nodes[:3] {
		if err := n.credit.Ledger().Check(); err != nil {
			f.t.Error(err)
		}
	}
}

// disk is a process's credit.Files. files are those of all processes.
type disk struct {
	fleet     *fleet
	holder    ledger.Holder
	persisted func(write uint64)
	files     map[ledger.Holder][]lease.HighWaterMark
}

func (d *disk) Write(write uint64, marks []lease.HighWaterMark) {
	d.fleet.at(diskMs, func() {
		d.files[d.holder] = marks
		d.persisted(write)
	})
}

func (d *disk) Read(holder ledger.Holder, done func([]lease.HighWaterMark)) {
	d.fleet.at(diskMs, func() { done(d.files[holder]) })
}

func (d *disk) Erase(holder ledger.Holder) { delete(d.files, holder) }
