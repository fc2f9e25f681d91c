package model

import "fmt"

// Kill ends a server's process: its connections are reset, new ones too.
func (w *World) Kill(name string) error {
	return w.with(name, func(s *Server, now float64) {
		if s.Up {
			s.die(now, "died")
		}
	})
}

func (s *Server) die(now float64, what string) {
	s.stand(now)
	s.Up, s.Hung = false, false
	s.w.fact(s, what)
	s.drop()
	s.w.List.change(s, "removed", 0)
	s.Group.lose(s, now)
}

// stand stops a server's log where it is.
func (s *Server) stand(now float64) {
	if s.stoodAt == 0 {
		s.advance(now)
		s.stoodAt = max(1, s.position(now))
		if s.Group.Primary == s {
			s.applied = s.Group.End()
		}
	}
}

// drop breaks all connections; what was worked on is lost.
func (s *Server) drop() {
	s.life++
	s.queue, s.head, s.working = nil, 0, 0
	s.w.watch.Down(s)
}

// Revive starts a dead server again: cold, and from where it stood.
func (w *World) Revive(name string) error {
	return w.with(name, func(s *Server, now float64) {
		if s.Up || s.Fell {
			return
		}
		s.Up, s.Started, s.sent, s.sentSum = true, now, nil, 0
		s.goOn(now)
		w.fact(s, "came back cold")
		w.List.change(s, "up", 0)
		s.Group.returned(s)
	})
}

// Restart ends a server's process and has another one there at once: cold, at the same address and under the same id.
func (w *World) Restart(name string) error {
	return w.with(name, func(s *Server, now float64) {
		if !s.Up || s.Fell {
			return
		}
		s.stand(now)
		s.Hung, s.Draining, s.rogue = false, false, false
		s.Started, s.sent, s.sentSum = max(1, now), nil, 0
		w.fact(s, "is another process at once, cold")
		s.drop()
		s.goOn(now)
		w.List.change(s, "up", 0)
		s.Group.returned(s)
	})
}

// goOn has a server's log go on from where it stood, behind the group's present primary.
func (s *Server) goOn(now float64) {
	s.stoodAt, s.free = 0, now
	s.applied = max(s.applied, s.Group.base)
}

// Hang has a server take requests and answer none; its process runs on. Unhang has it go on: what it held is reset.
func (w *World) Hang(name string) error {
	return w.with(name, func(s *Server, now float64) {
		if s.Up && !s.Hung {
			s.stand(now)
			s.Hung, s.led = true, s.Group.Primary == s
			w.fact(s, "hangs")
			s.Group.lose(s, now)
		}
	})
}

// Unhang is Hang's end.
func (w *World) Unhang(name string) error {
	return w.with(name, func(s *Server, now float64) {
		if s.Up && s.Hung {
			s.Hung = false
			s.rogue = w.SplitBrain && s.led && s.Group.Primary != s
			s.goOn(now)
			w.fact(s, "answers again")
			s.drop()
			s.Group.returned(s)
		}
	})
}

// Deafen has requests vanish on their way to a server, while probes come through and nobody takes over.
func (w *World) Deafen(name string, on bool) error {
	return w.with(name, func(s *Server, _ float64) {
		s.Deaf = on
		w.fact(s, word(on, "hears no requests, but probes", "hears requests again"))
	})
}

// Silence has what a server answers vanish, while it works on.
func (w *World) Silence(name string, on bool) error {
	return w.with(name, func(s *Server, _ float64) {
		s.Mute = on
		w.fact(s, word(on, "works, but its answers vanish", "its answers arrive again"))
	})
}

func word(on bool, yes, no string) string {
	if on {
		return yes
	}
	return no
}

// Lose has a part of a server's requests taken and never answered.
func (w *World) Lose(name string, part float64) error {
	return w.with(name, func(s *Server, _ float64) {
		s.loses = min(1, max(0, part))
		w.fact(s, fmt.Sprintf("loses %.0f%% of its requests", 100*s.loses))
	})
}

// Disk has a server's writes take so many times as long.
func (w *World) Disk(name string, times float64) error {
	return w.with(name, func(s *Server, _ float64) {
		s.disk = max(0.1, times)
		w.fact(s, fmt.Sprintf("its writes take %.3g times as long", s.disk))
	})
}

// Crowd leaves a server only a part of its machine.
func (w *World) Crowd(name string, left float64) error {
	return w.with(name, func(s *Server, now float64) {
		s.advance(now)
		s.left = min(1, max(0.01, left))
		w.fact(s, fmt.Sprintf("has %.0f%% of its machine", 100*s.left))
	})
}

// Lag has a replica's apply thread take so many times as long.
func (w *World) Lag(name string, times float64) error {
	return w.with(name, func(s *Server, now float64) {
		s.advance(now)
		s.slow = max(0.1, times)
		w.fact(s, fmt.Sprintf("applies its log %.3g times as slowly", s.slow))
	})
}

// Drain has a server finish what it has and want nothing new; a primary hands over. Undrain ends it.
func (w *World) Drain(name string) error {
	return w.with(name, func(s *Server, _ float64) {
		if s.Draining {
			return
		}
		s.Draining = true
		w.fact(s, "drains")
		w.List.change(s, "draining", 0)
		if g := s.Group; g.Primary == s {
			w.later(w.Cfg.Switch.Draw(s.Group.rng), func(now float64) {
				if g.Primary == s {
					g.lostAt, g.Primary = now, nil
					g.promote(now)
				}
			})
		}
	})
}

// Undrain is Drain's end.
func (w *World) Undrain(name string) error {
	return w.with(name, func(s *Server, _ float64) {
		if s.Draining {
			s.Draining = false
			w.fact(s, "drains no more")
			w.List.change(s, "up", 0)
		}
	})
}

// Sound tells whether a server does all that it is to do: it takes, answers and loses nothing, and is as fast as ever.
func (s *Server) Sound(now float64) bool {
	return s.Up && !s.Hung && !s.Deaf && !s.Mute && !s.Draining && s.loses == 0 && s.left >= 1 && s.slow <= 1 && s.disk <= 1 && s.Warmth(now) >= 1
}

// ListLate has the list run later by so many milliseconds.
func (w *World) ListLate(ms float64) { w.List.Extra = ms }

// ListGone has the list answer nobody, and its watches end.
func (w *World) ListGone(gone bool) {
	w.List.Gone = gone
	w.watch.ListDown(gone)
}
