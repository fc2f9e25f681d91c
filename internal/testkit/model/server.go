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
	Hung          bool // accepts requests and answers none
	DropsRequests bool // requests are lost on their way to it; health checks arrive
	DropsAnswers  bool // requests are executed and answers are lost, also those of health checks
	Draining      bool
	PushedOver    bool
	Started       float64 // 0 for long ago
	Served        int

	world         *World
	machineShare  float64 // share of its machine that it may use
	applySlowdown float64 // factor on the time to apply an entry
	writeSlowdown float64 // factor on the time of writes
	lossRate      float64 // share of the requests that it accepts and never answers
	applied       int     // entries
	applyFreeAt   float64 // when its apply thread is free
	shipDelay     float64
	stoppedAt     float64 // its frozen position, 0 while it applies the log
	incarnation   uint32  // grows as connections break, which invalidates earlier jobs
	claimsPrimary bool    // it accepts writes although it was replaced
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

// Report is a server's load report.
type Report struct {
	Position float64
	Primary  bool
}

// Verdict is the result of a request at a server.
type Verdict uint8

// The verdicts.
const (
	Served     Verdict = iota
	NotPrimary         // a write at a replica
	Draining           // rejected: the server is draining
	QueueFull          // rejected
	HandedOver         // a write failed because the server handed over meanwhile
	PushedOver         // the request overloaded the cold server: no answer, its connections break
)

// Reply is a server's answer.
type Reply struct {
	Verdict  Verdict
	Value    []byte
	Position float64
	Primary  bool
}

// Owner receives a job's answer once, or never if the server dies, hangs or loses the job.
type Owner interface{ Answered(j *Job, r Reply) }

