package raftlog

import (
	"bytes"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// TestSnapshotArrivesInChunksOrNotAtAll checks that what is too large for a datagram arrives complete, and nothing of it where a chunk is
// missing, repeated or of another transfer.
func TestSnapshotArrivesInChunksOrNotAtAll(t *testing.T) {
	set := Defaults()
	set.Voters = []string{"a", "b", "c"}
	set.Self = "a"
	a := New(set, 0)
	b := New(set, 0)
	a.addresses["b"], a.members = "b", []Member{{"b", 2}}
	data := bytes.Repeat([]byte("0123456789"), 130000)
	parts := func() (all [][]byte) {
		a.actions = nil
		a.startTransfer(&message{group: 1, from: 1, to: a.members[0].raftID(), data: data})
		for len(a.actions) > 0 {
			x := a.actions[0]
			a.actions = nil
			all = append(all, x.Message)
			a.chunkSent(StreamCompleted{Ref: x.Ref, OK: true})
		}
		return all
	}
	take := func(all ...[]byte) (got []byte) {
		for _, x := range all {
			m, err := decodeMessage(x)
			if err != nil || len(x) > MaxChunkBytes+200 {
				t.Fatal(err, len(x))
			}
			if d := b.receiveChunk(m); d != nil {
				got = d
			}
		}
		return got
	}
	one, two := parts(), parts()
	if len(one) != 4 {
		t.Fatalf("%d parts", len(one))
	}
	if !bytes.Equal(take(one...), data) {
		t.Error("it did not arrive")
	}
	if take(one[0], one[1], one[3]) != nil || take(one[0], one[1], one[1], one[3]) != nil || take(one[0], two[1], one[2], one[3]) != nil {
		t.Error("half of it was taken")
	}
	if !bytes.Equal(take(two...), data) || len(a.outgoing) != 0 {
		t.Error("it did not arrive after that")
	}
}

// TestProposalsFollowHintsToTheLeader checks that a pooler that does not vote follows the voters' hints, tries the next voter where none
// answers, and reports what is dropped.
func TestProposalsFollowHintsToTheLeader(t *testing.T) {
	set := Defaults()
	set.Voters, set.Self, set.MaxForwards = []string{"a", "b", "c"}, "x", 2
	l := New(set, 0)
	l.Handle(0, AddressesChanged{Voters: []Address{{"a", "A"}, {"b", "B"}, {"c", "C"}}}, nil)
	propose := func(now float64, ref uint64) (to string, m *message) {
		for _, a := range l.Handle(now, Propose{Ref: ref, Entry: []byte("e")}, nil) {
			if a.Kind == Send {
				m, _ = decodeMessage(a.Message)
				return a.Addr, m
			}
		}
		return "dropped", nil
	}
	to, m := propose(0, 1)
	if to != "A" || string(m.data) != "e" {
		t.Fatal(to, m)
	}
	out := l.Handle(1, MessageReceived{From: "A", Message: (&message{kind: kindForwardResult, ref: m.ref, name: "c"}).encode(nil)}, nil)
	if len(out) != 1 || out[0].Kind != ProposalDropped || out[0].Ref != 1 {
		t.Fatalf("%+v", out)
	}
	to, m = propose(2, 2)
	if to != "C" {
		t.Error("the hint was not taken:", to)
	}
	accepted := (&message{kind: kindForwardResult, ref: m.ref, flag: true}).encode(nil)
	if out = l.Handle(3, MessageReceived{From: "C", Message: accepted}, nil); len(out) != 0 {
		t.Errorf("%+v", out)
	}
	propose(4, 3)
	propose(4, 4)
	if to, _ = propose(4, 5); to != "dropped" {
		t.Error("more wait than may:", to)
	}
	lost := 0
	for now := 4.0; now < 4+set.ForwardTimeout()+2*set.TickInterval; now += set.TickInterval {
		for _, a := range l.Handle(now, Tick{}, nil) {
			if a.Kind == ProposalDropped {
				lost++
			}
		}
	}
	if to, _ = propose(3000, 6); lost != 2 || to != "A" {
		t.Error("after silence:", lost, to)
	}
}

// TestCorruptMessagesAreHarmless checks that a message that was encoded is decoded, and that corrupt bytes are an error or a message, never a
// panic, also in a voter.
func TestCorruptMessagesAreHarmless(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &message{
			kind: messageKind(rapid.IntRange(1, 6).Draw(t, "kind")), group: rapid.Uint64().Draw(t, "group"), from: rapid.Uint64().Draw(t, "from"),
			name: "n", ref: rapid.Uint64().Draw(t, "ref"), flag: rapid.Bool().Draw(t, "flag"),
			members: []Member{{"a", rapid.Uint64().Draw(t, "disk")}}, data: []byte("d"),
		}
		b := m.encode(nil)
		got, err := decodeMessage(b)
		if err != nil || !bytes.Equal(got.encode(nil), b) {
			t.Fatal(err, got)
		}
		b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		all := []Member{{"a", 1}, {"b", 2}, {"c", 3}}
		set := Defaults()
		set.Voters, set.Self = []string{"a", "b", "c"}, "a"
		l := New(set, 0)
		l.Handle(0, StorageLoaded{Records: BootstrapRecords(all[0], all)}, nil)
		l.Handle(1, MessageReceived{From: "B", Message: b}, nil)
		if l.stopReason != "" {
			t.Fatal(l.stopReason)
		}
	})
}

