package outlier

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	maxReorderedMessages  = 1 << 20 // sequence numbers by which a later message may precede the first one that arrived
	healthCheckIntervalMs = 200     // between health checks of a server that one observer reports as primary
)

// observerIndex returns the index of an observer's evidence, or the index at which to insert it, and whether there is any.
func (server *serverState) observerIndex(id ID) (int, bool) {
	return slices.BinarySearchFunc(server.observers, id, func(o *observer, id ID) int { return cmp.Compare(o.id, id) })
}

// addObserver returns an observer's evidence, which is empty for a new observer; nil beyond MaxPeers observers. sequence is that of the
// message with the evidence.
func (server *serverState) addObserver(id ID, sequence uint32) *observer {
	i, ok := server.observerIndex(id)
	if ok {
		return server.observers[i]
	}
	if len(server.observers) >= MaxPeers {
		return nil
	}
	before := sequence - maxReorderedMessages
	o := &observer{
		id: id, sequence: before, answeredSequence: before, reportSequence: before,
		answeredAt: -inf, soleAnswersSince: -inf, reportedAt: -inf,
	}
	server.observers = slices.Insert(server.observers, i, o)
	return o
}

// advance stores a message's sequence number in place of an earlier one. It reports false for a message that is not newer.
func advance(last *uint32, sequence uint32) bool {
	if int32(sequence-*last) <= 0 {
		return false
	}
	*last = sequence
	return true
}

// recordObservation records an observation if this process is a collector of the server. The newest evidence of each kind counts, in
// whatever order messages arrive, and however often. delay is added to ages where a higher age is safer.
func (detector *Detector) recordObservation(server *serverState, from ID, sequence uint32, item *Observation, delay float64) {
	if !slices.Contains(detector.collectors(server), detector.self) {
		return
	}
	o := server.addObserver(from, sequence)
	if o == nil {
		return
	}
	o.zone = detector.peerByID[from].Zone
	server.changed = true
	if item.Answered >= 0 && advance(&o.answeredSequence, sequence) {
		o.answeredAt = detector.receivedTime(item.Answered)
	}
	if advance(&o.sequence, sequence) {
		o.receivedAt = detector.now
		o.unanswered = item.Unanswered
		o.firstUnanswered = detector.receivedTime(item.FirstUnanswered)
		o.lastUnanswered = detector.receivedTime(item.LastUnanswered)
		o.work = item.Work
	}
	newPrimary := detector.recordObservedReport(server, o, sequence, item, delay)
	if newPrimary || server.published.Unhealthy && o.answeredAt > server.published.LastUnanswered {
		detector.publishChange(server)
	}
}

// recordObservedReport records a server's report from an observation. It reports whether the report names a new primary.
func (detector *Detector) recordObservedReport(server *serverState, o *observer, sequence uint32, item *Observation, delay float64) bool {
	age := item.ReportAge + delay
	if item.Report.isEmpty() || age > detector.settings.StaleAfter || !advance(&o.reportSequence, sequence) {
		return false
	}
	o.report = item.Report
	o.reportedAt = detector.now - age
	if item.Report.Role != RolePrimary || server.published.Report.Role == RolePrimary {
		return false
	}
	detector.verifyPrimary(server, o)
	return true
}

// verifyPrimary makes this collector check the health of a server itself if an observer reports it as the primary with the newest
// position, which the assessments do not confirm yet.
func (detector *Detector) verifyPrimary(server *serverState, o *observer) {
	if !detector.settings.ShareRoles || detector.now-server.healthCheckedAt < healthCheckIntervalMs {
		return
	}
	newest := 0.0
	for _, member := range detector.groups[server.Group] {
		newest = max(newest, member.published.primaryPosition())
	}
	if o.report.Position > newest {
		server.healthCheckedAt = detector.now
		detector.actions = append(detector.actions, Action{Kind: CheckHealth, Server: server.Name})
	}
}

// assess returns this collector's conclusion about a server. It depends on the evidence alone, not on the order of arrival. The result has
// times where a message has ages.
func (detector *Detector) assess(server *serverState) Assessment {
	out := Assessment{Key: server.key, Answered: -1}
	if detector.settings.ShareHealth {
		detector.assessHealth(server, &out)
	}
	out.Report, out.ReportAge = detector.vouchedReport(server)
	return out
}

