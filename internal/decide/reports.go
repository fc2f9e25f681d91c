package decide

// positionGain is the weight of one report in the rate at which a server's position advances.
const positionGain = 0.3

// positionOr returns the reported position, or a default without one.
func (report *Report) positionOr(other Time) Time {
	if report.HasPosition {
		return report.Position
	}
	return other
}

// applyReport takes a report's role, position and load; at is the time of the evidence for the role.
func (r *Router) applyReport(s *server, report Report, at Time) {
	if report.HasPosition {
		r.applyPosition(s, report)
	}
	if report.Role != RoleUnknown && at >= s.roleAt {
		s.role = report.Role
		s.roleAt = min(at, r.now)
	}
	if report.HasInFlight {
		r.advanceService(s)
		s.othersLoad = max(0, report.InFlight-float64(len(s.openAttempts)))
		s.loadReportedAt = r.now
		r.loadReported = true
	}
}

// applyPosition takes a reported position, unless it goes back or lies ahead of the servers' clock.
func (r *Router) applyPosition(s *server, report Report) {
	s.positionReportedAt = max(s.positionReportedAt, r.now-report.Age)
	if report.Position <= s.position || report.Position > r.serverClockNow(s.group) {
		return
	}
	if s.position != never && r.now-s.positionAt > 0 {
		advanced := float64(report.Position-s.position) / float64(r.now-s.positionAt)
		s.positionRate += positionGain * (min(1, advanced) - s.positionRate)
	}
	s.position = report.Position
	s.positionAt = r.now
}
