package platform

import (
	"strings"
	"testing"

	"beechgrade/internal/protocol/pgwire"
)

// TestHalfClosed: a client that closes only its write side counts as gone: its requests must be called off at once. It must still
// have an answer to each command.
func TestHalfClosed(t *testing.T) {
	world := newWorld(t, 100, 1<<28)
	client := world.client()
	client.send(queries(0, maxQueue+3))
	world.until("as many as may be are asked", func() bool { return len(world.desk.asked) == maxQueue })
	world.do(func() { world.serve(1, "v") }) // out of turn
	_ = client.CloseWrite()
	client.want("EZ 58000", "TDCZ v")
	client.want(repeat("EZ 58000", maxQueue-2)...)
	client.want(repeat("EZ 53300", 3)...)
	client.want("$")
	world.do(func() {
		if len(world.desk.gone) != maxQueue-1 {
			t.Errorf("%d are called off", len(world.desk.gone))
		}
	})
}

// TestParkedClientIsNotReset: a client that waits for memory, with a part of its long message unread, must receive the last
// message when its connection ends, and no reset.
func TestParkedClientIsNotReset(t *testing.T) {
	world := newWorld(t, 100, 16<<20)
	long := pgwire.AppendQuery(nil, strings.Repeat(" ", 4<<20))
	first, client := world.client(), world.client()
	first.send(long[:1<<18])
	world.until("the first has its place", func() bool { return world.postgres.longBytes > 0 })
	client.send(long[:1<<10])
	world.until("the second waits", func() bool {
		return len(world.postgres.longQueue) == 1 && world.postgres.longQueue[0].conn.ReadingPaused()
	})
	client.send(long[1<<10 : 1<<16]) // it stays unread
	world.do(func() { world.postgres.longQueue[0].fatal(endedByMemory, codeClosed, "the test ends it") })
	client.want("E$ 57P03")
}

// parked returns a client with an open request, followed by a long message that waits for memory held for another client.
func parked(world *world) *customer {
	long := pgwire.AppendQuery(nil, strings.Repeat(" ", 4<<20))
	first, client := world.client(), world.client()
	first.send(long[:1<<18])
	world.until("the first has its place", func() bool { return world.postgres.longBytes > 0 })
	client.send(append(query("1"), long[:1<<10]...))
	world.until("the second waits", func() bool {
		return len(world.postgres.longQueue) == 1 && world.postgres.longQueue[0].conn.ReadingPaused()
	})
	return client
}

// TestAnswerWhileParked: a client that waits for memory must receive the answer to its earlier request at once.
func TestAnswerWhileParked(t *testing.T) {
	world := newWorld(t, 100, 16<<20)
	client := parked(world)
	world.do(func() { world.serve(0, "v") })
	client.want("TDCZ v")
	world.do(func() {
		if len(world.postgres.longQueue) != 1 || !world.postgres.longQueue[0].conn.ReadingPaused() {
			t.Error("it waits no more: the test shows nothing")
		}
	})
}

// TestGoneWhileParked: when a client disconnects while it waits for memory, its earlier request must be called off.
func TestGoneWhileParked(t *testing.T) {
	world := newWorld(t, 100, 16<<20)
	_ = parked(world).Close()
	world.until("it is called off", func() bool { return len(world.desk.gone) == 1 })
}
