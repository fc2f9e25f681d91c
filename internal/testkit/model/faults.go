package model

import "fmt"

// Kill ends a server's process: its connections are reset and new ones are refused.
func (w *World) Kill(name string) error {
	return w.withServer(name, func(s *Server, now float64) {
		if s.Up {
			s.terminate(now, "died")
		}
	})
}

func (s *Server) terminate(now float64, what string) {
	s.stopLog(now)
	s.Up, s.Hung = false, false
	s.world.recordFact(s, what)
	s.breakConnections()
	s.world.List.update(s, "removed", 0)
	s.Group.memberLost(s, now)
}

// stopLog freezes a server's position in the log.
func (s *Server) stopLog(now float64) {
	if s.stoppedAt == 0 {
		s.advance(now)
		s.stoppedAt = max(1, s.position(now))
		if s.Group.Primary == s {
			s.applied = s.Group.End()
		}
	}
}

// breakConnections breaks all connections; jobs in progress are lost.
func (s *Server) breakConnections() {
	s.incarnation++
	s.queue, s.head, s.working = nil, 0, 0
	s.world.watcher.Down(s)
}

// Revive starts a dead server again, cold and from its last position.
func (w *World) Revive(name string) error {
	return w.withServer(name, func(s *Server, now float64) {
		if s.Up || s.PushedOver {
			return
		}
		s.Up, s.Started, s.coldWork, s.coldWorkSum = true, now, nil, 0
		s.resumeLog(now)
		w.recordFact(s, "came back cold")
		w.List.update(s, "up", 0)
		s.Group.memberReturned(s)
	})
}

// Restart replaces a server's process at once by a cold one with the same address and ID.
func (w *World) Restart(name string) error {
	return w.withServer(name, func(s *Server, now float64) {
		if !s.Up || s.PushedOver {
			return
		}
		s.stopLog(now)
		s.Hung, s.Draining, s.claimsPrimary = false, false, false
		s.Started, s.coldWork, s.coldWorkSum = max(1, now), nil, 0
		w.recordFact(s, "is another process at once, cold")
		s.breakConnections()
		s.resumeLog(now)
		w.List.update(s, "up", 0)
		s.Group.memberReturned(s)
	})
}

// resumeLog lets a server apply the log again from its frozen position.
func (s *Server) resumeLog(now float64) {
	s.stoppedAt, s.applyFreeAt = 0, now
	s.applied = max(s.applied, s.Group.firstEntry)
}

// Hang makes a server accept requests without answering, while its process runs on.
func (w *World) Hang(name string) error {
	return w.withServer(name, func(s *Server, now float64) {
		if s.Up && !s.Hung {
			s.stopLog(now)
			s.Hung, s.wasPrimary = true, s.Group.Primary == s
			w.recordFact(s, "hangs")
			s.Group.memberLost(s, now)
		}
	})
}

// Unhang ends Hang; the server's connections are reset.
func (w *World) Unhang(name string) error {
	return w.withServer(name, func(s *Server, now float64) {
		if s.Up && s.Hung {
			s.Hung = false
			s.claimsPrimary = w.SplitBrain && s.wasPrimary && s.Group.Primary != s
			s.resumeLog(now)
			w.recordFact(s, "answers again")
			s.breakConnections()
			s.Group.memberReturned(s)
		}
	})
}

// DropRequests loses requests on their way to a server, or ends that. Health checks arrive and there is no failover.
func (w *World) DropRequests(name string, on bool) error {
	return w.withServer(name, func(s *Server, _ float64) {
		s.DropsRequests = on
		w.recordFact(s, either(on, "hears no requests, but probes", "hears requests again"))
	})
}

// DropAnswers loses a server's answers while it executes requests, or ends that.
func (w *World) DropAnswers(name string, on bool) error {
	return w.withServer(name, func(s *Server, _ float64) {
		s.DropsAnswers = on
		w.recordFact(s, either(on, "works, but its answers vanish", "its answers arrive again"))
	})
}

func either(on bool, yes, no string) string {
	if on {
		return yes
	}
	return no
}

// LoseRequests makes a server accept and never answer a share of its requests, from 0 to 1.
func (w *World) LoseRequests(name string, part float64) error {
	return w.withServer(name, func(s *Server, _ float64) {
		s.lossRate = min(1, max(0, part))
		w.recordFact(s, fmt.Sprintf("loses %.0f%% of its requests", 100*s.lossRate))
	})
}

// SlowWrites multiplies the time of a server's writes.
func (w *World) SlowWrites(name string, times float64) error {
	return w.withServer(name, func(s *Server, _ float64) {
		s.writeSlowdown = max(0.1, times)
		w.recordFact(s, fmt.Sprintf("its writes take %.3g times as long", s.writeSlowdown))
	})
}

// LimitMachine leaves a server a share of its machine, from 0.01 to 1.
func (w *World) LimitMachine(name string, left float64) error {
	return w.withServer(name, func(s *Server, now float64) {
		s.advance(now)
		s.machineShare = min(1, max(0.01, left))
		w.recordFact(s, fmt.Sprintf("has %.0f%% of its machine", 100*s.machineShare))
	})
}

// SlowReplication multiplies the time that a replica needs to apply an entry.
func (w *World) SlowReplication(name string, times float64) error {
	return w.withServer(name, func(s *Server, now float64) {
		s.advance(now)
		s.applySlowdown = max(0.1, times)
		w.recordFact(s, fmt.Sprintf("applies its log %.3g times as slowly", s.applySlowdown))
	})
}

// Drain makes a server finish its jobs and reject new ones; a primary hands over.
func (w *World) Drain(name string) error {
	return w.withServer(name, func(s *Server, _ float64) {
		if s.Draining {
			return
		}
		s.Draining = true
		w.recordFact(s, "drains")
		w.List.update(s, "draining", 0)
		if g := s.Group; g.Primary == s {
			w.after(w.Cfg.SwitchoverDelay.Draw(s.Group.rng), func(now float64) {
				if g.Primary == s {
					g.primaryLostAt, g.Primary = now, nil
					g.promote(now)
				}
			})
		}
	})
}

// Undrain ends Drain.
func (w *World) Undrain(name string) error {
	return w.withServer(name, func(s *Server, _ float64) {
		if s.Draining {
			s.Draining = false
			w.recordFact(s, "drains no more")
			w.List.update(s, "up", 0)
		}
	})
}

// Healthy reports whether no fault affects a server: it accepts and answers all requests at full speed.
func (s *Server) Healthy(now float64) bool {
	answers := s.eligible() && !s.DropsRequests && !s.DropsAnswers && s.lossRate == 0
	return answers && s.isFullSpeed(now)
}

// isFullSpeed reports whether no fault slows a server down and it is warm.
func (s *Server) isFullSpeed(now float64) bool {
	slowed := s.machineShare < 1 || s.applySlowdown > 1 || s.writeSlowdown > 1
	return !slowed && s.Warmth(now) >= 1
}

// DelayList adds a delay to the list.
func (w *World) DelayList(ms float64) { w.List.ExtraDelayMs = ms }

// SetListUnavailable ends the list's watches and makes it unavailable, or available again.
func (w *World) SetListUnavailable(gone bool) {
	w.List.Unavailable = gone
	w.watcher.ListDown(gone)
}
