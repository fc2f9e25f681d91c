package simulator

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/decide"
)

// exampleBatch has a line of each kind, and unknown lines and fields.
const exampleBatch = "SYNC\twall_ns=1000000000\n" +
	"PROVISION\tfront=3\tprng=17446744073709551615\tallowed.may_cancel=true\tfamily_info.class_read=lag_bound,mutate\t" +
	"family_info.position_zero_ns=500\tfamily_info.staleness_bound_ns=300,0\tfamily_info.when_behind=await\t" +
	"membership_mode=ask\tnew.key=1,2\trequest_classes.count=2\trequest_classes.0.effect=retryable\t" +
	"request_classes.0.slo_ns=7\trequest_classes.1.effect=dedup\trequest_classes.1.group=cell\t" +
	"siblings=2\ttenants.0.allowance_per_s=1.5\ttenants.count=1\ttick_ns=5\n" +
	"CENSUS\tslot=0\trecords=2\n" +
	"ENTRY\tshard=11\tshape=1\tavailability=SERVING\tweight=2.5\thall=2\tstore=h:1\tis_primary=1\tnew=x\n" +
	"ENTRY\tonline_since_ns=61\tshard=11\tavailability=DRAINING\tstore=h:2\n" +
	"MEMBERS\tfront=3\thow=restored\tgeneration=41\tslot=0\n" +
	"CENSUS\tslot=0\trecords=1\n" +
	"ENTRY\tshard=4\tavailability=DELETED\tstore=h:3\n" +
	"MEMBERS\tfront=3\thow=update\tgeneration=42\tslot=0\n" +
	"MEMBERS\tfront=3\thow=unavailable\tgeneration=42\tslot=9\n" +
	"ASK\tfront=3\trequest_id=ab\tparty=1\tdue_ns=99\tshard=11\tsession=c.k\ttoken_ms=412.5\texpected_ns=12\toptions=3\tcls=1\n" +
	"SETTLED\tfront=3\trequest_id=ab\twait_time_ns=1\ttry=2\tdisposition=done\tno_more=1\tstore=h:1\tnote=41\n" +
	"SETTLED\tfront=3\trequest_id=ab\ttry=0\tdisposition=novel\tstore=h:1\tnote=2\tserver_stats=x0:0.0205,x1:1,busy_reqs:7,odd:z\n" +
	"ECHO\tfront=3\tstore=h:1\tdisposition=econnrefused\twait_time_ns=3\n" +
	"EXPIRED\tfront=3\trequest_id=ab\nTIMEOUT_FIRED\tfront=3\ttag=-77\nNOVEL\tfront=3\tx\nCRASH_NOW\tfront=3\nCOMMIT\n"