// Job is a request at a server.
type Job struct {
	ID             string
	Writes         bool
	Key            string
	IdempotencyKey string // identifies repeats for IdempotencyMs; empty for none
	IdempotencyMs  float64
	Value          []byte
	Work           float64 // ms on a warm core
	Owner          Owner
	Tag            uint64 // for the owner

	server      *Server
	arrivedAt   float64
	startedAt   float64 // 0 before its execution
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

// Role returns the server's actual role.
func (s *Server) Role() string {
	if s.Group.Primary == s {
		return "primary"
	}
	return "replica"
}

func (s *Server) eligible() bool { return s.Up && !s.Hung && !s.Draining }

// advance applies the entries that a replica's single thread has had time for.
func (s *Server) advance(now float64) {
	g := s.Group
	if s.stoppedAt != 0 || s.isGroupPrimary() {
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

// Position returns the time up to which a server has all commits, in whole Unix milliseconds.
func (s *Server) Position(now float64) float64 {
	s.advance(now)
	return s.position(now)
}

func (s *Server) position(now float64) float64 {
	g := s.Group
	if s.stoppedAt != 0 {
		return s.stoppedAt
	}
	if s.isGroupPrimary() {
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

// Read returns a row's value at the server, nil for none.
func (s *Server) Read(key string) []byte {
	rows := s.Group.rows[key]
	for i := len(rows) - 1; i >= 0; i-- {
		if rows[i].entry < s.applied {
			return rows[i].value
		}
	}
	return nil
}

// Warmth returns the share of its capacity that a server has during its warm-up, up to 1.
func (s *Server) Warmth(now float64) float64 {
	age := now - s.Started
	if s.Started == 0 || s.world.Cfg.ColdMs <= 0 || age >= s.world.Cfg.ColdMs {
		return 1
	}
	return s.world.Cfg.ColdShare + (1-s.world.Cfg.ColdShare)*age/s.world.Cfg.ColdMs
}

// recordColdWork counts work sent to a cold server, and reports whether it overloads the server.
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

// Report returns the server's load report, which is renewed periodically.
func (s *Server) Report(now float64) Report {
	if now >= s.nextReport {
		s.report = Report{s.Position(now), s.Group.Primary == s || s.claimsPrimary}
		s.nextReport = now + s.world.Draw(s.world.Cfg.ReportInterval)
	}
	return s.report
}

// Accepts reports whether a server would accept a request that arrives now.
func (s *Server) Accepts(j *Job) bool {
	return s.Up && !s.Hung && !s.DropsRequests && !s.Draining && (!j.Writes || s.takesWrites())
}

// takesWrites reports whether a server accepts writes.
func (s *Server) takesWrites() bool {
	return s.Group.Primary == s || s.claimsPrimary || s.world.Cfg.MultiPrimary
}

// Submit hands a request to a server. Its owner receives the answer, possibly before Submit returns.
func (s *Server) Submit(j *Job) {
	now := s.world.clock.Now()
	j.server, j.arrivedAt, j.startedAt, j.incarnation, j.state = s, now, 0, s.incarnation, jobReceived
	switch {
	case !s.Up || s.Hung || s.DropsRequests || s.lossRate > 0 && s.world.rng.Float64() < s.lossRate:
		return // there is no answer
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
	duration := j.Work / speed
	if s.world.Cfg.QueueSlowdown > 0 {
		duration *= 1 + s.world.Cfg.QueueSlowdown*float64(s.waiting())/float64(s.world.Cfg.Cores)
	}
	s.world.clock.After(duration, j, 0)
}

// Fire implements Event: it ends the execution of a job.
func (j *Job) Fire(uint64) {
	s := j.server
	if j.incarnation != s.incarnation || j.state != jobRunning {
		return // its connection broke, or the job was cancelled
	}
	j.state = jobDone
	s.startNext()
	if s.Hung || !s.Up {
		return
	}
	now := s.world.clock.Now()
	s.advance(now)
	s.Served++
	run := Run{At: now, Applied: s.applied, Primary: s.world.Cfg.MultiPrimary || s.isGroupPrimary()}
	switch {
	case !j.Writes:
		run.Position = s.position(now)
		s.world.watcher.Executed(s, j, run)
		s.reply(j, Reply{Value: s.Read(j.Key), Position: run.Position})
	case s.claimsPrimary:
		s.world.watcher.Executed(s, j, run)
		s.reply(j, Reply{Value: j.Value, Position: now})
	case !run.Primary: // the server handed over meanwhile
		s.reply(j, Reply{Verdict: HandedOver})
	default:
		s.executeWrite(j, run)
	}
}

// isGroupPrimary reports whether a server is its group's primary and accepts writes.
func (s *Server) isGroupPrimary() bool { return s.Group.Primary == s && s.Group.primaryLostAt == 0 }

// executeWrite executes a write at the primary, or answers a repeat of a keyed write without executing it.
func (s *Server) executeWrite(j *Job, run Run) {
	w, now := s.world, run.At
	run.RanBefore = w.executedWrites[j.ID]
	earlier, known := w.firstByKey[j.IdempotencyKey]
	switch {
	case j.IdempotencyKey == "":
	case known && j.arrivedAt-earlier.at <= j.IdempotencyMs:
		run.RanBefore, run.RepeatDropped, run.Commit, run.Position = false, true, now, now
		w.watcher.Executed(s, j, run)
		s.reply(j, Reply{Value: earlier.value, Position: now})
		return
	case known:
		run.RanBefore = true
	case len(w.firstByKey) < maxWrites:
		w.firstByKey[j.IdempotencyKey] = firstWrite{j.arrivedAt, j.Value}
	}
	if run.RanBefore && len(w.repeatedWrites) < maxRepeatedWrites {
		w.repeatedWrites = append(w.repeatedWrites, j.ID)
	}
	if len(w.executedWrites) < maxWrites {
		w.executedWrites[j.ID] = true
	}
	run.Commit = s.Group.Write(now, j.Key, j.Value)
	run.Applied, run.Position = s.applied, run.Commit
	w.watcher.Executed(s, j, run)
	s.reply(j, Reply{Value: j.Value, Position: run.Commit})
}

// reply answers a job, with the server's role and position.
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

// startNext starts the next queued job on a core that is free.
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

// Times returns for how many ms a job waited for a core, and for how many it has been executed.
func (j *Job) Times(now float64) (waited, worked float64) {
	if j.startedAt == 0 {
		return now - j.arrivedAt, 0
	}
	return j.startedAt - j.arrivedAt, now - j.startedAt
}

// InProgress reports whether a server has the job and has not answered it.
func (j *Job) InProgress() bool {
	return j.server != nil && j.incarnation == j.server.incarnation && (j.state == jobQueued || j.state == jobRunning)
}

// Cancel stops a job whose connection was closed.
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

// Work draws a request's work by its class, in ms on a warm core.
func (w *World) Work(class string) float64 {
	if r, ok := w.Cfg.Work[class]; ok {
		if w.Cfg.ExponentialWork {
			return (r[0] + r[1]) / 2 * w.rng.ExpFloat64()
		}
		return w.Draw(r)
	}
	return 5
}

// EffectiveCapacity returns a server's capacity as a share of that of its warm cores, 0 if it answers nothing, and the share
// of its requests that it loses.
func (s *Server) EffectiveCapacity(now float64) (cores, loses float64) {
	if !s.eligible() || s.DropsRequests || s.DropsAnswers {
		return 0, s.lossRate
	}
	return s.Warmth(now) * s.machineShare, s.lossRate
}
