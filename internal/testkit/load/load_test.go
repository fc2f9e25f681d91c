package load

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/testkit/fake"
	"beechgrade/internal/testkit/records"
)

func drain(s Source) (out []Request) {
	for x, ok := s.Next(); ok; x, ok = s.Next() {
		out = append(out, x)
	}
	return out
}

// TestPattern checks that a pattern gives the rate and mix that it describes, and the same requests each time.
func TestPattern(t *testing.T) {
	p := Pattern{
		Shape:    Poisson,
		From:     100,
		To:       300,
		Seconds:  20,
		Groups:   3,
		Sessions: 7,
		Seed:     5,
		Mix:      []Mix{{"r", 0.75, false}, {"w", 0.25, true}},
	}
	a := drain(p.Source())
	if diff := cmp.Diff(a, drain(p.Source())); diff != "" {
		t.Errorf("requests of a second run of the pattern differ (-first +second):\n%s", diff)
	}
	writes, late := 0, 0
	for i, s := range a {
		if i > 0 && s.AtMs < a[i-1].AtMs || s.Group > 2 || s.Session > 6 || s.Writes != (s.Class == "w") {
			t.Fatalf("request %d is %+v, want it no earlier than the one before, group up to 2, session up to 6, and writes in class w only", i, s)
		}
		if s.Writes {
			writes++
		}
		if s.AtMs >= 10000 {
			late++
		}
	}
	// 200 a second in the mean; 150 in the first half, 250 in the second.
	if n := float64(len(a)); math.Abs(n-4000) > 300 || math.Abs(float64(writes)/n-0.25) > 0.03 || math.Abs(float64(late)/n-0.625) > 0.03 {
		t.Errorf("%d requests, want about 4000; %d writes, want 25%%; %d in the second half, want 62.5%%", len(a), writes, late)
	}
	p.Shape, p.To = Constant, 100
	b := drain(p.Source())
	for i := 1; i < len(b); i++ {
		if math.Abs(b[i].AtMs-b[i-1].AtMs-10) > 1e-6 {
			t.Fatalf("gap before request %d is %v ms, want 10", i, b[i].AtMs-b[i-1].AtMs)
		}
	}
}

// stallingTarget answers at once, except in the first 500 ms, when it answers no request.
type stallingTarget struct {
	began time.Time
	out   atomic.Int64
	most  atomic.Int64
}

func (s *stallingTarget) Send(context.Context, Request) Outcome {
	n := s.out.Add(1)
	defer s.out.Add(-1)
	for m := s.most.Load(); n > m && !s.most.CompareAndSwap(m, n); m = s.most.Load() {
	}
	if at := time.Since(s.began); at < 500*time.Millisecond {
		time.Sleep(500*time.Millisecond - at)
	}
	return Served
}

// TestStalledTargetGetsAllRequests guards against coordinated omission: a target that stalls for half a second is sent all requests nevertheless, and
// response times are measured from when a request was due.
func TestStalledTargetGetsAllRequests(t *testing.T) {
	p := Pattern{Shape: Constant, From: 200, To: 200, Seconds: 1, Mix: []Mix{{"r", 1, false}}}
	s := &stallingTarget{began: time.Now()}
	r, err := Run(context.Background(), p.Source(), s, Options{MaxInFlight: 1000, SnapshotIntervalMs: 100})
	if err != nil {
		t.Fatalf("running the load: %v", err)
	}
	c := r.Classes[0]
	if c.Outcomes[Served] != c.Due || c.Due < 195 {
		t.Errorf("%d of %d requests were served, want all of at least 195", c.Outcomes[Served], c.Due)
	}
	// Requests due in the first half second waited for its end: a quarter second in the mean, up to half a second.
	if s.most.Load() < 50 || c.P90 < 300 || c.Most < 400 {
		t.Errorf("at most %d requests in flight at a time, want at least 50; p90 %v ms, want at least 300; longest %v ms, want at least 400", s.most.Load(), c.P90, c.Most)
	}
	var b bytes.Buffer
	if err := HTML(&b, r, "a <stall>"); err != nil || !strings.Contains(b.String(), "a &lt;stall&gt;") || strings.Contains(b.String(), "NaN") {
		t.Errorf("HTML report: error is %v, want none; or the title is not escaped, or NaN is shown", err)
	}
	if err := Text(&b, r); err != nil {
		t.Errorf("writing the text report: %v", err)
	}
}

