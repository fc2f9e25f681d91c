package platform

import "testing"

// TestRefusedFirstRequestEndsTheConnection: a client that connects just before a drain refuses all commands, and whose first request is
// refused, is sent away with that refusal. The refusal must not begin the grace of a connection without a request anew.
func TestRefusedFirstRequestEndsTheConnection(t *testing.T) {
	world := newWorld(t, 100, 1<<28)
	client := world.client()
	world.do(func() {
		world.session().graceEnds = world.loop.Now() + 1e6 // its first request is on its way
		world.postgres.SendAway(RefuseCommands)
	})
	client.send(query("1"))
	client.want("EZ 57P03")
	_, _ = client.Write(query("2")) // it may cross the close
	client.want("$")
	world.do(func() {
		if len(world.desk.asked) > 0 {
			t.Error("a request is asked in the drain")
		}
	})
}
