package outlier

import "slices"

const (
	responseLimitWorks = 3.0 // time without an answer after which a server is unresponsive, in times the work of a request...
	sharedLimitWorks   = 8.0 // ...plus this, divided by the number of waiting requests...
	maxWaiting         = 4   // ...of which at most this many count
	minZones           = 2   // zones with observers, for an assessment that holds for all zones
	maxNamedObservers  = 2   // observers that an assessment names
)

// responseLimit returns the time without an answer, in ms, after which a server is unresponsive, if n requests of work ms each wait for it.
func responseLimit(work float64, n int) float64 {
	return work * (responseLimitWorks + sharedLimitWorks/float64(min(maxWaiting, max(1, n))))
}

// unansweredEvidence is the evidence that a server is unresponsive: attempts without an answer that were sent after the last answered one.
type unansweredEvidence struct {
	observers      int
	attempts       int
	first          float64 // sending times of the first and the last attempt
	last           float64
	works          []float64 // ms, one for each observer
	zones          map[string]bool
	namedObservers []ID
}

// add adds the unanswered attempts of an observer that were sent after the last answer. Of attempts from both before and after it, only the
// last one is certain to count.
func (e *unansweredEvidence) add(o *observer, answeredAt float64) {
	first, attempts := o.firstUnanswered, min(o.unanswered, maxWaiting)
	if first <= answeredAt {
		first, attempts = o.lastUnanswered, 1
	}
	e.observers++
	e.attempts += attempts
	e.first = min(e.first, first)
	e.last = max(e.last, o.lastUnanswered)
	e.zones[o.zone] = true
	e.works = append(e.works, o.work)
	if len(e.namedObservers) < maxNamedObservers {
		e.namedObservers = append(e.namedObservers, o.id)
	}
}

// unansweredEvidenceOf returns the evidence of the observers in a zone, nil for all zones, and whether it makes the server unhealthy.
func (detector *Detector) unansweredEvidenceOf(server *serverState, zone *string) (evidence unansweredEvidence, unhealthy bool) {
	answeredAt := -inf
	for _, o := range server.observers {
		if (zone == nil || o.zone == *zone) && detector.isTrusted(o) {
			answeredAt = max(answeredAt, o.answeredAt)
		}
	}
	evidence = unansweredEvidence{first: inf, last: -inf, zones: map[string]bool{}}
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
	return evidence, detector.now-evidence.first > responseLimit(medianWork, evidence.attempts)
}
