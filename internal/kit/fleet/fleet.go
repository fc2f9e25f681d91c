// Package fleet is stand-in database servers on loopback: groups of one primary and its replicas that speak the
// platform's protocol, with a log that is shipped and applied, takeovers, cold starts and faults; and a stand-in for
// discovery whose list lags. Everything is of this process and listens on 127.0.0.1 only.
package fleet

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"beechgrade/internal/clock"
)

// Range is a span from which a value is drawn.
type Range [2]float64

func (r Range) draw(rng *rand.Rand) float64 { return r[0] + (r[1]-r[0])*rng.Float64() }

// Config describes a fleet. Times are in milliseconds.
type Config struct {
	Seed    uint64
	Groups  []int // members of each group, the first of them its primary
	Cores   int   // requests that a server works on at once
	Queue   int   // requests that wait at a server; beyond that it turns away
	Conns   int   // connections that a server holds
	Work    map[string]Range
	Ship    Range   // from a commit until a replica has it
	Apply   float64 // a replica's one thread is busy for so long with each write
	Detect  Range   // from a primary's end until it is given up
	Elect   Range   // from then until a replica takes over
	Switch  Range   // until a primary that drains has handed over
	Report  Range   // age at which a load report is made anew
	List    Range   // by which the list is late
	Roles   Range   // by which its roles are late
	ColdMs  float64 // from a start until a server is warm
	ColdBy  float64 // the part of its capacity that it starts with
	Falls   float64 // a cold server that is sent more than so many times its capacity...
	FallsMs float64 // ...within this time falls over and stays down

	GraceMs  float64 // for sends to a server, from discovery's word that it drains
	CancelMs float64 // a cancel request takes so long until it strikes
}

// Defaults are those of the site's brief, for so many members in each group.
func Defaults(groups ...int) Config {
	return Config{Groups: groups, Cores: 4, Queue: 64, Conns: 256, Ship: Range{2.4, 15}, Apply: 3, Detect: Range{1100, 2600}, Elect: Range{1000, 3900},
		Switch: Range{420, 1000}, Report: Range{110, 240}, List: Range{300, 900}, Roles: Range{2000, 4900}, ColdMs: 18000, ColdBy: 0.15, Falls: 2.5, FallsMs: 1500, GraceMs: 250}
}

// Fact is something that truly happened.
type Fact struct {
	At     float64 `json:"at_ms"`
	Server string  `json:"server"`
	Group  int     `json:"group"`
	What   string  `json:"what"`
}

// Fleet is the servers and their discovery.
type Fleet struct {
	cfg Config
	clk clock.Clock
	log *slog.Logger

	mu      sync.Mutex
	rng     *rand.Rand
	groups  []*group
	servers map[string]*Server
	order   []*Server
	facts   []Fact
	ran     map[string]int // writes by request id
	twice   []string
	late    []Fact // sends to servers that drain
	timers  []*time.Timer
	closed  bool
	dir     directory
	wg      sync.WaitGroup

	watch    Watch // of ordinary sessions
	before   func(server, sql string) bool
	fulls    map[uint32]*full
	lastPID  uint32
	streamed int
}

type group struct {
	id      int
	members []*Server
	primary *Server // who takes writes; nil while nobody does
	lostAt  float64 // its log's end since then, 0 while there is a primary
	log     []entry
	base    int // number of the first entry kept
	rows    map[string][]version
}

// entry is a write in the log.
type entry struct {
	commit float64 // whole Unix milliseconds, rounded up
	cost   float64
}

// version is a row's value as of a log entry.
type version struct {
	n     int // the entry's number
	value []byte
}

const (
	keepVersions = 32
	keepLog      = 1 << 16
	maxRan       = 1 << 20
)

// Server is one stand-in server; its fields belong to the fleet's lock.
type Server struct {
	Name string
	Addr string

	f         *Fleet
	group     *group
	listener  net.Listener
	conns     map[*conn]bool
	up        bool
	hung      bool
	draining  bool
	fallen    bool
	left      float64 // part of the machine that its neighbours leave to it
	slow      float64 // its apply thread takes so many times as long
	started   float64 // 0 for long ago
	applied   int     // entries
	free      float64 // when its apply thread is done
	ship      float64
	stoodAt   float64 // its position when it stopped, 0 while it runs
	working   int
	queue     []chan struct{}
	sent      []sent // while cold
	sampled   report
	nextRep   float64
	served    int
	drainTold float64 // discovery had told all that watch of its drain by then, 0 for not so
}

