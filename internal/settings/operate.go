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
	Record     Record
	Pooling    Pooling
	Membership Membership
	ClickHouse ClickHouse
	Journal    Journal
	Kept       Kept
	Sessions   Sessions
	Peers      Peers
	Limits     FleetLimits
	Overload   Overload
	Verdicts   Verdicts
	Invariants Invariants
	Scatter    Scatter
	Agreed     Agreed
	Credit     Credit
	Zones      Zones
}

// Record says whether and where the pooler records what it does.
type Record struct {
	On           bool
	Dir          string // "$NAME" stands for a variable of the environment
	SegmentBytes int64
	TotalBytes   int64
	Queue        int     // events that wait for the writer at most
	FlushMs      float64 // between writes
	Pack         bool    // with zstd
}

// Bounds and defaults of Record.
const (
	leastSegment, mostSegment = 64 << 10, 1 << 30
	defaultSegment            = 4 << 20
	defaultTotal              = 64 << 20
	defaultQueue              = 4096
	defaultFlushMs            = 250
)

// Load reads a settings file, whole: a fault anywhere in it is an error that names its place.
func Load(path string, env func(string) string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, sexp.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, b, env)
}

// Parse reads the settings from a file's text.
func Parse(path string, b []byte, env func(string) string) (*Settings, error) {
	nodes, err := sexp.Parse(path, b)
	if err != nil {
		return nil, err
	}
	s := &Settings{}
	err = sexp.Form{
		"record":       func(n *sexp.Node) error { return s.Record.read(n, env) },
		"clickhouse":   s.ClickHouse.read,
		"scatter":      func(n *sexp.Node) error { return s.Scatter.read(n, env) },
		"pooling":      s.Pooling.read,
		"invariants":   s.Invariants.read,
		"fleet-limits": s.Limits.read,
		"overload":     s.Overload.read,
		"verdicts":     s.Verdicts.read,
		"credit":       func(n *sexp.Node) error { return s.Credit.read(n, env) },
		"zones":        func(n *sexp.Node) error { return s.Zones.read(n, env) },
		"agreed":       func(n *sexp.Node) error { return s.Agreed.read(n, env) },
		"peers":        func(n *sexp.Node) error { return s.Peers.read(n, env) },
		"sessions":     func(n *sexp.Node) error { return s.Sessions.read(n, env) },
		"kept":         func(n *sexp.Node) error { return s.Kept.read(n, env) },
		"journal":      func(n *sexp.Node) error { return s.Journal.read(n, env) },
		"membership":   func(n *sexp.Node) error { return s.Membership.read(n, env) },
	}.Read(nodes)
	if i := slices.IndexFunc(nodes, func(n *sexp.Node) bool { return n.Head() == "fleet-limits" || n.Head() == "overload" }); err == nil && i >= 0 && !s.Peers.On {
		err = nodes[i].Errorf("(%s ...) needs (peers ...)", nodes[i].Head())
	}
	if i := slices.IndexFunc(nodes, func(n *sexp.Node) bool { return n.Head() == "verdicts" }); err == nil && i >= 0 && !s.Peers.On {
		err = nodes[i].Errorf("(verdicts ...) needs (peers ...)")
	}
	if i := slices.IndexFunc(nodes, func(n *sexp.Node) bool { return n.Head() == "agreed" }); err == nil && i >= 0 && !s.Peers.On {
		err = nodes[i].Errorf("(agreed ...) needs (peers ...)")
	}
	if i := slices.IndexFunc(nodes, func(n *sexp.Node) bool { return n.Head() == "credit" }); err == nil && i >= 0 && (!s.Peers.On || !s.Agreed.On) {
		err = nodes[i].Errorf("(credit ...) needs (peers ...) and (agreed ...)")
	}
	if i := slices.IndexFunc(nodes, func(n *sexp.Node) bool { return n.Head() == "zones" }); err == nil && i >= 0 && (!s.Peers.On || !s.Agreed.On) {
		err = nodes[i].Errorf("(zones ...) needs (peers ...) and (agreed ...)")
	}
	return s, err
}

func (r *Record) read(n *sexp.Node, env func(string) string) error {
	*r = Record{SegmentBytes: defaultSegment, TotalBytes: defaultTotal, Queue: defaultQueue, FlushMs: defaultFlushMs}
	var dir *sexp.Node
	err := sexp.Form{
		"on": func(n *sexp.Node) (err error) { r.On, err = n.Bool(); return err },
		"dir": func(n *sexp.Node) (err error) {
			dir = n
			text, err := n.Str()
			r.Dir = os.Expand(text, env)
			return err
		},
		"segment": func(n *sexp.Node) (err error) { r.SegmentBytes, err = n.Bytes(leastSegment, mostSegment); return err },
		"total":   func(n *sexp.Node) (err error) { r.TotalBytes, err = n.Bytes(2*leastSegment, 1<<40); return err },
		"queue":   func(n *sexp.Node) (err error) { r.Queue, err = n.Int(64, 1<<20); return err },
		"flush":   func(n *sexp.Node) (err error) { r.FlushMs, err = n.Millis(10, 60000); return err },
		"pack":    func(n *sexp.Node) (err error) { r.Pack, err = n.Bool(); return err },
	}.Read(n.Args())
	switch {
	case err != nil:
		return err
	case r.TotalBytes < 2*r.SegmentBytes:
		return n.Errorf("record: total has room for less than two segments of %d bytes", r.SegmentBytes)
	case r.On && dir == nil:
		return n.Errorf("record: it is on, but no (dir ...) says where")
	case r.On && r.Dir == "":
		return dir.Errorf("record: the folder's name is empty; is its variable set?")
	}
	return nil
}
