package outlier

import "slices"

const (
	reportAfterWorks = 2.0 // an open attempt is reported as unanswered after this many times its work
	answerMemory     = 2.0 // an answer is reported for this many times EjectionTime
)

// localEvidence is this process's own evidence about a server. Times are in ms.
type localEvidence struct {
	openAttempts    []openAttempt
	answeredAt      float64 // arrival time of the last answer
	answeredSentAt  float64 // latest sending time of an answered attempt
	unanswered      int     // attempts that ended without an answer, sent after answeredSentAt
	firstUnanswered float64 // sending times of the first and the last of them
	lastUnanswered  float64
	work            float64 // ms that one of them should have taken, at most
	report          ServerReport
	reportedAt      float64
	changed         bool // since the last sent observation
}

type openAttempt struct {
	ref    uint64
	sentAt float64
	work   float64 // ms
}

func (o *localEvidence) clear() {
	*o = localEvidence{answeredAt: -inf, answeredSentAt: -inf, reportedAt: -inf}
}

func (o *localEvidence) attemptSent(now float64, ref uint64, work float64) {
	if len(o.openAttempts) < maxOpenAttempts {
		o.openAttempts = append(o.openAttempts, openAttempt{ref, now, work})
	}
}

func (o *localEvidence) attemptAnswered(now float64, attempt openAttempt) {
	o.answeredAt = now
	o.answeredSentAt = max(o.answeredSentAt, attempt.sentAt)
	o.changed = true
	switch {
	case o.lastUnanswered <= o.answeredSentAt:
		o.unanswered = 0
	case o.unanswered > 0: // of the unanswered attempts, at least the last one was sent after the answered one
		o.unanswered = 1
		o.firstUnanswered = o.lastUnanswered
	}
}

func (o *localEvidence) attemptUnanswered(attempt openAttempt) {
	if attempt.sentAt <= o.answeredSentAt {
		return
	}
	if o.unanswered == 0 {
		o.firstUnanswered, o.lastUnanswered, o.work = attempt.sentAt, attempt.sentAt, attempt.work
	}
	o.firstUnanswered = min(o.firstUnanswered, attempt.sentAt)
	o.lastUnanswered = max(o.lastUnanswered, attempt.sentAt)
	o.work = max(o.work, attempt.work)
	o.unanswered = min(o.unanswered+1, maxUnanswered)
	o.changed = true
}

func (o *localEvidence) recordReport(now float64, report ServerReport) {
	if report.isEmpty() {
		return
	}
	o.report = report
	o.reportedAt = now
	o.changed = true
}

func (detector *Detector) attemptEnded(event *AttemptEnded) {
	server := detector.byName[event.Server]
	if server == nil {
		return
	}
	own := &server.own
	i := slices.IndexFunc(own.openAttempts, func(attempt openAttempt) bool { return attempt.ref == event.Ref })
	if i < 0 {
		return
	}
	attempt := own.openAttempts[i]
	own.openAttempts = slices.Delete(own.openAttempts, i, i+1)
	switch {
	case event.Outcome == Answered:
		own.attemptAnswered(detector.now, attempt)
		ejected := server.ejection.active && !server.ejection.testing
		if ejected || detector.isCalledUnhealthy(server) { // this answer contradicts the collectors
			detector.updateEjection(server)
			detector.reportAtOnce(server)
		}
	case event.Outcome == Unanswered || detector.now-attempt.sentAt >= reportAfterWorks*attempt.work:
		own.attemptUnanswered(attempt)
	}
	detector.recordReport(server, event.Report)
}

func (detector *Detector) healthChecked(event *HealthChecked) {
	server := detector.byName[event.Server]
	if server == nil {
		return
	}
	detector.recordReport(server, event.Report)
	if event.OK && server.ejection.active && server.ejection.testing {
		detector.actions = append(detector.actions, Action{Kind: Restore, Server: server.Name})
	}
}

// recordReport records a server's report. A report by a primary other than the known one is sent to the collectors at once.
func (detector *Detector) recordReport(server *serverState, report ServerReport) {
	server.own.recordReport(detector.now, report)
	if report.Role == RolePrimary && detector.settings.ShareRoles && detector.primaryOf(server.Group) != server {
		detector.reportAtOnce(server)
	}
}

// primaryOf returns the server of a group with the newest position as the primary; nil if none is known.
func (detector *Detector) primaryOf(group int) (primary *serverState) {
	newest := 0.0
	for _, server := range detector.groups[group] {
		if server.primaryPosition > newest {
			primary, newest = server, server.primaryPosition
		}
	}
	return primary
}

