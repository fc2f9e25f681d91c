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
	voter := New(tr, Options{Settings: voterSettings(), Machine: &counter.Counter{}})
	voter.Start(&disk{}, nil, nil)
	voter.UpdateMembers(1, []view.Record{
		{ID: 1, Name: "a", Addr: "self"},
		{ID: 2, Name: "b", Addr: "old b"},
		{ID: 5, Name: "b", Addr: "new b", State: view.Suspect},
		{ID: 3, Name: "c", Addr: "c"},
		{ID: 6, Name: "c", Addr: "left c", State: view.Left},
		{ID: 4, Name: "other", Addr: "other"},
	}, view.Counts{})
	tr.now = 1000
	voter.Tick()
	if diff := cmp.Diff([]string{"new b", "c"}, tr.sentTo); diff != "" {
		t.Errorf("addresses that the voter sent to (-want +got):\n%s", diff)
	}
}

// TestSynchronousWritesAreHandledInOrder checks that a disk may call done within Append, and that actions are observed and counted.
func TestSynchronousWritesAreHandledInOrder(t *testing.T) {
	tr := &transport{}
	settings := voterSettings()
	members := []raftlog.Member{{Name: "a", Disk: 1}, {Name: "b", Disk: 2}, {Name: "c", Disk: 3}}
	var observed []raftlog.ActionKind
	voter := New(tr, Options{
		Settings: settings, Machine: &counter.Counter{},
		Observe: func(action *raftlog.Action) { observed = append(observed, action.Kind) },
	})
	d := &disk{}
	voter.Start(d, raftlog.BootstrapRecords(members[0], members), nil)
	for range 3 * settings.ElectionTicks {
		tr.now += settings.TickInterval
		voter.Tick()
	}
	if status := voter.Status(); !status.IsVoter || !status.Participates || voter.Counts().StopReason != "" {
		t.Errorf("after 3 times ElectionTicks: status %+v, counts %+v; want a voter that participates and has no stop reason", status, voter.Counts())
	}
	voter.Propose(1, counter.EncodeEntry("a", 1, 0))
	if voter.Counts().Dropped != 1 || observed[len(observed)-1] != raftlog.ProposalDropped {
		t.Errorf("proposal without a leader: counts %+v, observed actions %v; want 1 dropped, and ProposalDropped as the last action", voter.Counts(), observed)
	}
}

// TestUnreadableDiskStopsTheVoter checks that a voter whose disk cannot be decoded does not participate, and gives the reason.
func TestUnreadableDiskStopsTheVoter(t *testing.T) {
	voter := New(&transport{}, Options{Settings: voterSettings(), Machine: &counter.Counter{}})
	voter.Start(&disk{}, []raftlog.Record{{Key: "e/0000000000000001", Value: []byte{0xff}}}, nil)
	if voter.Counts().StopReason == "" || voter.Status().Participates {
		t.Errorf("voter with an unreadable disk: counts %+v, status %+v; want a stop reason and no participation", voter.Counts(), voter.Status())
	}
}
