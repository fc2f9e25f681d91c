package platform

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/protocol/pgwire"
)

// TestTimeWhileParked: the time of a long message that waits for memory must count from when its last byte arrived, also if it
// arrived while nothing was read, in the socket or in the client's system, and not from when reading resumed.
func TestTimeWhileParked(t *testing.T) {
	const d, held, slack = 9000, 500, 150
	for name, story := range map[string]struct {
		size  int
		later bool // its last byte comes when reading has gone on
	}{
		"most of it is in the socket":          {1<<18 + 1<<12, false},
		"a part waits with the client":         {3 << 20, false},
		"the last byte comes as it is read on": {1 << 20, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			world := newWorld(t, 100, 16<<20)
			first, client := world.client(), world.client()
			first.send(pgwire.AppendQuery(nil, strings.Repeat(" ", 4<<20))[:1<<18])
			world.until("the first has its place", func() bool { return world.postgres.longBytes > 0 })
			ask := pgwire.AppendQuery(nil, strings.Repeat(" ", story.size), "SELECT content FROM kv WHERE name = 'k' /* id=1,c=read,d=9000,cluster=0 */")
			client.send(ask[:1<<10])
			world.until("the second waits", func() bool {
				return len(world.postgres.longQueue) == 1 && world.postgres.longQueue[0].conn.ReadingPaused()
			})
			last := len(ask)
			if story.later {
				last--
			}
			client.send(ask[1<<10 : last])
			sent := world.loop.Now()
			time.Sleep(held * time.Millisecond)
			_ = first.Close()
			if story.later {
				world.until("it is read on", func() bool { return world.session().input.Pending() == last })
				time.Sleep(held * time.Millisecond)
				sent = world.loop.Now()
				client.send(ask[last:])
			}
			world.until("it is asked", func() bool { return len(world.desk.deadlines) == 1 })
			world.do(func() {
				if came := world.desk.deadlines[0] - d - sent; came > slack || came < -slack {
					t.Errorf("it counts as come %.0f ms after it was sent", came)
				}
			})
		})
	}
}

// TestUnread: bytes must count as arrived at the sample before the one that saw them; further bytes that follow at once, with the
// last that were seen.
func TestUnread(t *testing.T) {
	unread := unread{looked: 100}
	unread.see(10, 120)
	unread.see(10, 140)
	unread.see(30, 160)
	unread.resume(200)
	type piece struct {
		n  int
		at float64
	}
	var got []piece
	for _, read := range []struct {
		n   int
		now float64
	}{{15, 201}, {20, 202}, {5, 202 + backlogMs}, {5, 203 + 2*backlogMs}} {
		for n := read.n; n > 0; {
			k, at := unread.take(n, read.now)
			n -= k
			got = append(got, piece{k, at})
		}
	}
	want := []piece{{10, 100}, {5, 140}, {15, 140}, {5, 140}, {5, 140}, {5, 203 + 2*backlogMs}}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(piece{})); diff != "" {
		t.Error(diff)
	}
}
