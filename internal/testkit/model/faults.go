package model

import "fmt"

// Kill ends a server's process: its connections are reset, new ones too.
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

// stopLog stops a server's log where it is.
func (s *Server) stopLog(now float64) {
	if s.stoppedAt == 0 {
		s.advance(now)
		s.stoppedAt = max(1, s.position(now))
		if s.Group.Primary == s {
			s.applied = s.Group.End()
		}
	}
}

// breakConnections breaks all connections; what was worked on is lost.
func (s *Server) breakConnections() {
	s.incarnation++
	s.queue, s.head, s.working = nil, 0, 0
	s.world.watcher.Down(s)
}

// Revive starts a dead server again: cold, and from where it stood.
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

// Restart ends a server's process and has another one there at once: cold, at the same address and under the same id.
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

// resumeLog has a server's log go on from where it stood, behind the group's present primary.
func (s *Server) resumeLog(now float64) {
	s.stoppedAt, s.applyFreeAt = 0, now
	s.applied = max(s.applied, s.Group.firstEntry)
}

// Hang has a server take requests and answer none; its process runs on. Unhang has it go on: what it held is reset.
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

// Unhang is Hang's end.
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

// DropRequests has requests vanish on their way to a server, while probes come through and nobody takes over.
func (w *World) DropRequests(name string, on bool) error {
	return w.withServer(name, func(s *Server, _ float64) {
		s.DropsRequests = on
		w.recordFact(s, either(on, "hears no requests, but probes", "hears requests again"))
	})
}

// DropAnswers has what a server answers vanish, while it works on.
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

// LoseRequests has a part of a server's requests taken and never answered.
func (w *World) LoseRequests(name string, part float64) error {
	return w.withServer(name, func(s *Server, _ float64) {
		s.lossRate = min(1, max(0, part))
		w.recordFact(s, fmt.Sprintf("loses %.0f%% of its requests", 100*s.lossRate))
	})
}

// SlowWrites has a server's writes take so many times as long.
func (w *World) SlowWrites(name string, times float64) error {
	return w.withServer(name, func(s *Server, _ float64) {
		s.writeSlowdown = max(0.1, times)
		w.recordFact(s, fmt.Sprintf("its writes take %.3g times as long", s.writeSlowdown))
	})
}

// LimitMachine leaves a server only a part of its machine.
func (w *World) LimitMachine(name string, left float64) error {
	return w.withServer(name, func(s *Server, now float64) {
		s.advance(now)
		s.machineShare = min(1, max(0.01, left))
		w.recordFact(s, fmt.Sprintf("has %.0f%% of its machine", 100*s.machineShare))
	})
}

// SlowReplication has a replica's apply thread take so many times as long.
func (w *World) SlowReplication(name string, times float64) error {
	return w.withServer(name, func(s *Server, now float64) {
		s.advance(now)
		s.applySlowdown = max(0.1, times)
		w.recordFact(s, fmt.Sprintf("applies its log %.3g times as slowly", s.applySlowdown))
	})
}

// Drain has a server finish what it has and want nothing new; a primary hands over. Undrain ends it.
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

// Undrain is Drain's end.
func (w *World) Undrain(name string) error {
	return w.withServer(name, func(s *Server, _ float64) {
		if s.Draining {
			s.Draining = false
			w.recordFact(s, "drains no more")
			w.List.update(s, "up", 0)
		}
	})
}

// Healthy tells whether a server does all that it is to do: it takes, answers and loses nothing, and is as fast as ever.
func (s *Server) Healthy(now float64) bool {
	return s.Up && !s.Hung && !s.DropsRequests && !s.DropsAnswers && !s.Draining && s.lossRate == 0 && s.machineShare >= 1 && s.applySlowdown <= 1 && s.writeSlowdown <= 1 && s.Warmth(now) >= 1
}

// DelayList has the list run later by so many milliseconds.
func (w *World) DelayList(ms float64) { w.List.ExtraDelayMs = ms }

// SetListUnavailable has the list answer nobody, and its watches end.
func (w *World) SetListUnavailable(gone bool) {
	w.List.Unavailable = gone
	w.watcher.ListDown(gone)
}
