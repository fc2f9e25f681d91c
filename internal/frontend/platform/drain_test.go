package platform

import (
	"testing"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/invariant"
)

// TestRejectedFirstRequestEndsTheConnection: a client that connects just before a drain rejects all commands, and whose first request
// is rejected, must be disconnected after that. The rejection must not restart the grace period of a connection without a request.
func TestRejectedFirstRequestEndsTheConnection(t *testing.T) {
	fixture := newFixture(t, 100, 1<<28)
	client := fixture.client()
	fixture.do(func() {
		fixture.session().graceEnds = fixture.loop.Now() + 1e6 // as if its first request were on its way
		fixture.postgres.SetDrainStage(RefuseCommands)
	})
	client.send(query("1"))
	client.want("EZ 57P03")
	client.want("$") // without more input, and before its grace period would end
	fixture.do(func() {
		if len(fixture.dispatcher.clients) > 0 {
			t.Error("a request was submitted during the drain")
		}
	})
}

// TestDrainStagesEndConnections: clients that do not disconnect must have their last answers by the stage that ends them, and not before.
func TestDrainStagesEndConnections(t *testing.T) {
	fixture := newFixture(t, 100, 1<<28)
	waiting, sending, partial := fixture.client(), fixture.client(), fixture.client()
	waiting.send(query("1"))
	sending.send(query("2"))
	fixture.waitUntil("both requests are submitted", func() bool { return len(fixture.dispatcher.clients) == 2 })
	partial.send(query("3")[:9])
	fixture.waitUntil("a part of the message is read", func() bool { return fixture.postgres.PartialMessages() == 1 })
	fixture.do(func() { fixture.postgres.SetDrainStage(RefuseCommands) })
	sending.send(query("4"))
	fixture.waitUntil("the input is read", func() bool { return fixture.postgres.rejectedForDrain == 1 })
	fixture.do(func() { fixture.postgres.SetDrainStage(EndPartial) })
	partial.want("E$ 57P03")
	fixture.do(func() {
		if len(fixture.dispatcher.answeredEarly) != 1 {
			t.Errorf("%d requests were to be answered at once, want only that of the client that sent more", len(fixture.dispatcher.answeredEarly))
		}
		fixture.postgres.SetDrainStage(CloseActive)
	})
	sending.want("EZ 58000", "EZ 57P03", "$")
	fixture.do(func() {
		if len(fixture.dispatcher.abandoned) != 1 {
			t.Errorf("%d requests were abandoned, want 1", len(fixture.dispatcher.abandoned))
		}
		fixture.serve(0, "v")
		fixture.serve(1, "v")
	})
	waiting.want("TDCZ v", "$")
}

// TestCloseAllEndsWaitingClients: the last stage must answer a request that has no answer, and end its connection. A connection that is opened
// after commands are rejected must receive the error as it opens.
func TestCloseAllEndsWaitingClients(t *testing.T) {
	fixture := newFixture(t, 100, 1<<28)
	waiting := fixture.client()
	waiting.send(query("1"))
	fixture.waitUntil("the request is submitted", func() bool { return len(fixture.dispatcher.clients) == 1 })
	fixture.do(func() { fixture.postgres.SetDrainStage(CloseActive) })
	fixture.connect().want("E$ 57P03")
	fixture.do(func() { fixture.postgres.SetDrainStage(CloseAll) })
	waiting.want("EZ 58000", "$")
	fixture.do(fixture.postgres.Resume)
	again := fixture.client()
	again.send(query("2"))
	fixture.waitUntil("the request is submitted", func() bool { return len(fixture.dispatcher.clients) == 2 })
	fixture.do(func() { fixture.serve(1, "v") })
	again.want("TDCZ v")
}

// TestDrainInvariantFindsLateConnections: the invariants must report a connection that outlives the drain stage that ends it.
func TestDrainInvariantFindsLateConnections(t *testing.T) {
	for name, c := range map[string]struct {
		stage  DrainStage
		mutate func(session *session)
		broken bool
	}{
		"is idle":                                    {CloseActive, func(session *session) {}, true},
		"waits for an answer":                        {CloseActive, func(session *session) { session.queueAnswer(0) }, false},
		"waits for an answer, at last":               {CloseAll, func(session *session) { session.queueAnswer(0) }, true},
		"is idle, but connections are not ended yet": {EndPartial, func(session *session) {}, false},
	} {
		fixture := newFixture(t, 100, 1<<28)
		fixture.client()
		fixture.do(func() {
			now := fixture.loop.Now()
			fixture.postgres.sessions.Each(func(_ slotmap.Ref, session *session) {
				session.openedAt = now - 10*drainSlackMs
				c.mutate(session)
			})
			fixture.postgres.stage, fixture.postgres.stageSince, fixture.postgres.rejectingSince = c.stage, now-2*drainSlackMs, now-3*drainSlackMs
			breaches := 0
			fixture.postgres.checkAll(invariant.New(func(invariant.Breach) { breaches++ }))
			if (breaches > 0) != c.broken {
				t.Errorf("connection that %s: %d invariants are broken, want some broken: %v", name, breaches, c.broken)
			}
			fixture.postgres.Resume()
			fixture.postgres.sessions.Each(func(_ slotmap.Ref, session *session) { session.queue = nil })
		})
	}
}
