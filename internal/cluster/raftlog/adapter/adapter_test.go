package adapter

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/raftlog/counter"
	"beechgrade/internal/cluster/view"
)

// transport notes the addresses that messages go to.
type transport struct {
	now float64
	to  []string
}

func (x *transport) Now() float64 { return x.now }

func (x *transport) Send(addr string, _ view.ID, _ view.Kind, _ module.Message) {
	x.to = append(x.to, addr)
}

func (x *transport) SendStream(string, view.ID, view.Kind, module.Message, func(bool)) {}

// disk makes records durable at once.
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

// TestVoterIsTheYoungestProcessThatHasNotLeft checks where a new voter's messages to the others go.
func TestVoterIsTheYoungestProcessThatHasNotLeft(t *testing.T) {
	x := &transport{}
	a := New(x, Options{Settings: voterSettings(), Machine: &counter.Counter{}})
	a.Start(&disk{}, nil, nil)
	a.UpdateMembers(1, []view.Record{
		{ID: 1, Name: "a", Addr: "self"},
		{ID: 2, Name: "b", Addr: "old b"},
		{ID: 5, Name: "b", Addr: "new b", State: view.Suspect},
		{ID: 3, Name: "c", Addr: "c"},
		{ID: 6, Name: "c", Addr: "left c", State: view.Left},
		{ID: 4, Name: "other", Addr: "other"},
	}, view.Counts{})
	x.now = 1000
	a.Tick()
	if diff := cmp.Diff([]string{"new b", "c"}, x.to); diff != "" {
		t.Error(diff)
	}
}

// TestWritesThatEndAtOnceAreTakenInOrder checks that a disk may call back within Append, and that what is applied is observed and counted.
func TestWritesThatEndAtOnceAreTakenInOrder(t *testing.T) {
	x := &transport{}
	settings := voterSettings()
	members := []raftlog.Member{{Name: "a", Disk: 1}, {Name: "b", Disk: 2}, {Name: "c", Disk: 3}}
	var observed []raftlog.ActionKind
	a := New(x, Options{
		Settings: settings, Machine: &counter.Counter{},
		Observe: func(action *raftlog.Action) { observed = append(observed, action.Kind) },
	})
	d := &disk{}
	a.Start(d, raftlog.BootstrapRecords(members[0], members), nil)
	for range 3 * settings.ElectionTicks {
		x.now += settings.TickInterval
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

// TestUnreadableDiskStopsTheVoter checks that the reason is counted.
func TestUnreadableDiskStopsTheVoter(t *testing.T) {
	a := New(&transport{}, Options{Settings: voterSettings(), Machine: &counter.Counter{}})
	a.Start(&disk{}, []raftlog.Record{{Key: "e/0000000000000001", Value: []byte{0xff}}}, nil)
	if a.Counts().StopReason == "" || a.Status().Participates {
		t.Errorf("%+v, %+v", a.Counts(), a.Status())
	}
}
