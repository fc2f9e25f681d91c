package outlier

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	silentWorks            = 3.0     // a server is silent for this many times the work of a request, and...
	silentSharedWorks      = 8.0     // ...this many shared among those that wait, up to...
	maxWaiting             = 4       // ...so many
	contradictingObservers = 3       // so many others contradict one
	maxReorderedMessages   = 1 << 20 // messages: so far back one that was overtaken may lie
	healthCheckIntervalMs  = 200     // ms between probes for one that is said to lead
)

// observer finds what one told, and where it stands.
func (server *serverState) observer(id ID) (int, bool) {
	return slices.BinarySearchFunc(server.observers, id, func(x *observer, id ID) int { return cmp.Compare(x.id, id) })
}

// recordObservation takes an observer's word of a server, where this process collects it.
func (detector *Detector) recordObservation(server *serverState, from ID, seq uint32, m *Observation, delay float64) {
	if !slices.Contains(detector.collectors(server), detector.self) {
		return
	}
	i, ok := server.observer(from)
	if !ok {
		if len(server.observers) >= MaxPeers {
			return
		}
		server.observers = slices.Insert(server.observers, i, &observer{id: from, sequence: seq - maxReorderedMessages, answeredSequence: seq - maxReorderedMessages, reportSequence: seq - maxReorderedMessages, answeredAt: -inf, soleAnswersSince: -inf, reportedAt: -inf})
	}
	x := server.observers[i]
	x.zone, server.changed = detector.peerByID[from].Zone, true
	at := func(age float64) float64 {
		if detector.settings.Fault == AgeFromReceipt {
			return detector.now
		}
		return detector.now - age
	}
	newer := func(had *uint32) bool { // each kind's newest stands, in whatever order they come, and however often
		if int32(seq-*had) <= 0 {
			return false
		}
		*had = seq
		return true
	}
	if m.Answered >= 0 && newer(&x.answeredSequence) {
		x.answeredAt = at(m.Answered)
	}
	if newer(&x.sequence) {
		x.receivedAt, x.unanswered, x.firstUnanswered, x.lastUnanswered, x.work = detector.now, m.Unanswered, at(m.FirstUnanswered), at(m.LastUnanswered), m.Work
	}
	leads := false
	if age := m.ReportAge + delay; (m.Report.Role != RoleUnknown || m.Report.Position > 0) && age <= detector.settings.StaleAfter && newer(&x.reportSequence) {
		x.report, x.reportedAt = m.Report, detector.now-age
		if leads = m.Report.Role == RolePrimary && server.published.Report.Role != RolePrimary; leads {
			detector.verifyPrimary(server, x)
		}
	}
	if leads || server.published.Unhealthy && x.answeredAt > server.published.LastUnanswered { // else it has time until the next tick
		detector.publishChange(server)
	}
}

// silenceLimit is how long a server may be silent with n waiting whose work is that.
func silenceLimit(work float64, n int) float64 {
	return work * (silentWorks + silentSharedWorks/float64(min(maxWaiting, max(1, n))))
}

func (detector *Detector) isTrusted(x *observer) bool {
	return len(detector.distrustedUntil) == 0 || detector.now >= detector.distrustedUntil[x.id]
}

// updateDistrust has those count for nothing for a while whose words others' evidence contradicts: one alone gets answers, or one alone gets none.
func (detector *Detector) updateDistrust(server *serverState) {
	first, second, by, silent := -inf, -inf, ID(0), 0 // the last answers of two
	for _, x := range server.observers {
		if x.unanswered > 0 {
			silent++
		}
		switch {
		case !detector.isTrusted(x):
		case x.answeredAt > first:
			first, second, by = x.answeredAt, first, x.id
		case x.answeredAt > second:
			second = x.answeredAt
		}
	}
	var liars []ID
	for _, x := range server.observers {
		others := first
		if by == x.id {
			others = second
		}
		if x.answeredAt > x.soleAnswersSince && others > x.soleAnswersSince {
			x.soleAnswersSince = x.answeredAt
		}
		if silent > 0 && (x.unanswered >= maxWaiting || x.answeredAt > x.soleAnswersSince && silent >= contradictingObservers) && detector.isTrusted(x) && detector.contradicted(server, x) {
			liars = append(liars, x.id)
		}
	}
	for _, id := range liars {
		detector.distrustedUntil[id] = detector.now + detector.settings.DistrustTime
	}
}

