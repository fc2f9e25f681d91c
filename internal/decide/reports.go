package decide

// positionGain is the weight of one report in the average rate at which a server's position advances.
const positionGain = 0.3

// positionOr returns the reported position, or other if the report has none.
func (report *Report) positionOr(other Time) Time {
	if report.HasPosition {
		return report.Position
	}
	return other
}

// applyReport applies a report's role, position and load to a server; at is the time of the evidence for the
// role.
func (r *Router) applyReport(server *server, report Report, at Time) {
	if report.HasPosition {
		r.applyPosition(server, report)
	}
	if report.Role != RoleUnknown && at >= server.roleAt {
		server.role = report.Role
		server.roleAt = min(at, r.now)
	}
	if report.HasInFlight {
		r.advanceService(server)
		server.othersLoad = max(0, report.InFlight-float64(len(server.openAttempts)))
		server.loadReportedAt = r.now
		r.loadReported = true
	}
}

// applyPosition applies a reported position, unless it is older than the known one or ahead of the servers'
// clock.
func (r *Router) applyPosition(server *server, report Report) {
	server.positionReportedAt = max(server.positionReportedAt, r.now-report.Age)
	if report.Position <= server.position || report.Position > r.serverClockNow(server.group) {
		return
	}
	if server.position != never && r.now-server.positionAt > 0 {
		advanced := float64(report.Position-server.position) / float64(r.now-server.positionAt)
		server.positionRate += positionGain * (min(1, advanced) - server.positionRate)
	}
	server.position = report.Position
	server.positionAt = r.now
}
