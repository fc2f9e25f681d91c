package raftlog

import (
	"bytes"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// testMembers returns the voters of the test group.
func testMembers() []Member {
	return []Member{{Name: "a", Disk: 1}, {Name: "b", Disk: 2}, {Name: "c", Disk: 3}}
}

// testSettings returns the settings of a pooler where the voters are a, b and c.
func testSettings(self string) Settings {
	settings := Defaults()
	settings.Voters = []string{"a", "b", "c"}
	settings.Self = self
	return settings
}

// testAddresses returns the addresses of all three voters.
func testAddresses() AddressesChanged {
	return AddressesChanged{Voters: []Address{{Name: "a", Addr: "A"}, {Name: "b", Addr: "B"}, {Name: "c", Addr: "C"}}}
}

// TestSnapshotArrivesInChunksOrNotAtAll checks that a message too large for a datagram arrives complete, and not at all if a chunk is
// missing, repeated or of another transfer.
func TestSnapshotArrivesInChunksOrNotAtAll(t *testing.T) {
	sender := New(testSettings("a"), 0)
	receiver := New(testSettings("a"), 0)
	sender.addresses["b"] = "b"
	sender.members = []Member{{Name: "b", Disk: 2}}
	data := bytes.Repeat([]byte("0123456789"), 130000)
	send := func() (chunks [][]byte) {
		sender.actions = nil
		sender.startTransfer(&message{group: 1, from: 1, to: sender.members[0].raftID(), data: data})
		for len(sender.actions) > 0 {
			sent := sender.actions[0]
			sender.actions = nil
			chunks = append(chunks, sent.Message)
			sender.chunkSent(StreamCompleted{Ref: sent.Ref, OK: true})
		}
		return chunks
	}
	receive := func(chunks ...[]byte) (received []byte) {
		t.Helper()
		for _, chunk := range chunks {
			m, err := decodeMessage(chunk)
			if err != nil || len(chunk) > MaxChunkBytes+200 {
				t.Fatalf("chunk of %d bytes: decoded with error %v, want no error and at most %d bytes", len(chunk), err, MaxChunkBytes+200)
			}
			if complete := receiver.receiveChunk(m); complete != nil {
				received = complete
			}
		}
		return received
	}
	first, second := send(), send()
	if len(first) != 4 {
		t.Fatalf("message of %d bytes: sent in %d chunks, want 4", len(data), len(first))
	}
	if !bytes.Equal(receive(first...), data) {
		t.Error("the message did not arrive complete from all its chunks in order")
	}
	for name, chunks := range map[string][][]byte{
		"a chunk is missing":             {first[0], first[1], first[3]},
		"a chunk is repeated":            {first[0], first[1], first[1], first[3]},
		"a chunk is of another transfer": {first[0], second[1], first[2], first[3]},
	} {
		if receive(chunks...) != nil {
			t.Errorf("%s: the incomplete message was accepted", name)
		}
	}
	if !bytes.Equal(receive(second...), data) || len(sender.outgoing) != 0 {
		t.Errorf("after incomplete transfers the message did not arrive complete, or %d transfers are outgoing, want 0", len(sender.outgoing))
	}
}

// TestProposalsFollowHintsToTheLeader checks that a pooler that does not vote forwards proposals to the leader that a voter named,
// sends them to the next voter if there is no answer, and reports dropped proposals.
func TestProposalsFollowHintsToTheLeader(t *testing.T) {
	settings := testSettings("x")
	settings.MaxForwards = 2
	log := New(settings, 0)
	log.Handle(0, testAddresses(), nil)
	propose := func(now float64, ref uint64) (to string, m *message) {
		for _, a := range log.Handle(now, Propose{Ref: ref, Entry: []byte("e")}, nil) {
			if a.Kind == Send {
				m, _ = decodeMessage(a.Message)
				return a.Addr, m
			}
		}
		return "dropped", nil
	}
	to, m := propose(0, 1)
	if to != "A" || string(m.data) != "e" {
		t.Fatalf("first proposal: sent to %q as %+v, want entry e sent to A", to, m)
	}
	out := log.Handle(1, MessageReceived{From: "A", Message: (&message{kind: kindForwardResult, ref: m.ref, name: "c"}).encode(nil)}, nil)
	if len(out) != 1 || out[0].Kind != ProposalDropped || out[0].Ref != 1 {
		t.Fatalf("result that names c as the leader: got actions %+v, want proposal 1 dropped", out)
	}
	to, m = propose(2, 2)
	if to != "C" {
		t.Errorf("the proposal went to %q, not to the named leader at C", to)
	}
	accepted := (&message{kind: kindForwardResult, ref: m.ref, flag: true}).encode(nil)
	if out = log.Handle(3, MessageReceived{From: "C", Message: accepted}, nil); len(out) != 0 {
		t.Errorf("result that accepts proposal 2: got actions %+v, want none", out)
	}
	propose(4, 3)
	propose(4, 4)
	if to, _ = propose(4, 5); to != "dropped" {
		t.Errorf("a proposal beyond MaxForwards went to %q, want it dropped", to)
	}
	lost := 0
	for now := 4.0; now < 4+settings.ForwardTimeout()+2*settings.TickInterval; now += settings.TickInterval {
		for _, a := range log.Handle(now, Tick{}, nil) {
			if a.Kind == ProposalDropped {
				lost++
			}
		}
	}
	if to, _ = propose(3000, 6); lost != 2 || to != "A" {
		t.Errorf("without answers %d proposals were dropped, and the next went to %q, want 2 and A", lost, to)
	}
}

// TestCorruptMessagesAreHarmless checks that an encoded message is decoded to the same one, and that a voter that receives corrupt bytes
// neither panics nor stops.
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
			t.Fatalf("message decoded as %+v, error %v; want one that encodes to %x", got, err, b)
		}
		b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		all := testMembers()
		log := New(testSettings("a"), 0)
		log.Handle(0, StorageLoaded{Records: BootstrapRecords(all[0], all)}, nil)
		log.Handle(1, MessageReceived{From: "B", Message: b}, nil)
		if log.stopReason != "" {
			t.Fatalf("the voter stopped on corrupt bytes %x: %s", b, log.stopReason)
		}
	})
}