func (detector *Detector) contradicted(server *serverState, x *observer) bool {
	fails, gets := 0, 0
	for _, y := range server.observers {
		if y == x || !detector.isTrusted(y) || y.zone != x.zone {
			continue
		}
		if y.unanswered > 0 && y.lastUnanswered > x.soleAnswersSince && y.answeredAt < x.soleAnswersSince && detector.now-max(y.firstUnanswered, x.soleAnswersSince) > silenceLimit(y.work, 1) {
			fails++
		}
		if y.answeredAt > x.firstUnanswered+silenceLimit(x.work, 1) {
			gets++
		}
	}
	return x.answeredAt > x.soleAnswersSince && fails >= contradictingObservers || x.unanswered >= maxWaiting && x.lastUnanswered-x.firstUnanswered > silenceLimit(x.work, 1) && gets >= contradictingObservers
}

// silence is what observers in a zone (or all) say of a server since a moment.
type silence struct {
	observers, attempts int
	first, last         float64
	works               []float64
	zones               map[string]bool
	witnesses           []ID
}

func (detector *Detector) silenceOf(server *serverState, zone *string) (silence, bool) {
	a := -inf
	for _, x := range server.observers {
		if (zone == nil || x.zone == *zone) && detector.isTrusted(x) {
			a = max(a, x.answeredAt)
		}
	}
	q := silence{first: inf, last: -inf, zones: map[string]bool{}}
	for _, x := range server.observers {
		if x.unanswered == 0 || zone != nil && x.zone != *zone || x.lastUnanswered <= a || detector.now-x.lastUnanswered > detector.settings.EjectionTime || !detector.isTrusted(x) {
			continue
		}
		first, n := x.firstUnanswered, min(x.unanswered, maxWaiting)
		if first <= a {
			first, n = x.lastUnanswered, 1
		}
		q.observers, q.attempts, q.first, q.last, q.zones[x.zone] = q.observers+1, q.attempts+n, min(q.first, first), max(q.last, x.lastUnanswered), true
		q.works = append(q.works, x.work)
		if len(q.witnesses) < 2 {
			q.witnesses = append(q.witnesses, x.id)
		}
	}
	if q.observers < detector.settings.minObservers() {
		return q, false
	}
	slices.Sort(q.works)
	return q, detector.now-q.first > silenceLimit(q.works[len(q.works)/2], q.attempts)
}

// assess is what this collector makes of a server: of the evidence alone, whatever the order that it came in.
func (detector *Detector) assess(server *serverState) Assessment {
	out := Assessment{Key: server.key, Answered: -1}
	if detector.settings.ShareHealth {
		var zones []string
		any := false
		for _, x := range server.observers {
			if !detector.isTrusted(x) {
				continue
			}
			if x.answeredAt > -inf {
				out.Answered = max(out.Answered, x.answeredAt)
			}
			if any = any || x.unanswered > 0; x.unanswered > 0 && !slices.Contains(zones, x.zone) && len(zones) < maxZones {
				zones = append(zones, x.zone)
			}
		}
		if any {
			detector.assessHealth(server, zones, &out)
		}
	}
	out.Report, out.ReportAge = detector.vouchedReport(server)
	return out // its times are moments yet
}

func (detector *Detector) assessHealth(server *serverState, zones []string, out *Assessment) {
	q, bad := detector.silenceOf(server, nil)
	out.AllZones = bad && (detector.zoneCount < 2 || len(q.zones) >= 2 || detector.settings.Fault == SingleObserver)
	if out.Unhealthy = out.AllZones; !out.AllZones {
		for _, z := range zones {
			if qz, bad := detector.silenceOf(server, &z); bad {
				out.Unhealthy, q = true, qz
				out.Zones = append(out.Zones, zoneKey(z))
			}
		}
	}
	if out.Unhealthy {
		out.FirstUnanswered, out.LastUnanswered, out.Observers = q.first, q.last, q.witnesses
	}
}

func zoneKey(z string) uint32 { return uint32(xxhash.Sum64String(z)) }

// newestPositions are the newest few that were told, the newest first.
type newestPositions struct {
	positions, reportedAt [16]float64
	count                 int
}

func (w *newestPositions) add(at, told float64, most int) {
	i := w.count
	for i > 0 && at > w.positions[i-1] {
		i--
	}
	if i >= most {
		return
	}
	w.count = min(w.count+1, most)
	copy(w.positions[i+1:w.count], w.positions[i:])
	copy(w.reportedAt[i+1:w.count], w.reportedAt[i:])
	w.positions[i], w.reportedAt[i] = at, told
}

