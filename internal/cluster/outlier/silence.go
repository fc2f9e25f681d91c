package outlier

import "slices"

const (
	silentWorks       = 3.0 // times the work of a request that a server may be unresponsive...
	silentSharedWorks = 8.0 // ...and these, divided among the waiting requests...
	maxWaiting        = 4   // ...of which no more count
	minZones          = 2   // with observers, for an assessment that holds for all zones
	maxWitnesses      = 2   // that are named in an assessment
)

// silenceLimit returns how long, in ms, a server may be unresponsive with n requests waiting that take work ms each.
func silenceLimit(work float64, n int) float64 {
	return work * (silentWorks + silentSharedWorks/float64(min(maxWaiting, max(1, n))))
}

// silence is the evidence that a server is unresponsive: attempts without an answer that were sent after any answered one.
type silence struct {
	observers int
	attempts  int
	first     float64 // the sending of the first and the last attempt
	last      float64
	works     []float64 // ms, one for each observer
	zones     map[string]bool
	witnesses []ID
}

// add adds the unanswered attempts of an observer, as far as they were sent after the last answer.
func (s *silence) add(o *observer, answeredAt float64) {
	first, attempts := o.firstUnanswered, min(o.unanswered, maxWaiting)
	if first <= answeredAt {
		first, attempts = o.lastUnanswered, 1
	}
	s.observers++
	s.attempts += attempts
	s.first = min(s.first, first)
	s.last = max(s.last, o.lastUnanswered)
	s.zones[o.zone] = true
	s.works = append(s.works, o.work)
	if len(s.witnesses) < maxWitnesses {
		s.witnesses = append(s.witnesses, o.id)
	}
}

// silenceOf returns the evidence of the observers in a zone, nil for all zones, and whether it makes the server unhealthy.
func (detector *Detector) silenceOf(server *serverState, zone *string) (evidence silence, unhealthy bool) {
	answeredAt := -inf
	for _, o := range server.observers {
		if (zone == nil || o.zone == *zone) && detector.isTrusted(o) {
			answeredAt = max(answeredAt, o.answeredAt)
		}
	}
	evidence = silence{first: inf, last: -inf, zones: map[string]bool{}}
	for _, o := range server.observers {
		if zone != nil && o.zone != *zone || !detector.isTrusted(o) {
			continue
		}
		recent := o.lastUnanswered > answeredAt && detector.now-o.lastUnanswered <= detector.settings.EjectionTime
		if o.unanswered > 0 && recent {
			evidence.add(o, answeredAt)
		}
	}
	if evidence.observers < detector.settings.minObservers() {
		return evidence, false
	}
	slices.Sort(evidence.works)
	medianWork := evidence.works[len(evidence.works)/2]
	return evidence, detector.now-evidence.first > silenceLimit(medianWork, evidence.attempts)
}
