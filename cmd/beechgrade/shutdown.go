package main

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/lifecycle"
)

// The times of a shutdown, in milliseconds. "The longest deadline" is that of all classes, but longestDeadlineMs at most.
const (
	longestDeadlineMs     = 3000
	acceptAfterTermMs     = 700   // from SIGTERM, while clients may still connect
	handOverMs            = 100   // from the handover, for connections that were just accepted to reach the loop
	closeIdleAfterMs      = 250   // from the longest deadline until idle connections are closed
	endPartialAfterMs     = 500   // from the longest deadline until no more requests are accepted
	closeActiveAfterMs    = 550   // from the longest deadline until connections of clients that keep sending are closed
	dropClientsAfterMs    = 600   // from the longest deadline until clients that do not close their side are disconnected
	stopTimeoutMs         = 10000 // after which the process ends even with answers outstanding
	stopPollMs            = 20    // between checks for outstanding answers...
	stopMaxPauseMs        = 500   // ...whatever they cost
	lateLoopMs            = 25    // a loop on which clients' input waits longer for its turn is late
	latenessLead          = 2     // idle connections are closed earlier by so many of these waits: to read what was sent, and to answer it
	queuedConnectionsMs   = 1000  // at the end, for connections waiting in the listener's queue to be accepted and refused
	minQueuedConnectionMs = 50    // the minimum of that, where the process may be killed soon
)

// shutdown is the process's shutdown, from SIGTERM until the loop ends.
//
// Where another process accepts on the same socket, client connections are closed as they become idle, and clients reconnect to that process.
// Otherwise new connections stop once clients have noticed the restart, but open connections stay in use, as no other pooler may be available for
// their requests. They are closed as late as still allows answering every request, and clients to read the answers, before the process may be
// killed.
type shutdown struct {
	pooler  *pooler
	began   float64 // ms, when the process was told to end
	longest float64 // deadline of all classes, ms, longestDeadlineMs at most
	minMs   float64 // shortest duration, ms
	checks  *eventloop.Job

	closeIdleAt float64 // ms, earlier while the loop is late
}

// beginShutdown starts the shutdown. drained reports that a drain has started before, so idle connections are closed at once.
func (p *pooler) beginShutdown(drained bool) {
	s := &shutdown{pooler: p, began: p.loop.Now(), longest: min(p.longestDeadline(), longestDeadlineMs), minMs: acceptAfterTermMs}
	if p.toldToEndAt != 0 {
		s.began = p.toldToEndAt
	}
	s.checks = p.loop.Job("shutdown", stopPollMs, s.check).PauseAtMost(stopMaxPauseMs)
	p.core.SetAnswerDeadline(s.deadline() + endPartialAfterMs)
	s.closeIdleAt = s.deadline() + closeIdleAfterMs
	if p.lifecycle.State() == lifecycle.HandingOver {
		s.handOver()
		s.closeIdleAt, s.minMs = s.began, handOverMs
	} else if drained {
		s.closeIdleAt = s.began
	}
	s.enterStageAt(s.closeIdleAt, platform.CloseIdle)
	s.enterStageAt(s.deadline()+endPartialAfterMs, platform.EndPartial)
	s.enterStageAt(s.deadline()+closeActiveAfterMs, platform.CloseActive)
	s.drainFrontends()
	s.check()
}

// longestDeadline returns the longest deadline of all classes, in milliseconds.
func (p *pooler) longestDeadline() float64 {
	longest := 0.0
	for _, class := range p.cfg.Settings.Classes {
		longest = max(longest, clock.ToMillis(class.Deadline))
	}
	return longest
}

// deadline returns the time by which the last request accepted before the shutdown has its answer.
func (s *shutdown) deadline() float64 { return s.began + s.longest }

func (s *shutdown) enterStageAt(at float64, stage platform.DrainStage) {
	s.pooler.loop.At(at, func() { s.pooler.platform.SetDrainStage(stage) })
}

// closeIdleEarly closes connections as they become idle as much earlier as the loop is late: what clients send before that is read and answered in
// the time that remains. Clients that connect during acceptAfterTermMs are not affected.
func (s *shutdown) closeIdleEarly(now float64) {
	wait := s.pooler.loop.RecentWait(now)
	if wait < lateLoopMs || now < max(s.began+acceptAfterTermMs, s.closeIdleAt-latenessLead*wait) {
		return
	}
	s.pooler.platform.SetDrainStage(platform.CloseIdle)
	s.pooler.core.SetAnswerDeadline(max(now, s.deadline()+endPartialAfterMs-wait))
}

// handOver stops accepting on the inherited socket and leaves the fleet; the next process takes over both.
func (s *shutdown) handOver() {
	s.pooler.stopAccepting()
	if s.pooler.peers != nil {
		s.pooler.peers.Leave(true)
	}
	s.enterStageAt(s.deadline(), platform.RefuseCommands)
}

// drainFrontends stops the optional frontends' listeners and starts draining their clients.
func (s *shutdown) drainFrontends() {
	p := s.pooler
	if p.pooling != nil {
		p.stopPooling()
		p.pooling.Drain()
	}
	if p.clickhouse != nil {
		p.stopClickHouse()
		p.clickhouse.Drain()
	}
}

// check ends the process once it may end. Until then it checks again every stopPollMs, or as its cost allows.
func (s *shutdown) check() {
	p := s.pooler
	now := p.loop.Now()
	s.closeIdleEarly(now)
	if s.mustContinue(now) {
		s.checks.ScheduleIn(stopPollMs)
		return
	}
	p.log.Info("shutdown: clients and requests are done, ending the process", "elapsed_ms", now-s.began)
	if p.credit != nil {
		p.credit.close()
	}
	if p.peers != nil {
		p.peers.Leave(false)
	}
	p.endLoop(max(now+minQueuedConnectionMs, min(now+queuedConnectionsMs, s.deadline()+dropClientsAfterMs)))
}

// mustContinue reports whether clients may still connect, are still connected, or still wait for an answer.
func (s *shutdown) mustContinue(now float64) bool {
	p := s.pooler
	if now < s.began+s.minMs {
		return true
	}
	if now < s.deadline()+dropClientsAfterMs && p.platform.Sessions() > 0 {
		return true
	}
	return now < s.began+stopTimeoutMs && p.answersOutstanding()
}

// answersOutstanding reports whether any client waits for an answer.
func (p *pooler) answersOutstanding() bool {
	if p.platform.HasOutstanding() || p.core.OpenRequests() > 0 {
		return true
	}
	if p.pooling != nil && p.pooling.HasOutstanding() {
		return true
	}
	return p.clickhouse != nil && p.clickhouse.HasOutstanding()
}

// endLoop ends the loop. Connections waiting in the listener's queue are accepted and refused first, since closing the listener would reset them.
// At the given time the loop ends whether or not their clients have read the answer.
func (p *pooler) endLoop(deadline float64) {
	p.platform.SetDrainStage(platform.EndPartial)
	p.loop.StopAccepting(deadline-p.loop.Now(), func(accepted int) {
		var poll func()
		poll = func() {
			if now := p.loop.Now(); accepted > 0 && p.platform.Sessions() > 0 && now < deadline {
				p.loop.At(min(deadline, now+stopPollMs), poll)
				return
			}
			p.loop.End()
		}
		poll()
	})
}
