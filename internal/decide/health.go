package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// answered takes an answer. To an attempt from before the server went down, it shows only that it lived.
func (r *Router) answered(s *server, a *attempt) {
	if s.answered = r.now; a.sent >= s.badAt || s.refusedSince == 0 {
		r.recover(s)
	} else {
		s.refusedSince = r.now
	}
}

// coldAfterOutage takes a server for cold that refused connections for a while: it has probably restarted.
func (r *Router) coldAfterOutage(s *server) {
	if s.refusedSince != 0 && r.now-s.refusedSince >= outage {
		s.coldFrom = max(s.coldFrom, r.now)
	}
}

// recover takes a server back.
func (r *Router) recover(s *server) {
	if s.health == down {
		r.coldAfterOutage(s)
	}
	s.refusedSince, s.probeFails, s.health = 0, 0, healthy
}

// takeDown takes a server out of use.
func (r *Router) takeDown(s *server) {
	if s.health != down {
		r.act(Action{Kind: Log, Text: "store " + string(s.id) + " down"})
	}
	s.health, s.badAt = down, r.now
}

// refused takes a refused or broken connection. A second one without an answer between takes it out of use.
func (r *Router) refused(s *server) {
	if s.refusedSince != 0 || s.health != healthy {
		r.takeDown(s)
	}
	s.refusedSince = cmp.Or(s.refusedSince, r.now)
}

// silent tells whether a server left requests unanswered for longer than chance explains, probes aside.
func (r *Router) silent(s *server) bool {
	first, n, longest := r.now, 0.0, r.work
	for _, a := range s.open {
		if a.passed == 0 && !a.lost { // an overtaken one says something of itself, not of the server
			first, n, longest = min(first, a.sent), n+1, max(longest, a.req.work())
		}
	}
	load, _ := r.load(s)
	limit := longest/(r.rateOf(s)*share(load))*(silentTurns+silentJobs/min(width, n)) + r.linkDelay(s)
	return n > 0 && (r.now-max(s.answered, first)).Seconds() > limit
}

func (r *Router) onProbe(ev *ProbeResult) {
	s := r.servers[ev.Server]
	if s == nil {
		return
	}
	sent := never
	if s.probing {
		sent = s.probeAt
	}
	slow := s.probing && r.observeLink(s, r.now-s.probeAt)
	s.probing = false
	if ev.Result == Full || ev.Result == Failed || ev.Result == Skipped || ev.Result != OK && slow {
		s.probeRefusedAt = r.now // not a report: it takes a server neither out of use nor back
		return
	}
	if s.probeFails++; ev.Result == Unreachable || ev.Result == Reset {
		r.refused(s)
		return
	} else if ev.Result != OK {
		r.takeDown(s)
		return
	}
	if s.probeFails = 0; ev.Load.Role == RolePrimary { // no other answer confirms that it leads
		s.askedAt = s.probeAt
	}
	r.observeClock(s, ev.Load, sent)
	// a primary's position is the time of its report
	r.takeReport(s, ev.Load, s.group.onClock(ev.Load.Position))
	if s.health == down {
		// A probe bypasses its queue, so requests have to prove it. What it had in flight may be gone.
		r.recover(s)
		s.health = onTrial
		s.loseOpen()
	}
	s.refusedSince = 0
	r.drainQueue(s.group)
}

// probe probes a server, unless it was probed within pause.
func (r *Router) probe(s *server, pause time.Duration) {
	if !r.set.MayProbe || s.probing || !s.listed() || s.probeAt != never && r.now-s.probeAt < pause {
		return
	}
	s.probing, s.probeAt = true, r.now
	r.act(Action{Kind: Probe, Server: s.id})
}

// downPause is the time between probes of a server that is down. It grows as they fail.
func (s *server) downPause() time.Duration {
	return probeDown << min(max(0, s.probeFails-probeSoon), probeMost)
}

// tryAgain puts a server that is down on trial after a pause, where it answers no probes: a request alone can
// show that it is back.
func (r *Router) tryAgain(s *server) {
	if !s.listed() || r.now-s.badAt < s.downPause() {
		return
	}
	r.coldAfterOutage(s)
	s.probeFails++
	s.health = onTrial
	s.loseOpen()
}

// tend finds silent servers of a busy group, and probes those down, or all while a write needs a primary.
func (r *Router) tend(grp *group) {
	p, i := r.primary(grp), slices.IndexFunc(grp.held, (*request).primaryOnly)
	seek, pause := (p == nil || !p.usable()) && i >= 0, r.seekEach
	if seek { // the pause at which a round of probes and half a pause of delay cost least together
		least := math.Sqrt(2 * r.set.PriceProbe * float64(len(grp.members)))
		pause = max(pause, seconds(grp.held[i].class.Target.Seconds()*least))
	}
	for _, s := range grp.members {
		r.advance(s)
		if s.health != down && r.silent(s) {
			r.takeDown(s)
		}
		if s == p && grp.clock.reports > 0 {
			r.probe(s, offsetProbe)
		}
		if s.health == down && r.set.MayProbe {
			r.probe(s, s.downPause())
		} else if s.health == down {
			r.tryAgain(s)
		} else if s.refusedSince != 0 {
			r.probe(s, tickEvery)
		} else if seek {
			r.probe(s, pause)
		}
	}
}
