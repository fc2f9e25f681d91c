package outlier

import (
	"cmp"
	"slices"
)

// assessment is what a collector said of a server, in this process's time.
type assessment struct {
	sequence                        uint32
	receivedAt                      float64
	unhealthy                       bool // for this process's zone
	firstUnanswered, lastUnanswered float64
	answeredAt                      float64
	observers                       []ID
	report                          ServerReport
	reportedAt                      float64
}

// ejection is how a server stands here by others' word.
type ejection struct {
	active    bool
	testing   bool // it is this process's turn to try
	since     float64
	until     float64
	reason    string
	observers []ID
}

// recordAssessment takes a collector's word.
func (detector *Detector) recordAssessment(server *serverState, from ID, seq uint32, m *Assessment) {
	if !slices.Contains(detector.collectors(server), from) {
		return
	}
	word := server.assessments[from]
	if word == nil {
		word = &assessment{sequence: seq - 1}
		server.assessments[from] = word
	}
	if int32(seq-word.sequence) <= 0 {
		return
	}
	delay := detector.settings.MaxDelay
	if from == detector.self {
		delay = 0
	}
	at := func(age float64) float64 {
		if age < 0 {
			return -inf
		}
		if detector.settings.Fault == AgeFromReceipt {
			return detector.now
		}
		return detector.now - age
	}
	word.sequence, word.receivedAt, word.firstUnanswered, word.lastUnanswered, word.answeredAt, word.observers = seq, detector.now, at(m.FirstUnanswered), at(m.LastUnanswered), at(m.Answered), m.Observers
	word.unhealthy = m.Unhealthy && detector.settings.ShareHealth && (m.AllZones || slices.Contains(m.Zones, zoneKey(detector.peerByID[detector.self].Zone)))
	if m.Report != (ServerReport{}) && m.ReportAge+delay <= detector.settings.StaleAfter {
		word.report, word.reportedAt = m.Report, detector.now-m.ReportAge-delay
	}
	detector.shareReports(server)
	detector.updateEjection(server)
}

// shareReports has the module take the newest that enough collectors say.
func (detector *Detector) shareReports(server *serverState) {
	nth := func(ok func(ServerReport) bool) (p, at float64) {
		var have []*assessment
		for _, word := range server.assessments { // sorted below
			if ok(word.report) && detector.now-word.reportedAt <= detector.settings.StaleAfter {
				have = append(have, word)
			}
		}
		if n := detector.settings.collectorQuorum(len(detector.peers)); len(have) >= n {
			slices.SortFunc(have, func(a, b *assessment) int {
				return cmp.Or(cmp.Compare(b.report.Position, a.report.Position), cmp.Compare(b.reportedAt, a.reportedAt))
			})
			return have[n-1].report.Position, have[n-1].reportedAt
		}
		return 0, 0
	}
	tell := func(k int, role Role, p, at float64) {
		if detector.settings.Fault == PositionsNotAged {
			p = detector.now
		}
		if p > server.learnedPositions[k] {
			server.learnedPositions[k] = p
			detector.actions = append(detector.actions, Action{Kind: LearnReport, Server: server.Name, Report: ServerReport{role, p}, Age: detector.now - at})
		}
	}
	if p, at := nth(func(x ServerReport) bool { return x.Role == RolePrimary && x.Position > 0 }); p > 0 && detector.settings.ShareRoles {
		tell(1, RolePrimary, p, at)
	}
	if p, at := nth(func(x ServerReport) bool { return x.Position > 0 }); p > 0 && detector.settings.SharePositions {
		tell(0, RoleUnknown, p, at)
	}
}

// isCalledUnhealthy tells whether enough collectors call a server bad, and what the newest says.
func (detector *Detector) isCalledUnhealthy(server *serverState) bool {
	n, _ := detector.newestVerdict(server)
	return n
}

func (detector *Detector) newestVerdict(server *serverState) (bool, *assessment) {
	var newest *assessment
	n := 0
	for _, id := range detector.collectors(server) {
		if word := server.assessments[id]; word != nil && word.unhealthy && detector.now-word.receivedAt <= detector.settings.assessmentLifetime() && detector.now-word.lastUnanswered <= detector.settings.EjectionTime {
			if n++; newest == nil || word.lastUnanswered > newest.lastUnanswered {
				newest = word
			}
		}
	}
	return n >= detector.settings.collectorQuorum(len(detector.peers)), newest
}

// updateEjection holds what collectors say of a server against what this process saw, and against what they take away already.
func (detector *Detector) updateEjection(server *serverState) {
	bad, word := detector.newestVerdict(server)
	if bad && server.own.answeredSentAt >= word.firstUnanswered && detector.settings.Fault != IgnoresOwnEvidence { // it answered what this process sent after all that they have against it began
		bad = false
	}
	if bad && !detector.canEject(server) {
		bad = false
	}
	if !bad {
		if server.ejection.active {
			detector.endEjection(server, true)
		}
		return
	}
	begins := !server.ejection.active
	if begins {
		server.ejection = ejection{active: true, since: detector.now}
		detector.actions = append(detector.actions, Action{Kind: Eject, Server: server.Name})
	}
	server.ejection.reason, server.ejection.observers, server.ejection.until = "silent", word.observers, min(word.lastUnanswered+detector.settings.EjectionTime, word.receivedAt+detector.settings.assessmentLifetime())
	if begins {
		detector.actions = append(detector.actions, Action{Kind: EjectionStarted, Server: server.Name, Ejection: server.publicEjection()})
	}
	turn := detector.isTester(server)
	switch {
	case turn && !server.ejection.testing:
		detector.actions = append(detector.actions, Action{Kind: CheckHealth, Server: server.Name})
	case !turn && server.ejection.testing:
		detector.actions = append(detector.actions, Action{Kind: Eject, Server: server.Name})
	}
	server.ejection.testing = turn
}

// canEject tells whether a group can do without a server by others' word: not too many are so, and another is left.
func (detector *Detector) canEject(server *serverState) bool {
	members := detector.groups[server.Group]
	taken, left := 0, 0
	for _, o := range members {
		switch {
		case o == server:
		case o.ejection.active:
			taken++
		case !o.down:
			left++
		}
	}
	return left > 0 && taken < detector.settings.MaxEjected(len(members))
}

// isTester tells whether it is this process's turn to try a server: some of all do at any time, each for a while, the ones with the least hashes.
func (detector *Detector) isTester(server *serverState) bool {
	round := uint64((detector.now - server.ejection.since) / max(1, detector.settings.TesterTurn))
	if round == 0 {
		return false
	}
	draw := func(id ID) uint64 { return mixHash(uint64(server.key)<<32^uint64(id), round+1) }
	own, before := draw(detector.self), 0
	for i := range detector.peers {
		if id := detector.peers[i].ID; id != detector.self && draw(id) < own {
			before++
		}
	}
	return before < detector.settings.TesterCount(len(detector.peers))
}

func mixHash(h, salt uint64) uint64 {
	h = (h ^ salt*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
	h = (h ^ h>>32) * 0xc4ceb9fe1a85ec53
	return h ^ h>>29
}

// endEjection ends a verdict here.
func (detector *Detector) endEjection(server *serverState, try bool) {
	last := server.ejection
	server.ejection = ejection{}
	detector.actions = append(detector.actions, Action{Kind: EjectionEnded, Server: server.Name})
	if !try {
		return
	}
	for _, word := range server.assessments { // any
		if !word.unhealthy && word.answeredAt > last.since {
			detector.actions = append(detector.actions, Action{Kind: Restore, Server: server.Name})
			return
		}
	}
}
