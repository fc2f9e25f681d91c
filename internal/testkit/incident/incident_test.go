package incident

import (
	"math"
	"os"
	"runtime"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/decide"
	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/testkit/deterministic"
	"beechgrade/internal/testkit/fake"
	"beechgrade/internal/testkit/records"
)

const t0 = 1.7e12

// recording passes the events of a single pooler to a model.
type recording struct {
	*Model
	r  *records.Run
	no uint64
}

func newRecording(pooler string) *recording {
	s := &recording{Model: New()}
	s.begin(pooler, t0)
	return s
}

func (s *recording) begin(pooler string, at float64) {
	s.r = &records.Run{Pooler: pooler, StartMs: at, Header: &recordpb.Header{Classes: fake.Classes(), ColdUs: 10e6, GraceUs: 250000}}
	s.Begin(s.r)
}

func (s *recording) event(at float64, e record.Event) {
	e.At = t0 + at
	s.Event(s.r, &e)
}

// request records a request, its one attempt where a server is given, and its answer unless final is FINAL_NONE.
func (s *recording) request(at float64, class int32, key uint64, repeat bool, server string, res decide.Result, took float64, final recordpb.Final) uint64 {
	s.no++
	s.event(at, record.Event{
		Kind:        recordpb.Kind_KIND_REQUEST,
		Request:     s.no,
		Class:       class,
		Session:     key,
		ID:          s.no,
		RemainingMs: 2000,
		Repeat:      repeat,
	})
	reason := record.ReasonNotSent
	if server != "" {
		role := decide.RoleUnknown
		if res == decide.OK && class == 1 {
			role = decide.RolePrimary
		}
		s.event(at+took, record.Event{
			Kind:       recordpb.Kind_KIND_ATTEMPT,
			Request:    s.no,
			Class:      class,
			Server:     server,
			Result:     uint8(res),
			DurationMs: took,
			Role:       uint8(role),
		})
		reason = record.ReasonEnded + record.Reason(res)
	}
	if final != recordpb.Final_FINAL_NONE {
		if final == recordpb.Final_FINAL_SERVED {
			reason = record.ReasonNone
		}
		s.event(at+took, record.Event{
			Kind:       recordpb.Kind_KIND_ANSWER,
			Request:    s.no,
			Class:      class,
			Final:      final,
			Reason:     reason,
			DurationMs: took,
			Attempt:    1,
		})
	}
	return s.no
}

const (
	served  = recordpb.Final_FINAL_SERVED
	refused = recordpb.Final_FINAL_REFUSED
	failed  = recordpb.Final_FINAL_FAILED
	none    = recordpb.Final_FINAL_NONE
)

// TestWorthCountsRetriesOnce guards against worth that is counted twice, and against client retries that count as new requests.
func TestWorthCountsRetriesOnce(t *testing.T) {
	s := newRecording("a")
	s.request(0, 1, 1, false, "s-1", decide.OK, 100, served)    // in time: 3
	s.request(0, 1, 2, false, "s-1", decide.OK, 700, served)    // late: 0.9
	s.request(10, 1, 3, false, "", 0, 50, refused)              // its retry is served in time, counted from the first try: 3
	s.request(100, 1, 3, true, "s-1", decide.OK, 80, served)    //
	s.request(10, 1, 4, false, "", 0, 50, refused)              // its retry is served late, counted from the first try: 0.9
	s.request(300, 1, 4, true, "s-1", decide.OK, 80, served)    //
	s.request(0, 0, 5, false, "s-1", decide.OK, 300, served)    // a read that is late: 0
	s.request(0, 0, 6, false, "s-1", decide.Failed, 10, failed) // never served: 0
	s.request(400, 0, 6, true, "s-1", decide.Failed, 10, failed)
	s.request(900, 0, 7, true, "s-1", decide.OK, 10, served) // a retry whose first try is not in the records: 1
	s.Finish()
	v := s.View()
	type sums struct {
		Asked, Requests, Repeats, Orphans, InTime, Late uint64
		WorthAsked, WorthGot                            float64
	}
	got := sums{v.Total.Asked, v.Total.Requests, v.Total.Repeats, v.Total.Orphans, v.Total.InTime, v.Total.Late, v.Total.WorthAsked, math.Round(v.Total.WorthGot*100) / 100}
	if diff := cmp.Diff(sums{7, 10, 4, 1, 3, 3, 15, 8.8}, got); diff != "" {
		t.Errorf("sums of requests and worth (-want +got):\n%s", diff)
	}
	causes := map[string]float64{}
	for _, c := range v.Causes {
		causes[c.Name] = math.Round(c.Worth*100) / 100
	}
	if diff := cmp.Diff(map[string]float64{CauseLate: 5.2, CauseError: 1}, causes); diff != "" {
		t.Errorf("worth lost by cause (-want +got):\n%s", diff)
	}
}