// assessHealth sets the fields of an assessment that concern health.
func (detector *Detector) assessHealth(server *serverState, out *Assessment) {
	var zones []string // zones with observers that have unanswered attempts
	for _, o := range server.observers {
		if !detector.isTrusted(o) {
			continue
		}
		if o.answeredAt > -inf {
			out.Answered = max(out.Answered, o.answeredAt)
		}
		if o.unanswered > 0 && !slices.Contains(zones, o.zone) && len(zones) < maxZones {
			zones = append(zones, o.zone)
		}
	}
	if len(zones) == 0 {
		return
	}
	evidence, unhealthy := detector.unansweredEvidenceOf(server, nil)
	enoughZones := detector.zoneCount < minZones || len(evidence.zones) >= minZones || detector.settings.Fault == SingleObserver
	out.AllZones = unhealthy && enoughZones
	out.Unhealthy = out.AllZones
	if !out.AllZones {
		for _, zone := range zones {
			if inZone, unhealthy := detector.unansweredEvidenceOf(server, &zone); unhealthy {
				evidence = inZone
				out.Unhealthy = true
				out.Zones = append(out.Zones, zoneKey(zone))
			}
		}
	}
	if out.Unhealthy {
		out.FirstUnanswered, out.LastUnanswered, out.Observers = evidence.first, evidence.last, evidence.namedObservers
	}
}

// zoneKey returns the hash by which messages identify a zone.
func zoneKey(zone string) uint32 { return uint32(xxhash.Sum64String(zone)) }

// Assessments returns this process's conclusions about all servers as a collector.
func (detector *Detector) Assessments() (out []Assessment) {
	for _, server := range detector.servers {
		out = append(out, detector.assess(server))
	}
	return out
}

// primaryPosition returns the position of a server that is assessed as primary; 0 for others.
func (a *Assessment) primaryPosition() float64 {
	if a.Report.Role == RolePrimary {
		return a.Report.Position
	}
	return 0
}

// sameConclusion reports whether two assessments differ only in their evidence.
func (a *Assessment) sameConclusion(b *Assessment) bool {
	sameHealth := a.Unhealthy == b.Unhealthy && a.AllZones == b.AllZones && slices.Equal(a.Zones, b.Zones)
	return sameHealth && (a.Report.Role == RolePrimary) == (b.Report.Role == RolePrimary)
}

// publishChange sends the assessment of a server at once if its conclusion changed.
func (detector *Detector) publishChange(server *serverState) {
	if a := detector.assess(server); !a.sameConclusion(&server.published) {
		server.published = a
		detector.sendAssessments([]*serverState{server})
	}
}

// publish sends the assessments that changed; if all is true, also those that are current.
func (detector *Detector) publish(all bool) {
	var changed []*serverState
	for _, server := range detector.servers {
		if len(server.observers) == 0 || !slices.Contains(detector.collectors(server), detector.self) {
			continue
		}
		if all {
			detector.updateDistrust(server)
		}
		if !server.changed && !server.published.Unhealthy && !all {
			continue
		}
		a, previous := detector.assess(server), server.published
		server.published = a
		// Time alone may make a server with unanswered attempts unhealthy.
		server.changed = slices.ContainsFunc(server.observers, func(o *observer) bool { return o.unanswered > 0 })
		newer := detector.settings.SharePositions && a.Report.Position > previous.Report.Position
		current := all && (a.Unhealthy || a.Report.Role == RolePrimary)
		if newer || current || !a.sameConclusion(&previous) {
			changed = append(changed, server)
		}
	}
	detector.sendAssessments(changed)
}

// sendAssessments sends the published assessments of servers to all poolers, this one included.
func (detector *Detector) sendAssessments(servers []*serverState) {
	if len(servers) == 0 {
		return
	}
	detector.sequence++
	items := make([]Assessment, len(servers))
	for i, server := range servers {
		items[i] = detector.withAges(server.published)
	}
	split(items, (*Assessment).wireBytes, func(part []Assessment) {
		message := &Assessments{Sequence: detector.sequence, Items: part}
		for i := range detector.peers {
			if peer := &detector.peers[i]; peer.ID != detector.self {
				detector.actions = append(detector.actions, Action{Kind: Send, To: peer.ID, Addr: peer.Addr, Assessments: message})
			}
		}
	})
	for i, server := range servers {
		detector.recordAssessment(server, detector.self, detector.sequence, &items[i])
	}
}

// withAges returns an assessment with ages instead of times.
func (detector *Detector) withAges(a Assessment) Assessment {
	age := func(at float64) float64 {
		if at <= 0 {
			return -1
		}
		return detector.now - at
	}
	a.FirstUnanswered = age(a.FirstUnanswered)
	a.LastUnanswered = age(a.LastUnanswered)
	a.Answered = age(a.Answered)
	a.ReportAge = max(0, age(a.ReportAge))
	return a
}
