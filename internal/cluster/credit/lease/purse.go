package lease

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
)

const (
	askMemory = 16   // asks about an account whose answers still carry its end on
	flowMs    = 1000 // memory of what is spent
	tooMuch   = 3    // times what is wanted, that is given back unasked
	markPart  = 4    // of what is free, that a mark goes up by
)

// Purse is one process's side of credit.
type Purse struct {
	set     Settings
	self    ledger.Holder
	now     float64
	gen     uint32
	prepaid map[string]bool
	order   []int // classes, the most worth for their price first
	tenants map[string]*tenant
	list    []*tenant // those with anything here, in the order that they came in
	wills   []will
	out     []Action
	markNo  uint64
	left    bool
}

type will struct {
	Mark
	askAt float64
	read  bool // of a process: its file was read after all ends
}

type tenant struct {
	name  string
	flows []flow // what was asked for, by class
	pots  []*pot // by depth
	left  int64
	full  int64
	told  bool
	waits []waiting
	dry   float64 // until then nothing is to be had
}

type waiting struct {
	tag     uint64
	class   int
	parts   int
	session uint64
	until   float64
}

// pot is what is here of a tenant's funds, to one depth.
type pot struct {
	depth  int64
	cur    account
	over   []account // whose end is past, and that are not closed
	flow   flow
	used   float64 // when something was let in last
	askAt  float64
	called bool
}

type account struct {
	gen, seq                       uint32
	granted, returned, spent, held int64
	till                           float64
	asks                           []asked
	askAt                          float64
	mark, marking                  int64
	markNo                         uint64
}

type asked struct {
	seq uint32
	at  float64
}

func (a *account) free() int64 { return a.granted - a.returned - a.spent - a.held }

// flow is how much of something there is a second, lately.
type flow struct{ n, at float64 }

func (f *flow) count(now, n float64) {
	f.n = f.n*math.Exp(-max(0, now-f.at)/flowMs) + n
	f.at = max(f.at, now)
}

func (f *flow) rate(now float64) float64 {
	return f.n * math.Exp(-max(0, now-f.at)/flowMs) * 1000 / flowMs
}

// New makes a process's purse.
func New(set Settings, self ledger.Holder, now float64) *Purse {
	p := &Purse{self: self, now: now, tenants: map[string]*tenant{}}
	p.retune(set)
	return p
}