// TestMaxInFlight checks that no more requests are in flight than allowed, and that the others are counted as not sent.
func TestMaxInFlight(t *testing.T) {
	p := Pattern{Shape: Constant, From: 400, To: 400, Seconds: 0.4, Mix: []Mix{{"r", 1, false}}}
	s := &stallingTarget{began: time.Now()}
	r, err := Run(context.Background(), p.Source(), s, Options{MaxInFlight: 10})
	if err != nil {
		t.Fatalf("running the load: %v", err)
	}
	c := r.Classes[0]
	if s.most.Load() > 10 || c.Outcomes[Dropped] == 0 || c.Outcomes[Dropped]+c.Outcomes[Served] != c.Due {
		t.Errorf("%d requests in flight, want at most 10; outcomes %v of %d requests, want each served or dropped, and some dropped", s.most.Load(), c.Outcomes, c.Due)
	}
}

// TestClickHouse checks the outcome for each answer of the ClickHouse frontend, and that each query names its class.
func TestClickHouse(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		switch {
		case r.Header.Get("X-Class") != "c":
			t.Errorf("class header is %q, want c", r.Header.Get("X-Class"))
		case strings.HasPrefix(string(b), "INSERT 'load-3'"):
			w.WriteHeader(http.StatusServiceUnavailable)
		case strings.HasPrefix(string(b), "INSERT"):
			w.WriteHeader(http.StatusBadGateway)
		}
	}))
	h := &ClickHouse{URL: s.URL, Read: "SELECT '?'", Write: "INSERT '?'", TimeoutMs: 20000}
	got := []Outcome{h.Send(context.Background(), Request{Class: "c", Session: 1}), h.Send(context.Background(), Request{
		Class:   "c",
		Session: 3,
		Writes:  true,
	}), h.Send(context.Background(), Request{Class: "c", Session: 4, Writes: true})}
	h.Close()
	s.Close()
	got = append(got, h.Send(context.Background(), Request{Class: "c"}))
	if diff := cmp.Diff([]Outcome{Served, Refused, Failed, Broken}, got); diff != "" {
		t.Errorf("outcomes of the requests (-want +got):\n%s", diff)
	}
}

// TestReplay checks that recorded requests are replayed with their times divided by the speed.
func TestReplay(t *testing.T) {
	dir := t.TempDir()
	fake.Day{Seed: 3, From: 1.7e12, Poolers: 2, Groups: 2, Members: 3, Requests: 200, EveryMs: 10, Segment: 1 << 20}.Write(dir)
	of := func(speed float64) []Request {
		set, err := records.Open(false, dir)
		if err != nil {
			t.Fatalf("opening the records: %v", err)
		}
		src, err := Replay(set, speed)
		if err != nil {
			t.Fatalf("replay at speed %v: %v", speed, err)
		}
		return drain(src)
	}
	a, b := of(1), of(4)
	if len(a) == 0 || len(a) != len(b) {
		t.Fatalf("%d requests at speed 1 and %d at speed 4, want equally many, and some", len(a), len(b))
	}
	for i := range a {
		if math.Abs(a[i].AtMs-4*b[i].AtMs) > 1e-3 || a[i].Class == "" || i > 0 && a[i].AtMs < a[i-1].AtMs {
			t.Fatalf("request %d is %+v at speed 1 and %+v at speed 4, want a class, ascending times, and 4 times the time at speed 1", i, a[i], b[i])
		}
	}
	set, _ := records.Open(false, dir)
	if _, err := Replay(set, 0); err == nil {
		t.Error("a speed of 0 is accepted")
	}
}