// TestDecodeBatch: each line must be decoded to its event, and unknown lines and fields must be skipped.
func TestDecodeBatch(t *testing.T) {
	d := NewDecoder(strings.NewReader("\n" + exampleBatch))
	b, err := d.Next()
	if err != nil {
		t.Fatalf("decode the batch: %v", err)
	}
	if b.Now != time.Second || len(b.Items) != 11 {
		t.Fatalf("batch at %v with %d items, want 1s and 11", b.Now, len(b.Items))
	}
	s := b.Items[0].Settings
	if b.Items[0].Seed != 17446744073709551615 || s.Peers != 2 || !s.MayCancel || !s.WatchList ||
		s.StaleReads != decide.StaleReadsWait || len(s.Classes) != 2 || s.Classes[0].MaxStaleness != 300 || s.Classes[0].LatencyObjective != 7 ||
		s.Classes[1].Idempotency != decide.IdempotentWithKey || s.Classes[1].KeyScope != decide.ScopeGroup ||
		s.Classes[1].Read != decide.Write || s.Tenants[0].RateLimit != 1.5 {
		t.Errorf("settings are not those of the PROVISION line: %+v", s)
	}
	zero := 500 * time.Nanosecond
	ms := time.Millisecond
	want := []decide.Event{
		&decide.EndpointList{Kind: decide.ListRestored, Endpoints: []decide.Endpoint{
			{Server: "h:1", Group: 11, Kind: 1, Zone: 2, Capacity: 2.5, Primary: true},
			{Server: "h:2", Group: 11, Capacity: 1, State: decide.Draining, Started: 61}}},
		&decide.EndpointList{Endpoints: []decide.Endpoint{{Server: "h:3", Group: 4, Capacity: 1, State: decide.Removed}}},
		&decide.EndpointList{Kind: decide.ListFailed},
		&decide.Request{ID: "ab", Class: 1, Group: 11, Tenant: 1, Deadline: 99, Session: "c.k",
			SinceCommit: 412500 * time.Microsecond, WorkHint: 12, ClientRetry: true},
		&decide.Outcome{ID: "ab", Attempt: 2, Server: "h:1", Final: true,
			Reported: decide.Report{Role: decide.RolePrimary, Position: zero + 10*ms, HasPosition: true}},
		&decide.Outcome{ID: "ab", Server: "h:1", Result: decide.Failed,
			Reported: decide.Report{Role: decide.RoleReplica},
			Load:     decide.Report{Role: decide.RolePrimary, Position: zero + 20*ms, HasPosition: true, InFlight: 7, HasInFlight: true}},
		&decide.HealthCheckResult{Server: "h:1", Result: decide.Unreachable},
		&decide.Abandoned{ID: "ab"},
		&decide.Timer{Tag: -77},
	}
	for i, w := range want {
		got := b.Items[i+1]
		if diff := cmp.Diff(w, got.Event); diff != "" || got.Instance != 3 {
			t.Errorf("event %d for instance %d, want instance 3; event (-want +got):\n%s", i, got.Instance, diff)
		}
	}
	if b.Items[10].Kind != StopInstance {
		t.Errorf("kind of the last item is %v, want StopInstance", b.Items[10].Kind)
	}
	if _, err := d.Next(); err != io.EOF {
		t.Errorf("after the last batch: error %v, want EOF", err)
	}
}

// TestResultsAreDecoded: each result must be mapped, and an unknown one to Failed, which means that the attempt may have run.
func TestResultsAreDecoded(t *testing.T) {
	for text, want := range map[string]decide.Result{
		"done": decide.OK, "err": decide.Failed, "busy": decide.Overloaded, "etimedout": decide.TimedOut,
		"econnrefused": decide.Unreachable, "econnreset": decide.Reset, "ecanceled": decide.Cancelled,
		"skipped": decide.NotSent, "enoent": decide.Misdirected, "unknown": decide.Failed,
	} {
		if got := decodeResult([]byte(text)); got != want {
			t.Errorf("result of disposition %s: got %d, want %d", text, got, want)
		}
	}
}

// TestMalformedInputIsRejected: the error must state the line and what is wrong with it.
func TestMalformedInputIsRejected(t *testing.T) {
	for in, want := range map[string]string{
		"READY\n":                                  "line 1: want SYNC",
		"SYNC\n":                                   "line 1: SYNC: bad or missing wall_ns",
		"SYNC\twall_ns=x\n":                        "line 1: SYNC: bad or missing wall_ns",
		"SYNC\twall_ns=1\n":                        "unexpected EOF",
		"SYNC\twall_ns=1\nCOMM":                    "unexpected EOF",
		"SYNC\twall_ns=1\nASK\tfront\nCOMMIT\n":    "line 2: ASK: part \"front\" has no '='",
		"SYNC\twall_ns=1\nASK\tfront=1\nCOMMIT\n":  "line 2: ASK: bad or missing request_id",
		"SYNC\twall_ns=1\nEXPIRED\tx=1\nCOMMIT\n":  "line 2: EXPIRED: front missing",
		"SYNC\twall_ns=1\nCENSUS\tslot=16\nCOMMIT": "line 2: CENSUS: slot 16",
		"SYNC\twall_ns=1\nCENSUS\tslot=1\trecords=2\nENTRY\tstore=a\nCOMMIT\n":   "line 4: want ENTRY",
		"SYNC\twall_ns=1\nCENSUS\tslot=1\trecords=1\nENTRY\tavailability=ODD\n":  "line 3: ENTRY: unknown availability",
		"SYNC\twall_ns=1\nMEMBERS\tfront=1\thow=odd\n":                           "line 2: MEMBERS: unknown how",
		"SYNC\twall_ns=1\nMEMBERS\tfront=1\thow=update\tslot=-1\n":               "line 2: MEMBERS: slot -1",
		"SYNC\twall_ns=1\nPROVISION\tfront=1\trequest_classes.count=99999999\n":  "out of range",
		"SYNC\twall_ns=1\nPROVISION\tfront=1\tprices.cross_zone=dear\n":          "prices.cross_zone",
		"SYNC\twall_ns=1\nSETTLED\tfront=1\trequest_id=a\tserver_stats=x0:abc\n": "line 2: SETTLED",
	} {
		_, err := NewDecoder(strings.NewReader(in)).Next()
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one that contains %q", in, err, want)
		}
	}
}

