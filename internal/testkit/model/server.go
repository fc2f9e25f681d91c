package model

import (
	"math"
)

// Server is one server of a group.
type Server struct {
	Name  string
	No    int // in World.Servers
	Group *Group

	Up       bool
	Hung     bool // takes everything and answers nothing
	Deaf     bool // requests vanish on their way to it; probes come through
	Mute     bool // requests run, and their answers vanish; probes' too
	Draining bool
	Fell     bool
	Started  float64 // 0 for long ago
	Served   int

	w       *World
	left    float64 // part of the machine that its neighbours leave to it
	slow    float64 // its apply thread takes so many times as long
	disk    float64 // its writes take so many times as long
	loses   float64 // part of the requests that it takes and never answers
	applied int     // entries
	free    float64 // when its apply thread is done
	ship    float64
	stoodAt float64 // its position when it stopped, 0 while it runs
	life    uint32  // grows with each end, so that what was worked on before it is nothing any more
	rogue   bool    // it takes itself for the primary still
	led     bool    // it was the primary when it hung
	working int
	queue   []*Job
	head    int
	sent    []sent // while cold
	sentSum float64
	sampled Report
	nextRep float64
}

type sent struct{ at, work float64 }

// Report is a server's report of itself, some time old.
type Report struct {
	Position float64
	Primary  bool
}

// Verdict says what became of a request at a server.
type Verdict uint8

// The verdicts.
const (
	Served     Verdict = iota
	NotPrimary         // a write, and this is no primary
	Drains             // turned away: it drains
	QueueFull          // turned away
	HandedOver         // an error: it had begun, and the server is the primary no more
	Fallen             // the server was pushed over by this: no answer, its connections break
)

// Reply is what a server answers.
type Reply struct {
	Verdict  Verdict
	Value    []byte
	Position float64
	Primary  bool
}

// Owner is told of a job's answer, once; never where the server dies, hangs or loses it.
type Owner interface{ Answered(j *Job, r Reply) }

// Job is a request at a server.
type Job struct {
	ID     string
	Writes bool
	Key    string
	Idem   string // by which a repeat is known, for KeyMs; empty for none
	KeyMs  float64
	Value  []byte
	Work   float64 // ms on a warm core
	Owner  Owner
	Tag    uint64 // the owner's

	s     *Server
	came  float64
	began float64 // 0 while it was not worked on
	life  uint32
	state jobState
}

type jobState uint8

const (
	jobOut jobState = iota
	jobWaits
	jobWorks
	jobDone
)

// Role is the server's own word for its role.
func (s *Server) Role() string {
	if s.Group.Primary == s {
		return "primary"
	}
	return "replica"
}

func (s *Server) fit() bool { return s.Up && !s.Hung && !s.Draining }

// advance has a replica's one thread apply what has been shipped.
func (s *Server) advance(now float64) {
	g := s.Group
	if s.stoodAt != 0 || g.Primary == s && g.lostAt == 0 {
		return
	}
	for s.applied < g.End() {
		e := g.log[s.applied-g.base]
		from := max(s.free, e.commit+s.ship)
		done := from + e.cost*s.slow/s.left
		if done > now {
			return
		}
		s.applied, s.free = s.applied+1, done
	}
}

// Position is the time up to which a server has all commits, in whole Unix milliseconds.
func (s *Server) Position(now float64) float64 {
	s.advance(now)
	return s.position(now)
}

func (s *Server) position(now float64) float64 {
	g := s.Group
	if s.stoodAt != 0 {
		return s.stoodAt
	}
	if g.Primary == s && g.lostAt == 0 {
		return math.Floor(now)
	}
	at := now - s.ship
	if g.lostAt != 0 {
		at = min(at, g.lostAt)
	}
	if s.applied < g.End() {
		at = min(at, g.log[s.applied-g.base].commit-1)
	}
	return math.Floor(at)
}

// Read is a row as the server has it.
func (s *Server) Read(key string) []byte {
	rows := s.Group.rows[key]
	for i := len(rows) - 1; i >= 0; i-- {
		if rows[i].n < s.applied {
			return rows[i].value
		}
	}
	return nil
}

