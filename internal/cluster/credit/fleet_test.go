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

// fleet runs the poolers of a test in virtual time. Its log takes logMs to commit an entry and loses none, and a request takes serveMs.
type fleet struct {
	t           *testing.T
	now         float64
	rng         *rand.Rand
	events      eventQueue
	scheduled   int // number of events scheduled so far
	nodes       []*node
	log         [][]byte
	leader      int
	lossRate    float64
	partitioned func(a, b int) bool
	cutFromLog  func(a int) bool

	entries, entryBytes, messages, messageBytes int
	served, rejected, queued, requests          int
	charged                                     int64
	shortageThreshold                           int64     // the funds count as short once this amount is charged
	queuedEarly                                 int       // requests queued before the funds were short
	chargedAtFirstRejection                     int64     // -1 before the first rejection
	admittedAt                                  []float64 // time of the last admission at each pooler, 0 before the first
}

// node is one pooler. It implements the transport, the log and the events of its Credit.
type node struct {
	fleet          *fleet
	number         int
	credit         *Credit
	applied        int
	queued         map[uint64]bool
	crashed        bool
	suspendedUntil float64
}

type scheduledEvent struct {
	at     float64
	number int // orders events of the same time
	run    func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].number < q[k].number
}
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Durations in ms. A link takes up to 1 ms longer.
const (
	linkMs  = 1
	diskMs  = 2
	logMs   = 4
	serveMs = 20
	tickMs  = 50
)

// at schedules a function to run after a delay.
func (f *fleet) at(delayMs float64, run func()) {
	f.scheduled++
	heap.Push(&f.events, scheduledEvent{f.now + delayMs, f.scheduled, run})
}

// run runs the scheduled events until a time.
func (f *fleet) run(until float64) {
	for len(f.events) > 0 && f.events[0].at <= until {
		event := heap.Pop(&f.events).(scheduledEvent)
		f.now = event.at
		event.run()
	}
	f.now = until
}

func (n *node) Now() float64 { return n.fleet.now }
func (n *node) Send(addr string, to view.ID, _ view.Kind, message module.Message) {
	f := n.fleet
	b := message.Append(nil)
	if len(b) > module.MaxBodyBytes {
		f.t.Errorf("datagram of %d bytes, at most %d fit", len(b), module.MaxBodyBytes)
	}
	f.messages++
	f.messageBytes += len(b)
	receiver := f.nodes[int(to)-1]
	if f.lossRate > 0 && f.rng.Float64() < f.lossRate || f.partitioned != nil && f.partitioned(n.number, receiver.number) {
		return
	}
	f.at(linkMs+f.rng.Float64(), func() {
		m, err := DecodeMessage(b)
		if err != nil {
			f.t.Fatalf("decoding of a message from pooler %d to pooler %d: %v", n.number, receiver.number, err)
		}
		if !receiver.crashed {
			receiver.credit.Receive(view.ID(n.number+1), m)
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
	f.entryBytes += len(entry)
	f.at(logMs, func() {
		f.log = append(f.log, entry)
		for _, voter := range f.nodes {
			f.at(f.rng.Float64(), voter.applyLog)
		}
	})
}

// applyLog applies the entries of the log that a voter has not applied yet.
func (n *node) applyLog() {
	for n.credit.ledger != nil && !n.crashed && n.applied < len(n.fleet.log) && (n.fleet.cutFromLog == nil || !n.fleet.cutFromLog(n.number)) {
		n.applied++
		n.credit.Apply(uint64(n.applied), n.fleet.log[n.applied-1])
	}
}

func (n *node) Admit(tag uint64, reservation lease.Reservation) {
	delete(n.queued, tag)
	n.fleet.serve(n, reservation)
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

func (f *fleet) serve(n *node, reservation lease.Reservation) {
	f.served++
	f.admittedAt[n.number] = f.now
	f.charged += reservation.Amount
	f.at(serveMs, func() { n.credit.Settle(&reservation, lease.Usage{Served: 1}) })
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
		if f.queued++; f.chargedAtFirstRejection < 0 && f.charged < f.shortageThreshold {
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
		settings := Settings{
			Lease: lease.Defaults(), Lessor: lessor.Defaults(),
			Voters: []string{"p0", "p1", "p2"}, Name: all[i].Name, Holder: ledger.Holder(1000 + i),
		}
		settings.Lease.Classes = []lease.Class{{Price: lease.Price{PerRequest: 1}, PriorityWeight: 1}}
		settings.Lease.PrepaidTenants = []string{"t"}
		settings.Lease.Checks = invariant.Test(t)
		settings.Lessor.ExpiryDelay = settings.Lease.ExpiryDelay()
		if change != nil {
			change(&settings)
		}
		n := &node{fleet: f, number: i, queued: map[uint64]bool{}}
		f.nodes = append(f.nodes, n)
		n.credit = New(settings, n, n, nil, n)
		n.credit.UpdateMembers(all[i].ID, all, view.Counts{})
		var tick func()
		tick = func() {
			if !n.crashed {
				n.credit.Tick()
			}
			f.at(tickMs, tick)
		}
		f.at(f.rng.Float64()*tickMs, tick)
	}
	f.setLeader(0)
	return f
}

// setLeader makes a voter the leader of the log.
func (f *fleet) setLeader(i int) {
	f.leader = i
	for _, n := range f.nodes[:3] {
		n.credit.SetLeader(fmt.Sprintf("p%d", i))
	}
}

// load sends requests at a total rate per second, distributed over the poolers by weight, until a time.
func (f *fleet) load(rate, until float64, weight func(i int) float64, alive func(i int) bool) {
	sum := 0.0
	for i := range f.nodes {
		sum += weight(i)
	}
	for i, n := range f.nodes {
		poolerRate := rate * weight(i) / sum
		var next func()
		next = func() {
			if f.now > until {
				return
			}
			if !n.crashed && (alive == nil || alive(i)) {
				f.request(n, "t", 0)
			}
			f.at(f.rng.ExpFloat64()*1000/poolerRate, next)
		}
		f.at(f.rng.ExpFloat64()*1000/poolerRate, next)
	}
}

func evenWeight(int) float64     { return 1 }
func weightByRank(i int) float64 { return 1 / float64(1+i) }

func withPayments(list ...lessor.Payment) func(s *Settings) {
	return func(s *Settings) { s.Payments = list }
}

// check verifies the voters' ledgers, and that at most the paid amount was charged.
func (f *fleet) check(paid int64) {
	f.t.Helper()
	if f.charged > paid {
		f.t.Errorf("charged %d, which is more than the %d paid", f.charged, paid)
	}
	for _, n := range f.nodes[:3] {
		if err := n.credit.Ledger().Check(); err != nil {
			f.t.Errorf("ledger of pooler %d: %v", n.number, err)
		}
	}
}

// markFiles implements Files for one process. files contains the marks of all processes.
type markFiles struct {
	fleet     *fleet
	holder    ledger.Holder
	persisted func(write uint64)
	files     map[ledger.Holder][]lease.HighWaterMark
}

func (d *markFiles) Write(write uint64, marks []lease.HighWaterMark) {
	d.fleet.at(diskMs, func() {
		d.files[d.holder] = marks
		d.persisted(write)
	})
}

func (d *markFiles) Read(holder ledger.Holder, done func([]lease.HighWaterMark)) {
	d.fleet.at(diskMs, func() { done(d.files[holder]) })
}

func (d *markFiles) Erase(holder ledger.Holder) { delete(d.files, holder) }