type sent struct{ at, work float64 }

type report struct {
	position float64
	primary  bool
}

// New makes a fleet; Start has it listen.
func New(cfg Config, clk clock.Clock, log *slog.Logger) *Fleet {
	f := &Fleet{cfg: cfg, clk: clk, log: log, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), servers: map[string]*Server{}, ran: map[string]int{},
		fulls: map[uint32]*full{}, watch: Watch{ByText: map[string]int{}}}
	for i, n := range cfg.Groups {
		g := &group{id: i, rows: map[string][]version{}}
		for k := range n {
			s := &Server{Name: fmt.Sprintf("s-%d-%d", i, k), f: f, group: g, conns: map[*conn]bool{}, up: true, left: 1, slow: 1,
				ship: cfg.Ship.draw(f.rng)}
			g.members = append(g.members, s)
			f.servers[s.Name] = s
			f.order = append(f.order, s)
		}
		if n > 0 {
			g.primary = g.members[0]
		}
		f.groups = append(f.groups, g)
	}
	return f
}

// Start has all servers and discovery listen on loopback.
func (f *Fleet) Start() error {
	for _, s := range f.order {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("server %s: %w", s.Name, err)
		}
		s.listener, s.Addr = l, l.Addr().String()
		f.wg.Add(1)
		go s.accept()
	}
	return f.dir.start(f)
}

// Close ends everything.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	for _, t := range f.timers {
		t.Stop()
	}
	var conns []*conn
	for _, s := range f.order {
		if s.listener != nil {
			_ = s.listener.Close()
		}
		for c := range s.conns {
			conns = append(conns, c)
		}
	}
	f.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
	f.dir.close()
	f.wg.Wait()
}

// Discovery is the address of the stand-in for discovery.
func (f *Fleet) Discovery() string { return f.dir.addr }

// Servers are the servers' names, group by group.
func (f *Fleet) Servers() []string {
	var out []string
	for _, s := range f.order {
		out = append(out, s.Name)
	}
	return out
}

// Primary is the name of a group's present primary, empty where there is none.
func (f *Fleet) Primary(group int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if group < 0 || group >= len(f.groups) || f.groups[group].primary == nil {
		return ""
	}
	return f.groups[group].primary.Name
}

// Facts are what truly happened, in order.
func (f *Fleet) Facts() []Fact {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.facts)
}

// RanTwice are the ids of writes that ran more than once.
func (f *Fleet) RanTwice() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.twice)
}

// Fallen are the cold servers that were pushed over.
func (f *Fleet) Fallen() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, s := range f.order {
		if s.fallen {
			out = append(out, s.Name)
		}
	}
	return out
}

// Late are the requests that came to a server after discovery had told all who watch that it drains, and the
// grace and 50 ms for the way had passed.
func (f *Fleet) Late() []Fact {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.late)
}

// ErrServer says that there is no such server.
var ErrServer = errors.New("no such server")

// with runs f for a server, under the lock.
func (f *Fleet) with(name string, do func(s *Server, now float64)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[name]
	if s == nil {
		return fmt.Errorf("%q: %w", name, ErrServer)
	}
	do(s, f.clk.Now())
	return nil
}

func (f *Fleet) fact(s *Server, now float64, what string) {
	f.facts = append(f.facts, Fact{At: now, Server: s.Name, Group: s.group.id, What: what})
	f.log.Info("fleet", "server", s.Name, "what", what)
}

// later runs do under the lock after a time.
func (f *Fleet) later(ms float64, do func(now float64)) {
	f.timers = append(f.timers, time.AfterFunc(time.Duration(ms*float64(time.Millisecond)), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.closed {
			do(f.clk.Now())
		}
	}))
}

// Kill ends a server's process: its connections are reset, new ones too.
func (f *Fleet) Kill(name string) error {
	return f.with(name, func(s *Server, now float64) {
		if s.up {
			s.die(now, "died")
		}
	})
}

func (s *Server) die(now float64, what string) {
	f := s.f
	s.stand(now)
	s.up, s.hung = false, false
	f.fact(s, now, what)
	s.dropConns()
	f.dir.change(f, s, "removed", 0)
	s.group.lose(s, now)
}