// Warmth is the part of its capacity that a server has now.
func (s *Server) Warmth(now float64) float64 {
	age := now - s.Started
	if s.Started == 0 || s.w.Cfg.ColdMs <= 0 || age >= s.w.Cfg.ColdMs {
		return 1
	}
	return s.w.Cfg.ColdBy + (1-s.w.Cfg.ColdBy)*age/s.w.Cfg.ColdMs
}

// push counts work that a cold server is sent, and tells whether it is pushed over by it.
func (s *Server) push(now, work float64) bool {
	w := s.Warmth(now)
	if w >= 1 {
		s.sent, s.sentSum = nil, 0
		return false
	}
	cfg := &s.w.Cfg
	s.sent = append(s.sent, sent{now, work})
	s.sentSum += work
	for len(s.sent) > 0 && now-s.sent[0].at > cfg.FallsMs {
		s.sentSum -= s.sent[0].work
		s.sent = s.sent[1:]
	}
	return cfg.Falls > 0 && s.sentSum > cfg.Falls*w*float64(cfg.Cores)*cfg.FallsMs
}

// Report is the server's report of itself, made anew now and then.
func (s *Server) Report(now float64) Report {
	if now >= s.nextRep {
		s.sampled = Report{s.Position(now), s.Group.Primary == s || s.rogue}
		s.nextRep = now + s.w.Draw(s.w.Cfg.Report)
	}
	return s.sampled
}

// Takes tells whether a server would take a request in now, and not turn it away at the door or lose it on the way.
func (s *Server) Takes(j *Job) bool {
	return s.Up && !s.Hung && !s.Deaf && !s.Draining && (!j.Writes || s.leads())
}

// leads tells whether a server takes writes.
func (s *Server) leads() bool { return s.Group.Primary == s || s.rogue || s.w.Cfg.Peers }

// Take has a server take a request. Its owner is told of the answer, perhaps before Take returns.
func (s *Server) Take(j *Job) {
	now := s.w.clk.Now()
	j.s, j.came, j.began, j.life, j.state = s, now, 0, s.life, jobOut
	switch {
	case !s.Up || s.Hung || s.Deaf || s.loses > 0 && s.w.rng.Float64() < s.loses:
		return // nobody answers
	case j.Writes && !s.leads():
		s.answer(j, Reply{Verdict: NotPrimary})
		return
	case s.Draining:
		s.answer(j, Reply{Verdict: Drains})
		return
	case s.push(now, j.Work):
		s.Fell = true
		s.answer(j, Reply{Verdict: Fallen})
		s.die(now, "was pushed over while cold")
		return
	case s.working < s.w.Cfg.Cores:
		s.working++
		s.begin(j, now)
	case s.waiting() >= s.w.Cfg.Queue:
		s.answer(j, Reply{Verdict: QueueFull})
	default:
		j.state = jobWaits
		s.queue = append(s.queue, j)
	}
}

func (s *Server) waiting() int { return len(s.queue) - s.head }

func (s *Server) begin(j *Job, now float64) {
	j.state, j.began = jobWorks, now
	speed := s.Warmth(now) * s.left
	if j.Writes {
		speed /= s.disk
	}
	took := j.Work / speed
	if s.w.Cfg.Crowds > 0 {
		took *= 1 + s.w.Cfg.Crowds*float64(s.waiting())/float64(s.w.Cfg.Cores)
	}
	s.w.clk.After(took, j, 0)
}

