package model

import (
	"math"
)

// Server is one server of a group.
type Server struct {
	Name  string
	No    int // in World.Servers
	Group *Group

	Up            bool
	Hung          bool // takes everything and answers nothing
	DropsRequests bool // requests vanish on their way to it; probes come through
	DropsAnswers  bool // requests run, and their answers vanish; probes' too
	Draining      bool
	PushedOver    bool
	Started       float64 // 0 for long ago
	Served        int

	world         *World
	machineShare  float64 // part of the machine that its neighbours leave to it
	applySlowdown float64 // its apply thread takes so many times as long
	writeSlowdown float64 // its writes take so many times as long
	lossRate      float64 // part of the requests that it takes and never answers
	applied       int     // entries
	applyFreeAt   float64 // when its apply thread is done
	shipDelay     float64
	stoppedAt     float64 // its position when it stopped, 0 while it runs
	incarnation   uint32  // grows with each end, so that what was worked on before it is nothing any more
	claimsPrimary bool    // it takes itself for the primary still
	wasPrimary    bool    // it was the primary when it hung
	working       int
	queue         []*Job
	head          int
	coldWork      []workSample // while cold
	coldWorkSum   float64
	report        Report
	nextReport    float64
}

type workSample struct{ at, work float64 }

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
	Draining           // turned away: it drains
	QueueFull          // turned away
	HandedOver         // an error: it had begun, and the server is the primary no more
	PushedOver         // the server was pushed over by this: no answer, its connections break
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
	ID             string
	Writes         bool
	Key            string
	IdempotencyKey string // by which a repeat is known, for IdempotencyMs; empty for none
	IdempotencyMs  float64
	Value          []byte
	Work           float64 // ms on a warm core
	Owner          Owner
	Tag            uint64 // the owner's

	server      *Server
	arrivedAt   float64
	startedAt   float64 // 0 while it was not worked on
	incarnation uint32
	state       jobState
}

type jobState uint8

const (
	jobReceived jobState = iota
	jobQueued
	jobRunning
	jobDone
)

// Role is the server's own word for its role.
func (s *Server) Role() string {
	if s.Group.Primary == s {
		return "primary"
	}
	return "replica"
}

func (s *Server) eligible() bool { return s.Up && !s.Hung && !s.Draining }

// advance has a replica's one thread apply what has been shipped.
func (s *Server) advance(now float64) {
	g := s.Group
	if s.stoppedAt != 0 || g.Primary == s && g.primaryLostAt == 0 {
		return
	}
	for s.applied < g.End() {
		e := g.log[s.applied-g.firstEntry]
		from := max(s.applyFreeAt, e.commit+s.shipDelay)
		done := from + e.cost*s.applySlowdown/s.machineShare
		if done > now {
			return
		}
		s.applied, s.applyFreeAt = s.applied+1, done
	}
}

// Position is the time up to which a server has all commits, in whole Unix milliseconds.
func (s *Server) Position(now float64) float64 {
	s.advance(now)
	return s.position(now)
}

func (s *Server) position(now float64) float64 {
	g := s.Group
	if s.stoppedAt != 0 {
		return s.stoppedAt
	}
	if g.Primary == s && g.primaryLostAt == 0 {
		return math.Floor(now)
	}
	at := now - s.shipDelay
	if g.primaryLostAt != 0 {
		at = min(at, g.primaryLostAt)
	}
	if s.applied < g.End() {
		at = min(at, g.log[s.applied-g.firstEntry].commit-1)
	}
	return math.Floor(at)
}

// Read is a row as the server has it.
func (s *Server) Read(key string) []byte {
	rows := s.Group.rows[key]
	for i := len(rows) - 1; i >= 0; i-- {
		if rows[i].entry < s.applied {
			return rows[i].value
		}
	}
	return nil
}

// Warmth is the part of its capacity that a server has now.
func (s *Server) Warmth(now float64) float64 {
	age := now - s.Started
	if s.Started == 0 || s.world.Cfg.ColdMs <= 0 || age >= s.world.Cfg.ColdMs {
		return 1
	}
	return s.world.Cfg.ColdShare + (1-s.world.Cfg.ColdShare)*age/s.world.Cfg.ColdMs
}

