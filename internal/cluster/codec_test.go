package cluster

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/testkit/deterministic"
)

var testKey = Key("a key of a fleet, for tests")

// TestEnvelopeRoundTrip: every message is decoded as it was encoded, and is rejected if a byte was changed or the key differs.
func TestEnvelopeRoundTrip(t *testing.T) {
	text := rapid.StringN(0, 20, view.MaxNameBytes)
	deterministic.Check(t, func(t *rapid.T) {
		in := &envelope{Message: view.Message{Kind: view.Kind(rapid.IntRange(0, 20).Draw(t, "kind")), From: view.ID(rapid.Uint64Min(1).Draw(t, "from")),
			Sequence: rapid.Uint32().Draw(t, "seq"), Target: view.ID(rapid.Uint64().Draw(t, "target"))}}
		for range rapid.IntRange(0, 5).Draw(t, "records") {
			in.Records = append(in.Records, view.Record{ID: view.ID(rapid.Uint64Min(1).Draw(t, "id")), Name: "n", Addr: "1.2.3.4:5", Zone: text.Draw(t, "zone"),
				Version: text.Draw(t, "version"), Incarnation: rapid.Uint32().Draw(t, "inc"), State: view.State(rapid.IntRange(0, 3).Draw(t, "state")), Draining: rapid.Bool().Draw(t, "draining")})
		}
		if rapid.Bool().Draw(t, "counts") {
			in.counts = view.Counts{Reachable: 3, Sending: rapid.IntRange(1, 2000).Draw(t, "sending"), Majority: rapid.Bool().Draw(t, "majority")}
		}
		for range rapid.IntRange(0, 3).Draw(t, "avoids") {
			in.avoided = append(in.avoided, module.AvoidedServer{Server: text.Draw(t, "server"), Reason: "silent", ReportedBy: []view.ID{view.ID(rapid.Uint64().Draw(t, "by")), 7}, UntilMs: rapid.Float64Range(-1e14, 1e14).Draw(t, "until")})
		}
		b := testKey.seal(nil, in)
		out, err := testKey.open(b)
		if err != nil {
			t.Fatalf("opening of the sealed envelope %+v: %v", in, err)
		}
		if diff := cmp.Diff(in, out, cmp.AllowUnexported(envelope{}, moduleBody{}), cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("opened envelope (-want +got):\n%s", diff)
		}
		if _, err := Key("another key of a fleet").open(b); !errors.Is(err, ErrNotAuthenticated) {
			t.Fatalf("opened with another key: got error %v, want %v", err, ErrNotAuthenticated)
		}
		b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		if _, err := testKey.open(b); !errors.Is(err, ErrNotAuthenticated) {
			t.Fatalf("opened with a byte changed: got error %v, want %v", err, ErrNotAuthenticated)
		}
	})
}

// TestUnknownFieldsAreSkipped: fields that a later version adds are ignored.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	in := &envelope{Message: view.Message{Kind: view.Gossip, From: 7, Records: []view.Record{{ID: 9, Name: "n", Addr: "a"}}}}
	body := appendText(appendUint(appendEnvelope(nil, in), 99, 5), 77, "field of a later version")
	out, err := decodeEnvelope(body)
	if err != nil || len(out.Records) != 1 || out.From != 7 {
		t.Errorf("envelope with unknown fields decoded as %+v, error %v; want one record from process 7", out, err)
	}
}

// FuzzOpen: any bytes, with or without a valid seal, are decoded or rejected without a panic.
func FuzzOpen(f *testing.F) {
	f.Add([]byte("bgp1"), true)
	f.Add(appendEnvelope(nil, &envelope{Message: view.Message{Kind: view.Ping, From: 1, Records: []view.Record{{ID: 9, Name: "n", Addr: "a"}}}}), true)
	f.Add(testKey.seal(nil, &envelope{Message: view.Message{From: 1}}), false)
	f.Fuzz(func(t *testing.T, b []byte, sealed bool) {
		if sealed {
			b = append(append([]byte(protocolMagic), testKey.mac(b)...), b...)
		}
		message, err := testKey.open(b)
		if err != nil {
			return
		}
		for i := range message.Records {
			if !message.Records[i].Valid() {
				t.Fatalf("record %d of a decoded message is invalid: %+v", i, message.Records[i])
			}
		}
		again, err := testKey.open(testKey.seal(nil, message))
		if err != nil || !cmp.Equal(message, again, cmp.AllowUnexported(envelope{}, moduleBody{}), cmpopts.EquateEmpty()) {
			t.Fatalf("message sealed and opened again: got %+v, error %v; want %+v", again, err, message)
		}
	})
}

// TestFrameIsReadCompletelyOrRejected: a truncated frame is an error, and so is one longer than MaxStreamBytes.
func TestFrameIsReadCompletelyOrRejected(t *testing.T) {
	b := appendFrame(nil, testKey.seal(nil, &envelope{Message: view.Message{Kind: kindStatusQuery}}))
	if message, err := readFrame(bytes.NewReader(b), testKey); err != nil || message.Kind != kindStatusQuery {
		t.Fatalf("complete frame read as %+v, error %v; want a message of kind %d", message, err, kindStatusQuery)
	}
	for cut := range b {
		if _, err := readFrame(bytes.NewReader(b[:cut]), testKey); err == nil {
			t.Errorf("a frame truncated to %d bytes was accepted", cut)
		}
	}
	if _, err := readFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1}), testKey); !errors.Is(err, ErrMalformed) {
		t.Errorf("frame longer than MaxStreamBytes: got error %v, want %v", err, ErrMalformed)
	}
}

// TestQuotaMessageRoundTrip: a quota message of MaxItems items fits one datagram and is decoded as it was encoded. A message of more
// items is rejected.
func TestQuotaMessageRoundTrip(t *testing.T) {
	key := Key("0123456789abcdef")
	m := &quota.Message{Kind: quota.LeaseAnswer, From: 7, To: 9}
	for i := range quota.MaxItems {
		m.Items = append(m.Items, quota.Item{LimitHash: 1<<63 + uint64(i), Sequence: 1 << 31, Epoch: 3, OwnerTime: 1e9 + 0.5, Vote: true, SoonEven: i%2 == 0, LastTaken: 4, UnitsInUse: 5, RemainingMs: 0.25, Demand: 1e3, Units: 4096, Pool: 4000, AllAccounted: true, Share: 0.125})
	}
	b := key.seal(nil, &envelope{Message: view.Message{Kind: kindQuota, From: m.From, Target: m.To}, quota: m})
	if len(b) > MaxDatagramBytes {
		t.Errorf("the datagram has %d bytes, want at most %d", len(b), MaxDatagramBytes)
	}
	message, err := key.open(b)
	if err != nil {
		t.Fatalf("opening of a quota message of %d items: %v", len(m.Items), err)
	}
	if diff := cmp.Diff(m, message.quota); diff != "" {
		t.Errorf("quota message (-want +got):\n%s", diff)
	}
	m.Items = append(m.Items, quota.Item{})
	if _, err := key.open(key.seal(nil, &envelope{Message: view.Message{Kind: kindQuota, From: 1}, quota: m})); err == nil {
		t.Errorf("a quota message of %d items was accepted, want at most %d", len(m.Items), quota.MaxItems)
	}
}
