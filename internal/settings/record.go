package settings

import "beechgrade/internal/sexp"

// Record configures the records of events that the pooler writes.
type Record struct {
	Enabled         bool
	Dir             string // "$NAME" stands for an environment variable
	SegmentBytes    int64
	TotalBytes      int64
	QueueLength     int // most events that wait for the writer
	FlushIntervalMs float64
	Compress        bool // with zstd
}

const (
	minSegmentBytes        = 64 * kilobyte
	defaultSegmentBytes    = 4 * megabyte
	defaultTotalBytes      = 64 * megabyte
	defaultQueueLength     = 4096
	defaultFlushIntervalMs = 250
)

var (
	segmentBytes   = sizeRange{minSegmentBytes, gigabyte}
	totalBytes     = sizeRange{2 * minSegmentBytes, terabyte}
	queueLengths   = countRange{64, 1 << 20}
	flushIntervals = durationRange{10, minute}
)

func (r *Record) read(node *sexp.Node, env func(string) string) error {
	*r = Record{
		SegmentBytes:    defaultSegmentBytes,
		TotalBytes:      defaultTotalBytes,
		QueueLength:     defaultQueueLength,
		FlushIntervalMs: defaultFlushIntervalMs,
	}
	var dir *sexp.Node
	err := sexp.Schema{
		"on": flag(&r.Enabled),
		"dir": func(node *sexp.Node) error {
			dir = node
			return expanded(&r.Dir, env)(node)
		},
		"segment": size(&r.SegmentBytes, segmentBytes),
		"total":   size(&r.TotalBytes, totalBytes),
		"queue":   count(&r.QueueLength, queueLengths),
		"flush":   duration(&r.FlushIntervalMs, flushIntervals),
		"pack":    flag(&r.Compress),
	}.Read(node.Args())
	switch {
	case err != nil:
		return err
	case r.TotalBytes < 2*r.SegmentBytes:
		return node.Errorf("record: (total ...) must be at least two segments of %d bytes", r.SegmentBytes)
	case r.Enabled && dir == nil:
		return node.Errorf("record: (on) requires (dir ...)")
	case r.Enabled && r.Dir == "":
		return dir.Errorf("record: the folder name is empty; is its environment variable set?")
	}
	return nil
}