// stand stops a server's log where it is.
func (s *Server) stand(now float64) {
	if s.stoodAt == 0 {
		s.advance(now)
		s.stoodAt = max(1, s.position(now))
		if s.group.primary == s {
			s.applied = s.group.end()
		}
	}
}

func (s *Server) dropConns() {
	for c := range s.conns {
		go c.reset()
	}
	s.conns = map[*conn]bool{}
	for _, w := range s.queue {
		close(w)
	}
	s.queue, s.working = nil, 0
}

// Revive starts a dead server again: cold, and from where it stood.
func (f *Fleet) Revive(name string) error {
	return f.with(name, func(s *Server, now float64) {
		if s.up || s.fallen {
			return
		}
		s.up, s.started, s.sent = true, now, nil
		s.goOn(now)
		f.fact(s, now, "came back cold")
		f.dir.change(f, s, "up", 0)
		s.group.returned(s, now)
	})
}

// goOn has a server's log go on from where it stood, behind the group's present primary.
func (s *Server) goOn(now float64) {
	s.stoodAt, s.free = 0, now
	s.applied = max(s.applied, s.group.base)
}

// Hang has a server take requests and answer none; its process runs on. Unhang has it go on: what it held is reset.
func (f *Fleet) Hang(name string) error {
	return f.with(name, func(s *Server, now float64) {
		if s.up && !s.hung {
			s.stand(now)
			s.hung = true
			f.fact(s, now, "hangs")
			s.group.lose(s, now)
		}
	})
}

// Unhang is Hang's end.
func (f *Fleet) Unhang(name string) error {
	return f.with(name, func(s *Server, now float64) {
		if s.up && s.hung {
			s.hung = false
			s.goOn(now)
			f.fact(s, now, "answers again")
			s.dropConns()
			s.group.returned(s, now)
		}
	})
}

// Crowd leaves a server only a part of its machine.
func (f *Fleet) Crowd(name string, left float64) error {
	return f.with(name, func(s *Server, now float64) {
		s.left = min(1, max(0.01, left))
		f.fact(s, now, fmt.Sprintf("has %.0f%% of its machine", 100*s.left))
	})
}

// Lag has a replica's apply thread take so many times as long.
func (f *Fleet) Lag(name string, times float64) error {
	return f.with(name, func(s *Server, now float64) {
		s.advance(now)
		s.slow = max(0.1, times)
		f.fact(s, now, fmt.Sprintf("applies its log %.3g times as slowly", s.slow))
	})
}

// Drain has a server finish what it has and want nothing new; a primary hands over. Undrain ends it.
func (f *Fleet) Drain(name string) error {
	return f.with(name, func(s *Server, now float64) {
		if s.draining {
			return
		}
		s.draining = true
		f.fact(s, now, "drains")
		f.dir.change(f, s, "draining", 0)
		if g := s.group; g.primary == s {
			f.later(f.cfg.Switch.draw(f.rng), func(now float64) {
				if g.primary == s {
					g.lostAt, g.primary = now, nil
					g.promote(now)
				}
			})
		}
	})
}

// Undrain is Drain's end.
func (f *Fleet) Undrain(name string) error {
	return f.with(name, func(s *Server, now float64) {
		if s.draining {
			s.draining, s.drainTold = false, 0
			f.fact(s, now, "drains no more")
			f.dir.change(f, s, "up", 0)
		}
	})
}

// ListLate has the list run later by so many milliseconds.
func (f *Fleet) ListLate(ms float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dir.extra = ms
}

// ListGone has discovery answer nothing but 503, and its watches end.
func (f *Fleet) ListGone(gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dir.gone = gone
	f.dir.wakeAll()
}

// lose notes that a server is out. If it was the primary, the group takes no writes until another takes over.
func (g *group) lose(s *Server, now float64) {
	if g.primary != s {
		return
	}
	f := s.f
	g.lostAt = now
	f.later(f.cfg.Detect.draw(f.rng), func(float64) {
		if g.primary != s || s.up && !s.hung {
			return // it is back before it was given up
		}
		g.primary = nil
		f.later(f.cfg.Elect.draw(f.rng), func(now float64) { g.promote(now) })
	})
}

