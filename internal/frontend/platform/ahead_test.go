package platform

import (
	"strings"
	"testing"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/protocol/pgwire"
)

// TestCutAnswersEachCommand: when clients are sent away while one has sent many commands ahead, each command must have its own
// answer.
func TestCutAnswersEachCommand(t *testing.T) {
	world := newWorld(t, 100, 1<<28)
	client := world.client()
	client.send(queries(0, maxQueue+20))
	world.until("as many as may be are asked", func() bool { return len(world.desk.asked) == maxQueue })
	world.do(func() { world.postgres.SetDrainStage(RefuseCommands) })
	client.send(queries(100, 103)) // and some come behind that
	world.until("all is read", func() bool {
		return world.session().input.Pending() == len(queries(maxQueue, maxQueue+20))+len(queries(100, 103))
	})
	world.do(func() {
		for n := range maxQueue {
			world.serve(n, "v")
		}
	})
	client.want(repeat("TDCZ v", maxQueue)...)
	client.want(repeat("EZ 57P03", 23)...)
	client.want("$")
}

// TestTooFarAhead: commands beyond the limit must be refused one by one, each in its turn, and later ones must be served again.
func TestTooFarAhead(t *testing.T) {
	world := newWorld(t, 100, 1<<28)
	client := world.client()
	client.send(queries(0, maxQueue))
	world.until("as many as may be are asked", func() bool { return len(world.desk.asked) == maxQueue })
	ask := pgwire.AppendQuery(nil, "SELECT content FROM kv WHERE name = 'k' /* id=x,c=read,d=9000,cluster=0 */", strings.Repeat(" ", 60_000))
	const more = 20 // over a MiB
	for range more {
		client.send(ask)
	}
	world.until("all is read", func() bool {
		return world.postgres.Sessions() == 0 || world.session().input.Pending() > maxAhead-len(ask) && world.session().conn.OpenAndIdle()
	})
	world.do(func() {
		for n := range maxQueue {
			world.serve(n, "v")
		}
	})
	client.want(repeat("TDCZ v", maxQueue)...)
	refused, asked := 0, 0
	for ; refused < more; refused++ {
		world.do(func() { asked = len(world.desk.asked) })
		if refused+asked-maxQueue == more {
			break
		}
		client.want("EZ 53300")
	}
	if refused == 0 || asked == maxQueue {
		t.Fatalf("%d are refused, %d asked", refused, asked)
	}
}

// TestOthersHoldMuch: clients that wait for slow servers with large statements hold more than the limit together. Each request
// must still have one answer: those beyond the limit are refused.
func TestOthersHoldMuch(t *testing.T) {
	const memory = 16 << 20 // a quarter of it may wait
	world := newWorld(t, 100, memory)
	ask := func(n int) []byte {
		return pgwire.AppendQuery(nil, "SELECT content FROM kv WHERE name = 'k' /* id=x,c=read,d=9000,cluster=0 */", strings.Repeat(" ", 100_000+n))
	}
	var clients []*customer
	const each = 8
	for n := range 10 {
		client := world.client()
		for range each {
			client.send(ask(n))
		}
		clients = append(clients, client)
	}
	world.until("all is read", func() bool { // it is all in the sockets
		all := true
		world.postgres.sessions.Each(func(_ slotmap.Ref, session *session) {
			all = all && session.input.Pending() == 0 && session.conn.OpenAndIdle()
		})
		return all
	})
	world.do(func() {
		for n := range world.desk.asked {
			world.serve(n, "v")
		}
	})
	served := 0
	for n, client := range clients {
		for range each {
			switch got := client.answer(); got {
			case "TDCZ v":
				served++
			case "EZ 53300":
			default:
				t.Fatalf("client %d: got %q", n, got)
			}
		}
	}
	if most := memory / heldPart * 3 / 4 / 100_000; served < most/2 || served > most {
		t.Errorf("%d are served", served)
	}
}

// TestWaitingAnswersHoldMuch: answers that wait for earlier ones, at many clients, exceed the limit of memory. Each command must
// still have an answer: those that do not fit have failed.
func TestWaitingAnswersHoldMuch(t *testing.T) {
	world := newWorld(t, 100, 4<<20) // of which 1 MiB
	var clients []*customer
	for range 5 {
		client := world.client()
		client.send(queries(0, 8))
		clients = append(clients, client)
	}
	world.until("all is asked", func() bool { return len(world.desk.asked) == 40 })
	world.do(func() {
		for n := range 40 {
			if n%8 > 0 {
				world.serve(n, strings.Repeat("v", 60_000))
			}
		}
		world.postgres.boundMemory()
		for n := range 40 {
			if n%8 == 0 {
				world.serve(n, "first")
			}
		}
	})
	failed := 0
	for _, client := range clients {
		client.want("TDCZ first")
		for range 7 {
			switch got := client.answer(); got {
			case "EZ 58000":
				failed++
			case "TDCZ vvvvvvvvvvvvvvvvvvvv":
			default:
				t.Fatalf("got %q", got)
			}
		}
	}
	if failed < 15 || failed > 25 { // 2.1 MB are 35 answers
		t.Errorf("%d have failed", failed)
	}
}
