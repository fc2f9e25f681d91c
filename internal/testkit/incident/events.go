package incident

import (
	"cmp"
	"fmt"
	"math"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/testkit/endpointreport"
	"beechgrade/internal/testkit/records"
)

// Event implements records.Sink.
func (m *Model) Event(r *records.Run, e *record.Event) {
	run := m.runs[r]
	if run == nil {
		return
	}
	m.advance(run, e)
	m.onEndpointSource(r, e)
	switch e.Kind {
	case recordpb.Kind_KIND_REQUEST:
		m.onRequest(run, e)
	case recordpb.Kind_KIND_ATTEMPT:
		m.onAttempt(run, e)
	case recordpb.Kind_KIND_ANSWER:
		m.onAnswer(run, e)
	case recordpb.Kind_KIND_PROBE:
		s := m.server(e.Server)
		s.probes++
		m.observeServer(run, s, e)
	case recordpb.Kind_KIND_LIST:
		run.onList(e)
	case recordpb.Kind_KIND_ENTRY:
		m.onEntry(run, e)
	case recordpb.Kind_KIND_GAUGE:
		m.onGauge(run, e)
	case recordpb.Kind_KIND_RECOVERED:
		m.onStoreRecovery(r.Pooler, e)
	case recordpb.Kind_KIND_PEER:
		m.fleet.event(r.Pooler, e)
	case recordpb.Kind_KIND_AVOIDED:
		m.avoided.event(r.Pooler, e)
	case recordpb.Kind_KIND_LIMIT:
		m.limits.event(r.Pooler, e)
	case recordpb.Kind_KIND_ZONES:
		m.zones.event(r.Pooler, e)
	case recordpb.Kind_KIND_SESSION_BEGIN, recordpb.Kind_KIND_SESSION_END:
		m.onSession(run, e, e.Kind == recordpb.Kind_KIND_SESSION_END)
	case recordpb.Kind_KIND_HAND:
		m.onAssignment(e)
	case recordpb.Kind_KIND_POOL:
		m.onPool(run, e)
	case recordpb.Kind_KIND_LOST:
		m.onLost(run, e)
	default:
		m.onLifecycle(run, e)
	}
}

// advance moves the model's time forward to an event, and expires old chains and requests every expireEveryMs.
func (m *Model) advance(run *poolerRun, e *record.Event) {
	if !e.Restated {
		m.events++
		run.pooler.Events++
	}
	run.last = e.At
	run.pooler.To = max(run.pooler.To, e.At)
	if m.from == 0 {
		m.from = e.At
	}
	m.to = max(m.to, e.At)
	if m.to-m.lastExpiryAt >= expireEveryMs {
		m.expire()
	}
}

// onEndpointSource passes events to the report of endpoint sources, starting with the first event of such a source.
func (m *Model) onEndpointSource(r *records.Run, e *record.Event) {
	if m.members == nil && (e.Kind == recordpb.Kind_KIND_SAID || e.Kind == recordpb.Kind_KIND_JUDGED) {
		m.members = endpointreport.New("")
	}
	if m.members != nil {
		m.members.Event(r, e)
	}
}

// onLifecycle reports starts, stops and reloads of poolers, and failed polls of the endpoint list.
func (m *Model) onLifecycle(run *poolerRun, e *record.Event) {
	finding := Finding{At: e.At, Pooler: run.Pooler}
	switch e.Kind {
	case recordpb.Kind_KIND_START:
		finding.Kind, finding.Text = "start", "started"
	case recordpb.Kind_KIND_DRAIN:
		finding.Kind, finding.Text = "pooler drain", "was told to end"
	case recordpb.Kind_KIND_STOP:
		finding.Kind, finding.Text = "stop", "stopped in order"
	case recordpb.Kind_KIND_RELOAD:
		finding.Kind, finding.Text = "reload", "read its configuration again; changed: "+cmp.Or(e.Text, "nothing")
	case recordpb.Kind_KIND_LIST_FAILED:
		run.pooler.ListFailures++
		finding.Kind, finding.Text = "list failed", "a call for the list failed, or its watch ended"
	default:
		return
	}
	m.addFinding(finding)
}

// onList takes the start of an endpoint list. A complete list replaces the entries that are not draining: its own entries follow as
// separate events.
func (run *poolerRun) onList(e *record.Event) {
	run.pooler.Lists++
	if !e.Full {
		return
	}
	for name, entry := range run.entries {
		if entry.drainingSinceMs == 0 {
			delete(run.entries, name)
		}
	}
}