// recordColdWork counts work that a cold server is sent, and tells whether it is pushed over by it.
func (s *Server) recordColdWork(now, work float64) bool {
	w := s.Warmth(now)
	if w >= 1 {
		s.coldWork, s.coldWorkSum = nil, 0
		return false
	}
	cfg := &s.world.Cfg
	s.coldWork = append(s.coldWork, workSample{now, work})
	s.coldWorkSum += work
	for len(s.coldWork) > 0 && now-s.coldWork[0].at > cfg.OverloadWindowMs {
		s.coldWorkSum -= s.coldWork[0].work
		s.coldWork = s.coldWork[1:]
	}
	return cfg.OverloadFactor > 0 && s.coldWorkSum > cfg.OverloadFactor*w*float64(cfg.Cores)*cfg.OverloadWindowMs
}

// Report is the server's report of itself, made anew now and then.
func (s *Server) Report(now float64) Report {
	if now >= s.nextReport {
		s.report = Report{s.Position(now), s.Group.Primary == s || s.claimsPrimary}
		s.nextReport = now + s.world.Draw(s.world.Cfg.ReportInterval)
	}
	return s.report
}

// Accepts tells whether a server would take a request in now, and not turn it away at the door or lose it on the way.
func (s *Server) Accepts(j *Job) bool {
	return s.Up && !s.Hung && !s.DropsRequests && !s.Draining && (!j.Writes || s.takesWrites())
}

// takesWrites tells whether a server takes writes.
func (s *Server) takesWrites() bool {
	return s.Group.Primary == s || s.claimsPrimary || s.world.Cfg.MultiPrimary
}

// Submit has a server take a request. Its owner is told of the answer, perhaps before Take returns.
func (s *Server) Submit(j *Job) {
	now := s.world.clock.Now()
	j.server, j.arrivedAt, j.startedAt, j.incarnation, j.state = s, now, 0, s.incarnation, jobReceived
	switch {
	case !s.Up || s.Hung || s.DropsRequests || s.lossRate > 0 && s.world.rng.Float64() < s.lossRate:
		return // nobody answers
	case j.Writes && !s.takesWrites():
		s.reply(j, Reply{Verdict: NotPrimary})
		return
	case s.Draining:
		s.reply(j, Reply{Verdict: Draining})
		return
	case s.recordColdWork(now, j.Work):
		s.PushedOver = true
		s.reply(j, Reply{Verdict: PushedOver})
		s.terminate(now, "was pushed over while cold")
		return
	case s.working < s.world.Cfg.Cores:
		s.working++
		s.startJob(j, now)
	case s.waiting() >= s.world.Cfg.QueueLimit:
		s.reply(j, Reply{Verdict: QueueFull})
	default:
		j.state = jobQueued
		s.queue = append(s.queue, j)
	}
}

func (s *Server) waiting() int { return len(s.queue) - s.head }

func (s *Server) startJob(j *Job, now float64) {
	j.state, j.startedAt = jobRunning, now
	speed := s.Warmth(now) * s.machineShare
	if j.Writes {
		speed /= s.writeSlowdown
	}
	took := j.Work / speed
	if s.world.Cfg.QueueSlowdown > 0 {
		took *= 1 + s.world.Cfg.QueueSlowdown*float64(s.waiting())/float64(s.world.Cfg.Cores)
	}
	s.world.clock.After(took, j, 0)
}

