package settings

import "beechgrade/internal/sexp"

// Snapshots configures the store of the last good configuration and endpoint list, for a start without their sources.
type Snapshots struct {
	Dir                      string // empty for off; "$NAME" stands for an environment variable
	MaxAgeMs                 float64
	MaxBytes                 int64
	CompactionBytesPerSecond int64 // 0 for no limit
}

const (
	defaultSnapshotAgeMs = day
	defaultSnapshotBytes = 32 * megabyte
)

var (
	snapshotAges  = durationRange{second, year}
	snapshotBytes = sizeRange{megabyte, terabyte}
)

func (s *Snapshots) read(node *sexp.Node, env func(string) string) error {
	*s = Snapshots{MaxAgeMs: defaultSnapshotAgeMs, MaxBytes: defaultSnapshotBytes}
	err := sexp.Schema{
		"dir":  expanded(&s.Dir, env),
		"age":  duration(&s.MaxAgeMs, snapshotAges),
		"most": size(&s.MaxBytes, snapshotBytes),
		"pace": size(&s.CompactionBytesPerSecond, compactionRate),
	}.Read(node.Args())
	if err != nil {
		return err
	}
	if s.Dir == "" {
		return node.Errorf("kept: (dir \"FOLDER\"), on a disk that survives restarts, is missing")
	}
	return nil
}
