package lease

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
)

const (
	maxUnanswered   = 16   // asks about an account whose answers still carry its end on
	rateWindowMs    = 1000 // memory of what is spent
	excessFactor    = 3    // times what is wanted, that is given back unasked
	markStepDivisor = 4    // of what is free, that a mark goes up by
)

// Manager is one process's side of credit.
type Manager struct {
	settings       Settings
	self           ledger.Holder
	now            float64
	lastGeneration uint32
	prepaid        map[string]bool
	classesByValue []int // classes, the most worth for their price first
	tenants        map[string]*tenantState
	active         []*tenantState // those with anything here, in the order that they came in
	claims         []settlementClaim
	actions        []Action
	lastWrite      uint64
	closing        bool
}

type settlementClaim struct {
	HighWaterMark
	nextRequestAt float64
	marksRead     bool // of a process: its file was read after all ends
}

type tenantState struct {
	name               string
	classRates         []rateMeter    // what was asked for, by class
	leases             []*tenantLease // by depth
	available          int64
	availableAtPayment int64
	availableKnown     bool
	queue              []queuedRequest
	exhaustedUntil     float64 // until then nothing is to be had
}

type queuedRequest struct {
	tag      uint64
	class    int
	parts    int
	session  uint64
	deadline float64
}

// tenantLease is what is here of a tenant's funds, to one depth.
type tenantLease struct {
	overdraft   int64
	current     account
	expired     []account // whose end is past, and that are not closed
	rate        rateMeter
	lastUsedAt  float64 // when something was let in last
	requestedAt float64
	reportSoon  bool
}

type account struct {
	generation, sequence               uint32
	granted, returned, spent, reserved int64
	expiresAt                          float64
	unanswered                         []sentRequest
	nextRequestAt                      float64
	persistedMark, pendingMark         int64
	pendingWrite                       uint64
}

type sentRequest struct {
	sequence uint32
	sentAt   float64
}

func (a *account) free() int64 { return a.granted - a.returned - a.spent - a.reserved }

// rateMeter is how much of something there is a second, lately.
type rateMeter struct{ amount, updatedAt float64 }

func (f *rateMeter) add(now, n float64) {
	f.amount = f.amount*math.Exp(-max(0, now-f.updatedAt)/rateWindowMs) + n
	f.updatedAt = max(f.updatedAt, now)
}

func (f *rateMeter) perSecond(now float64) float64 {
	return f.amount * math.Exp(-max(0, now-f.updatedAt)/rateWindowMs) * 1000 / rateWindowMs
}

// New makes a process's purse.
func New(set Settings, self ledger.Holder, now float64) *Manager {
	p := &Manager{self: self, now: now, tenants: map[string]*tenantState{}}
	p.applySettings(set)
	return p
}

