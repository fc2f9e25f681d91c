package rehearse

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"beechgrade/internal/testkit/checker"
)

// TestInvariantsOfLogs checks that the invariant results that a daemon logs, in the current and the older form, reach the
// verdict of the rehearsal.
func TestInvariantsOfLogs(t *testing.T) {
	p := &pooler{name: "pooler-0", dir: t.TempDir()}
	f, err := os.Create(filepath.Join(p.dir, "log.txt"))
	if err != nil {
		t.Fatalf("creating the log: %v", err)
	}
	l := slog.New(slog.NewTextHandler(f, nil)).With("pooler", p.name)
	l.Info("serving clients", "listen", "x")
	l.Error("invariant broken", "name", "decide: a \"b\"", "state", "s at 1")
	l.Info("invariants", "made", 12, "broken", 1)
	l.Info("invariant checks at shutdown", "made", 30, "broken", 0)
	if err := f.Close(); err != nil {
		t.Fatalf("closing the log: %v", err)
	}
	v := checker.New(checker.Config{}).Verdict()
	if err := p.invariants(v, 5); err != nil {
		t.Fatalf("reading the invariants in the log: %v", err)
	}
	if v.Checked[checker.Invariant] != 42 || v.Broken[checker.Invariant] != 1 || len(v.Breaches) != 1 || v.Breaches[0].Text != `pooler-0: decide: a \"b\": "s at 1"` {
		t.Errorf("verdict is %+v, want 42 checks of invariants and one breach, with the invariant's name and state", v)
	}
}
