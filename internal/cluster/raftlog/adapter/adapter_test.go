package adapter

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/raftlog/counter"
	"beechgrade/internal/cluster/view"
)

// transport records the addresses to which messages are sent.
type transport struct {
	now    float64
	sentTo []string
}

func (tr *transport) Now() float64 { return tr.now }

func (tr *transport) Send(addr string, _ view.ID, _ view.Kind, _ module.Message) {
	tr.sentTo = append(tr.sentTo, addr)
}

func (tr *transport) SendStream(string, view.ID, view.Kind, module.Message, func(bool)) {}

// disk calls done within Append.
type disk struct{ records []raftlog.Record }

func (d *disk) Append(records []raftlog.Record, done func(error)) {
	d.records = append(d.records, records...)
	done(nil)
}

func voterSettings() raftlog.Settings {
	settings := raftlog.Defaults()
	settings.Self = "a"
	settings.Voters = []string{"a", "b", "c"}
	return settings
}

// TestVoterIsTheYoungestProcessThatHasNotLeft checks to which processes a new voter sends its messages if several have a voter's name.
func TestVoterIsTheYoungestProcessThatHasNotLeft(t *testing.T) {
	tr := &transport{}
	a := New(tr, Options{Settings: voterSettings(), Machine: &counter.Counter{}})
	a.Start(&disk{}, nil, nil)
	a.UpdateMembers(1, []view.Record{
		{ID: 1, Name: "a", Addr: "self"},
		{ID: 2, Name: "b", Addr: "old b"},
		{ID: 5, Name: "b", Addr: "new b", State: view.Suspect},
		{ID: 3, Name: "c", Addr: "c"},
		{ID: 6, Name: "c", Addr: "left c", State: view.Left},
		{ID: 4, Name: "other", Addr: "other"},
	}, view.Counts{})
	tr.now = 1000
	a.Tick()
	if diff := cmp.Diff([]string{"new b", "c"}, tr.sentTo); diff != "" {
		t.Error(diff)
	}
}

// TestSynchronousWritesAreHandledInOrder checks that a disk may call done within Append, and that actions are observed and counted.
func TestSynchronousWritesAreHandledInOrder(t *testing.T) {
	tr := &transport{}
	settings := voterSettings()
	members := []raftlog.Member{{Name: "a", Disk: 1}, {Name: "b", Disk: 2}, {Name: "c", Disk: 3}}
	var observed []raftlog.ActionKind
	a := New(tr, Options{
		Settings: settings, Machine: &counter.Counter{},
		Observe: func(action *raftlog.Action) { observed = append(observed, action.Kind) },
	})
	d := &disk{}
	a.Start(d, raftlog.BootstrapRecords(members[0], members), nil)
	for range 3 * settings.ElectionTicks {
		tr.now += settings.TickInterval
		a.Tick()
	}
	if status := a.Status(); !status.IsVoter || !status.Participates || a.Counts().StopReason != "" {
		t.Errorf("%+v, %+v", status, a.Counts())
	}
	a.Propose(1, counter.EncodeEntry("a", 1, 0))
	if a.Counts().Dropped != 1 || observed[len(observed)-1] != raftlog.ProposalDropped {
		t.Errorf("without a leader: %+v, %v", a.Counts(), observed)
	}
}

// TestUnreadableDiskStopsTheVoter checks that a voter whose disk cannot be decoded does not participate, and gives the reason.
func TestUnreadableDiskStopsTheVoter(t *testing.T) {
	a := New(&transport{}, Options{Settings: voterSettings(), Machine: &counter.Counter{}})
	a.Start(&disk{}, []raftlog.Record{{Key: "e/0000000000000001", Value: []byte{0xff}}}, nil)
	if a.Counts().StopReason == "" || a.Status().Participates {
		t.Errorf("%+v, %+v", a.Counts(), a.Status())
	}
}
