package main

import (
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/lifecycle"
)

// The times of the end of a process, in milliseconds. What counts from the longest deadline of all classes, counts longestDeadlineMs at most.
const (
	longestDeadlineMs     = 3000
	acceptAfterTermMs     = 700   // from SIGTERM on, in which clients still come
	handOverMs            = 100   // from the hand-over on, for connections that were just accepted to reach the loop
	closeIdleAfterMs      = 250   // from the longest deadline until idle connections are closed
	endPartialAfterMs     = 500   // from the longest deadline until nothing more is taken
	closeActiveAfterMs    = 550   // from the longest deadline until connections of clients that go on sending are closed
	dropClientsAfterMs    = 600   // from the longest deadline until clients are dropped that do not close their side
	stopTimeoutMs         = 10000 // after which the process ends with answers outstanding
	stopPollMs            = 20    // between two looks at whether answers are outstanding
	queuedConnectionsMs   = 1000  // at the end, for connections that wait in the listener's queue to be accepted and refused
	minQueuedConnectionMs = 50    // of that, where the process may be killed soon
)

// shutdown is the end of the service, from SIGTERM until the loop ends.
//
// Where another process accepts on the same socket, clients' connections are closed as they fall idle, and clients connect to that process.
// Otherwise new connections stop once clients' side has noticed the restart, but open connections stay in use: nobody else may be there to take
// their requests. They are closed late, early enough to answer everything before the process may be killed, and for clients to read the answers.
type shutdown struct {
	pooler  *pooler
	began   float64 // ms
	longest float64 // deadline of all classes, ms, longestDeadlineMs at most
	minMs   float64 // that it lasts
}

// beginShutdown begins the shutdown. drained says that clients have been sent away already.
func (p *pooler) beginShutdown(drained bool) {
	s := &shutdown{pooler: p, began: p.loop.Now(), longest: min(p.longestDeadline(), longestDeadlineMs), minMs: acceptAfterTermMs}
	p.core.SetAnswerDeadline(s.deadline() + endPartialAfterMs)
	closeIdleAt := s.deadline() + closeIdleAfterMs
	if p.lifecycle.State() == lifecycle.HandingOver {
		s.handOver()
		closeIdleAt, s.minMs = s.began, handOverMs
	} else if drained {
		closeIdleAt = s.began
	}
	s.enterStageAt(closeIdleAt, platform.CloseIdle)
	s.enterStageAt(s.deadline()+endPartialAfterMs, platform.EndPartial)
	s.enterStageAt(s.deadline()+closeActiveAfterMs, platform.CloseActive)
	s.drainFrontends()
	s.poll()
}

// longestDeadline is that of all classes, in milliseconds.
func (p *pooler) longestDeadline() float64 {
	longest := 0.0
	for _, class := range p.cfg.Settings.Classes {
		longest = max(longest, clock.ToMillis(class.Deadline))
	}
	return longest
}

// deadline is when the last request that was taken before the shutdown has its answer.
func (s *shutdown) deadline() float64 { return s.began + s.longest }

func (s *shutdown) enterStageAt(at float64, stage platform.DrainStage) {
	s.pooler.loop.At(at, func() { s.pooler.platform.SetDrainStage(stage) })
}

// handOver leaves the listening socket, and the place in the fleet, to the next process.
func (s *shutdown) handOver() {
	s.pooler.stopAccepting()
	if s.pooler.peers != nil {
		s.pooler.peers.Leave(true)
	}
	s.enterStageAt(s.deadline(), platform.RefuseCommands)
}

// drainFrontends stops the optional frontends' listeners and sends their clients away.
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

// poll ends the process once it may end, and looks again after stopPollMs until then.
func (s *shutdown) poll() {
	p := s.pooler
	now := p.loop.Now()
	if s.mustContinue(now) {
		p.loop.At(now+stopPollMs, s.poll)
		return
	}
	p.log.Info("drained", "ms", now-s.began)
	if p.credit != nil {
		p.credit.close()
	}
	if p.peers != nil {
		p.peers.Leave(false)
	}
	p.endLoop(max(now+minQueuedConnectionMs, min(now+queuedConnectionsMs, s.deadline()+dropClientsAfterMs)))
}

// mustContinue reports whether clients may still come, are still connected, or still wait for an answer.
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

// endLoop ends the loop. Connections that wait in the listener's queue are accepted and refused first, since closing the listener would reset
// them; at the given time the loop ends whether or not their clients have read that.
func (p *pooler) endLoop(by float64) {
	p.platform.SetDrainStage(platform.EndPartial)
	p.loop.StopAccepting(by-p.loop.Now(), func(accepted int) {
		var poll func()
		poll = func() {
			if now := p.loop.Now(); accepted > 0 && p.platform.Sessions() > 0 && now < by {
				p.loop.At(min(by, now+stopPollMs), poll)
				return
			}
			p.loop.End()
		}
		poll()
	})
}