// reportAtOnce sends the observation of a server to its collectors, at most once in a TickInterval.
func (detector *Detector) reportAtOnce(server *serverState) {
	if detector.now-server.reportedAt < detector.settings.TickInterval {
		return
	}
	server.reportedAt = detector.now
	detector.sendObservations([]*serverState{server})
}

// observationOf returns this process's observation of a server.
func (detector *Detector) observationOf(server *serverState) Observation {
	own := &server.own
	out := Observation{Key: server.key, Answered: -1}
	if detector.settings.ShareHealth {
		if detector.now-own.answeredAt <= answerMemory*detector.settings.EjectionTime {
			out.Answered = detector.now - own.answeredAt
		}
		waiting := own.withOpenAttempts(detector.now)
		if waiting.unanswered > 0 && detector.now-waiting.lastUnanswered <= detector.settings.EjectionTime {
			out.Unanswered = min(waiting.unanswered, maxUnanswered)
			out.FirstUnanswered = detector.now - waiting.firstUnanswered
			out.LastUnanswered = detector.now - waiting.lastUnanswered
			out.Work = waiting.work
		}
	}
	shared := detector.settings.SharePositions || detector.settings.ShareRoles && own.report.Role == RolePrimary
	if age := detector.now - own.reportedAt; age <= detector.settings.StaleAfter && shared {
		out.Report, out.ReportAge = own.report, age
	}
	return out
}

// unansweredAttempts describes attempts without an answer: their number, the sending times of the first and the last, and the work of one.
type unansweredAttempts struct {
	unanswered      int
	firstUnanswered float64
	lastUnanswered  float64
	work            float64
}

// withOpenAttempts returns the unanswered attempts, including open attempts that have taken too long.
func (o *localEvidence) withOpenAttempts(now float64) unansweredAttempts {
	sum := unansweredAttempts{o.unanswered, o.firstUnanswered, o.lastUnanswered, o.work}
	for _, attempt := range o.openAttempts {
		if attempt.sentAt <= o.answeredSentAt || now-attempt.sentAt < reportAfterWorks*attempt.work {
			continue
		}
		if sum.unanswered == 0 {
			sum.firstUnanswered, sum.lastUnanswered = attempt.sentAt, attempt.sentAt
		}
		sum.unanswered++
		sum.firstUnanswered = min(sum.firstUnanswered, attempt.sentAt)
		sum.lastUnanswered = max(sum.lastUnanswered, attempt.sentAt)
		sum.work = max(sum.work, attempt.work)
	}
	return sum
}

// reportChanges sends the observations that changed; if all is true, also those that are current.
func (detector *Detector) reportChanges(all bool) {
	var changed []*serverState
	for _, server := range detector.servers {
		observation := detector.observationOf(server)
		if server.own.changed || observation.Unanswered != server.reported.Unanswered || all && detector.isCurrent(&observation) {
			changed = append(changed, server)
		}
	}
	detector.sendObservations(changed)
}

// isCurrent reports whether an observation is part of a refresh.
func (detector *Detector) isCurrent(o *Observation) bool {
	answered := o.Answered >= 0 && o.Answered <= detector.settings.EjectionTime
	return o.Unanswered > 0 || answered || o.Report.Role == RolePrimary
}

// sendObservations sends the observations of servers to their collectors, the servers of a block together.
func (detector *Detector) sendObservations(servers []*serverState) {
	detector.sequence++
	blockOf := func(server *serverState) int { return server.Group / GroupsPerBlock }
	slices.SortStableFunc(servers, func(a, b *serverState) int { return blockOf(a) - blockOf(b) })
	for len(servers) > 0 {
		n := 1
		for n < len(servers) && blockOf(servers[n]) == blockOf(servers[0]) {
			n++
		}
		detector.sendBlock(servers[:n])
		servers = servers[n:]
	}
}

// sendBlock sends the observations of servers of one block to the collectors of that block.
func (detector *Detector) sendBlock(servers []*serverState) {
	items := make([]Observation, len(servers))
	for i, server := range servers {
		items[i] = detector.observationOf(server)
		server.reported = items[i]
		server.own.changed = false
	}
	for _, id := range detector.collectors(servers[0]) {
		if id == detector.self {
			for i, server := range servers {
				detector.recordObservation(server, id, detector.sequence, &items[i], 0)
			}
			continue
		}
		split(items, (*Observation).wireBytes, func(part []Observation) {
			message := &Observations{Sequence: detector.sequence, Items: part}
			detector.actions = append(detector.actions, Action{Kind: Send, To: id, Addr: detector.peerByID[id].Addr, Observations: message})
		})
	}
}
