package main

import (
	"beechgrade/internal/frontend/platform"
)

// The times from a drain's begin until its stages, in milliseconds. By 4 s no client may hold a connection that is idle, or on which it has
// asked in the last 2 s: CloseActive is early enough for a connection to be shut (leaveMs and lingerMs of the frontend) and for the process to
// be held up meanwhile.
const (
	closeIdleMs      = 350  // until clients' side has noticed: new connections stop, and closed ones go elsewhere
	refuseCommandsMs = 1500 // until the commands of clients that never become idle are refused
	endPartialMs     = 2500
	closeActiveMs    = 3000
	afterDeadlineMs  = 1000 // from the last deadline of what was taken before that until CloseAll
)

// startDrain begins a drain: clients are sent away in stages, each at a time that counts from now. A resume cancels the stages that have not
// come yet; the end of the process does not.
func (p *pooler) startDrain() {
	p.drainCount++
	this, from := p.drainCount, p.loop.Now()
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
		p.loop.At(from+step.ms, func() {
			if p.drainCount == this {
				p.enterStage(step.stage, from)
			}
		})
	}
}

// closeAllMs is the time from a drain's begin until whatever a client still has under way is ended: what was begun before commands were
// refused has had its whole time by then.
func (p *pooler) closeAllMs() float64 {
	return max(stopTimeoutMs, refuseCommandsMs+p.longestDeadline()+afterDeadlineMs)
}

// enterStage brings a drain that began at the given time to a stage.
func (p *pooler) enterStage(stage platform.DrainStage, from float64) {
	p.log.Info("drain",
		"stage", stage.String(),
		"ms", p.loop.Now()-from,
		"sessions", p.platform.Sessions(),
		"halfway", p.platform.PartialMessages(),
		"open", p.core.OpenRequests())
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
	p.drainCount++ // its remaining stages have no effect
	p.platform.Resume()
	if p.pooling != nil {
		p.pooling.Resume()
	}
	if p.clickhouse != nil {
		p.clickhouse.Resume()
	}
}
