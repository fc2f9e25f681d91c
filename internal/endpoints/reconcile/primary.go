package reconcile

import "fmt"

// updatePrimary decides which server of a group is its primary in the list: the one that reports itself as the primary or, if there
// is none, the one that a source reports as the primary and that does not report itself as a replica. If there are several, the list
// has no primary for the group.
func (r *Reconciler) updatePrimary(group *groupState) {
	primaries := r.primariesOf(group)
	r.notePrimaryProblem(group, primaries)
	for _, id := range sortedKeys(group.members) {
		server := group.members[id]
		isPrimary := len(primaries) == 1 && primaries[0] == server
		if isPrimary != server.entry.Primary {
			server.entry.Primary = isPrimary
			r.changes = append(r.changes, server.entry)
		}
	}
}

// primariesOf returns the servers of a group that may be its primary.
func (r *Reconciler) primariesOf(group *groupState) []*serverState {
	var selfDeclared, sourceDeclared []*serverState
	for _, id := range sortedKeys(group.members) {
		server := group.members[id]
		if server.entry.State != StateServing {
			continue
		}
		reported := r.selfReportedRole(server)
		if reported == Primary {
			selfDeclared = append(selfDeclared, server)
		}
		observed, sourceName := r.observedRole(server)
		denied := observed == Primary && reported == Replica && !r.settings.TrustSourceRoles
		if denied && server.rejectedRole != observed {
			r.addDecision(Rejected, server, sourceName, "it is called the primary, and itself says that it is a replica")
		}
		if denied || observed != Primary {
			server.rejectedRole = observed
		}
		if observed == Primary && !denied {
			sourceDeclared = append(sourceDeclared, server)
		}
	}
	if len(selfDeclared) == 0 || r.settings.TrustSourceRoles && len(sourceDeclared) > 0 {
		return sourceDeclared
	}
	return selfDeclared
}

// notePrimaryProblem adds a decision when a group begins to have no primary, or several.
func (r *Reconciler) notePrimaryProblem(group *groupState, primaries []*serverState) {
	var problem DecisionKind
	var reason string
	switch {
	case len(primaries) > 1:
		problem = MultiplePrimaries
		reason = fmt.Sprintf("%s and %s; the list calls neither one", primaries[0].id, primaries[1].id)
	case len(primaries) == 0 && len(group.members) > 0:
		problem = NoPrimary
		reason = "nobody says that it is, and no source names one that has not denied it"
	}
	if problem != "" && problem != group.lastProblem {
		r.decisions = append(r.decisions, Decision{AtMs: r.now, Kind: problem, Group: group.id, Reason: reason})
	}
	group.lastProblem = problem
}

// selfReportedRole returns the role that a server reports itself, or RoleUnknown if it has not reported one recently.
func (r *Reconciler) selfReportedRole(server *serverState) Role {
	report := r.selfReports[server.entry.Address]
	if report == nil || r.now-report.roleReportedAt > r.settings.SelfReportTTLMs {
		return RoleUnknown
	}
	return report.role
}

// observedRole returns the role that the sources report for a server, and the name of the source that was decisive.
func (r *Reconciler) observedRole(server *serverState) (role Role, sourceName string) {
	for _, stale := range []bool{false, true} {
		for rank, observation := range server.observations {
			source := r.sources[rank]
			if observation == nil || observation.removed || observation.Role == RoleUnknown {
				continue
			}
			if r.sourceCounts(source) && r.isStale(source) == stale {
				return observation.Role, source.name
			}
		}
	}
	return RoleUnknown, ""
}
