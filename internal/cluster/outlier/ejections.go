package outlier

import (
	"cmp"
	"slices"
)

// unresponsiveReason is the reason of an ejection in logs and in answers of the admin endpoint.
const unresponsiveReason = "silent"

// assessment is the last assessment of a server by a collector. Times are on this process's clock.
type assessment struct {
	sequence        uint32
	receivedAt      float64
	unhealthy       bool // for this process's zone
	firstUnanswered float64
	lastUnanswered  float64
	answeredAt      float64
	observers       []ID
	report          ServerReport
	reportedAt      float64
}

// ejection is the ejection of a server on shared evidence.
type ejection struct {
	active    bool
	testing   bool // it is this process's turn to test the server
	since     float64
	until     float64
	reason    string
	observers []ID
}

// recordAssessment records a collector's assessment of a server and applies it.
func (detector *Detector) recordAssessment(server *serverState, from ID, sequence uint32, item *Assessment) {
	if !slices.Contains(detector.collectors(server), from) {
		return
	}
	a := server.assessments[from]
	if a == nil {
		a = &assessment{sequence: sequence - 1}
		server.assessments[from] = a
	}
	if !advance(&a.sequence, sequence) {
		return
	}
	at := func(age float64) float64 {
		if age < 0 {
			return -inf
		}
		return detector.receivedTime(age)
	}
	a.receivedAt = detector.now
	a.firstUnanswered = at(item.FirstUnanswered)
	a.lastUnanswered = at(item.LastUnanswered)
	a.answeredAt = at(item.Answered)
	a.observers = item.Observers
	ownZone := item.AllZones || slices.Contains(item.Zones, zoneKey(detector.peerByID[detector.self].Zone))
	a.unhealthy = item.Unhealthy && detector.settings.ShareHealth && ownZone
	delay := detector.settings.MaxDelay
	if from == detector.self {
		delay = 0
	}
	if item.Report != (ServerReport{}) && item.ReportAge+delay <= detector.settings.StaleAfter {
		a.report = item.Report
		a.reportedAt = detector.now - item.ReportAge - delay
	}
	detector.shareReports(server)
	detector.updateEjection(server)
}

// shareReports passes the newest positions that a quorum of collectors reports to the decision module: the one as the primary, and the one
// in any role.
func (detector *Detector) shareReports(server *serverState) {
	if detector.settings.ShareRoles {
		position, at := detector.quorumPosition(server, func(r ServerReport) bool { return r.Role == RolePrimary && r.Position > 0 })
		detector.learn(server, &server.primaryPosition, ServerReport{RolePrimary, position}, at)
	}
	if detector.settings.SharePositions {
		position, at := detector.quorumPosition(server, func(r ServerReport) bool { return r.Position > 0 })
		detector.learn(server, &server.learnedPosition, ServerReport{RoleUnknown, position}, at)
	}
}

// quorumPosition returns the newest position for which a quorum of collectors reports it or a later one, and the time of that report; 0 for
// none. counts selects the reports.
func (detector *Detector) quorumPosition(server *serverState, counts func(ServerReport) bool) (position, at float64) {
	var fresh []*assessment
	for _, a := range server.assessments {
		if counts(a.report) && detector.now-a.reportedAt <= detector.settings.StaleAfter {
			fresh = append(fresh, a)
		}
	}
	quorum := detector.settings.collectorQuorum(len(detector.peers))
	if len(fresh) < quorum {
		return 0, 0
	}
	slices.SortFunc(fresh, func(a, b *assessment) int {
		return cmp.Or(cmp.Compare(b.report.Position, a.report.Position), cmp.Compare(b.reportedAt, a.reportedAt))
	})
	last := fresh[quorum-1]
	return last.report.Position, last.reportedAt
}

// learn passes a report to the decision module if its position is newer than the learned one.
func (detector *Detector) learn(server *serverState, learned *float64, report ServerReport, at float64) {
	if report.Position <= 0 {
		return
	}
	if detector.settings.Fault == PositionsNotAged {
		report.Position = detector.now
	}
	if report.Position > *learned {
		*learned = report.Position
		detector.actions = append(detector.actions, Action{Kind: LearnReport, Server: server.Name, Report: report, Age: detector.now - at})
	}
}

func (detector *Detector) isCalledUnhealthy(server *serverState) bool {
	unhealthy, _ := detector.quorumVerdict(server)
	return unhealthy
}

// quorumVerdict reports whether a quorum of collectors calls a server unhealthy, and returns the one of their assessments with the newest
// evidence.
func (detector *Detector) quorumVerdict(server *serverState) (unhealthy bool, newest *assessment) {
	n := 0
	for _, id := range detector.collectors(server) {
		a := server.assessments[id]
		if a == nil || !detector.callsUnhealthy(a) {
			continue
		}
		n++
		if newest == nil || a.lastUnanswered > newest.lastUnanswered {
			newest = a
		}
	}
	return n >= detector.settings.collectorQuorum(len(detector.peers)), newest
}

