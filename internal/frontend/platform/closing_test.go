package platform

import (
	"fmt"
	"strings"
	"testing"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/protocol/pgwire"
)

// TestLastMessageFollowsUnsentAnswers: a client that has not read all of its answers when its connection ends must receive the
// rest first.
func TestLastMessageFollowsUnsentAnswers(t *testing.T) {
	world := newWorld(t, 100, 1<<28)
	client := world.client()
	client.send(append(queries(0, 15), 'X', 0, 0, 0, 4))
	world.until("all is asked", func() bool { return len(world.desk.asked) == 15 })
	world.do(func() {
		for n := range 15 {
			if n == 14 && world.session().conn.Unsent() == 0 {
				t.Error("all has gone out at once: the test shows nothing")
			}
			world.serve(n, fmt.Sprint(n, strings.Repeat(" ", 1<<20)))
		}
	})
	for n := range 15 {
		if got := strings.TrimSpace(client.answer()); got != fmt.Sprint("TDCZ ", n) {
			t.Fatalf("answer %d: %q", n, got)
		}
	}
	client.want("$")
}

// sendsAfterTheEnd sends late requests from a client whose connection the pooler has ended. The client is to send them again
// elsewhere, and must not meet a reset.
func sendsAfterTheEnd(t *testing.T, client *customer) {
	t.Helper()
	client.want("$")
	for n := range 20 {
		if _, err := client.Write(query(fmt.Sprint("late", n))); err != nil {
			t.Fatalf("send %d behind the end: %v", n, err)
		}
	}
}

// TestRestingClientIsNotReset: an idle connection must be ended by shutting its write side, whatever ends it, so that a request
// sent at the same time meets no reset.
func TestRestingClientIsNotReset(t *testing.T) {
	for name, end := range map[string]func(postgres *Postgres){
		"drain": func(postgres *Postgres) { postgres.SetDrainStage(CloseIdle) },
		"sweep": func(postgres *Postgres) { postgres.sweep() },
		"evict": func(postgres *Postgres) { postgres.evict(resting, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			world := newWorld(t, 100, 1<<28)
			client := world.client()
			client.send(query("1"))
			world.until("it is asked", func() bool { return len(world.desk.asked) == 1 })
			world.do(func() { world.serve(0, "v") })
			client.want("TDCZ v")
			world.do(func() {
				world.session().since -= idleMs // it has rested for long
				end(world.postgres)
			})
			sendsAfterTheEnd(t, client)
			world.do(func() {
				if len(world.desk.asked) != 1 {
					t.Error("what came behind the end is asked")
				}
			})
		})
	}
}

// TestManyRestingClientsAreNotReset: as above, with hundreds of clients sent away at once.
func TestManyRestingClientsAreNotReset(t *testing.T) {
	world := newWorld(t, 300, 1<<28)
	var clients []*customer
	var began float64
	for range 200 {
		clients = append(clients, world.client())
	}
	world.do(func() {
		world.postgres.sessions.Each(func(_ slotmap.Ref, session *session) { session.since -= freshMs })
		began = world.loop.Now()
		world.postgres.SetDrainStage(CloseIdle)
	})
	for _, client := range clients {
		client.want("$")
	}
	world.do(func() { // none is closed before it has had its time
		world.postgres.sessions.Each(func(_ slotmap.Ref, session *session) {
			if !session.shut {
				t.Error("a connection is not shut")
			}
		})
		if world.loop.Now()-began < lingerMs && world.postgres.Sessions() < 200 {
			t.Errorf("%d of 200 connections are left", world.postgres.Sessions())
		}
	})
}