// Fire ends the work on a job; it is Event's.
func (j *Job) Fire(uint64) {
	s := j.s
	if j.life != s.life || j.state != jobWorks {
		return // its server died meanwhile, or it was cancelled
	}
	j.state = jobDone
	s.next()
	if s.Hung || !s.Up {
		return
	}
	now := s.w.clk.Now()
	s.advance(now)
	s.Served++
	r := Run{At: now, Applied: s.applied, Primary: s.w.Cfg.Peers || s.Group.Primary == s && s.Group.lostAt == 0}
	if !j.Writes {
		r.Position = s.position(now)
		s.w.watch.Executed(s, j, r)
		s.answer(j, Reply{Value: s.Read(j.Key), Position: r.Position})
		return
	}
	if s.rogue {
		s.w.watch.Executed(s, j, r)
		s.answer(j, Reply{Value: j.Value, Position: now})
		return
	}
	if !r.Primary { // it handed over meanwhile
		s.answer(j, Reply{Verdict: HandedOver})
		return
	}
	r.Twice = s.w.ran[j.ID]
	if x, known := s.w.keyed[j.Idem]; j.Idem != "" && known {
		if r.Twice = true; j.came-x.at <= j.KeyMs {
			r.Twice, r.Dropped, r.Commit, r.Position = false, true, now, now
			s.w.watch.Executed(s, j, r)
			s.answer(j, Reply{Value: x.value, Position: now})
			return
		}
	} else if j.Idem != "" && len(s.w.keyed) < maxRan {
		s.w.keyed[j.Idem] = first{j.came, j.Value}
	}
	if r.Twice && len(s.w.twice) < maxTwice {
		s.w.twice = append(s.w.twice, j.ID)
	}
	if len(s.w.ran) < maxRan {
		s.w.ran[j.ID] = true
	}
	r.Commit = s.Group.Write(now, j.Key, j.Value)
	r.Applied, r.Position = s.applied, r.Commit
	s.w.watch.Executed(s, j, r)
	s.answer(j, Reply{Value: j.Value, Position: r.Commit})
}

// answer tells a job's owner, with the server's role and position.
func (s *Server) answer(j *Job, r Reply) {
	j.state = jobDone
	if s.Mute {
		return
	}
	r.Primary = s.Group.Primary == s || s.rogue
	if r.Position == 0 {
		r.Position = s.Position(s.w.clk.Now())
	}
	j.Owner.Answered(j, r)
}

// next hands a core on.
func (s *Server) next() {
	for s.head < len(s.queue) {
		j := s.queue[s.head]
		s.queue[s.head] = nil
		s.head++
		if s.head == len(s.queue) {
			s.queue, s.head = s.queue[:0], 0
		} else if s.head > 64 && s.head > len(s.queue)/2 {
			s.queue = s.queue[:copy(s.queue, s.queue[s.head:])]
			s.head = 0
		}
		if j != nil && j.state == jobWaits {
			s.begin(j, s.w.clk.Now())
			return
		}
	}
	s.working = max(0, s.working-1)
}

// Spent is how long a job waited for a core, and how long it has had one by now.
func (j *Job) Spent(now float64) (waited, worked float64) {
	if j.began == 0 {
		return now - j.came, 0
	}
	return j.began - j.came, now - j.began
}

// Open tells whether a server has a job that it has not answered.
func (j *Job) Open() bool {
	return j.s != nil && j.life == j.s.life && (j.state == jobWaits || j.state == jobWorks)
}

// Cancel stops work on a job whose owner wants it no more: its connection has gone.
func (j *Job) Cancel() {
	s := j.s
	if s == nil || j.life != s.life {
		return
	}
	switch was := j.state; was {
	case jobWaits:
		for i := s.head; i < len(s.queue); i++ {
			if s.queue[i] == j {
				s.queue = append(s.queue[:i], s.queue[i+1:]...)
				break
			}
		}
	case jobWorks:
		s.next()
	}
	j.state = jobDone
}

// Work draws a request's work by its class.
func (w *World) Work(class string) float64 {
	if r, ok := w.Cfg.Work[class]; ok {
		if w.Cfg.Tail {
			return (r[0] + r[1]) / 2 * w.rng.ExpFloat64()
		}
		return w.Draw(r)
	}
	return 5
}

// Truth is what a server does truly: the part of its warm cores that it works with, 0 where it answers nothing, and the part of its requests that it loses.
func (s *Server) Truth(now float64) (cores, loses float64) {
	if !s.fit() || s.Deaf || s.Mute {
		return 0, s.loses
	}
	return s.Warmth(now) * s.left, s.loses
}
