package outlier

const (
	maxVouchers = 16 // upper limit of MinVouchers
	roleCount   = RoleReplica + 1
)

// newestPositions holds the newest reported positions, the newest first, with the times of the reports.
type newestPositions struct {
	positions  [maxVouchers]float64
	reportedAt [maxVouchers]float64
	count      int
}

// add inserts a position if it is among the newest limit ones.
func (n *newestPositions) add(position, reportedAt float64, limit int) {
	i := n.count
	for i > 0 && position > n.positions[i-1] {
		i--
	}
	if i >= limit {
		return
	}
	n.count = min(n.count+1, limit)
	copy(n.positions[i+1:n.count], n.positions[i:])
	copy(n.reportedAt[i+1:n.count], n.reportedAt[i:])
	n.positions[i], n.reportedAt[i] = position, reportedAt
}

// vouchedReport returns the newest position and role of a server that at least MinVouchers observers confirm, each by reporting that
// position or a later one, and the time of the report with exactly that position.
func (detector *Detector) vouchedReport(server *serverState) (ServerReport, float64) {
	vouchers := min(maxVouchers, max(1, detector.settings.MinVouchers))
	if detector.settings.Fault == SingleObserver {
		vouchers = 1
	}
	var byRole [roleCount]newestPositions // the entry of RoleUnknown holds the reports of all roles
	for _, o := range server.observers {
		if o.report.Position <= 0 || detector.now-o.reportedAt > detector.settings.StaleAfter || !detector.isTrusted(o) {
			continue
		}
		byRole[RoleUnknown].add(o.report.Position, o.reportedAt, vouchers)
		if o.report.Role != RoleUnknown {
			byRole[o.report.Role].add(o.report.Position, o.reportedAt, vouchers)
		}
	}
	vouched := func(role Role) float64 {
		if byRole[role].count < vouchers {
			return 0
		}
		return byRole[role].positions[vouchers-1]
	}
	role := RoleUnknown
	switch {
	case detector.settings.ShareRoles && vouched(RolePrimary) > vouched(RoleReplica):
		role = RolePrimary
	case !detector.settings.SharePositions || vouched(RoleUnknown) == 0:
		return ServerReport{}, 0
	case vouched(RoleReplica) > 0:
		role = RoleReplica
	}
	newest := &byRole[role]
	return ServerReport{role, newest.positions[vouchers-1]}, newest.reportedAt[vouchers-1]
}
