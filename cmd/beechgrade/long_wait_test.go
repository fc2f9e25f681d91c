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

// TestLongQuerySendsRemainingDeadline checks the remaining time (d) in the comment at the end of a long statement that a server reads slowly.
// It must be the client's remaining time when the comment is sent, not when the first byte was. If that number has fewer digits than the
// message length that was already sent allows for, the statement is sent on another connection, and the first connection never gets
// a complete message.
func TestLongQuerySendsRemainingDeadline(t *testing.T) {
	const slack = 150 * time.Millisecond
	for name, scenario := range map[string]struct {
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
			if scenario.size < 1<<17 {
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
			pooler, _, _ := startPooler(t, l.Addr().String(), nil, func(c *config.Config) { // with these, a request is expected to take 0.1 s
				c.Settings.Classes[1].LatencyObjective, c.Settings.Classes[1].LateWeight = 500*time.Millisecond, 0.5
			})
			c := client(t, pooler)
			statement := fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('k', '%s') RETURNING content /* id=1,c=write,d=%d,cluster=0 */",
				patternValue(scenario.size), scenario.wait/time.Millisecond)
			c.send(pgwire.AppendQuery(nil, statement))
			sent := time.Now()
			<-began
			time.Sleep(scenario.pause)
			left := scenario.wait - time.Since(sent)
			close(gate)
			q := next(t, whole)
			if sentWait := advisedWait(t, q); sentWait > left+slack || q.conn != scenario.conn {
				t.Errorf("the server got a remaining time of %v on connection %d, want at most %v plus %v on connection %d", sentWait, q.conn, left, slack, scenario.conn)
			}
			c.want("TDCZ v")
			if len(whole) > 0 {
				t.Errorf("the statement was sent again: %q", (<-whole).sql)
			}
		})
	}
}