// TestRefusedClientsAreTold: many clients that are refused at once for lack of descriptors must each receive the error, though
// each has sent a request already.
func TestRefusedClientsAreTold(t *testing.T) {
	world := newWorld(t, 1, 1<<28)
	world.client().send(query("1"))
	world.until("it is asked", func() bool { return len(world.desk.asked) == 1 })
	stands, more := make(chan bool), make(chan bool)
	world.loop.Post(func() { close(stands); <-more })
	<-stands
	var clients []*customer
	for range maxClosing { // all are there, with a request each, before one is looked at
		clients = append(clients, world.connect(append(pgwire.AppendStartup(nil, "u", "d"), query("x")...)...))
	}
	close(more)
	for _, client := range clients {
		client.want("E$ 53300")
	}
	world.do(func() {
		if n := world.postgres.Sessions(); world.loop.Now()-world.session().since < lingerMs && n != 1+maxClosing {
			t.Errorf("%d connections are left", n)
		}
	})
}

// TestLastByteWaits: if the last byte of a message is unread in the socket when its time is up, or when a connection must be
// closed, it must count as received: the client has its answer.
func TestLastByteWaits(t *testing.T) {
	startup := pgwire.AppendStartup(nil, "backend", "store")
	for name, end := range map[string]func(postgres *Postgres, of use){
		"sweep": func(postgres *Postgres, _ use) { postgres.sweep() },
		"evict": func(postgres *Postgres, of use) { postgres.evict(of, 0) },
	} {
		t.Run(name+" of a startup that has not begun", func(t *testing.T) {
			world := newWorld(t, 100, 1<<28)
			client := world.connect()
			world.until("it is there", func() bool { return world.postgres.Sessions() == 1 })
			world.unread(func() { client.send(append(startup[:len(startup):len(startup)], query("1")...)) }, func() {
				world.session().since -= startupMs
				end(world.postgres, silent)
			})
			client.want("RSSSSZ")
		})
		t.Run(name+" of a startup in its midst", func(t *testing.T) {
			world := newWorld(t, 100, 1<<28)
			client := world.connect(startup[:9]...)
			world.until("it is read", func() bool { return world.session() != nil && world.session().input.Pending() == 9 })
			world.unread(func() { client.send(startup[9:]) }, func() {
				world.session().since -= startupMs
				end(world.postgres, silent)
			})
			client.want("RSSSSZ")
		})
		t.Run(name+" of a request in its midst", func(t *testing.T) {
			world := newWorld(t, 100, 1<<28)
			client, ask := world.client(), query("1")
			client.send(ask[:9])
			world.until("it is read", func() bool { return world.session().input.Pending() == 9 })
			world.unread(func() { client.send(ask[9:]) }, func() {
				world.session().since -= messageMs
				end(world.postgres, halfway)
			})
			world.until("it is asked", func() bool { return len(world.desk.asked) == 1 })
			world.do(func() { world.serve(0, "v") })
			client.want("TDCZ v")
		})
	}
}

// TestEvictedClientIsTold: a client whose connection is closed in the middle of a request, to free a descriptor, must be told
// that its request is refused.
func TestEvictedClientIsTold(t *testing.T) {
	world := newWorld(t, 100, 1<<28)
	client := world.client()
	client.send(query("1")[:9])
	world.until("it is read", func() bool { return world.session().input.Pending() == 9 })
	world.do(func() { world.postgres.evict(halfway, 0) })
	client.want("E$ 53300")
}

// TestCutShortBehindUnsentAnswers: when a streamed answer breaks off, the client must receive the complete answers before it, and
// be able to tell that this one is incomplete.
func TestCutShortBehindUnsentAnswers(t *testing.T) {
	world := newWorld(t, 100, 1<<28)
	client := world.client()
	client.send(queries(0, 3))
	world.until("all is asked", func() bool { return len(world.desk.asked) == 3 })
	value := valueAnswer(strings.Repeat("v", 16<<20))
	world.do(func() {
		world.serve(0, "first "+strings.Repeat(" ", 16<<20))
		if world.session().conn.Unsent() == 0 {
			t.Error("all has gone out at once: the test shows nothing")
		}
		flow := world.desk.asked[1].(StreamReceiver).ReceiveStream()
		flow.Chunk(value[:1<<20])
		flow.Ended(nil, false)
	})
	if got := strings.TrimSpace(client.answer()); got != "TDCZ first" {
		t.Fatalf("got %q", got)
	}
	client.want("T$")
}
