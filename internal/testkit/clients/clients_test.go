package clients

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/protocol/pgwire"
)

// TestPlan guards against a plan that its seed does not reproduce, or whose load or session reads differ from the configuration.
func TestPlan(t *testing.T) {
	cfg := Defaults()
	cfg.Seed, cfg.Groups, cfg.Rate, cfg.Seconds = 7, 3, 200, 30
	cfg.Jumps = []Jump{{From: 10000, To: 20000, Times: 2}}
	a, b := Plan(cfg), Plan(cfg)
	if diff := cmp.Diff(a, b); diff != "" {
		t.Fatalf("the same seed gave a different plan (-first +second):\n%s", diff)
	}
	cfg.Seed = 8
	if cmp.Equal(a, Plan(cfg)) {
		t.Error("a different seed gave the same plan")
	}
	var in, out, follows, reads int
	for _, x := range a {
		if x.At >= 10000 && x.At < 20000 {
			in++
		} else {
			out++
		}
		if cfg.Classes[x.Class].Read == ReadSession {
			reads++
			if x.Follows >= 0 {
				follows++
				if w := a[x.Follows]; w.Key != x.Key || w.At > x.At || w.Group != x.Group {
					t.Fatalf("request %+v follows %+v, want an earlier one of the same key and group", x, w)
				}
			}
		}
	}
	if in < 3600 || in > 4400 || out < 3600 || out > 4400 {
		t.Errorf("%d requests in the jump of 10 s, %d in the other 20 s; want about 4000 each", in, out)
	}
	if part := float64(follows) / float64(reads); part < 0.6 || part > 0.8 {
		t.Errorf("%.2f of the session reads follow a write, want 0.6 to 0.8", part)
	}
}

// TestStaleAndForeignValues guards against undetected stale values, and against a value reported as stale where that is not certain.
func TestStaleAndForeignValues(t *testing.T) {
	key := "k"
	for name, c := range map[string]struct {
		read         Read
		sent         float64
		number       uint64
		stale, alien bool
	}{
		"the newest":                          {ReadSession, 50, 2, false, false},
		"one before it":                       {ReadSession, 50, 1, true, false},
		"nothing":                             {ReadSession, 50, 0, true, false},
		"before any answer":                   {ReadSession, 15, 0, false, false},
		"written at the same time":            {ReadSession, 100, 2, false, false},
		"never answered":                      {ReadSession, 50, 9, false, false},
		"within the bound":                    {ReadBounded, 230, 1, false, false},
		"beyond the bound":                    {ReadBounded, 250, 1, true, false},
		"any read":                            {ReadAny, 1e6, 0, false, false},
		"another key's":                       {ReadAny, 1e6, 77, false, true},
		"a write answered with another value": {Write, 50, 77, false, true},
	} {
		try := &Attempt{Request: &Request{Key: key}, Class: &Class{Read: c.read, Bound: 200}, Sent: c.sent, After: c.sent, WriteNumber: 2}
		switch {
		case c.number == 77:
			try.Value = Value("other", 2)
		case c.number > 0:
			try.Value = Value(key, c.number)
		}
		Sessions{key: {writes: []written{{1, 10, 20}, {2, 30, 40}, {3, 35, 90}}}}.Served(try)
		if try.Stale != c.stale || try.Foreign != c.alien {
			t.Errorf("%s: stale is %v, want %v; foreign is %v, want %v", name, try.Stale, c.stale, try.Foreign, c.alien)
		}
	}
}

// attemptList is a Sink that collects attempts.
type attemptList []*Attempt

func (l *attemptList) AttemptEnded(t *Attempt) { *l = append(*l, t) }

// TestLateWrite guards against a false stale read: a paused pooler answers a write after its client gave up, and a read in
// between does not return that write. The write was executed only late, so it must not count as answered when its client gave up.
func TestLateWrite(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening for the paused pooler: %v", err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				in := pgwire.NewReader(1 << 16)
				b := make([]byte, 1<<16)
				if n, err := nc.Read(b); err != nil || n == 0 {
					return
				}
				_, _ = nc.Write(pgwire.AppendStartupResponse(nil))
				n, err := nc.Read(b)
				if err != nil {
					return
				}
				in.Feed(b[:n])
				m, _, _ := in.Next()
				sql, _ := pgwire.Text(m.Body)
				st, err := pgwire.ParseStatement(sql)
				if err != nil {
					return
				}
				var value []byte
				if st.Writes { // its client gives up after 100 ms
					time.Sleep(400 * time.Millisecond)
					value = Value(st.SessionKey, 1)
				} else {
					time.Sleep(300 * time.Millisecond)
				}
				_, _ = nc.Write(pgwire.AppendReady(pgwire.AppendComplete(pgwire.AppendRow(nil, "content", value), "SELECT 1")))
			}()
		}
	}()
	cfg := Config{
		Classes:          []Class{{Name: "w", Read: Write, Aim: 100}, {Name: "r", Read: ReadBounded, Bound: 50, Aim: 1000}},
		LateAnswerWaitMs: 3000,
		IdleMs:           1000,
	}
	var got attemptList
	NewPlayer(cfg, clock.System(), []string{listener.Addr().String()}, &got).Run(context.Background(), []Request{
		{Key: "k", Patience: 100, Tenant: -1}, {No: 1, At: 250, Class: 1, Key: "k", Patience: 900, Tenant: -1}}, nil)
	if len(got) != 2 || !got[0].Late || got[0].Kind != Served || got[0].AnsweredAt-got[0].Sent < 400 || got[0].Ended-got[0].Sent > 300 {
		t.Fatalf("%d attempts, want 2, the first served late, after at least 400 ms, and ended within 300 ms: %+v", len(got), got)
	}
	if got[1].Kind != Served || got[1].Stale {
		t.Errorf("the read during the write is %+v, want it served and not stale", got[1])
	}
}

// TestReadConcurrentWithAnswer: a session's read that was prepared before its client knew of a write's answer need not see the write.
func TestReadConcurrentWithAnswer(t *testing.T) {
	read := &Attempt{Request: &Request{Key: "k"}, Class: &Class{Read: ReadSession}, Sent: 41, After: 20, Value: Value("k", 1)}
	Sessions{"k": {writes: []written{{1, 10, 20}, {2, 30, 40}}}}.Served(read)
	if read.Stale {
		t.Error("the read is stale by a write after the position that it asked for")
	}
}