// TestTakeoverGapAndListError guards against a gap that is measured between the wrong writes, and against an outdated endpoint list
// that is not reported.
func TestTakeoverGapAndListError(t *testing.T) {
	s := newRecording("a")
	entry := func(at float64, server string, primary bool, state decide.ServerState, started float64) {
		s.event(at, record.Event{
			Kind:    recordpb.Kind_KIND_ENTRY,
			Server:  server,
			Primary: primary,
			State:   uint8(state),
			Number:  int64(started),
		})
	}
	entry(0, "s-1", true, decide.Serving, 0)
	entry(0, "s-2", false, decide.Serving, 0)
	s.request(100, 1, 1, false, "s-1", decide.OK, 10, served)
	for i := range 5 {
		s.request(200+float64(i)*400, 1, uint64(10+i), false, "s-1", decide.Unreachable, 5, refused)
	}
	s.request(3000, 1, 2, false, "s-2", decide.OK, 10, served)
	entry(6000, "s-2", true, decide.Serving, 0)
	entry(6100, "s-1", false, decide.Serving, t0+5000)
	s.event(7000, record.Event{Kind: recordpb.Kind_KIND_PROBE, Server: "s-1", Role: uint8(decide.RoleReplica), Position: t0 + 4000, DurationMs: 3})
	s.Finish()
	v := s.View()
	want := []Gap{{From: t0 + 110, To: t0 + 3010, FirstFailed: t0 + 205, Old: "s-1", New: "s-2", Unserved: 10, ListWrongMs: 5795, Lost: 15}}
	if diff := cmp.Diff(want, v.Groups[0].Gaps); diff != "" {
		t.Errorf("gaps of the group (-want +got):\n%s", diff)
	}
	for _, x := range v.Servers {
		if x.Name == "s-1" {
			want := []Return{{TimeSpan: TimeSpan{t0 + 205, t0 + 7000}, Server: "s-1", BehindMs: 3000, StartedMs: t0 + 5000}}
			if diff := cmp.Diff(want, x.Returns); diff != "" {
				t.Errorf("returns of s-1 (-want +got):\n%s", diff)
			}
		}
	}
	if diff := cmp.Diff([]Cause{{CauseNoPrimary, 5, 15, map[string]float64{"write": 15}}}, v.Causes); diff != "" {
		t.Errorf("causes of lost worth (-want +got):\n%s", diff)
	}
}

// kinds returns the kind of each finding, with the server and the pooler that it is about.
func kinds(v *View) (out []string) {
	for _, f := range v.Findings {
		out = append(out, f.Kind+" "+f.Server+f.Pooler)
	}
	return out
}

