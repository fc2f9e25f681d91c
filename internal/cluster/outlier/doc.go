// Package outlier is shared outlier detection: it decides what poolers make of each other's evidence about servers. It is a state
// machine: events go in, actions come out. It does no I/O, reads no clock and starts no goroutines. It passes to the decision module only
// what that module already understands: that a server is down (Recall), that one is reachable again (the result of a health check), and
// roles and positions as of when servers reported them. The decision module still makes every decision.
//
// # Observers and collectors
//
// For each server's process (its name and start time, by which evidence is filed) each pooler keeps what it observed itself: when a request
// was answered last; how many requests sent after any answered one have no answer, from when to when; what the server reported of its role
// and position. Every ReportInterval a pooler sends what is new to the Collectors first processes of the view by rendezvous hashing of
// the server's block of groups, and every RefreshInterval all that is current. A server that answers though it is called unhealthy, and
// a server that reports to be primary where another one was known, are reported at once.
//
// A collector keeps the newest evidence of each kind from each observer and assesses all of it together, independent of the order of
// arrival. It sends all poolers at once an assessment or a primary that changed, and every ReportInterval the positions. A pooler
// applies what a majority of the collectors concludes (two of three).
//
// # Assessment
//
// A server is unhealthy if at least MinObservers have requests at it that were sent after the last answer that anybody received, for longer
// than 3 times the work of one request plus 8 times that divided among the waiting ones, four at most: the criterion of a single
// pooler's decision module, applied to the evidence of all. Where poolers stand in several zones this takes observers in two of them;
// otherwise the server is unhealthy for one zone: the one whose observers get no answers, whatever others get. So the bad links of one
// pooler, or a zone that is cut off, eject a server for nobody else.
//
// A pooler does not apply an assessment of a server that answered a request sent after the evidence against it began. Shared evidence
// ejects at most MaxEjectedShare of a group's members, and never the last one that the pooler's own module has not taken out. An ejection
// ends EjectionTime after the last unanswered request. While it lasts, TesterCount of all poolers (a quarter, at least two and at most
// MaxTesters), in turns drawn from hashes, may send a few requests there as the module does on trial: the first answer ends it for all.
//
// An observer whose reports all others contradict is distrusted for DistrustTime: it alone has answers where three others of its zone have
// had none for as long as an assessment takes; or it has four requests without an answer where three others got answers meanwhile. A
// byzantine collector is outvoted.
//
// # Positions and roles
//
// A position and a primary's report are on the servers' own time scale, on which every pooler compares them anyway: no pooler's clock is
// part of them, and they stay true (a replica has everything up to there; a primary was primary then). So they are forwarded unchanged,
// rounded down, and what they prove ages by itself. They count if at least MinVouchers observers reported as much, by the lower of these,
// and most collectors agree; none is taken from the future. Where a single observer reports another primary, the collectors check the
// server themselves and so become observers. Ages of other evidence are measured by each clock alone: from the event to the report by the
// observer's, from its arrival by the receiver's; the transit time, MaxDelay at most, is added where older is safer. It is assumed that
// clocks run at the same rate within one part in a thousand over EjectionTime.
//
// # A pooler that receives nothing
//
// It applies what it received for at most 3 RefreshInterval, and then acts as without this package. A process that was paused for half a
// second drops its open attempts: their answers may still be in a socket. A new process starts empty; primaries, assessments and
// positions arrive with the next refresh.
//
// # Bounds
//
// With d the longest delay of a message, and no message lost:
//
//	from when the evidence suffices until the last pooler applies it     SpreadBound = ReportInterval + 2*TickInterval + 2*d
//	servers of a group that shared evidence ejects                       MaxEjected = min(floor(MaxEjectedShare*members), members-1)
//	a server that answers stays ejected no longer than                   RecoveryBound = TesterTurn + each + answer + SpreadBound, where the
//	    testers of a turn together send it one request every `each`; and EjectionTime at most without a tester
//	poolers that send to an ejected server, after its first TesterTurn   TesterCount = min(MaxTesters, max(2, floor(poolers/4))), while views
//	    are equal, and twice that where one turn ends and the next begins
//	a pooler that receives nothing applies what it received no longer than  IsolationBound = 3*RefreshInterval + TickInterval
//	a pooler that reaches the others again, or for the first time, applies what they apply within  CatchUpBound = RefreshInterval +
//	    SpreadBound: after a partition, a pause, a start
//	a server's new process is ejected by evidence about the old one      never, by poolers whose list names the start
//	where all start anew except one that had no answer of an unresponsive server, all eject it within  2*work + SpreadBound (and a tick)
//	    of the first request that another sends there: the evidence of the one counts, and it is one of MinObservers
//	messages in a RefreshInterval after a partition                      twice those in one before
//	bytes a second sent by a pooler, on average                          TrafficBound
//
// # Limitations
//
// It does not know why a server is unresponsive: one that is overloaded for longer than an assessment takes, at all poolers, is ejected like
// one that is deaf. A server that loses only a part of its requests is not ejected: its answers contradict the assessment. It does not
// know whether a list that names no start times speaks of the same process.
package outlier
