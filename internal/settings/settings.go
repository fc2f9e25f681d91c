// Package settings reads the operators' own settings, which lie beside the platform's configuration.
package settings

import (
	"fmt"
	"io"
	"os"
	"slices"

	"beechgrade/internal/sexp"
)

// Settings are what the operators may choose. The zero value has everything off.
type Settings struct {
	Record           Record
	Pooling          Pooling
	Endpoints        Endpoints
	ClickHouse       ClickHouse
	Journal          Journal
	Snapshots        Snapshots
	Sessions         Sessions
	Cluster          Cluster
	FleetLimits      FleetLimits
	Overload         Overload
	OutlierDetection OutlierDetection
	Invariants       Invariants
	Scatter          Scatter
	RaftLog          RaftLog
	Credit           Credit
	Zones            Zones
}

// Record says whether and where the pooler records what it does.
type Record struct {
	Enabled         bool
	Dir             string // "$NAME" stands for a variable of the environment
	SegmentBytes    int64
	TotalBytes      int64
	QueueLength     int     // events that wait for the writer at most
	FlushIntervalMs float64 // between writes
	Compress        bool    // with zstd
}

// Bounds and defaults of Record.
const (
	minSegmentBytes, maxSegmentBytes = 64 << 10, 1 << 30
	defaultSegmentBytes              = 4 << 20
	defaultTotalBytes                = 64 << 20
	defaultQueueLength               = 4096
	defaultFlushIntervalMs           = 250
)

// Load reads a settings file, whole: a fault anywhere in it is an error that names its place.
func Load(path string, env func(string) string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, sexp.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, text, env)
}

// Parse reads the settings from a file's text.
func Parse(path string, text []byte, env func(string) string) (*Settings, error) {
	nodes, err := sexp.Parse(path, text)
	if err != nil {
		return nil, err
	}
	settings := &Settings{}
	err = sexp.Schema{
		"record":       func(node *sexp.Node) error { return settings.Record.read(node, env) },
		"clickhouse":   settings.ClickHouse.read,
		"scatter":      func(node *sexp.Node) error { return settings.Scatter.read(node, env) },
		"pooling":      settings.Pooling.read,
		"invariants":   settings.Invariants.read,
		"fleet-limits": settings.FleetLimits.read,
		"overload":     settings.Overload.read,
		"verdicts":     settings.OutlierDetection.read,
		"credit":       func(node *sexp.Node) error { return settings.Credit.read(node, env) },
		"zones":        func(node *sexp.Node) error { return settings.Zones.read(node, env) },
		"agreed":       func(node *sexp.Node) error { return settings.RaftLog.read(node, env) },
		"peers":        func(node *sexp.Node) error { return settings.Cluster.read(node, env) },
		"sessions":     func(node *sexp.Node) error { return settings.Sessions.read(node, env) },
		"kept":         func(node *sexp.Node) error { return settings.Snapshots.read(node, env) },
		"journal":      func(node *sexp.Node) error { return settings.Journal.read(node, env) },
		"membership":   func(node *sexp.Node) error { return settings.Endpoints.read(node, env) },
	}.Read(nodes)
	if i := slices.IndexFunc(nodes, func(node *sexp.Node) bool { return node.Head() == "fleet-limits" || node.Head() == "overload" }); err == nil && i >= 0 && !settings.Cluster.Enabled {
		err = nodes[i].Errorf("(%s ...) needs (peers ...)", nodes[i].Head())
	}
	if i := slices.IndexFunc(nodes, func(node *sexp.Node) bool { return node.Head() == "verdicts" }); err == nil && i >= 0 && !settings.Cluster.Enabled {
		err = nodes[i].Errorf("(verdicts ...) needs (peers ...)")
	}
	if i := slices.IndexFunc(nodes, func(node *sexp.Node) bool { return node.Head() == "agreed" }); err == nil && i >= 0 && !settings.Cluster.Enabled {
		err = nodes[i].Errorf("(agreed ...) needs (peers ...)")
	}
	if i := slices.IndexFunc(nodes, func(node *sexp.Node) bool { return node.Head() == "credit" }); err == nil && i >= 0 && (!settings.Cluster.Enabled || !settings.RaftLog.Enabled) {
		err = nodes[i].Errorf("(credit ...) needs (peers ...) and (agreed ...)")
	}
	if i := slices.IndexFunc(nodes, func(node *sexp.Node) bool { return node.Head() == "zones" }); err == nil && i >= 0 && (!settings.Cluster.Enabled || !settings.RaftLog.Enabled) {
		err = nodes[i].Errorf("(zones ...) needs (peers ...) and (agreed ...)")
	}
	return settings, err
}

func (r *Record) read(node *sexp.Node, env func(string) string) error {
	*r = Record{SegmentBytes: defaultSegmentBytes, TotalBytes: defaultTotalBytes, QueueLength: defaultQueueLength, FlushIntervalMs: defaultFlushIntervalMs}
	var dir *sexp.Node
	err := sexp.Schema{
		"on": func(node *sexp.Node) (err error) { r.Enabled, err = node.Bool(); return err },
		"dir": func(node *sexp.Node) (err error) {
			dir = node
			text, err := node.Str()
			r.Dir = os.Expand(text, env)
			return err
		},
		"segment": func(node *sexp.Node) (err error) {
			r.SegmentBytes, err = node.Bytes(minSegmentBytes, maxSegmentBytes)
			return err
		},
		"total": func(node *sexp.Node) (err error) {
			r.TotalBytes, err = node.Bytes(2*minSegmentBytes, 1<<40)
			return err
		},
		"queue": func(node *sexp.Node) (err error) { r.QueueLength, err = node.Int(64, 1<<20); return err },
		"flush": func(node *sexp.Node) (err error) { r.FlushIntervalMs, err = node.Millis(10, 60000); return err },
		"pack":  func(node *sexp.Node) (err error) { r.Compress, err = node.Bool(); return err },
	}.Read(node.Args())
	switch {
	case err != nil:
		return err
	case r.TotalBytes < 2*r.SegmentBytes:
		return node.Errorf("record: total has room for less than two segments of %d bytes", r.SegmentBytes)
	case r.Enabled && dir == nil:
		return node.Errorf("record: it is on, but no (dir ...) says where")
	case r.Enabled && r.Dir == "":
		return dir.Errorf("record: the folder's name is empty; is its variable set?")
	}
	return nil
}