func (p *Manager) applySettings(set Settings) {
	p.settings = set
	p.prepaid = map[string]bool{}
	for _, n := range set.PrepaidTenants {
		p.prepaid[n] = true
	}
	p.classesByValue = p.classesByValue[:0]
	for i := range set.Classes {
		p.classesByValue = append(p.classesByValue, i)
	}
	value := func(i int) float64 {
		return set.Classes[i].PriorityWeight / float64(max(1, set.Classes[i].reservation(1)))
	}
	slices.SortStableFunc(p.classesByValue, func(a, b int) int {
		switch x, y := value(a), value(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	for _, tenant := range p.active {
		p.rejectQueued(tenant, func(request *queuedRequest) bool { return request.class >= len(set.Classes) })
		tenant.classRates = tenant.classRates[:min(len(tenant.classRates), len(set.Classes))]
		for len(tenant.classRates) < len(set.Classes) {
			tenant.classRates = append(tenant.classRates, rateMeter{})
		}
	}
}

// Next is when it wants a Tick.
func (p *Manager) Next() float64 { return p.now + p.settings.TickInterval }

// Handle takes one event and appends what is to be done.
func (p *Manager) Handle(now float64, e Event, out []Action) []Action {
	p.actions = out
	p.advanceTo(now)
	switch e := e.(type) {
	case Tick:
		p.tick()
	case ResponsesReceived:
		for i := range e.Responses {
			p.handleResponse(&e.Responses[i])
		}
		p.sendRequests()
	case SettingsChanged:
		p.applySettings(e.Settings)
	case MarksPersisted:
		p.marksPersisted(e.Write)
	case Recover:
		for _, h := range e.Holders {
			p.claims = append(p.claims, settlementClaim{HighWaterMark: HighWaterMark{Key: ledger.Key{Holder: h, Generation: math.MaxUint32}}})
		}
	case MarksRead:
		p.marksRead(&e)
	case Shutdown:
		p.shutDown()
	}
	p.checkInvariants()
	return p.actions
}

// advanceTo goes on; what is over is so before anything else.
func (p *Manager) advanceTo(now float64) {
	p.now = max(p.now, now)
	for _, tenant := range p.active {
		for _, lease := range tenant.leases {
			p.expireIfDue(lease)
		}
	}
}

func (p *Manager) expireIfDue(lease *tenantLease) {
	if lease.current.generation > 0 && lease.current.expiresAt > 0 && p.now >= lease.current.expiresAt {
		lease.expireCurrent()
	}
}

func (lease *tenantLease) expireCurrent() {
	lease.current.nextRequestAt = 0
	lease.expired = append(lease.expired, lease.current)
	lease.current, lease.requestedAt = account{}, 0
}

// overdrafts are those that a class may draw on.
func (p *Manager) overdrafts(class int) [2]int64 {
	return [2]int64{0, p.settings.Classes[class].Overdraft}
}

func (p *Manager) tenantFor(name string) *tenantState {
	tenant := p.tenants[name]
	if tenant == nil {
		tenant = &tenantState{name: name, classRates: make([]rateMeter, len(p.settings.Classes))}
		p.tenants[name] = tenant
		p.active = append(p.active, tenant)
	}
	return tenant
}

func (tenant *tenantState) lease(overdraft int64) *tenantLease {
	for _, lease := range tenant.leases {
		if lease.overdraft == overdraft {
			return lease
		}
	}
	lease := &tenantLease{overdraft: overdraft}
	tenant.leases = append(tenant.leases, lease)
	return lease
}

// Reserve asks to let a request in, which has so many parts. One that waits is known by its tag.
func (p *Manager) Reserve(now float64, name string, class int, session uint64, parts int, tag uint64) (Reservation, Decision) {
	if !p.prepaid[name] {
		return Reservation{}, Admitted
	}
	p.now = max(p.now, now)
	c := &p.settings.Classes[class]
	price := c.reservation(parts)
	if price == 0 {
		return Reservation{}, Admitted
	}
	if p.closing {
		return Reservation{}, Exhausted
	}
	tenant := p.tenantFor(name)
	tenant.classRates[class].add(p.now, float64(price))
	if c.Overdraft == 0 && !p.withinThrottle(tenant, class, session) {
		return Reservation{}, Throttled
	}
	if !slices.ContainsFunc(tenant.queue, func(request queuedRequest) bool { return request.class == class }) {
		if h, ok := p.reserve(tenant, class, price); ok {
			return h, Admitted
		}
	}
	if p.now < tenant.exhaustedUntil || p.settings.QueueTimeout == 0 || len(tenant.queue) >= MaxQueued {
		tenant.lease(0)
		return Reservation{}, Exhausted
	}
	tenant.queue = append(tenant.queue, queuedRequest{tag, class, parts, session, p.now + p.settings.QueueTimeout})
	return Reservation{}, Queued
}

// reserve holds a price of what is here.
func (p *Manager) reserve(tenant *tenantState, class int, price int64) (Reservation, bool) {
	for i, overdraft := range p.overdrafts(class) {
		if i > 0 && overdraft == 0 {
			break
		}
		lease := tenant.lease(overdraft)
		p.expireIfDue(lease)
		a := &lease.current
		if a.free() < price || p.settings.PersistMarks && a.spent+a.reserved+price > a.persistedMark {
			continue
		}
		a.reserved += price
		lease.rate.add(p.now, float64(price))
		lease.lastUsedAt = p.now
		return Reservation{Tenant: tenant.name, Overdraft: overdraft, Generation: a.generation, Amount: price, Price: p.settings.Classes[class].Price}, true
	}
	return Reservation{}, false
}

// withinThrottle tells whether a tenant that runs low may spend on a request: of what it asks for the most worth for its price comes first, and in
// the class that may be let in by half it goes by the session.
func (p *Manager) withinThrottle(tenant *tenantState, class int, session uint64) bool {
	if p.settings.ThrottleBelow == 0 || !tenant.availableKnown || float64(tenant.available) >= p.settings.ThrottleBelow*float64(tenant.availableAtPayment) {
		return true
	}
	part := max(p.settings.MinThrottledShare, float64(tenant.available)/(p.settings.ThrottleBelow*float64(tenant.availableAtPayment)))
	all, before := 0.0, 0.0
	for i := range tenant.classRates {
		all += tenant.classRates[i].perSecond(p.now)
	}
	for _, i := range p.classesByValue {
		n := tenant.classRates[i].perSecond(p.now)
		if i != class {
			before += n
			continue
		}
		if n <= 0 {
			return before < part*all
		}
		const fine = 1 << 20
		return float64(session%fine)/fine < (part*all-before)/n
	}
	return true
}

// SessionNumber is a session's number for Hold.
func SessionNumber(name string) uint64 { return xxhash.Sum64String(name) }

// Settle ends what is held for a request, and tells what it cost.
func (p *Manager) Settle(h *Reservation, d Usage) int64 {
	if h.Amount == 0 {
		return 0
	}
	a := p.findAccount(ledger.Key{Tenant: h.Tenant, Overdraft: h.Overdraft, Generation: h.Generation})
	if a == nil {
		return 0
	}
	n := h.Charge(d)
	a.reserved -= h.Amount
	a.spent += n
	h.Amount = 0
	return n
}

// Cancel has a request wait no longer.
func (p *Manager) Cancel(name string, tag uint64) {
	if tenant := p.tenants[name]; tenant != nil {
		tenant.queue = slices.DeleteFunc(tenant.queue, func(request queuedRequest) bool { return request.tag == tag })
	}
}

func (p *Manager) findAccount(k ledger.Key) *account {
	tenant := p.tenants[k.Tenant]
	if tenant == nil {
		return nil
	}
	for _, lease := range tenant.leases {
		if lease.overdraft != k.Overdraft {
			continue
		}
		if lease.current.generation == k.Generation {
			return &lease.current
		}
		for i := range lease.expired {
			if lease.expired[i].generation == k.Generation {
				return &lease.expired[i]
			}
		}
	}
	return nil
}

func (p *Manager) handleResponse(a *message.Response) {
	if a.Key.Holder != p.self {
		p.handleClaimResponse(a)
		return
	}
	tenant := p.tenants[a.Key.Tenant]
	if tenant == nil {
		return
	}
	i := slices.IndexFunc(tenant.leases, func(lease *tenantLease) bool { return lease.overdraft == a.Key.Overdraft })
	if i < 0 {
		return
	}
	lease := tenant.leases[i]
	tenant.available, tenant.availableAtPayment, tenant.availableKnown = a.Available, a.AvailableAtPayment, true
	if a.Closed {
		if lease.current.generation == a.Key.Generation {
			if lease.current.granted > 0 { // the log has had its end: what was let in by it goes on, and nothing is spent of it any more
				lease.current.returned += lease.current.free()
			}
			lease.expired = append(lease.expired, lease.current)
			lease.current, lease.requestedAt = account{}, 0
		}
		lease.expired = slices.DeleteFunc(lease.expired, func(x account) bool { return x.generation == a.Key.Generation && x.reserved == 0 })
		return
	}
	if lease.current.generation != a.Key.Generation {
		return
	}
	if a.Expired {
		lease.expireCurrent()
		return
	}
	c := &lease.current
	if a.Recall {
		if n := c.free() - a.Retain; n > 0 {
			c.returned += n
			lease.reportSoon = true
		}
		return
	}
	grew := a.Granted > c.granted
	c.granted = max(c.granted, a.Granted)
	for _, x := range c.unanswered {
		if x.sequence == a.Sequence && a.Granted > 0 {
			if p.settings.ExpireFromResponse {
				x.sentAt = p.now
			}
			c.expiresAt = max(c.expiresAt, x.sentAt+p.settings.Duration)
		}
	}
	c.unanswered = slices.DeleteFunc(c.unanswered, func(x sentRequest) bool { return x.sequence <= a.Sequence })
	p.raiseMark(tenant, lease)
	switch {
	case grew:
		tenant.exhaustedUntil, lease.lastUsedAt = 0, p.now
	case p.now < tenant.exhaustedUntil && len(tenant.queue) == 0:
		tenant.exhaustedUntil = p.now + 2*p.settings.ExhaustedInterval + p.settings.TickInterval
	}
	p.admitQueued(tenant)
	if !grew && c.free() == 0 && tenant.heldElsewhere() <= 0 && lease.overdraft == 0 { // nobody has any
		p.rejectQueued(tenant, func(request *queuedRequest) bool { return p.settings.Classes[request.class].Overdraft == 0 })
	}
}

// heldElsewhere is what others have of a tenant's funds, or may have.
func (tenant *tenantState) heldElsewhere() int64 {
	n := tenant.available
	for _, lease := range tenant.leases {
		n -= lease.current.granted - lease.current.returned - lease.current.spent
		for i := range lease.expired {
			n -= lease.expired[i].granted - lease.expired[i].returned - lease.expired[i].spent
		}
	}
	return n
}

// admitQueued lets in what waits, of each class the first first.
func (p *Manager) admitQueued(tenant *tenantState) {
	if len(tenant.queue) == 0 {
		return
	}
	short := 0 // bits of classes for which there is not enough
	tenant.queue = slices.DeleteFunc(tenant.queue, func(request queuedRequest) bool {
		bit := 1 << min(request.class, 62)
		if short&bit != 0 {
			return false
		}
		h, ok := p.reserve(tenant, request.class, p.settings.Classes[request.class].reservation(request.parts))
		if !ok {
			short |= bit
			return false
		}
		p.actions = append(p.actions, Action{Kind: Admit, Tag: request.tag, Reservation: h})
		return true
	})
}

// rejectQueued refuses those that wait of whom something holds; nothing is to be had for a while.
func (p *Manager) rejectQueued(tenant *tenantState, which func(*queuedRequest) bool) {
	n := len(tenant.queue)
	tenant.queue = slices.DeleteFunc(tenant.queue, func(request queuedRequest) bool {
		if which(&request) {
			p.actions = append(p.actions, Action{Kind: Reject, Tag: request.tag})
			return true
		}
		return false
	})
	if len(tenant.queue) < n || n == 0 { // or nothing waits that could find out
		tenant.exhaustedUntil = p.now + 2*p.settings.ExhaustedInterval + p.settings.TickInterval
	}
}

func (p *Manager) tick() {
	for _, tenant := range p.active {
		if len(tenant.queue) > 0 && p.now >= tenant.queue[0].deadline {
			p.rejectQueued(tenant, func(request *queuedRequest) bool { return p.now >= request.deadline })
		}
		for _, lease := range tenant.leases {
			p.raiseMark(tenant, lease)
		}
	}
	p.sendRequests()
	p.active = slices.DeleteFunc(p.active, func(tenant *tenantState) bool {
		for _, lease := range tenant.leases {
			if lease.current.generation > 0 || len(lease.expired) > 0 || p.now-lease.lastUsedAt < p.settings.IdleTimeout {
				return false
			}
		}
		if len(tenant.queue) > 0 || tenant.demand(p.now) > 0 {
			return false
		}
		delete(p.tenants, tenant.name)
		return true
	})
}

func (tenant *tenantState) demand(now float64) (n float64) {
	for i := range tenant.classRates {
		n += tenant.classRates[i].perSecond(now)
	}
	if n < 1e-3 {
		return 0
	}
	return n
}