func (p *Purse) retune(set Settings) {
	p.set = set
	p.prepaid = map[string]bool{}
	for _, n := range set.Prepaid {
		p.prepaid[n] = true
	}
	p.order = p.order[:0]
	for i := range set.Classes {
		p.order = append(p.order, i)
	}
	value := func(i int) float64 { return set.Classes[i].Worth / float64(max(1, set.Classes[i].held(1))) }
	slices.SortStableFunc(p.order, func(a, b int) int {
		switch x, y := value(a), value(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	for _, t := range p.list {
		p.turn(t, func(w *waiting) bool { return w.class >= len(set.Classes) })
		t.flows = t.flows[:min(len(t.flows), len(set.Classes))]
		for len(t.flows) < len(set.Classes) {
			t.flows = append(t.flows, flow{})
		}
	}
}

// Next is when it wants a Tick.
func (p *Purse) Next() float64 { return p.now + p.set.Step }

// Handle takes one event and appends what is to be done.
func (p *Purse) Handle(now float64, e Event, out []Action) []Action {
	p.out = out
	p.time(now)
	switch e := e.(type) {
	case Tick:
		p.tick()
	case Heard:
		for i := range e.Answers {
			p.heard(&e.Answers[i])
		}
		p.ask()
	case Retune:
		p.retune(e.Settings)
	case Marked:
		p.marked(e.No)
	case Inherit:
		for _, h := range e.Gone {
			p.wills = append(p.wills, will{Mark: Mark{Key: ledger.Key{Holder: h, Gen: math.MaxUint32}}})
		}
	case Found:
		p.found(&e)
	case Leave:
		p.leave()
	}
	p.check()
	return p.out
}

// time goes on; what is over is so before anything else.
func (p *Purse) time(now float64) {
	p.now = max(p.now, now)
	for _, t := range p.list {
		for _, o := range t.pots {
			p.expire(o)
		}
	}
}

func (p *Purse) expire(o *pot) {
	if o.cur.gen > 0 && o.cur.till > 0 && p.now >= o.cur.till {
		o.close()
	}
}

func (o *pot) close() {
	o.cur.askAt = 0
	o.over = append(o.over, o.cur)
	o.cur, o.askAt = account{}, 0
}

// depths are those that a class may draw on.
func (p *Purse) depths(class int) [2]int64 { return [2]int64{0, p.set.Classes[class].Depth} }

func (p *Purse) tenantOf(name string) *tenant {
	t := p.tenants[name]
	if t == nil {
		t = &tenant{name: name, flows: make([]flow, len(p.set.Classes))}
		p.tenants[name] = t
		p.list = append(p.list, t)
	}
	return t
}

func (t *tenant) pot(depth int64) *pot {
	for _, o := range t.pots {
		if o.depth == depth {
			return o
		}
	}
	o := &pot{depth: depth}
	t.pots = append(t.pots, o)
	return o
}

// Hold asks to let a request in, which has so many parts. One that waits is known by its tag.
func (p *Purse) Hold(now float64, name string, class int, session uint64, parts int, tag uint64) (Hold, Verdict) {
	if !p.prepaid[name] {
		return Hold{}, Pass
	}
	p.now = max(p.now, now)
	c := &p.set.Classes[class]
	price := c.held(parts)
	if price == 0 {
		return Hold{}, Pass
	}
	if p.left {
		return Hold{}, None
	}
	t := p.tenantOf(name)
	t.flows[class].count(p.now, float64(price))
	if c.Depth == 0 && !p.within(t, class, session) {
		return Hold{}, Slow
	}
	if !slices.ContainsFunc(t.waits, func(w waiting) bool { return w.class == class }) {
		if h, ok := p.take(t, class, price); ok {
			return h, Pass
		}
	}
	if p.now < t.dry || p.set.Wait == 0 || len(t.waits) >= MostWaits {
		t.pot(0)
		return Hold{}, None
	}
	t.waits = append(t.waits, waiting{tag, class, parts, session, p.now + p.set.Wait})
	return Hold{}, Wait
}

// take holds a price of what is here.
func (p *Purse) take(t *tenant, class int, price int64) (Hold, bool) {
	for i, depth := range p.depths(class) {
		if i > 0 && depth == 0 {
			break
		}
		o := t.pot(depth)
		p.expire(o)
		a := &o.cur
		if a.free() < price || p.set.Marks && a.spent+a.held+price > a.mark {
			continue
		}
		a.held += price
		o.flow.count(p.now, float64(price))
		o.used = p.now
		return Hold{Tenant: t.name, Depth: depth, Gen: a.gen, Amount: price, Price: p.set.Classes[class].Price}, true
	}
	return Hold{}, false
}

// within tells whether a tenant that runs low may spend on a request: of what it asks for the most worth for its price comes first, and in
// the class that may be let in by half it goes by the session.
func (p *Purse) within(t *tenant, class int, session uint64) bool {
	if p.set.Below == 0 || !t.told || float64(t.left) >= p.set.Below*float64(t.full) {
		return true
	}
	part := max(p.set.Least, float64(t.left)/(p.set.Below*float64(t.full)))
	all, before := 0.0, 0.0
	for i := range t.flows {
		all += t.flows[i].rate(p.now)
	}
	for _, i := range p.order {
		n := t.flows[i].rate(p.now)
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

// Session is a session's number for Hold.
func Session(name string) uint64 { return xxhash.Sum64String(name) }

// Settle ends what is held for a request, and tells what it cost.
func (p *Purse) Settle(h *Hold, d Done) int64 {
	if h.Amount == 0 {
		return 0
	}
	a := p.account(ledger.Key{Tenant: h.Tenant, Depth: h.Depth, Gen: h.Gen})
	if a == nil {
		return 0
	}
	n := h.Cost(d)
	a.held -= h.Amount
	a.spent += n
	h.Amount = 0
	return n
}

// Cancel has a request wait no longer.
func (p *Purse) Cancel(name string, tag uint64) {
	if t := p.tenants[name]; t != nil {
		t.waits = slices.DeleteFunc(t.waits, func(w waiting) bool { return w.tag == tag })
	}
}

func (p *Purse) account(k ledger.Key) *account {
	t := p.tenants[k.Tenant]
	if t == nil {
		return nil
	}
	for _, o := range t.pots {
		if o.depth != k.Depth {
			continue
		}
		if o.cur.gen == k.Gen {
			return &o.cur
		}
		for i := range o.over {
			if o.over[i].gen == k.Gen {
				return &o.over[i]
			}
		}
	}
	return nil
}

func (p *Purse) heard(a *message.Answer) {
	if a.Key.Holder != p.self {
		p.willed(a)
		return
	}
	t := p.tenants[a.Key.Tenant]
	if t == nil {
		return
	}
	i := slices.IndexFunc(t.pots, func(o *pot) bool { return o.depth == a.Key.Depth })
	if i < 0 {
		return
	}
	o := t.pots[i]
	t.left, t.full, t.told = a.Left, a.Full, true
	if a.Closed {
		if o.cur.gen == a.Key.Gen {
			if o.cur.granted > 0 { // the log has had its end: what was let in by it goes on, and nothing is spent of it any more
				o.cur.returned += o.cur.free()
			}
			o.over = append(o.over, o.cur)
			o.cur, o.askAt = account{}, 0
		}
		o.over = slices.DeleteFunc(o.over, func(x account) bool { return x.gen == a.Key.Gen && x.held == 0 })
		return
	}
	if o.cur.gen != a.Key.Gen {
		return
	}
	if a.Ended {
		o.close()
		return
	}
	c := &o.cur
	if a.Call {
		if n := c.free() - a.Keep; n > 0 {
			c.returned += n
			o.called = true
		}
		return
	}
	grew := a.Granted > c.granted
	c.granted = max(c.granted, a.Granted)
	for _, x := range c.asks {
		if x.seq == a.Seq && a.Granted > 0 {
			if p.set.FromAnswer {
				x.at = p.now
			}
			c.till = max(c.till, x.at+p.set.Lease)
		}
	}
	c.asks = slices.DeleteFunc(c.asks, func(x asked) bool { return x.seq <= a.Seq })
	p.mark(t, o)
	switch {
	case grew:
		t.dry, o.used = 0, p.now
	case p.now < t.dry && len(t.waits) == 0:
		t.dry = p.now + 2*p.set.Dry + p.set.Step
	}
	p.wake(t)
	if !grew && c.free() == 0 && t.elsewhere() <= 0 && o.depth == 0 { // nobody has any
		p.turn(t, func(w *waiting) bool { return p.set.Classes[w.class].Depth == 0 })
	}
}

// elsewhere is what others have of a tenant's funds, or may have.
func (t *tenant) elsewhere() int64 {
	n := t.left
	for _, o := range t.pots {
		n -= o.cur.granted - o.cur.returned - o.cur.spent
		for i := range o.over {
			n -= o.over[i].granted - o.over[i].returned - o.over[i].spent
		}
	}
	return n
}

// wake lets in what waits, of each class the first first.
func (p *Purse) wake(t *tenant) {
	if len(t.waits) == 0 {
		return
	}
	short := 0 // bits of classes for which there is not enough
	t.waits = slices.DeleteFunc(t.waits, func(w waiting) bool {
		bit := 1 << min(w.class, 62)
		if short&bit != 0 {
			return false
		}
		h, ok := p.take(t, w.class, p.set.Classes[w.class].held(w.parts))
		if !ok {
			short |= bit
			return false
		}
		p.out = append(p.out, Action{Kind: Admit, Tag: w.tag, Hold: h})
		return true
	})
}

// turn refuses those that wait of whom something holds; nothing is to be had for a while.
func (p *Purse) turn(t *tenant, which func(*waiting) bool) {
	n := len(t.waits)
	t.waits = slices.DeleteFunc(t.waits, func(w waiting) bool {
		if which(&w) {
			p.out = append(p.out, Action{Kind: Turn, Tag: w.tag})
			return true
		}
		return false
	})
	if len(t.waits) < n || n == 0 { // or nothing waits that could find out
		t.dry = p.now + 2*p.set.Dry + p.set.Step
	}
}

func (p *Purse) tick() {
	for _, t := range p.list {
		if len(t.waits) > 0 && p.now >= t.waits[0].until {
			p.turn(t, func(w *waiting) bool { return p.now >= w.until })
		}
		for _, o := range t.pots {
			p.mark(t, o)
		}
	}
	p.ask()
	p.list = slices.DeleteFunc(p.list, func(t *tenant) bool {
		for _, o := range t.pots {
			if o.cur.gen > 0 || len(o.over) > 0 || p.now-o.used < p.set.Idle {
				return false
			}
		}
		if len(t.waits) > 0 || t.total(p.now) > 0 {
			return false
		}
		delete(p.tenants, t.name)
		return true
	})
}

func (t *tenant) total(now float64) (n float64) {
	for i := range t.flows {
		n += t.flows[i].rate(now)
	}
	if n < 1e-3 {
		return 0
	}
	return n
}
