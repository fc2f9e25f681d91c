package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/protocol/pgwire"
)

// TestLongQueryTellsWhatIsLeft: a server takes its time for a statement that it does not take at once, whose comment with d comes at the end. It is told what the client has
// left then, and not what it had when the first byte went out; where that has fewer digits than the length of the message allows for, on another
// connection, and the first never gets a whole message.
func TestLongQueryTellsWhatIsLeft(t *testing.T) {
	const slack = 150 * time.Millisecond
	for name, story := range map[string]struct {
		size        int
		wait, pause time.Duration
		conn        int
	}{
		"as many digits":        {7 << 20, 9 * time.Second, 1500 * time.Millisecond, 1},
		"fewer digits":          {7 << 20, 10900 * time.Millisecond, 1200 * time.Millisecond, 2},
		"short":                 {120_000, 9 * time.Second, 1500 * time.Millisecond, 1},
		"short, fewer digits":   {120_000, 10900 * time.Millisecond, 1200 * time.Millisecond, 2},
		"short, as many in all": {120_000, 10030 * time.Millisecond, 400 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := listen(t)
			if story.size < 1<<17 {
				limitReceiveBuffer(t, l)
			}
			began, gate, whole := make(chan struct{}), make(chan struct{}), make(chan receivedQuery, 9)
			go func() {
				for n := 1; ; n++ {
					nc, err := l.Accept()
					if err != nil {
						return
					}
					go func(n int) {
						p := newPeer(t, nc)
						var size [4]byte
						if _, err := io.ReadFull(p.in, size[:]); err != nil {
							return
						}
						_, _ = io.CopyN(io.Discard, p.in, int64(binary.BigEndian.Uint32(size[:]))-4)
						p.send(pgwire.AppendStartupResponse(nil))
						if n == 1 {
							_, _ = p.in.Peek(1)
							close(began)
							<-gate
						}
						for {
							typ, body := p.message()
							if typ == 0 {
								return
							}
							sql, _ := pgwire.Text(body)
							whole <- receivedQuery{p, sql[len(sql)-60:], n}
							p.send(row("v"))
						}
					}(n)
				}
			}()
			pooler, _, _ := startPooler(t, l.Addr().String(), nil, func(c *config.Config) { // a request takes a tenth of a second, as far as is known
				c.Settings.Classes[1].LatencyObjective, c.Settings.Classes[1].LateWeight = 500*time.Millisecond, 0.5
			})
			c := client(t, pooler)
			statement := fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('k', '%s') RETURNING content /* id=1,c=write,d=%d,cluster=0 */",
				long(story.size), story.wait/time.Millisecond)
			c.send(pgwire.AppendQuery(nil, statement))
			sent := time.Now()
			<-began
			time.Sleep(story.pause)
			left := story.wait - time.Since(sent)
			close(gate)
			q := next(t, whole)
			if told := advisedWait(t, q); told > left+slack || q.conn != story.conn {
				t.Errorf("the server was told %v on connection %d, the client has %v left", told, q.conn, left)
			}
			c.want("TDCZ v")
			if len(whole) > 0 {
				t.Errorf("asked again: %q", (<-whole).sql)
			}
		})
	}
}
