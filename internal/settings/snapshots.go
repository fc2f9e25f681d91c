package settings

import (
	"os"

	"beechgrade/internal/sexp"
)

// Snapshots says whether and where the last good configuration and list are kept for a start whose sources are gone.
type Snapshots struct {
	Dir                      string // empty for off; "$NAME" stands for a variable of the environment
	MaxAgeMs                 float64
	MaxBytes                 int64
	CompactionBytesPerSecond int64 // bytes a second that its compactions write at most, 0 for any
}

// Defaults and bounds of Kept.
const (
	defaultSnapshotAgeMs = 24 * 3600e3
	defaultSnapshotBytes = 32 << 20
	minCompactionRate    = 64 << 10 // of any store's compactions: a slower one may never end
)

func (k *Snapshots) read(node *sexp.Node, env func(string) string) error {
	*k = Snapshots{MaxAgeMs: defaultSnapshotAgeMs, MaxBytes: defaultSnapshotBytes}
	if err := (sexp.Schema{
		"dir": func(node *sexp.Node) error {
			text, err := node.Str()
			k.Dir = os.Expand(text, env)
			return err
		},
		"age": func(node *sexp.Node) (err error) {
			k.MaxAgeMs, err = node.Millis(1000, 365*defaultSnapshotAgeMs)
			return err
		},
		"most": func(node *sexp.Node) (err error) { k.MaxBytes, err = node.Bytes(1<<20, 1<<40); return err },
		"pace": func(node *sexp.Node) (err error) {
			k.CompactionBytesPerSecond, err = node.Bytes(minCompactionRate, 1<<40)
			return err
		},
	}).Read(node.Args()); err != nil {
		return err
	}
	if k.Dir == "" {
		return node.Errorf("kept: (dir \"FOLDER\") is due, on a disk that survives")
	}
	return nil
}
