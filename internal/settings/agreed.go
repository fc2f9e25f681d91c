package settings

import (
	"os"
	"slices"

	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/sexp"
)

// Agreed says whether the poolers keep a log in common, and who of them votes.
type Agreed struct {
	On        bool
	Dir       string // of a voter; "$NAME" stands for a variable of the environment
	MostBytes int64
	Pace      int64 // bytes a second that its compactions write at most, 0 for any
	Settings  raftlog.Settings
	Witness   float64 // entries a second that this pooler proposes to try the voters
}

func (a *Agreed) read(n *sexp.Node, env func(string) string) error {
	*a = Agreed{On: true, MostBytes: 256 << 20, Settings: raftlog.Defaults()}
	s := &a.Settings
	err := sexp.Form{
		"voters": func(n *sexp.Node) error {
			for _, x := range n.Args() {
				if x.Kind == sexp.List || x.Text == "" || len(x.Text) > view.MostName {
					return x.Errorf("a pooler's name is due here")
				}
				if slices.Contains(s.Voters, x.Text) {
					return x.Errorf("%q votes already", x.Text)
				}
				s.Voters = append(s.Voters, x.Text)
			}
			return nil
		},
		"dir": func(n *sexp.Node) error {
			text, err := n.Str()
			a.Dir = os.Expand(text, env)
			return err
		},
		"most":      func(n *sexp.Node) (err error) { a.MostBytes, err = n.Bytes(64<<20, 1<<40); return err },
		"pace":      func(n *sexp.Node) (err error) { a.Pace, err = n.Bytes(leastPace, 1<<40); return err },
		"tick":      func(n *sexp.Node) (err error) { s.Tick, err = n.Millis(50, 10000); return err },
		"election":  func(n *sexp.Node) (err error) { s.Election, err = n.Int(4, 1000); return err },
		"heartbeat": func(n *sexp.Node) (err error) { s.Heartbeat, err = n.Int(1, 250); return err },
		"every":     func(n *sexp.Node) (err error) { s.Every, err = n.Int(16, 1e6); return err },
		"keep":      func(n *sexp.Node) (err error) { s.Keep, err = n.Int(1, 1e6); return err },
		"witness":   func(n *sexp.Node) (err error) { a.Witness, err = n.Float(0, 1e5); return err },
	}.Read(n.Args())
	switch {
	case err != nil:
		return err
	case len(s.Voters) != 3 && len(s.Voters) != 5:
		return n.Errorf("agreed: (voters ...) has three names or five, not %d", len(s.Voters))
	case a.Dir == "":
		return n.Errorf("agreed: (dir \"FOLDER\") is due, on a disk that survives")
	case s.Election < 4*s.Heartbeat:
		return n.Errorf("agreed: an election after %d ticks is to be four times the %d between heartbeats at least", s.Election, s.Heartbeat)
	}
	return nil
}