// callsUnhealthy reports whether an assessment calls its server unhealthy, and it and its evidence are recent enough.
func (detector *Detector) callsUnhealthy(a *assessment) bool {
	recent := detector.now-a.receivedAt <= detector.settings.assessmentLifetime()
	return a.unhealthy && recent && detector.now-a.lastUnanswered <= detector.settings.EjectionTime
}

// updateEjection starts, renews or ends a server's ejection. A server is ejected if a quorum of collectors calls it unhealthy, this
// process's own observations do not contradict that, and canEject allows it.
func (detector *Detector) updateEjection(server *serverState) {
	unhealthy, verdict := detector.quorumVerdict(server)
	if unhealthy && server.own.answeredSentAt >= verdict.firstUnanswered && detector.settings.Fault != IgnoresOwnEvidence {
		unhealthy = false
	}
	if !unhealthy || !detector.canEject(server) {
		if server.ejection.active {
			detector.endEjection(server, true)
		}
		return
	}
	e := &server.ejection
	starts := !e.active
	if starts {
		*e = ejection{active: true, since: detector.now}
		detector.actions = append(detector.actions, Action{Kind: Eject, Server: server.Name})
	}
	e.reason = unresponsiveReason
	e.observers = verdict.observers
	e.until = min(verdict.lastUnanswered+detector.settings.EjectionTime, verdict.receivedAt+detector.settings.assessmentLifetime())
	if starts {
		detector.actions = append(detector.actions, Action{Kind: EjectionStarted, Server: server.Name, Ejection: server.publicEjection()})
	}
	detector.updateTesting(server)
}

// updateTesting starts or ends this process's turn to test an ejected server.
func (detector *Detector) updateTesting(server *serverState) {
	testing := detector.isTester(server)
	switch {
	case testing && !server.ejection.testing:
		detector.actions = append(detector.actions, Action{Kind: CheckHealth, Server: server.Name})
	case !testing && server.ejection.testing:
		detector.actions = append(detector.actions, Action{Kind: Eject, Server: server.Name})
	}
	server.ejection.testing = testing
}

// canEject reports whether a server may be ejected: fewer than MaxEjected other members of its group are, and another member is up.
func (detector *Detector) canEject(server *serverState) bool {
	members := detector.groups[server.Group]
	ejected, up := 0, 0
	for _, member := range members {
		switch {
		case member == server:
		case member.ejection.active:
			ejected++
		case !member.down:
			up++
		}
	}
	return up > 0 && ejected < detector.settings.MaxEjected(len(members))
}

// isTester reports whether it is this process's turn to test a server. In each TesterTurn after the first, the TesterCount poolers with the
// lowest hashes test it.
func (detector *Detector) isTester(server *serverState) bool {
	turn := uint64((detector.now - server.ejection.since) / max(1, detector.settings.TesterTurn))
	if turn == 0 {
		return false
	}
	rank := func(id ID) uint64 { return mixHash(uint64(server.key)<<32^uint64(id), turn+1) }
	own, before := rank(detector.self), 0
	for i := range detector.peers {
		if id := detector.peers[i].ID; id != detector.self && rank(id) < own {
			before++
		}
	}
	return before < detector.settings.TesterCount(len(detector.peers))
}

// Factors and shifts of mixHash. The factors are odd numbers with about as many one bits as zero bits.
const (
	blockHashFactor = 0x9e3779b97f4a7c15
	firstMixFactor  = 0xff51afd7ed558ccd
	secondMixFactor = 0xc4ceb9fe1a85ec53
	firstMixShift   = 32
	secondMixShift  = 29
	saltFactor      = blockHashFactor
)

func mixHash(h, salt uint64) uint64 {
	h = (h ^ salt*saltFactor) * firstMixFactor
	h = (h ^ h>>firstMixShift) * secondMixFactor
	return h ^ h>>secondMixShift
}

// endEjection ends an ejection. With restore, the decision module learns that the server answers again if a collector knows of an answer
// since the ejection started.
func (detector *Detector) endEjection(server *serverState, restore bool) {
	last := server.ejection
	server.ejection = ejection{}
	detector.actions = append(detector.actions, Action{Kind: EjectionEnded, Server: server.Name})
	if !restore {
		return
	}
	for _, a := range server.assessments {
		if !a.unhealthy && a.answeredAt > last.since {
			detector.actions = append(detector.actions, Action{Kind: Restore, Server: server.Name})
			return
		}
	}
}
