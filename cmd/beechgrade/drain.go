package main

import (
	"beechgrade/internal/frontend/platform"
)

// The times from the start of a drain to its stages, in milliseconds. By 4 s no client may hold a connection that is idle, or on which it has
// sent a request in the last 2 s. CloseActive comes early enough to close a connection (leaveMs and lingerMs of the frontend) even if the
// process is delayed meanwhile.
const (
	closeIdleMs      = 350  // clients have noticed the drain by then: they open no new connections, and reconnect elsewhere
	refuseCommandsMs = 1500 // commands of clients that never become idle are refused from then on
	endPartialMs     = 2500
	closeActiveMs    = 3000
	afterDeadlineMs  = 1000 // from the last deadline of commands accepted before refuseCommandsMs until CloseAll
)

// startDrain starts a drain: client connections are closed in stages, each at a fixed time from now. A resume cancels the remaining stages; a
// shutdown does not.
func (p *pooler) startDrain() {
	p.drainCount++
	number, startedAt := p.drainCount, p.loop.Now()
	if p.pooling != nil {
		p.pooling.Drain()
	}
	if p.clickhouse != nil {
		p.clickhouse.Drain()
	}
	for _, step := range []struct {
		ms    float64
		stage platform.DrainStage
	}{
		{closeIdleMs, platform.CloseIdle}, {refuseCommandsMs, platform.RefuseCommands}, {endPartialMs, platform.EndPartial},
		{closeActiveMs, platform.CloseActive}, {p.closeAllMs(), platform.CloseAll},
	} {
		p.loop.At(startedAt+step.ms, func() {
			if p.drainCount == number {
				p.enterStage(step.stage, startedAt)
			}
		})
	}
}

// closeAllMs returns the time from the start of a drain until all remaining requests are ended, in milliseconds. Requests that began before
// commands were refused have passed their deadlines by then.
func (p *pooler) closeAllMs() float64 {
	return max(stopTimeoutMs, refuseCommandsMs+p.longestDeadline()+afterDeadlineMs)
}

// enterStage moves a drain that started at the given time to a stage.
func (p *pooler) enterStage(stage platform.DrainStage, startedAt float64) {
	p.log.Info("drain stage entered",
		"stage", stage.String(),
		"elapsed_ms", p.loop.Now()-startedAt,
		"sessions", p.platform.Sessions(),
		"partial_messages", p.platform.PartialMessages(),
		"open_requests", p.core.OpenRequests())
	p.platform.SetDrainStage(stage)
	if stage < platform.CloseAll {
		return
	}
	if p.pooling != nil {
		p.pooling.End()
	}
	if p.clickhouse != nil {
		p.clickhouse.End()
	}
}

// resume ends a drain.
func (p *pooler) resume() {
	p.drainCount++ // cancels the remaining stages of the drain
	p.platform.Resume()
	if p.pooling != nil {
		p.pooling.Resume()
	}
	if p.clickhouse != nil {
		p.clickhouse.Resume()
	}
}