// vouchedReport is the newest that enough observers say of a server, and when the last of them was told.
func (detector *Detector) vouchedReport(server *serverState) (ServerReport, float64) {
	k := min(16, max(1, detector.settings.MinVouchers))
	if detector.settings.Fault == SingleObserver {
		k = 1
	}
	var by [3]newestPositions // of whatever role, as the primary, as a replica
	for _, x := range server.observers {
		if x.report.Position <= 0 || detector.now-x.reportedAt > detector.settings.StaleAfter || !detector.isTrusted(x) {
			continue
		}
		by[RoleUnknown].add(x.report.Position, x.reportedAt, k)
		if x.report.Role != RoleUnknown {
			by[x.report.Role].add(x.report.Position, x.reportedAt, k)
		}
	}
	said := func(r Role) float64 {
		if by[r].count < k {
			return 0
		}
		return by[r].positions[k-1]
	}
	role := RoleUnknown
	switch {
	case detector.settings.ShareRoles && said(RolePrimary) > said(RoleReplica):
		role = RolePrimary
	case !detector.settings.SharePositions || said(RoleUnknown) == 0:
		return ServerReport{}, 0
	case said(RoleReplica) > 0:
		role = RoleReplica
	}
	return ServerReport{role, by[role].positions[k-1]}, by[role].reportedAt[k-1]
}

// Assessments is what this process makes of all servers as a collector, for those who look.
func (detector *Detector) Assessments() (out []Assessment) {
	for _, server := range detector.servers {
		out = append(out, detector.assess(server))
	}
	return out
}

// verifyPrimary has this collector look itself where one says that another than the known one leads.
func (detector *Detector) verifyPrimary(server *serverState, x *observer) {
	if !detector.settings.ShareRoles || detector.now-server.healthCheckedAt < healthCheckIntervalMs {
		return
	}
	newest := 0.0
	for _, o := range detector.groups[server.Group] {
		newest = max(newest, o.published.primaryPosition())
	}
	if x.report.Position > newest {
		server.healthCheckedAt = detector.now
		detector.actions = append(detector.actions, Action{Kind: CheckHealth, Server: server.Name})
	}
}

func (m *Assessment) primaryPosition() float64 {
	if m.Report.Role == RolePrimary {
		return m.Report.Position
	}
	return 0
}

func (m *Assessment) sameConclusion(o *Assessment) bool {
	return m.Unhealthy == o.Unhealthy && m.AllZones == o.AllZones && slices.Equal(m.Zones, o.Zones) && (m.Report.Role == RolePrimary) == (o.Report.Role == RolePrimary)
}

// publishChange has all hear at once of a verdict or a leader that changed.
func (detector *Detector) publishChange(server *serverState) {
	if x := detector.assess(server); !x.sameConclusion(&server.published) {
		server.published = x
		detector.sendAssessments([]*serverState{server})
	}
}

// publish tells all what is new, or what stands.
func (detector *Detector) publish(full bool) {
	var list []*serverState
	for _, server := range detector.servers {
		if len(server.observers) == 0 || !slices.Contains(detector.collectors(server), detector.self) {
			continue
		}
		if full {
			detector.updateDistrust(server)
		}
		if !server.changed && !server.published.Unhealthy && !full {
			continue
		}
		x, was := detector.assess(server), server.published
		server.changed = slices.ContainsFunc(server.observers, func(x *observer) bool { return x.unanswered > 0 }) // time may make it a verdict
		if server.published = x; !x.sameConclusion(&was) || detector.settings.SharePositions && x.Report.Position > was.Report.Position || full && (x.Unhealthy || x.Report.Role == RolePrimary) {
			list = append(list, server)
		}
	}
	detector.sendAssessments(list)
}

// sendAssessments tells everybody, this process included, what it made of servers.
func (detector *Detector) sendAssessments(list []*serverState) {
	if len(list) == 0 {
		return
	}
	detector.sequence++
	age := func(at float64) float64 {
		if at <= 0 {
			return -1
		}
		return detector.now - at
	}
	var items []Assessment
	for _, server := range list {
		x := server.published
		x.FirstUnanswered, x.LastUnanswered, x.Answered, x.ReportAge = age(x.FirstUnanswered), age(x.LastUnanswered), age(x.Answered), max(0, age(x.ReportAge))
		items = append(items, x)
	}
	split(items, (*Assessment).wireBytes, func(part []Assessment) {
		w := &Assessments{Sequence: detector.sequence, Items: part}
		for i := range detector.peers {
			if p := &detector.peers[i]; p.ID != detector.self {
				detector.actions = append(detector.actions, Action{Kind: Send, To: p.ID, Addr: p.Addr, Assessments: w})
			}
		}
	})
	for i, server := range list {
		detector.recordAssessment(server, detector.self, detector.sequence, &items[i])
	}
}
