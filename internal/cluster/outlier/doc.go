// Package outlier is shared outlier detection: it decides what poolers conclude from each other's evidence about servers. It is a state
// machine: events go in, actions come out. It does no I/O, reads no clock and starts no goroutines. It passes to the decision module only
// events that this module already handles: that a server is down (Eject), that it answers again (Restore, or the result of a health
// check), and roles and positions as of when servers reported them. The decision module still makes every decision.
//
// # Observers and collectors
//
// For each process of a server (identified by its name and start time) each pooler keeps its own observations: when a request was last
// answered; how many requests sent after the last answered one have no answer, and when the first and the last of them were sent; the role
// and position that the server reported. Every ReportInterval a pooler sends new observations to the Collectors first processes of the
// view by rendezvous hashing of the server's block of groups, and every RefreshInterval all current ones. An answer of a server that is
// called unhealthy, and a report of being primary by a server other than the known primary, are sent at once.
//
// A collector keeps the newest evidence of each kind from each observer and assesses all of it together, independent of the order of
// arrival. It sends all poolers an assessment or a primary at once when it changed, and the positions every ReportInterval. A pooler
// applies the conclusion of a majority of the collectors (two of three).
//
// # Assessment
//
// A server is unhealthy if at least MinObservers have requests at it that were sent after the last answer that any observer received, for
// longer than 3 times the work of one request plus 8 times that divided among the waiting ones, four at most. This is the criterion of a
// single pooler's decision module, applied to the evidence of all. Where poolers are in several zones this takes observers in two of them;
// otherwise the server is unhealthy for one zone: the zone whose observers get no answers, whatever others get. So the bad links of one
// pooler, or a zone that is cut off, cause no ejection at other poolers.
//
// A pooler does not apply an assessment of a server that answered one of its requests sent after the evidence against the server began.
// Shared evidence ejects at most MaxEjectedShare of a group's members, and never the last one that the pooler's own module has not marked
// down. An ejection ends EjectionTime after the last unanswered request. While it lasts, TesterCount of all poolers (a quarter, at least
// two and at most MaxTesters), in turns drawn by hashing, may send the server a few requests, as the module does on trial: the first answer
// ends the ejection at all poolers.
//
// An observer whose reports all others contradict is distrusted for DistrustTime: either it alone has answers where three others of its
// zone have had none for as long as an assessment takes, or it has four requests without an answer where three others got answers
// meanwhile. A byzantine collector is outvoted.
//
// # Positions and roles
//
// A position and a primary's report are on the servers' own time scale, on which every pooler compares them anyway: no pooler's clock is
// part of them, and they stay true (a replica has all data up to that position; a primary was primary at that time). So they are forwarded
// unchanged, rounded down, and their meaning does not depend on when they arrive. They count if at least MinVouchers observers reported
// that position or a later one, and most collectors agree; none is taken from the future. Where a single observer reports another primary,
// the collectors check the server themselves and so become observers. Ages of other evidence are measured by each clock alone: from the
// event to the report by the observer's, from the report's arrival by the receiver's; the transit time, MaxDelay at most, is added where a
// higher age is safer. Clocks are assumed to run at the same rate within one part in a thousand over EjectionTime.
//
// # A pooler that receives nothing
//
// It applies the last assessments for at most 3 RefreshInterval, and then works as without this package. A process that was paused for half
// a second drops its open attempts: their answers may still be in a socket. A new process starts without state; primaries, assessments and
// positions arrive with the next refresh.
//
// # Bounds
//
// With d the longest delay of a message, and no message lost:
//
//	time from sufficient evidence until the last pooler applies it       SpreadBound = ReportInterval + 2*TickInterval + 2*d
//	servers of a group that shared evidence ejects                       MaxEjected = min(floor(MaxEjectedShare*members), members-1)
//	a server that answers stays ejected no longer than                   RecoveryBound = TesterTurn + each + answer + SpreadBound, where the
//	    testers of a turn together send it one request every `each`; and EjectionTime at most without a tester
//	poolers that send to an ejected server, after its first TesterTurn   TesterCount = min(MaxTesters, max(2, floor(poolers/4))), while views
//	    are equal, and twice that where one turn ends and the next begins
//	a pooler that receives nothing applies assessments no longer than    IsolationBound = 3*RefreshInterval + TickInterval
//	a pooler that reaches the others again, or for the first time (after a partition, a pause or a start), applies what they apply
//	    within                                                           CatchUpBound = RefreshInterval + SpreadBound
//	a server's new process is ejected by evidence about the old one      never, by poolers whose list has its start time
//	if all poolers restart except one that had no answer of an unresponsive server, all eject the server within  2*work + SpreadBound (and
//	    a tick) of the first request that another pooler sends it: the evidence of that one counts as one of MinObservers
//	messages in a RefreshInterval after a partition                      at most twice those in one before
//	bytes a second sent by a pooler, on average                          TrafficBound
//
// # Limitations
//
// It does not know why a server is unresponsive: a server that is overloaded for longer than an assessment takes, at all poolers, is
// ejected like one that is hung. A server that loses only a part of its requests is not ejected: its answers contradict the assessment. It
// does not know whether an endpoint list without start times lists the same process.
package outlier
