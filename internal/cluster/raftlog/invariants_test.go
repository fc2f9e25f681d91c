package raftlog

import (
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"beechgrade/internal/invariant"
)

// TestBrokenInvariantsAreReported breaks each invariant of the log, and checks that both breaches are reported.
func TestBrokenInvariantsAreReported(t *testing.T) {
	all := testMembers()
	settings := testSettings("a")
	settings.Checks = invariant.New(nil)
	log := New(settings, 0)
	log.Handle(0, StorageLoaded{Records: BootstrapRecords(all[0], all)}, nil)
	if breaches := settings.Checks.Breaches(); breaches != nil {
		t.Fatalf("before the invariants are broken: got breaches %v, want none", breaches)
	}
	third := &pb.Entry{Index: proto.Uint64(3), Term: proto.Uint64(1), Data: []byte("x")}
	log.apply(&pb.Message{Entries: []*pb.Entry{third}}) // entry 2 was not applied
	log.term = 9
	log.Handle(1, Tick{}, nil)
	if breaches := settings.Checks.Breaches(); len(breaches) != 2 {
		t.Errorf("after both invariants are broken: got breaches %v, want 2", breaches)
	}
}
