package eventloop

import (
	"time"

	"golang.org/x/sys/unix"

	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/metrics/exposition"
)

// Bounds of the time that jobs take, so that requests have the rest, however small a share of a processor the process gets.
const (
	jobsPart     = 20 // all jobs together take at most one part in jobsPart of the loop's time...
	savedMs      = 50 // ...and what they did not take before, up to this...
	maxIntervals = 10 // ...as long as none waits longer than so many of its intervals for that
	lateMs       = 25 // a loop on which a client's input has waited longer has no time for optional jobs
)

// Job is work that the process does by itself, at times of its own: no request asked for it. Its next run comes no sooner than its cost allows,
// on the loop's clock. Its methods must be called on the loop.
type Job struct {
	loop       *Loop
	name       string // in the metrics and the log
	intervalMs float64
	maxPauseMs float64 // that it waits after a run for what that cost
	optional   bool    // it waits while the loop is late
	run        func()
	timer      *timers.Timer
	dueAt      float64 // of timer, 0 for none
	notBefore  float64 // the earliest time of the next run
	dueSince   float64 // when it would have run first, if the loop had not been late; 0 while it does not wait for that
	postponed  uint64  // runs that waited because the loop was late
	isAside    bool    // a run goes on in a goroutine of its own...
	runAgain   bool    // ...and another one was due meanwhile

	runs      uint64
	tookMs    float64 // all runs together, on the loop's clock
	longestMs float64
	processor time.Duration // that all runs together used
}

// Job returns a new job, which runs when it is scheduled, usually after an interval.
func (l *Loop) Job(name string, intervalMs float64, run func()) *Job {
	job := &Job{loop: l, name: name, intervalMs: intervalMs, maxPauseMs: maxIntervals * intervalMs, run: run}
	l.jobs = append(l.jobs, job)
	return job
}

// Every runs a function periodically, for the first time after the interval.
func (l *Loop) Every(name string, intervalMs float64, run func()) *Job {
	var job *Job
	job = l.Job(name, intervalMs, func() {
		run()
		job.ScheduleIn(intervalMs)
	})
	job.ScheduleIn(intervalMs)
	return job
}

// Optional makes the job wait while the loop is late, for maxIntervals intervals at most, and returns it.
func (j *Job) Optional() *Job {
	j.optional = true
	return j
}

// PauseAtMost bounds how long the job waits after a run for what that cost, and returns the job.
func (j *Job) PauseAtMost(ms float64) *Job {
	j.maxPauseMs = ms
	return j
}

// ScheduleIn schedules the next run, unless an earlier one is scheduled already.
func (j *Job) ScheduleIn(ms float64) { j.scheduleAt(j.loop.Now() + ms) }

func (j *Job) scheduleAt(at float64) {
	at = max(at, j.notBefore)
	if j.dueAt != 0 && j.dueAt <= at {
		return
	}
	j.loop.StopTimer(j.timer)
	j.dueAt = at
	j.timer = j.loop.At(at, j.runNow)
}

// runNow runs the job, unless its last run was so long that another one has to wait, or the loop is late.
func (j *Job) runNow() {
	j.dueAt = 0
	if j.isAside {
		j.runAgain = true
		return
	}
	began := j.loop.Now()
	if began < j.notBefore {
		j.scheduleAt(j.notBefore)
		return
	}
	if j.waitsForLoop(began) {
		j.scheduleAt(began + j.intervalMs)
		return
	}
	if run := j.Time(j.run); !j.isAside {
		j.Note(run)
	}
}

// waitsForLoop reports whether an optional job waits because the loop is late.
func (j *Job) waitsForLoop(now float64) bool {
	if !j.optional || !j.loop.Late(now) {
		j.dueSince = 0
		return false
	}
	if j.dueSince == 0 {
		j.dueSince = now
		j.postponed++
	}
	if now-j.dueSince >= maxIntervals*j.intervalMs {
		j.dueSince = 0
		return false
	}
	return true
}

// Late reports whether a client's input has waited for its turn for so long that nothing optional may run before it.
func (l *Loop) Late(now float64) bool {
	return len(l.turns.ready) > 0 && now-l.turns.ready[0].queuedSince > lateMs
}

// JobRun is what a run of a job took.
type JobRun struct {
	tookMs    float64 // on the loop's clock
	processor time.Duration
}

// Time runs work and returns what that took. It may be called from any goroutine.
func (j *Job) Time(work func()) JobRun {
	began, used := j.loop.Now(), threadTime()
	work()
	return JobRun{tookMs: j.loop.Now() - began, processor: max(0, threadTime()-used)} // the goroutine may have changed its thread meanwhile
}

// PauseAfter returns for how many milliseconds the job has to wait after a run where the time of jobs is used up and there are so many jobs.
func (j *Job) PauseAfter(run JobRun, jobs int) float64 {
	return min(run.tookMs*jobsPart*float64(jobs), j.maxPauseMs)
}

// Aside runs work on a goroutine of its own, as the present run of the job, and then done on the loop. Until then the job does not run again.
func (j *Job) Aside(work, done func()) {
	j.isAside = true
	go func() {
		run := j.Time(work)
		j.loop.Post(func() {
			j.isAside = false
			j.Note(run)
			done()
			if j.runAgain {
				j.runAgain = false
				j.ScheduleIn(0)
			}
		})
	}()
}

// Note counts a run. Where the jobs have used up their time, the next one waits as long as its cost asks for.
func (j *Job) Note(run JobRun) {
	now := j.loop.Now()
	j.notBefore = 0
	if j.loop.jobTime.take(now, run.tookMs) < 0 {
		j.notBefore = now + j.PauseAfter(run, len(j.loop.jobs))
	}
	j.runs++
	j.tookMs += run.tookMs
	j.longestMs = max(j.longestMs, run.tookMs)
	j.processor += run.processor
}

// jobTime is the time that the jobs may take together, and have not taken yet.
type jobTime struct {
	leftMs float64 // negative if they have taken more
	at     float64 // of leftMs, on the loop's clock
}

// take subtracts the time of a run, and returns what is left.
func (t *jobTime) take(now, tookMs float64) float64 {
	t.leftMs = min(savedMs, t.leftMs+(now-t.at)/jobsPart) - tookMs
	t.at = now
	return t.leftMs
}

// writeJobMetrics writes how often each job ran, how long that took, and the processor time that it used.
func (l *Loop) writeJobMetrics(loop exposition.Scope) {
	for _, job := range l.jobs {
		scope := loop.Label("job", job.name)
		scope.Counter("job_runs", job.runs)
		scope.Counter("job_postponed", job.postponed)
		scope.Counter("job_us", uint64(job.tookMs*usPerMs))
		scope.Counter("job_processor_us", uint64(job.processor.Microseconds()))
		scope.IntGauge("longest_job_us", int64(job.longestMs*usPerMs))
	}
}

const usPerMs = 1000

// threadTime returns the processor time that the present thread has used, 0 if the system does not tell.
func threadTime() time.Duration {
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
		return 0
	}
	return time.Duration(used.Nano())
}

// processTime returns the processor time that the process has used, 0 if the system does not tell.
func processTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
