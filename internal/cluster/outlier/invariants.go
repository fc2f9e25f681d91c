package outlier

import (
	"fmt"

	"beechgrade/internal/invariant"
)

// CheckInvariants has statements about the verdicts checked, once in so many events.
func (detector *Detector) CheckInvariants(c *invariant.Checks, every int) {
	detector.checks, detector.checkInterval = c, every
}

// checkState makes the statements about all state.
func (detector *Detector) checkState(c *invariant.Checks) {
	c.That(len(detector.servers) == len(detector.byName) && len(detector.servers) == len(detector.byKey), "verdicts: servers are filed", func() string {
		return fmt.Sprintf("%d, %d by name, %d by key", len(detector.servers), len(detector.byName), len(detector.byKey))
	})
	for _, members := range detector.groups {
		taken := 0
		for _, server := range members {
			if server.ejection.active {
				taken++
			}
		}
		c.That(taken <= detector.settings.MaxEjected(len(members)), "verdicts: words take no more of a group than they may", func() string {
			return fmt.Sprintf("%d of %d of group %d", taken, len(members), members[0].Group)
		})
	}
	for _, server := range detector.servers {
		detector.checkServer(c, server)
	}
}

func (detector *Detector) checkServer(c *invariant.Checks, server *serverState) {
	o := &server.own
	state := func() string {
		return fmt.Sprintf("%s: %+v, %+v; now %v", server.Name, *o, server.ejection, detector.now)
	}
	c.That(detector.byKey[server.key] == server && detector.byName[server.Name] == server, "verdicts: a server is filed once", state)
	c.That(len(o.openAttempts) <= maxOpenAttempts, "verdicts: what is followed is bounded", state)
	c.That(o.unanswered == 0 || o.firstUnanswered <= o.lastUnanswered && o.lastUnanswered > o.answeredSentAt && o.lastUnanswered <= detector.now, "verdicts: what counts as silence was sent after all that was answered", state)
	c.That(!server.ejection.active || server.ejection.until <= detector.now+detector.settings.EjectionTime, "verdicts: a verdict has an end", state)
	for _, x := range server.observers {
		c.That(x.unanswered == 0 || x.firstUnanswered <= x.lastUnanswered, "verdicts: silence begins before it ends", func() string { return fmt.Sprintf("%s by %x: %+v", server.Name, uint64(x.id), *x) })
		c.That(x.answeredAt <= detector.now && x.reportedAt <= detector.now && x.lastUnanswered <= detector.now, "verdicts: no evidence is of the time to come", func() string { return fmt.Sprintf("%s by %x: %+v", server.Name, uint64(x.id), *x) })
	}
}
