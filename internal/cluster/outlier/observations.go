package outlier

import (
	"slices"
)

// reportAfterWorks is how many times its work an attempt may take before it is told as unanswered.
const reportAfterWorks = 2.0

// localEvidence is what this process saw of a server.
type localEvidence struct {
	openAttempts                          []openAttempt
	answeredAt, answeredSentAt            float64 // the last answer's coming; the send of the latest attempt that was answered
	unanswered                            int     // that ended without an answer, sent after that
	firstUnanswered, lastUnanswered, work float64
	report                                ServerReport
	reportedAt                            float64
	changed                               bool // something is new since it was told
}

type openAttempt struct {
	ref          uint64
	sentAt, work float64
}

func (o *localEvidence) clear() {
	*o = localEvidence{answeredAt: -inf, answeredSentAt: -inf, reportedAt: -inf}
}

func (o *localEvidence) attemptSent(now float64, ref uint64, work float64) {
	if len(o.openAttempts) < maxOpenAttempts {
		o.openAttempts = append(o.openAttempts, openAttempt{ref, now, work})
	}
}

func (o *localEvidence) recordReport(now float64, s ServerReport) {
	if s.Role != RoleUnknown || s.Position > 0 {
		o.report, o.reportedAt, o.changed = s, now, true
	}
}

func (detector *Detector) attemptEnded(e *AttemptEnded) {
	server := detector.byName[e.Server]
	if server == nil {
		return
	}
	o := &server.own
	i := slices.IndexFunc(o.openAttempts, func(x openAttempt) bool { return x.ref == e.Ref })
	if i < 0 {
		return
	}
	x := o.openAttempts[i]
	o.openAttempts = slices.Delete(o.openAttempts, i, i+1)
	switch end := e.Outcome; {
	case end == Answered:
		o.answeredAt, o.answeredSentAt, o.changed = detector.now, max(o.answeredSentAt, x.sentAt), true
		if o.lastUnanswered <= o.answeredSentAt {
			o.unanswered = 0
		} else if o.unanswered > 0 {
			o.unanswered, o.firstUnanswered = 1, o.lastUnanswered
		}
		if server.ejection.active && !server.ejection.testing || detector.isCalledUnhealthy(server) { // it is not what they say
			detector.updateEjection(server)
			detector.reportAtOnce(server)
		}
	case end == Unanswered || detector.now-x.sentAt >= reportAfterWorks*x.work:
		if x.sentAt > o.answeredSentAt {
			if o.unanswered == 0 {
				o.firstUnanswered, o.lastUnanswered, o.work = x.sentAt, x.sentAt, x.work
			}
			o.firstUnanswered, o.lastUnanswered, o.work, o.unanswered, o.changed = min(o.firstUnanswered, x.sentAt), max(o.lastUnanswered, x.sentAt), max(o.work, x.work), min(o.unanswered+1, maxUnanswered), true
		}
	}
	detector.recordReport(server, e.Report)
}

func (detector *Detector) healthChecked(e *HealthChecked) {
	server := detector.byName[e.Server]
	if server == nil {
		return
	}
	detector.recordReport(server, e.Report)
	if e.OK && server.ejection.active && server.ejection.testing {
		detector.actions = append(detector.actions, Action{Kind: Restore, Server: server.Name})
	}
}

// recordReport takes what a server said of itself. That another than the known one leads is told at once.
func (detector *Detector) recordReport(server *serverState, said ServerReport) {
	if server.own.recordReport(detector.now, said); said.Role == RolePrimary && detector.settings.ShareRoles && detector.primaryOf(server.Group) != server {
		detector.reportAtOnce(server)
	}
}

// primaryOf is who leads a group by what the module was told, or by what this process heard itself.
func (detector *Detector) primaryOf(group int) (best *serverState) {
	at := 0.0
	for _, server := range detector.groups[group] {
		if x := server.learnedPositions[1]; x > at {
			best, at = server, x
		}
	}
	return best
}

// reportAtOnce tells the collectors of a server at once, but not twice within a step.
func (detector *Detector) reportAtOnce(server *serverState) {
	if detector.now-server.reportedAt < detector.settings.TickInterval {
		return
	}
	server.reportedAt = detector.now
	detector.sendObservations([]*serverState{server})
}

// observationOf is what there is to tell of a server.
func (detector *Detector) observationOf(server *serverState) Observation {
	o := &server.own
	x := Observation{Key: server.key, Answered: -1}
	if detector.settings.ShareHealth {
		if detector.now-o.answeredAt <= 2*detector.settings.EjectionTime {
			x.Answered = detector.now - o.answeredAt
		}
		n, first, last, work := o.unanswered, o.firstUnanswered, o.lastUnanswered, o.work
		for _, a := range o.openAttempts {
			if a.sentAt <= o.answeredSentAt || detector.now-a.sentAt < reportAfterWorks*a.work {
				continue
			}
			if n == 0 {
				first, last = a.sentAt, a.sentAt
			}
			n, first, last, work = n+1, min(first, a.sentAt), max(last, a.sentAt), max(work, a.work)
		}
		if n > 0 && detector.now-last <= detector.settings.EjectionTime {
			x.Unanswered, x.FirstUnanswered, x.LastUnanswered, x.Work = min(n, maxUnanswered), detector.now-first, detector.now-last, work
		}
	}
	if age := detector.now - o.reportedAt; age <= detector.settings.StaleAfter && (detector.settings.SharePositions || detector.settings.ShareRoles && o.report.Role == RolePrimary) {
		x.Report, x.ReportAge = o.report, age
	}
	return x
}

// reportChanges tells what is new, or all that stands.
func (detector *Detector) reportChanges(full bool) {
	var list []*serverState
	for _, server := range detector.servers {
		if x := detector.observationOf(server); server.own.changed || x.Unanswered != server.reported.Unanswered || full && (x.Unanswered > 0 || x.Answered >= 0 && x.Answered <= detector.settings.EjectionTime || x.Report.Role == RolePrimary) {
			list = append(list, server)
		}
	}
	detector.sendObservations(list)
}

// sendObservations tells the servers' collectors.
func (detector *Detector) sendObservations(list []*serverState) {
	detector.sequence++
	slices.SortStableFunc(list, func(a, b *serverState) int { return a.Group/GroupsPerBlock - b.Group/GroupsPerBlock })
	for len(list) > 0 {
		n := 1
		for n < len(list) && list[n].Group/GroupsPerBlock == list[0].Group/GroupsPerBlock {
			n++
		}
		var items []Observation
		for _, server := range list[:n] {
			x := detector.observationOf(server)
			server.reported, server.own.changed = x, false
			items = append(items, x)
		}
		for _, id := range detector.collectors(list[0]) {
			if id == detector.self {
				for i, server := range list[:n] {
					detector.recordObservation(server, id, detector.sequence, &items[i], 0)
				}
				continue
			}
			split(items, (*Observation).wireBytes, func(part []Observation) {
				detector.actions = append(detector.actions, Action{Kind: Send, To: id, Addr: detector.peerByID[id].Addr, Observations: &Observations{Sequence: detector.sequence, Items: part}})
			})
		}
		list = list[n:]
	}
}