// returned notes that a server is back: perhaps the primary, or the one that the group waits for.
func (g *group) returned(s *Server, now float64) {
	switch {
	case g.primary == s:
		g.lostAt = 0
		s.applied = g.end()
	case g.primary == nil && !slices.ContainsFunc(g.members, func(o *Server) bool { return o != s && o.fit() }):
		s.f.later(s.f.cfg.Elect.draw(s.f.rng), func(now float64) { g.promote(now) })
	}
}

func (s *Server) fit() bool { return s.up && !s.hung && !s.draining }

// promote makes the member that has most of the log the primary. Nothing that was committed is lost: what it had not
// applied yet, it applies now.
func (g *group) promote(now float64) {
	if g.primary != nil {
		return
	}
	var best *Server
	for _, s := range g.members {
		if s.fit() {
			s.advance(now)
			if best == nil || s.applied > best.applied {
				best = s
			}
		}
	}
	if best == nil {
		return
	}
	best.applied, best.free = g.end(), now
	g.primary, g.lostAt = best, 0
	f := best.f
	f.fact(best, now, "is the primary")
	for _, s := range g.members {
		f.dir.change(f, s, "", f.cfg.Roles.draw(f.rng))
	}
}

// end is the number behind the log's last entry.
func (g *group) end() int { return g.base + len(g.log) }

// write puts a write into the log and returns its commit.
func (g *group) write(now float64, key string, value []byte, cost float64) float64 {
	commit := math.Ceil(now)
	g.log = append(g.log, entry{commit, cost})
	rows := append(g.rows[key], version{g.end() - 1, value})
	g.rows[key] = rows[max(0, len(rows)-keepVersions):]
	g.primary.applied = g.end()
	if len(g.log) > 2*keepLog {
		cut := len(g.log) - keepLog
		g.log, g.base = slices.Clone(g.log[cut:]), g.base+cut
		for _, s := range g.members {
			s.applied = max(s.applied, g.base)
		}
	}
	return commit
}

// advance has a replica's one thread apply what has been shipped.
func (s *Server) advance(now float64) {
	g := s.group
	if s.stoodAt != 0 || g.primary == s && g.lostAt == 0 {
		return
	}
	for s.applied < g.end() {
		e := g.log[s.applied-g.base]
		from := max(s.free, e.commit+s.ship)
		done := from + e.cost*s.slow/s.left
		if done > now {
			return
		}
		s.applied, s.free = s.applied+1, done
	}
}

// position is the time up to which a server has all commits.
func (s *Server) position(now float64) float64 {
	g := s.group
	if s.stoodAt != 0 {
		return s.stoodAt
	}
	if g.primary == s && g.lostAt == 0 {
		return math.Floor(now)
	}
	at := now - s.ship
	if g.lostAt != 0 {
		at = min(at, g.lostAt)
	}
	if s.applied < g.end() {
		at = min(at, g.log[s.applied-g.base].commit-1)
	}
	return math.Floor(at)
}

// read is a row as the server has it.
func (s *Server) read(key string) []byte {
	rows := s.group.rows[key]
	for i := len(rows) - 1; i >= 0; i-- {
		if rows[i].n < s.applied {
			return rows[i].value
		}
	}
	return nil
}

// warmth is the part of its capacity that a server has now.
func (s *Server) warmth(now float64) float64 {
	age := now - s.started
	if s.started == 0 || s.f.cfg.ColdMs <= 0 || age >= s.f.cfg.ColdMs {
		return 1
	}
	return s.f.cfg.ColdBy + (1-s.f.cfg.ColdBy)*age/s.f.cfg.ColdMs
}

// push counts work that a cold server is sent, and tells whether it is pushed over by it.
func (s *Server) push(now, work float64) bool {
	w := s.warmth(now)
	if w >= 1 {
		s.sent = nil
		return false
	}
	cfg := s.f.cfg
	s.sent = append(s.sent, sent{now, work})
	sum := 0.0
	for len(s.sent) > 0 && now-s.sent[0].at > cfg.FallsMs {
		s.sent = s.sent[1:]
	}
	for _, x := range s.sent {
		sum += x.work
	}
	return cfg.Falls > 0 && sum > cfg.Falls*w*float64(cfg.Cores)*cfg.FallsMs
}

// directory is the stand-in for discovery.
type directory struct {
	addr     string
	server   *http.Server
	listener net.Listener
	gen      int64
	entries  map[string]*listEntry
	history  []change
	extra    float64
	gone     bool
	watchers map[chan struct{}]bool
}
