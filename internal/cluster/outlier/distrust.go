package outlier

// contradictingObservers is how many observers of a zone must contradict another one of that zone for it to be distrusted.
const contradictingObservers = 3

// isTrusted reports whether an observer's evidence counts.
func (detector *Detector) isTrusted(o *observer) bool {
	return len(detector.distrustedUntil) == 0 || detector.now >= detector.distrustedUntil[o.id]
}

// updateDistrust distrusts, for DistrustTime, the observers of a server that the evidence of others contradicts: an observer that alone
// receives answers, or one that alone receives none.
func (detector *Detector) updateDistrust(server *serverState) {
	unresponsive := 0 // observers with unanswered attempts
	for _, o := range server.observers {
		if o.unanswered > 0 {
			unresponsive++
		}
	}
	detector.updateSoleAnswers(server)
	if unresponsive == 0 {
		return
	}
	var contradicted []ID
	for _, o := range server.observers {
		soleAnswers := o.answeredAt > o.soleAnswersSince && unresponsive >= contradictingObservers
		soleUnanswered := o.unanswered >= maxWaiting
		if (soleAnswers || soleUnanswered) && detector.isTrusted(o) && detector.contradicted(server, o) {
			contradicted = append(contradicted, o.id)
		}
	}
	for _, id := range contradicted {
		detector.distrustedUntil[id] = detector.now + detector.settings.DistrustTime
	}
}

// updateSoleAnswers advances soleAnswersSince of each observer to its last answer if another trusted observer received an answer since.
func (detector *Detector) updateSoleAnswers(server *serverState) {
	newest, second, newestFrom := -inf, -inf, ID(0) // times of the last answers of two trusted observers
	for _, o := range server.observers {
		switch {
		case !detector.isTrusted(o):
		case o.answeredAt > newest:
			newest, second, newestFrom = o.answeredAt, newest, o.id
		case o.answeredAt > second:
			second = o.answeredAt
		}
	}
	for _, o := range server.observers {
		others := newest
		if newestFrom == o.id {
			others = second
		}
		if o.answeredAt > o.soleAnswersSince && others > o.soleAnswersSince {
			o.soleAnswersSince = o.answeredAt
		}
	}
}

// contradicted reports whether enough observers of the same zone contradict the evidence of an observer.
func (detector *Detector) contradicted(server *serverState, o *observer) bool {
	withoutAnswer, withAnswer := 0, 0
	for _, other := range server.observers {
		if other == o || !detector.isTrusted(other) || other.zone != o.zone {
			continue
		}
		if detector.receivesNone(other, o.soleAnswersSince) {
			withoutAnswer++
		}
		if other.answeredAt > o.firstUnanswered+responseLimit(o.work, 1) {
			withAnswer++
		}
	}
	soleAnswers := o.answeredAt > o.soleAnswersSince && withoutAnswer >= contradictingObservers
	longUnanswered := o.unanswered >= maxWaiting && o.lastUnanswered-o.firstUnanswered > responseLimit(o.work, 1)
	return soleAnswers || longUnanswered && withAnswer >= contradictingObservers
}

// receivesNone reports whether an observer has received no answer since a time, for longer than the time limit of an assessment.
func (detector *Detector) receivesNone(o *observer, since float64) bool {
	unansweredSince := o.unanswered > 0 && o.lastUnanswered > since && o.answeredAt < since
	return unansweredSince && detector.now-max(o.firstUnanswered, since) > responseLimit(o.work, 1)
}
