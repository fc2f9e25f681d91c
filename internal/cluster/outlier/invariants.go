package outlier

import (
	"fmt"

	"beechgrade/internal/invariant"
)

// CheckInvariants makes the Detector check its invariants, once in interval events.
func (detector *Detector) CheckInvariants(checks *invariant.Checks, interval int) {
	detector.checks, detector.checkInterval = checks, interval
}

// checkState checks the invariants of the whole state.
func (detector *Detector) checkState(checks *invariant.Checks) {
	indexed := len(detector.servers) == len(detector.byName) && len(detector.servers) == len(detector.byKey)
	checks.That(indexed, "outlier: servers are indexed by name and by key", func() string {
		return fmt.Sprintf("%d servers, %d by name, %d by key", len(detector.servers), len(detector.byName), len(detector.byKey))
	})
	for _, members := range detector.groups {
		ejected := 0
		for _, server := range members {
			if server.ejection.active {
				ejected++
			}
		}
		checks.That(ejected <= detector.settings.MaxEjected(len(members)), "outlier: no more servers of a group are ejected than MaxEjected", func() string {
			return fmt.Sprintf("%d of %d servers of group %d", ejected, len(members), members[0].Group)
		})
	}
	for _, server := range detector.servers {
		detector.checkServer(checks, server)
	}
}

func (detector *Detector) checkServer(checks *invariant.Checks, server *serverState) {
	own := &server.own
	describe := func() string {
		return fmt.Sprintf("%s: %+v, %+v; now %v", server.Name, *own, server.ejection, detector.now)
	}
	indexed := detector.byKey[server.key] == server && detector.byName[server.Name] == server
	checks.That(indexed, "outlier: a server is indexed once", describe)
	checks.That(len(own.openAttempts) <= maxOpenAttempts, "outlier: open attempts are bounded", describe)
	checks.That(own.unanswered == 0 || own.inOrder(detector.now), "outlier: unanswered attempts were sent after the last answered one", describe)
	hasEnd := server.ejection.until <= detector.now+detector.settings.EjectionTime
	checks.That(!server.ejection.active || hasEnd, "outlier: an ejection has an end", describe)
	for _, o := range server.observers {
		describe := func() string { return fmt.Sprintf("%s by %x: %+v", server.Name, uint64(o.id), *o) }
		checks.That(o.unanswered == 0 || o.firstUnanswered <= o.lastUnanswered, "outlier: the first unanswered attempt precedes the last", describe)
		past := o.answeredAt <= detector.now && o.reportedAt <= detector.now && o.lastUnanswered <= detector.now
		checks.That(past, "outlier: no evidence is from the future", describe)
	}
}

// inOrder reports whether the times of unanswered attempts are in order, after the last answered attempt and not after now.
func (o *localEvidence) inOrder(now float64) bool {
	return o.firstUnanswered <= o.lastUnanswered && o.lastUnanswered > o.answeredSentAt && o.lastUnanswered <= now
}