// onLost takes events that a pooler could not record.
func (m *Model) onLost(run *poolerRun, e *record.Event) {
	m.lost += e.Lost
	m.forgetClients(run.Pooler)
	run.pooler.Lost += e.Lost
	cause := "the writer did not keep up"
	if e.LossCause == record.CauseWrite {
		cause = "writing failed"
	}
	m.addFinding(Finding{At: e.LostFrom, To: e.LostTo, Kind: "records lost", Pooler: run.Pooler, Grave: true,
		Text: fmt.Sprintf("%d events were not recorded: %s", e.Lost, cause)})
}

// onGauge takes a gauge of a pooler's resources, and reports a step of its machine's clock.
func (m *Model) onGauge(run *poolerRun, e *record.Event) {
	p := run.pooler
	p.Memory, p.Files = max(p.Memory, e.MemoryBytes), max(p.Files, e.Descriptors)
	p.Sessions, p.Conns = max(p.Sessions, e.Sessions), max(p.Conns, e.Connections)
	if e.WallClockMs == 0 {
		return
	}
	drift := e.WallClockMs - e.At
	if run.drifted && math.Abs(drift-run.drift) > stepMs {
		m.addFinding(Finding{At: e.At, Kind: "clock", Pooler: p.Name, Grave: true,
			Text: fmt.Sprintf("its machine's clock stepped by %s; the pooler's own times go on as before", signed(drift-run.drift))})
	}
	run.drift, run.drifted = drift, true
}

// onRequest takes a request that a pooler received. A client's retry joins the chain of its first request.
func (m *Model) onRequest(run *poolerRun, e *record.Event) {
	if int(e.Class) >= len(run.classes) || len(run.open) >= maxOpenRequests {
		return
	}
	class, group := run.classes[e.Class], m.group(e.Group)
	request := &openRequest{id: e.ID, class: class, group: group, receivedAt: e.At, deadlineAt: e.At + e.RemainingMs, repeat: e.Repeat}
	run.open[e.Request] = request
	class.Requests++
	cell := m.cell(class, e.At)
	cell.requests++
	key := chainKey{class.index, e.Group, e.Session}
	if e.Repeat {
		class.Repeats++
		cell.repeats++
		if request.chain = m.chainOfRetry(key, e.At); request.chain == nil {
			m.orphans++
			class.Orphans++
		}
	}
	if request.chain == nil {
		request.chain = &retryChain{key: key, class: class, group: group, firstAt: e.At}
		m.addChain(request.chain)
		class.Asked++
		class.WorthAsked += class.Worth
		cell.asked += float32(class.Worth)
		class.window.Add(e.At, class.Worth, 0)
		m.service.Add(e.At, class.Worth, 0)
	}
	request.chain.openRequests++
	request.chain.requests++
	if class.writes {
		group.writes++
	}
}

// onAttempt takes the end of an attempt at a server.
func (m *Model) onAttempt(run *poolerRun, e *record.Event) {
	server := m.server(e.Server)
	m.observeServer(run, server, e)
	request := run.open[e.Request]
	if request != nil {
		request.resultBits |= 1 << e.Result
		request.class.Attempts++
	}
	m.checkDrain(run, server, e)
	if int(e.Class) < len(run.classes) && run.classes[e.Class].writes {
		m.group(e.Group).onWrite(m, server, e)
	}
}

// onAnswer takes the answer to a client. A request that was not served waits for a retry.
func (m *Model) onAnswer(run *poolerRun, e *record.Event) {
	request := run.open[e.Request]
	if request == nil {
		return // the request is in a missing part of the records
	}
	delete(run.open, e.Request)
	class, chain := request.class, request.chain
	cell := m.cell(class, e.At)
	chain.openRequests--
	chain.resultBits |= request.resultBits
	chain.lastAt = max(chain.lastAt, e.At)
	switch e.Final {
	case recordpb.Final_FINAL_SERVED:
		class.Served++
		cell.served++
		class.Times.add(e.DurationMs)
		m.recordServed(chain, e.At)
		return
	case recordpb.Final_FINAL_REFUSED:
		class.Refused++
		cell.refused++
	case recordpb.Final_FINAL_FAILED:
		class.Failed++
		cell.failed++
	default:
		class.Gone++
		cell.failed++
	}
	class.Reasons[e.Final.String()[len("FINAL_"):]+": "+e.Reason.String()]++
	chain.final, chain.reason = e.Final, e.Reason
	if class.writes {
		request.group.onUnservedWrite(e.At)
	}
	m.awaitRetry(chain)
}
