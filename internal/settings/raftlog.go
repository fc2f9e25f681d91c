package settings

import (
	"os"
	"slices"

	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/sexp"
)

// RaftLog says whether the poolers keep a log in common, and who of them votes.
type RaftLog struct {
	Enabled                  bool
	Dir                      string // of a voter; "$NAME" stands for a variable of the environment
	MaxBytes                 int64
	CompactionBytesPerSecond int64 // bytes a second that its compactions write at most, 0 for any
	Settings                 raftlog.Settings
	WitnessPerSecond         float64 // entries a second that this pooler proposes to try the voters
}

func (a *RaftLog) read(node *sexp.Node, env func(string) string) error {
	*a = RaftLog{Enabled: true, MaxBytes: 256 << 20, Settings: raftlog.Defaults()}
	s := &a.Settings
	err := sexp.Schema{
		"voters": func(node *sexp.Node) error {
			for _, x := range node.Args() {
				if x.Kind == sexp.List || x.Text == "" || len(x.Text) > view.MaxNameBytes {
					return x.Errorf("a pooler's name is due here")
				}
				if slices.Contains(s.Voters, x.Text) {
					return x.Errorf("%q votes already", x.Text)
				}
				s.Voters = append(s.Voters, x.Text)
			}
			return nil
		},
		"dir": func(node *sexp.Node) error {
			text, err := node.Str()
			a.Dir = os.Expand(text, env)
			return err
		},
		"most": func(node *sexp.Node) (err error) { a.MaxBytes, err = node.Bytes(64<<20, 1<<40); return err },
		"pace": func(node *sexp.Node) (err error) {
			a.CompactionBytesPerSecond, err = node.Bytes(minCompactionRate, 1<<40)
			return err
		},
		"tick":      func(node *sexp.Node) (err error) { s.TickInterval, err = node.Millis(50, 10000); return err },
		"election":  func(node *sexp.Node) (err error) { s.ElectionTicks, err = node.Int(4, 1000); return err },
		"heartbeat": func(node *sexp.Node) (err error) { s.HeartbeatTicks, err = node.Int(1, 250); return err },
		"every":     func(node *sexp.Node) (err error) { s.SnapshotEntries, err = node.Int(16, 1e6); return err },
		"keep":      func(node *sexp.Node) (err error) { s.KeepEntries, err = node.Int(1, 1e6); return err },
		"witness":   func(node *sexp.Node) (err error) { a.WitnessPerSecond, err = node.Float(0, 1e5); return err },
	}.Read(node.Args())
	switch {
	case err != nil:
		return err
	case len(s.Voters) != 3 && len(s.Voters) != 5:
		return node.Errorf("agreed: (voters ...) has three names or five, not %d", len(s.Voters))
	case a.Dir == "":
		return node.Errorf("agreed: (dir \"FOLDER\") is due, on a disk that survives")
	case s.ElectionTicks < 4*s.HeartbeatTicks:
		return node.Errorf("agreed: an election after %d ticks is to be four times the %d between heartbeats at least", s.ElectionTicks, s.HeartbeatTicks)
	}
	return nil
}
