package raftlog

import (
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"beechgrade/internal/invariant"
)

// TestBrokenInvariantsAreReported breaks the state for each invariant of the log.
func TestBrokenInvariantsAreReported(t *testing.T) {
	all := []Member{{"a", 1}, {"b", 2}, {"c", 3}}
	set := Defaults()
	set.Voters, set.Self, set.Checks = []string{"a", "b", "c"}, "a", invariant.New(nil)
	l := New(set, 0)
	l.Handle(0, StorageLoaded{Records: BootstrapRecords(all[0], all)}, nil)
	if b := set.Checks.Breaches(); b != nil {
		t.Fatal(b)
	}
	l.apply(&pb.Message{Entries: []*pb.Entry{{Index: proto.Uint64(3), Term: proto.Uint64(1), Data: []byte("x")}}}) // the second is missing
	l.term = 9
	l.Handle(1, Tick{}, nil)
	if b := set.Checks.Breaches(); len(b) != 2 {
		t.Errorf("%v", b)
	}
}
