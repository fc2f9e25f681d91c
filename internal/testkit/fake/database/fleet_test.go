package database

import (
	"errors"
	"log/slog"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/protocol/pgwire"
)

// TestFleetServesOverSockets sends requests to a fleet over its sockets as a pooler does.
func TestFleetServesOverSockets(t *testing.T) {
	cfg := Defaults(2)
	cfg.ReportInterval = Range{0, 0}
	fleet := New(cfg, clock.System(), slog.New(slog.DiscardHandler))
	if err := fleet.Start(); err != nil {
		t.Fatalf("starting the fleet: %v", err)
	}
	defer fleet.Close()
	query := func(s *server, sql string) string {
		t.Helper()
		c, err := net.Dial("tcp", s.addr)
		if errors.Is(err, syscall.ECONNRESET) { // a dead server resets the connection as soon as it is accepted
			return ""
		}
		if err != nil {
			t.Fatalf("connecting to %s: %v", s.addr, err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = c.Write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "backend", "store"), sql))
		r, answer := pgwire.NewReader(1<<20), ""
		b := make([]byte, 4096)
		for {
			n, err := c.Read(b)
			r.Feed(b[:n])
			for {
				m, ok, _ := r.Next()
				if !ok {
					break
				}
				switch m.Type {
				case 'D':
					v, _ := pgwire.Column(m.Body)
					answer += "row " + string(v) + " "
				case 'E':
					answer += pgwire.ErrorCode(m.Body) + " "
				case 'S':
					if name, val, _ := pgwire.Parameter(m.Body); name == "role" {
						answer += val
					}
				}
			}
			if err != nil || strings.HasSuffix(answer, "primary") || strings.HasSuffix(answer, "replica") || strings.Contains(answer, "x1=") {
				return answer
			}
		}
	}
	write := `INSERT INTO kv (name, content) VALUES ('k', '\x6869') RETURNING content /* id=%,c=w,d=500,cluster=0 */`
	p, r := fleet.servers[0], fleet.servers[1]
	for _, c := range []struct {
		s         *server
		sql, want string
	}{
		{p, strings.Replace(write, "%", "1", 1), "row hi primary"},
		{r, strings.Replace(write, "%", "2", 1), "25006 replica"},
		{p, "SELECT content FROM kv WHERE name = 'k' /* id=3,c=r,d=500,cluster=0 */", "row hi primary"},
	} {
		if got := query(c.s, c.sql); got != c.want {
			t.Errorf("answer to %.40s is %q, want %q", c.sql, got, c.want)
		}
	}
	if got := query(p, "SHOW load"); !strings.Contains(got, "x1=1") {
		t.Errorf("answer to SHOW load is %q, want it to contain x1=1", got)
	}
	if got := query(p, strings.Replace(write, "%", "1", 1)); got != "row hi primary" || len(fleet.RepeatedWrites()) != 1 {
		t.Errorf("repeated write: answer %q, recorded as repeated: %v; want one", got, fleet.RepeatedWrites())
	}
	_ = fleet.Drain(r.Name)
	if got := query(r, "SELECT content FROM kv WHERE name = 'k' /* id=5,c=r,d=500,cluster=0 */"); got != "53300 replica" {
		t.Errorf("a draining server answered %q, want 53300 replica", got)
	}
	_ = fleet.Kill(p.Name)
	if got := query(p, "SELECT 1"); got != "" {
		t.Errorf("a dead server answered %q, want no answer", got)
	}
}
