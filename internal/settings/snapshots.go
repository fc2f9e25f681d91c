package settings

import "beechgrade/internal/sexp"

// Snapshots says whether and where the last good configuration and endpoint list are kept, for a start without their sources.
type Snapshots struct {
	Dir                      string // empty for off; "$NAME" stands for a variable of the environment
	MaxAgeMs                 float64
	MaxBytes                 int64
	CompactionBytesPerSecond int64 // 0 for any
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
		return node.Errorf("kept: (dir \"FOLDER\") is due, on a disk that survives")
	}
	return nil
}