// Fire ends the work on a job; it is Event's.
func (j *Job) Fire(uint64) {
	s := j.server
	if j.incarnation != s.incarnation || j.state != jobRunning {
		return // its server died meanwhile, or it was cancelled
	}
	j.state = jobDone
	s.startNext()
	if s.Hung || !s.Up {
		return
	}
	now := s.world.clock.Now()
	s.advance(now)
	s.Served++
	r := Run{At: now, Applied: s.applied, Primary: s.world.Cfg.MultiPrimary || s.Group.Primary == s && s.Group.primaryLostAt == 0}
	if !j.Writes {
		r.Position = s.position(now)
		s.world.watcher.Executed(s, j, r)
		s.reply(j, Reply{Value: s.Read(j.Key), Position: r.Position})
		return
	}
	if s.claimsPrimary {
		s.world.watcher.Executed(s, j, r)
		s.reply(j, Reply{Value: j.Value, Position: now})
		return
	}
	if !r.Primary { // it handed over meanwhile
		s.reply(j, Reply{Verdict: HandedOver})
		return
	}
	r.RanBefore = s.world.executedWrites[j.ID]
	if x, known := s.world.firstByKey[j.IdempotencyKey]; j.IdempotencyKey != "" && known {
		if r.RanBefore = true; j.arrivedAt-x.at <= j.IdempotencyMs {
			r.RanBefore, r.RepeatDropped, r.Commit, r.Position = false, true, now, now
			s.world.watcher.Executed(s, j, r)
			s.reply(j, Reply{Value: x.value, Position: now})
			return
		}
	} else if j.IdempotencyKey != "" && len(s.world.firstByKey) < maxRan {
		s.world.firstByKey[j.IdempotencyKey] = firstWrite{j.arrivedAt, j.Value}
	}
	if r.RanBefore && len(s.world.repeatedWrites) < maxTwice {
		s.world.repeatedWrites = append(s.world.repeatedWrites, j.ID)
	}
	if len(s.world.executedWrites) < maxRan {
		s.world.executedWrites[j.ID] = true
	}
	r.Commit = s.Group.Write(now, j.Key, j.Value)
	r.Applied, r.Position = s.applied, r.Commit
	s.world.watcher.Executed(s, j, r)
	s.reply(j, Reply{Value: j.Value, Position: r.Commit})
}

// reply tells a job's owner, with the server's role and position.
func (s *Server) reply(j *Job, r Reply) {
	j.state = jobDone
	if s.DropsAnswers {
		return
	}
	r.Primary = s.Group.Primary == s || s.claimsPrimary
	if r.Position == 0 {
		r.Position = s.Position(s.world.clock.Now())
	}
	j.Owner.Answered(j, r)
}

// startNext hands a core on.
func (s *Server) startNext() {
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
		if j != nil && j.state == jobQueued {
			s.startJob(j, s.world.clock.Now())
			return
		}
	}
	s.working = max(0, s.working-1)
}

// Times is how long a job waited for a core, and how long it has had one by now.
func (j *Job) Times(now float64) (waited, worked float64) {
	if j.startedAt == 0 {
		return now - j.arrivedAt, 0
	}
	return j.startedAt - j.arrivedAt, now - j.startedAt
}

// InProgress tells whether a server has a job that it has not answered.
func (j *Job) InProgress() bool {
	return j.server != nil && j.incarnation == j.server.incarnation && (j.state == jobQueued || j.state == jobRunning)
}

// Cancel stops work on a job whose owner wants it no more: its connection has gone.
func (j *Job) Cancel() {
	s := j.server
	if s == nil || j.incarnation != s.incarnation {
		return
	}
	switch was := j.state; was {
	case jobQueued:
		for i := s.head; i < len(s.queue); i++ {
			if s.queue[i] == j {
				s.queue = append(s.queue[:i], s.queue[i+1:]...)
				break
			}
		}
	case jobRunning:
		s.startNext()
	}
	j.state = jobDone
}

// Work draws a request's work by its class.
func (w *World) Work(class string) float64 {
	if r, ok := w.Cfg.Work[class]; ok {
		if w.Cfg.ExponentialWork {
			return (r[0] + r[1]) / 2 * w.rng.ExpFloat64()
		}
		return w.Draw(r)
	}
	return 5
}

// EffectiveCapacity is what a server does truly: the part of its warm cores that it works with, 0 where it answers nothing, and the part of its requests that it loses.
func (s *Server) EffectiveCapacity(now float64) (cores, loses float64) {
	if !s.eligible() || s.DropsRequests || s.DropsAnswers {
		return 0, s.lossRate
	}
	return s.Warmth(now) * s.machineShare, s.lossRate
}
