package platform

import (
	"testing"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/invariant"
)

// TestRefusedFirstRequestEndsTheConnection: a client that connects just before a drain refuses all commands, and whose first request is
// refused, is sent away with that refusal. The refusal must not begin the grace of a connection without a request anew.
func TestRefusedFirstRequestEndsTheConnection(t *testing.T) {
	world := newWorld(t, 100, 1<<28)
	client := world.client()
	world.do(func() {
		world.session().graceEnds = world.loop.Now() + 1e6 // its first request is on its way
		world.postgres.SetDrainStage(RefuseCommands)
	})
	client.send(query("1"))
	client.want("EZ 57P03")
	client.want("$") // without the client's sending more, and before its grace would end
	world.do(func() {
		if len(world.desk.asked) > 0 {
			t.Error("a request is asked in the drain")
		}
	})
}

// TestEndsOfADrain: clients that do not go by themselves have their last answers by the stage that ends them, and no other client does.
func TestEndsOfADrain(t *testing.T) {
	world := newWorld(t, 100, 1<<28)
	waits, sends, half := world.client(), world.client(), world.client()
	waits.send(query("1"))
	sends.send(query("2"))
	world.until("both are asked", func() bool { return len(world.desk.asked) == 2 })
	half.send(query("3")[:9])
	world.until("a part is read", func() bool { return world.postgres.PartialMessages() == 1 })
	world.do(func() { world.postgres.SetDrainStage(RefuseCommands) })
	sends.send(query("4"))
	world.until("it is read", func() bool { return world.postgres.refusedForDrain == 1 })
	world.do(func() { world.postgres.SetDrainStage(EndPartial) })
	half.want("E$ 57P03")
	world.do(func() {
		if len(world.desk.hastened) != 1 {
			t.Errorf("%d requests are to be answered at once, want that of the client that sends on", len(world.desk.hastened))
		}
		world.postgres.SetDrainStage(CloseActive)
	})
	sends.want("EZ 58000", "EZ 57P03", "$")
	world.do(func() {
		if len(world.desk.gone) != 1 {
			t.Errorf("%d requests are called off", len(world.desk.gone))
		}
		world.serve(0, "v")
		world.serve(1, "v")
	})
	waits.want("TDCZ v", "$")
}

// TestCloseAllEndsWhoWaits: at last, a client whose request has no answer has one, and goes. A connection of after the refusals' begin is told
// so as it opens.
func TestCloseAllEndsWhoWaits(t *testing.T) {
	world := newWorld(t, 100, 1<<28)
	waits := world.client()
	waits.send(query("1"))
	world.until("it is asked", func() bool { return len(world.desk.asked) == 1 })
	world.do(func() { world.postgres.SetDrainStage(CloseActive) })
	world.connect().want("E$ 57P03")
	world.do(func() { world.postgres.SetDrainStage(CloseAll) })
	waits.want("EZ 58000", "$")
	world.do(world.postgres.Resume)
	again := world.client()
	again.send(query("2"))
	world.until("it is asked", func() bool { return len(world.desk.asked) == 2 })
	world.do(func() { world.serve(1, "v") })
	again.want("TDCZ v")
}

// TestInvariantOfADrain: a connection that outlives its bound is found, in each of the ways in which one may.
func TestInvariantOfADrain(t *testing.T) {
	for name, c := range map[string]struct {
		stage  DrainStage
		spoil  func(session *session)
		broken bool
	}{
		"rests":                              {CloseActive, func(session *session) {}, true},
		"waits for an answer":                {CloseActive, func(session *session) { session.begin(0) }, false},
		"waits for an answer, at last":       {CloseAll, func(session *session) { session.begin(0) }, true},
		"rests, but clients are not yet cut": {EndPartial, func(session *session) {}, false},
	} {
		world := newWorld(t, 100, 1<<28)
		world.client()
		world.do(func() {
			now := world.loop.Now()
			world.postgres.sessions.Each(func(_ slotmap.Ref, session *session) {
				session.opened = now - 10*graceMs
				c.spoil(session)
			})
			world.postgres.stage, world.postgres.stageSince, world.postgres.refusingSince = c.stage, now-2*graceMs, now-3*graceMs
			breaches := 0
			world.postgres.walk(invariant.New(func(invariant.Breach) { breaches++ }))
			if (breaches > 0) != c.broken {
				t.Errorf("%s: %d breaches", name, breaches)
			}
			world.postgres.Resume()
			world.postgres.sessions.Each(func(_ slotmap.Ref, session *session) { session.queue = nil })
		})
	}
}
