package main

import (
	"fmt"
	"math"
	"runtime"
	"runtime/debug"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/memory"
	"beechgrade/internal/memory/resident"
	"beechgrade/internal/metrics/exposition"
)

const (
	memorySampleMs    = 10      // between samples of the resident memory while it is near the limit, or the account changes much...
	idleSampleMs      = 1000    // ...and otherwise
	returnPauseMs     = 500     // between two times that memory is returned to the system...
	returnMaxPauseMs  = 1000    // ...whatever that costs
	levelLogMs        = 1000    // between two lines of the log about levels
	muchHeldPart      = 8       // memory is returned once less than one part in muchHeldPart of the account's limit is held, after it was more...
	returnsAfterMuch  = 3       // ...so many times, as the clients end one after the other
	programPagesGuess = 6 << 20 // resident pages of the program, where they are not sampled
	runtimeLimitStep  = 1 << 20 // by which the runtime's limit must differ to be set, as that stops all goroutines
	pagesReturnPart   = 3       // the program's pages are returned where they take one part in pagesReturnPart of the memory, and much is held
)

// memoryWatch keeps the process within its memory: it divides the limit among the runtime and the account, and compares the account with the
// resident memory.
type memoryWatch struct {
	account      memory.Account
	sampled      bool // the resident memory is that of this pooler alone
	resident     resident.Reader
	figures      resident.Figures
	highest      int // resident, in bytes
	runtimeLimit int
	level        memory.Level
	loggedLevel  memory.Level
	levelChanges [memory.Levels]uint64
	nextLogAt    float64
	sample       *eventloop.Job
	giveBack     *eventloop.Job // returns memory to the system
	returns      uint64
	returnsToDo  int  // since much was held
	failed       bool // reading failed, and was logged
}

// checkLeastMemory returns an error if a process cannot serve at all with its memory.
func checkLeastMemory(megabytes int) error {
	if least := memory.Least(programPagesGuess); megabytes<<20 < least {
		return fmt.Errorf("limits: memory_mb: %d MB are too little to serve, at least %d are needed", megabytes, (least+1<<20-1)>>20)
	}
	return nil
}

// limitProcessors limits the runtime to the processors that the configuration gives, as each one that it uses takes memory.
func limitProcessors(cores float64) {
	runtime.GOMAXPROCS(max(minProcessors, min(runtime.GOMAXPROCS(0), int(math.Ceil(cores)))))
}

// divideMemory divides the memory of this process anew.
func (p *pooler) divideMemory() {
	watch := &p.memoryWatch
	pages := programPagesGuess
	if watch.sampled {
		pages = watch.figures.Program
	}
	plan := memory.Divide(p.memory(), pages)
	watch.account.SetLimit(plan.Account)
	if !watch.sampled {
		return
	}
	if difference := plan.Runtime - watch.runtimeLimit; difference >= runtimeLimitStep || difference <= -runtimeLimitStep {
		watch.runtimeLimit = plan.Runtime
		debug.SetMemoryLimit(int64(plan.Runtime))
		debug.SetGCPercent(plan.Garbage)
	}
}

// startMemoryWatch samples the resident memory from now on. The process must be that of this pooler alone.
func (p *pooler) startMemoryWatch() {
	watch := &p.memoryWatch
	watch.sampled = true
	watch.sample = p.loop.Job("memory_sample", memorySampleMs, p.sampleMemory)
	watch.account.OnChange(func() { watch.sample.ScheduleIn(memorySampleMs) })
	watch.giveBack = p.loop.Job("memory_return", returnPauseMs, p.returnMemory).PauseAtMost(returnMaxPauseMs)
	p.sampleMemory()
}

// sampleMemory compares the resident memory with the limit, and has memory released where they are near each other.
func (p *pooler) sampleMemory() {
	watch := &p.memoryWatch
	defer p.scheduleSample()
	figures, err := watch.resident.Read()
	if err != nil {
		if !watch.failed {
			p.log.Error("memory: the resident memory cannot be read, only the account bounds it", "err", err)
			watch.failed = true
		}
		return
	}
	watch.figures = figures
	watch.highest = max(watch.highest, figures.Total)
	p.divideMemory()
	watch.account.Require(memory.RequiredLevel(figures.Total, p.memory()))
	p.noteMemoryLevel()
	p.returnUnneeded()
	watch.account.Reclaim()
}