// TestVoterStopsOnAForeignOrIncompleteDisk checks that a voter stops, and reports it once, if its disk belongs to another voter or lacks
// records.
func TestVoterStopsOnAForeignOrIncompleteDisk(t *testing.T) {
	all := testMembers()
	ninth, _ := proto.Marshal(&pb.Entry{Index: proto.Uint64(9), Term: proto.Uint64(1)})
	for name, records := range map[string][]Record{
		"of another voter":  BootstrapRecords(all[1], all),
		"without its owner": BootstrapRecords(all[0], all)[1:],
		"without entries":   append(BootstrapRecords(all[0], all), Record{Key: entryKey(9), Value: ninth}),
	} {
		log := New(testSettings("a"), 0)
		out := log.Handle(0, StorageLoaded{Records: records}, nil)
		if len(out) != 1 || out[0].Kind != Stopped || log.Status().Participates {
			t.Errorf("disk %s: got actions %+v, want Stopped only, and no participation", name, out)
		}
		if out = log.Handle(5000, Tick{}, nil); len(out) != 0 {
			t.Errorf("disk %s: a tick of the stopped voter caused actions %+v, want none", name, out)
		}
	}
}

// TestFollowerAnswersLeaderNotYetInItsMembers checks that a follower answers its leader before it has applied the membership change that
// admitted the leader's new disk. It guards against a deadlock: the follower found no name for the leader among its members and dropped its
// answers, the leader considered it unresponsive and never sent the change, and as the follower had a leader, it asked no other voter.
func TestFollowerAnswersLeaderNotYetInItsMembers(t *testing.T) {
	all := testMembers()
	replacement := Member{Name: "b", Disk: 99} // b lost its disk and was admitted with a new one
	follower := New(testSettings("a"), 0)
	follower.Handle(0, testAddresses(), nil)
	follower.Handle(0, StorageLoaded{Records: BootstrapRecords(all[0], all)}, nil)
	leader := New(testSettings("b"), 0)
	leader.self = replacement
	leader.group = groupID(all)
	leader.members = all
	leader.addresses["a"] = "A"
	kind := pb.MsgHeartbeat
	leader.send(&pb.Message{
		Type: &kind, From: proto.Uint64(replacement.raftID()), To: proto.Uint64(all[0].raftID()), Term: proto.Uint64(5),
	})
	if len(leader.actions) != 1 {
		t.Fatalf("heartbeat of the leader: got actions %+v, want one", leader.actions)
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
	t.Errorf("heartbeat at the follower: got actions %+v, want an answer to the leader at B", out)
}