// TestLineBeyondBufferIsDecoded: a line that is longer than the buffer must be read completely.
func TestLineBeyondBufferIsDecoded(t *testing.T) {
	long := strings.Repeat("k", 3<<20)
	b, err := NewDecoder(strings.NewReader("SYNC\twall_ns=1\nASK\tfront=1\trequest_id=" + long + "\nCOMMIT\n")).Next()
	if err != nil || len(b.Items[0].Event.(*decide.Request).ID) != len(long) {
		t.Fatalf("decode a request whose id has %d bytes: error %v, or an id of another length", len(long), err)
	}
}

// TestEncodeActions: each action must be encoded as its line, and an unknown one must be left out.
func TestEncodeActions(t *testing.T) {
	var r Reply
	for _, a := range []decide.Action{
		{Kind: decide.Send, ID: "ab", Server: "h:1", Wait: 80}, {Kind: decide.Send, ID: "ab", Server: "h:1"},
		{Kind: decide.Cancel, ID: "ab", Attempt: 2}, {Kind: decide.Reject, ID: "ab", Wait: 9},
		{Kind: decide.Fail, ID: "ab"}, {Kind: decide.HealthCheck, Server: "h:1"},
		{Kind: decide.SetTimer, At: 12, Tag: 7}, {Kind: decide.Subscribe}, {Kind: decide.FetchList},
		{Kind: decide.Log, Text: "a\tb\nc"}, {Kind: 99},
	} {
		r.Add(3, &a)
	}
	r.Fault(3, "why")
	want := "PASS_ON\tfront=3\trequest_id=ab\tstore=h:1\ttimeout_ns=80\nPASS_ON\tfront=3\trequest_id=ab\tstore=h:1\n" +
		"REVOKE\tfront=3\trequest_id=ab\ttry=2\nNOT_NOW\tfront=3\trequest_id=ab\tpause_ns=9\nERROR\tfront=3\trequest_id=ab\n" +
		"PROBE\tfront=3\tstore=h:1\nWAKE_AT\tfront=3\tinstant_ns=12\ttag=7\nWATCH\tfront=3\tenable=1\nLIST_ALL\tfront=3\n" +
		"TRACE\tfront=3\tmsg=a b c\nBAIL_OUT\tfront=3\tmsg=why\nREADY\n"
	if got := string(r.Bytes()); got != want {
		t.Errorf("encoded actions: got\n%s\nwant\n%s", got, want)
	}
	r.Reset()
	if got := string(r.Bytes()); got != "READY\n" {
		t.Errorf("reply after Reset is %q, want only READY", got)
	}
}

// FuzzDecode: any input must end in batches or an error that names its line, never a panic.
func FuzzDecode(f *testing.F) {
	f.Add(exampleBatch)
	f.Add("SYNC\twall_ns=1\nCOMMIT\n")
	f.Add("SYNC\twall_ns=1\nCENSUS\tslot=3\trecords=-1\n")
	f.Add("SYNC\twall_ns=9223372036854775808\nECHO\tfront=0\tserver_stats=x0:NaN,x1:,:\nCOMMIT\n")
	f.Fuzz(func(t *testing.T, in string) {
		d := NewDecoder(strings.NewReader(in))
		for {
			b, err := d.Next()
			if errors.Is(err, io.EOF) && b == nil {
				return
			}
			if err != nil {
				if !strings.HasPrefix(err.Error(), "wire: line ") {
					t.Fatalf("error without its line: %v", err)
				}
				return
			}
		}
	})
}