// scheduleSample schedules the next sample, which comes sooner once the account has changed much.
func (p *pooler) scheduleSample() {
	watch := &p.memoryWatch
	watch.account.ResetChanges()
	switch {
	case watch.account.Level() > memory.Normal:
		watch.sample.ScheduleIn(memorySampleMs)
	case watch.returnsToDo > 0:
		watch.sample.ScheduleIn(returnPauseMs)
	default:
		watch.sample.ScheduleIn(idleSampleMs)
	}
}

// returnUnneeded returns memory to the system where much more is resident than is held, or where the limit is near.
func (p *pooler) returnUnneeded() {
	watch := &p.memoryWatch
	muchHeld := watch.account.Total() > watch.account.Limit()/muchHeldPart
	if muchHeld {
		watch.returnsToDo = returnsAfterMuch
	}
	pages := muchHeld && watch.figures.Program > p.memory()/pagesReturnPart
	near := watch.account.Required() > memory.Normal
	released := watch.returnsToDo > 0 && !muchHeld && !p.loop.Late(p.loop.Now())
	if near || pages || released {
		watch.giveBack.ScheduleIn(0)
	}
}

// returnMemory returns free memory and the program's pages to the system, in a goroutine of its own.
func (p *pooler) returnMemory() {
	watch := &p.memoryWatch
	watch.returns++
	watch.returnsToDo = max(0, watch.returnsToDo-1)
	var err error
	watch.giveBack.Aside(func() {
		debug.FreeOSMemory()
		err = resident.ReleaseProgramPages()
	}, func() {
		if err != nil {
			p.log.Debug("memory: the program's pages were not returned", "err", err)
		}
	})
}

// noteMemoryLevel counts and logs changes of the level of overload, with the resident memory, the account and its largest parts.
func (p *pooler) noteMemoryLevel() {
	watch, account := &p.memoryWatch, &p.memoryWatch.account
	level := account.Level()
	if level != watch.level {
		watch.levelChanges[level]++
		watch.level = level
	}
	if now := p.loop.Now(); level != watch.loggedLevel && now >= watch.nextLogAt {
		was := watch.loggedLevel
		watch.loggedLevel = level
		watch.nextLogAt = now + levelLogMs
		p.log.Warn("memory: level of overload changed", "was", was.String(), "now", level.String(), "required", account.Required().String(),
			"resident_kb", watch.figures.Total>>10, "program_kb", watch.figures.Program>>10, "limit_kb", p.memory()>>10,
			"account_kb", account.Total()>>10, "account_limit_kb", account.Limit()>>10, "connections_kb", account.Held(memory.Connections)>>10,
			"input_kb", account.Held(memory.Input)>>10, "statements_kb", account.Held(memory.Statements)>>10,
			"answers_kb", account.Held(memory.Answers)>>10, "server_answers_kb", account.Held(memory.ServerAnswers)>>10)
	}
}

// writeMemoryMetrics writes the account by kind, the level, the resident memory, and how often memory was returned to the system.
func (p *pooler) writeMemoryMetrics(snapshot *exposition.Snapshot) {
	watch, account := &p.memoryWatch, &p.memoryWatch.account
	scope := snapshot.Scope("memory")
	scope.IntGauge("limit_bytes", int64(p.memory()))
	scope.IntGauge("resident_bytes", int64(watch.figures.Total))
	scope.IntGauge("resident_highest_bytes", int64(watch.highest))
	scope.IntGauge("program_bytes", int64(watch.figures.Program))
	scope.IntGauge("account_limit_bytes", int64(account.Limit()))
	scope.IntGauge("account_bytes", int64(account.Total()))
	for kind := range memory.Kinds {
		scope.Label("kind", kind.String()).IntGauge("held_bytes", int64(account.Held(kind)))
	}
	scope.IntGauge("level", int64(account.Level()))
	for level := memory.HoldReading; level < memory.Levels; level++ {
		scope.Label("level", level.Name()).Counter("level_reached", watch.levelChanges[level])
	}
	scope.Counter("returned", watch.returns)
	scope.Counter("ended_streams", p.backend.SlowStreams())
}