// TestFindings guards against failures without a finding, and against findings without a failure.
func TestFindings(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(s *recording)
		want []string
	}{
		"quiet": {func(s *recording) {
			for i := range 100 {
				s.request(float64(i)*50, 1, uint64(i), false, "s-1", decide.OK, 10, served)
			}
		}, nil},
		"one broken connection": {func(s *recording) {
			s.request(0, 1, 1, false, "s-1", decide.Reset, 10, failed)
			s.request(50, 1, 2, false, "s-1", decide.OK, 10, served)
		}, nil},
		"silent server": {func(s *recording) {
			s.request(0, 0, 1, false, "s-1", decide.OK, 10, served)
			for i := range 4 {
				s.request(100+float64(i)*100, 0, uint64(2+i), false, "s-1", decide.TimedOut, 800, failed)
			}
			s.request(2000, 0, 9, false, "s-1", decide.OK, 10, served)
		}, []string{"silent s-1"}},
		"hedges cancelled while other attempts are answered": {func(s *recording) {
			for i := range 9 {
				s.request(float64(i)*100, 0, uint64(i), false, "s-1", decide.OK, 10, served)
				s.request(float64(i)*100, 0, uint64(100+i), false, "s-1", decide.Cancelled, 50, failed)
			}
		}, nil},
		"sent after a drain": {func(s *recording) {
			s.event(0, record.Event{Kind: recordpb.Kind_KIND_ENTRY, Server: "s-1", State: uint8(decide.Draining)})
			s.request(200, 0, 1, false, "s-1", decide.OK, 300, served) // sent within the grace
			s.request(300, 0, 2, false, "s-1", decide.Overloaded, 1, refused)
		}, []string{"drain s-1a", "sent after drain s-1a"}},
		"records lost": {func(s *recording) {
			s.event(0, record.Event{Kind: recordpb.Kind_KIND_LOST, Lost: 9, LostFrom: t0, LostTo: t0 + 5, LossCause: record.CauseRing})
		}, []string{"records lost a"}},
		"clock stepped": {func(s *recording) {
			s.event(0, record.Event{Kind: recordpb.Kind_KIND_GAUGE, WallClockMs: t0 + 1})
			s.event(1000, record.Event{Kind: recordpb.Kind_KIND_GAUGE, WallClockMs: t0 + 1003})
			s.event(2000, record.Event{Kind: recordpb.Kind_KIND_GAUGE, WallClockMs: t0 + 2700})
			s.event(3000, record.Event{Kind: recordpb.Kind_KIND_GAUGE, WallClockMs: t0 + 3701})
		}, []string{"clock a"}},
		"killed and started again, its clock behind": {func(s *recording) {
			s.request(5000, 1, 1, false, "s-1", decide.OK, 10, none)
			s.End(s.r, false)
			s.begin("a", t0+2000)
		}, []string{"clock a", "killed a", "restart a"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRecording("a")
			c.do(s)
			s.Finish()
			if diff := cmp.Diff(c.want, kinds(s.View())); diff != "" {
				t.Errorf("findings (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTotalsAddUp checks on random events that worth, losses and answers add up to their totals.
func TestTotalsAddUp(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		s := newRecording("a")
		at := 0.0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			at += rapid.SampledFrom([]float64{0, 1, 90, 4000, 40000}).Draw(t, "pause")
			if rapid.IntRange(0, 60).Draw(t, "kill") == 0 {
				s.End(s.r, false)
				s.begin("a", t0+at)
				s.no = 0
			}
			final := rapid.SampledFrom([]recordpb.Final{served, refused, failed, recordpb.Final_FINAL_GONE, none}).Draw(t, "final")
			server := rapid.SampledFrom([]string{"", "s-1", "s-2"}).Draw(t, "server")
			s.request(at, int32(rapid.IntRange(0, 1).Draw(t, "class")), rapid.Uint64Range(0, 3).Draw(t, "key"), rapid.Bool().Draw(t, "repeat"), server,
				decide.Result(rapid.IntRange(0, 8).Draw(t, "result")), rapid.Float64Range(0, 900).Draw(t, "took"), final)
		}
		s.End(s.r, false)
		s.Finish()
		v := s.View()
		lost := 0.0
		for _, c := range v.Causes {
			lost += c.Worth
		}
		x := &v.Total
		if math.Abs(lost-v.LostWorth()) > 1e-6 {
			t.Fatalf("the causes add up to a worth of %v, but %v was lost", lost, v.LostWorth())
		}
		if x.Served+x.Refused+x.Failed+x.Gone+x.Unknown != x.Requests || x.Unknown != v.Unknowns {
			t.Fatalf("answers by outcome do not add up to the requests, or unknown ones are not %d: %+v", v.Unknowns, x)
		}
		if len(s.open()) > 0 || s.chainCount > 0 {
			t.Fatalf("%d requests and %d chains are still open at the end", len(s.open()), s.chainCount)
		}
		var asked, got float64
		for _, c := range v.Series.Classes {
			for i := range c.Asked {
				asked, got = asked+float64(c.Asked[i]), got+float64(c.Got[i])
			}
		}
		if math.Abs(asked-x.WorthAsked) > 0.01 || math.Abs(got-x.WorthGot) > 0.01 {
			t.Fatalf("the series add up to a worth of %v of %v, the total is %v of %v", got, asked, x.WorthGot, x.WorthAsked)
		}
	})
}

func (m *Model) open() (out []uint64) {
	for _, run := range m.runs {
		for n := range run.open {
			out = append(out, n)
		}
	}
	return out
}

func load(t testing.TB, dir string) *View {
	t.Helper()
	set, err := records.Open(false, dir)
	if err != nil {
		t.Fatalf("opening the records in %s: %v", dir, err)
	}
	m := New()
	if err := set.Read(m); err != nil {
		t.Fatalf("reading the records in %s: %v", dir, err)
	}
	m.Finish()
	return m.View()
}

// TestSkewedClocksOfPoolers reads the records of 16 poolers whose clocks differ by up to 50 ms; the clock of one of them stepped back
// by 3 s before a restart. No event may be lost or counted twice, the takeover must be found once, and the clocks' errors must be
// reported.
func TestSkewedClocksOfPoolers(t *testing.T) {
	dir := t.TempDir()
	day := fake.Day{Seed: 4, From: t0, Poolers: 16, Groups: 2, Members: 3, Requests: 4000, EveryMs: 5, SkewMs: 50, StepAt: 3000, StepMs: -3000,
		Outages: []fake.Outage{{Group: 1, At: 8000, GapMs: 2500}}}
	events := day.Write(dir)
	v := load(t, dir)
	if v.Events != uint64(events) || v.Total.Requests != 64000 || v.Unknowns != 0 || len(v.Faults) > 0 {
		t.Errorf("%d of %d events; %d requests, want 64000; %d unknown answers, want none; faults %v, want none", v.Events, events, v.Total.Requests, v.Unknowns, v.Faults)
	}
	if len(v.Groups[0].Gaps) > 0 || len(v.Groups[1].Gaps) != 1 {
		t.Fatalf("gaps of the groups: want none in group 0 and one in group 1, got %+v", v.Groups)
	}
	if g := v.Groups[1].Gaps[0]; g.Old != "s-1-0" || g.New != "s-1-1" || math.Abs(g.To-g.From-2500) > 150 {
		t.Errorf("gap of %v ms, want 2500 within 150 ms, from s-1-0 to s-1-1: %+v", g.To-g.From, g)
	}
	if v.SpreadMs < 95 || v.SpreadMs > 3110 {
		t.Errorf("spread of the clocks: %v ms, want 95 to 3110 ms", v.SpreadMs)
	}
	clockFindings := map[string]int{}
	for _, f := range v.Findings {
		if f.Kind == "clock" {
			clockFindings[f.Pooler]++
		}
	}
	if clockFindings["p0"] == 0 || clockFindings["p15"] == 0 || clockFindings["p7"] > 0 {
		t.Errorf("findings about clocks by pooler are %v, want some of p0 and p15, and none of p7", clockFindings)
	}
}

// BenchmarkRead reads long records. BEECHGRADE_EVENTS sets their approximate number of events, 300,000 by default.
func BenchmarkRead(b *testing.B) {
	n := 300_000
	if x, err := strconv.Atoi(os.Getenv("BEECHGRADE_EVENTS")); err == nil {
		n = x
	}
	for name, d := range map[string]fake.Day{
		"1 pooler 9 servers":      {Poolers: 1, Groups: 3, Members: 3},
		"16 poolers 200 servers":  {Poolers: 16, Groups: 50, Members: 4, SkewMs: 20},
		"16 poolers 200 s packed": {Poolers: 16, Groups: 50, Members: 4, SkewMs: 20, Pack: true},
	} {
		b.Run(name, func(b *testing.B) {
			dir := b.TempDir()
			d.From, d.EveryMs, d.Requests, d.Segment = t0, 3, n/3/d.Poolers, 16<<20
			events := d.Write(dir)
			var size int64
			files, _ := os.ReadDir(dir)
			for _, f := range files {
				inner, _ := os.ReadDir(dir + "/" + f.Name())
				for _, x := range inner {
					info, _ := x.Info()
					size += info.Size()
				}
			}
			runtime.GC()
			b.ResetTimer()
			for range b.N {
				load(b, dir)
			}
			b.ReportMetric(float64(events)*float64(b.N)/b.Elapsed().Seconds(), "events/s")
			b.ReportMetric(float64(size)/float64(n/3), "B/request")
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.Sys)/(1<<20), "MB")
		})
	}
}