// TestVoterStopsOnAForeignOrIncompleteDisk checks that a disk of another voter, or one that lacks something, ends the voter's part with one
// reason.
func TestVoterStopsOnAForeignOrIncompleteDisk(t *testing.T) {
	all := []Member{{"a", 1}, {"b", 2}, {"c", 3}}
	set := Defaults()
	set.Voters, set.Self = []string{"a", "b", "c"}, "a"
	ninth, _ := proto.Marshal(&pb.Entry{Index: proto.Uint64(9), Term: proto.Uint64(1)})
	for name, records := range map[string][]Record{
		"another's":         BootstrapRecords(all[1], all),
		"without its owner": BootstrapRecords(all[0], all)[1:],
		"without entries":   append(BootstrapRecords(all[0], all), Record{Key: entryKey(9), Value: ninth}),
	} {
		l := New(set, 0)
		out := l.Handle(0, StorageLoaded{Records: records}, nil)
		if len(out) != 1 || out[0].Kind != Stopped || l.Status().Participates {
			t.Errorf("%s: %+v", name, out)
		}
		if out = l.Handle(5000, Tick{}, nil); len(out) != 0 {
			t.Errorf("%s: it goes on with %+v", name, out)
		}
	}
}

// TestFollowerBehindAChangeAnswersItsLeader checks that a follower that has not applied the change by which its leader's new disk became a
// voter answers it all the same: otherwise it never learns of the change. Its answers had gone to a name that was not among its members, so
// nowhere; the leader took it for unresponsive, and as it had a leader it asked nobody either.
func TestFollowerBehindAChangeAnswersItsLeader(t *testing.T) {
	all := []Member{{"a", 1}, {"b", 2}, {"c", 3}}
	fresh := Member{"b", 99} // b lost its disk and was admitted with a new one
	set := Defaults()
	set.Voters, set.Self = []string{"a", "b", "c"}, "a"
	follower := New(set, 0)
	follower.Handle(0, AddressesChanged{Voters: []Address{{"a", "A"}, {"b", "B"}, {"c", "C"}}}, nil)
	follower.Handle(0, StorageLoaded{Records: BootstrapRecords(all[0], all)}, nil)
	set.Self = "b"
	leader := New(set, 0)
	leader.self, leader.group = fresh, groupID(all)
	leader.members, leader.addresses["a"] = all, "A"
	kind := pb.MsgHeartbeat
	leader.send(&pb.Message{Type: &kind, From: proto.Uint64(fresh.raftID()), To: proto.Uint64(all[0].raftID()), Term: proto.Uint64(5)})
	if len(leader.actions) != 1 {
		t.Fatalf("%+v", leader.actions)
	}
	out := follower.Handle(1, MessageReceived{Message: leader.actions[0].Message}, nil)
	for _, a := range out { // the new term is stored before the answer
		if a.Kind == Store {
			out = append(out, follower.Handle(2, StoreCompleted{Ref: a.Ref}, nil)...)
		}
	}
	for _, a := range out {
		if a.Kind == Send && a.Addr == "B" {
			return
		}
	}
	t.Errorf("no answer to the leader: %+v", out)
}
