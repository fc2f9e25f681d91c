package settings

import (
	"slices"

	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/sexp"
)

// RaftLog configures the poolers' replicated log, and which poolers vote. It needs (peers ...).
type RaftLog struct {
	Enabled                  bool
	Dir                      string // of a voter's log; "$NAME" stands for an environment variable
	MaxBytes                 int64
	CompactionBytesPerSecond int64 // 0 for no limit
	Settings                 raftlog.Settings
	WitnessPerSecond         float64 // entries that this pooler proposes per second, to test the voters
}

const (
	defaultRaftLogBytes      = 256 * megabyte
	minHeartbeatsPerElection = 4
)

var (
	raftLogBytes     = sizeRange{64 * megabyte, terabyte}
	raftTicks        = durationRange{50, 10 * second}
	electionTicks    = countRange{4, 1000}
	heartbeatTicks   = countRange{1, 250}
	snapshotEntries  = countRange{16, 1e6}
	retainedEntries  = countRange{1, 1e6}
	witnessPerSecond = numberRange{0, 1e5}
)

func (l *RaftLog) read(node *sexp.Node, env func(string) string) error {
	*l = RaftLog{Enabled: true, MaxBytes: defaultRaftLogBytes, Settings: raftlog.Defaults()}
	s := &l.Settings
	err := sexp.Schema{
		"voters":    l.readVoters,
		"dir":       expanded(&l.Dir, env),
		"most":      size(&l.MaxBytes, raftLogBytes),
		"pace":      size(&l.CompactionBytesPerSecond, compactionRate),
		"tick":      duration(&s.TickInterval, raftTicks),
		"election":  count(&s.ElectionTicks, electionTicks),
		"heartbeat": count(&s.HeartbeatTicks, heartbeatTicks),
		"every":     count(&s.SnapshotEntries, snapshotEntries),
		"keep":      count(&s.KeepEntries, retainedEntries),
		"witness":   number(&l.WitnessPerSecond, witnessPerSecond),
	}.Read(node.Args())
	switch {
	case err != nil:
		return err
	case len(s.Voters) != 3 && len(s.Voters) != 5:
		return node.Errorf("agreed: (voters ...) takes three or five names, got %d", len(s.Voters))
	case l.Dir == "":
		return node.Errorf("agreed: (dir \"FOLDER\"), on a disk that survives restarts, is missing")
	case s.ElectionTicks < minHeartbeatsPerElection*s.HeartbeatTicks:
		return node.Errorf("agreed: (election ...) of %d ticks must be at least four times (heartbeat ...) of %d ticks", s.ElectionTicks, s.HeartbeatTicks)
	}
	return nil
}

func (l *RaftLog) readVoters(node *sexp.Node) error {
	s := &l.Settings
	for _, item := range node.Args() {
		if !isName(item) || len(item.Text) > view.MaxNameBytes {
			return item.Errorf("expected a pooler's name")
		}
		if slices.Contains(s.Voters, item.Text) {
			return item.Errorf("duplicate voter %q", item.Text)
		}
		s.Voters = append(s.Voters, item.Text)
	}
	return nil
}
