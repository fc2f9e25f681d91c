// Package settings reads the operators' settings, a file of S-expressions beside the platform's configuration, such as
//
//	(record (on yes) (dir "$STATE/records"))
//	(peers (listen "10.0.0.5:7000") (key "/etc/fleet.key"))
//
// Each form has a type, named after the subsystem that it configures, in a file of its own. A settings file is applied completely or
// not at all: every error is a *sexp.Error that names file, line and column, and what is allowed there. The package changes nothing;
// it only reads, also files that settings name, such as certificates.
package settings

import (
	"fmt"
	"io"
	"os"
	"slices"

	"beechgrade/internal/sexp"
)

// Settings are all settings of the operators. In the zero value, everything is disabled.
type Settings struct {
	Record           Record           // (record ...)
	Pooling          Pooling          // (pooling ...)
	Endpoints        Endpoints        // (membership ...)
	ClickHouse       ClickHouse       // (clickhouse ...)
	Journal          Journal          // (journal ...)
	Snapshots        Snapshots        // (kept ...)
	Sessions         Sessions         // (sessions ...)
	Cluster          Cluster          // (peers ...)
	FleetLimits      FleetLimits      // (fleet-limits ...)
	Overload         Overload         // (overload ...)
	OutlierDetection OutlierDetection // (verdicts ...)
	Invariants       Invariants       // (invariants ...)
	Scatter          Scatter          // (scatter ...)
	RaftLog          RaftLog          // (agreed ...)
	Credit           Credit           // (credit ...)
	Zones            Zones            // (zones ...)
}

// form is the settings of one subsystem. env looks up an environment variable.
type form interface {
	read(node *sexp.Node, env func(string) string) error
}

// forms returns the forms of a file by their keys.
func (s *Settings) forms() map[string]form {
	return map[string]form{
		"record":       &s.Record,
		"clickhouse":   &s.ClickHouse,
		"scatter":      &s.Scatter,
		"pooling":      &s.Pooling,
		"invariants":   &s.Invariants,
		"fleet-limits": &s.FleetLimits,
		"overload":     &s.Overload,
		"verdicts":     &s.OutlierDetection,
		"credit":       &s.Credit,
		"zones":        &s.Zones,
		"agreed":       &s.RaftLog,
		"peers":        &s.Cluster,
		"sessions":     &s.Sessions,
		"kept":         &s.Snapshots,
		"journal":      &s.Journal,
		"membership":   &s.Endpoints,
	}
}

// requirement states which other forms the given forms need. If they are missing, the first of the given forms in the file is reported.
type requirement struct {
	forms []string
	needs string
	isMet func(s *Settings) bool
}

var requirements = []requirement{
	{[]string{"fleet-limits", "overload"}, "(peers ...)", (*Settings).hasCluster},
	{[]string{"verdicts"}, "(peers ...)", (*Settings).hasCluster},
	{[]string{"agreed"}, "(peers ...)", (*Settings).hasCluster},
	{[]string{"credit"}, "(peers ...) and (agreed ...)", (*Settings).hasRaftLog},
	{[]string{"zones"}, "(peers ...) and (agreed ...)", (*Settings).hasRaftLog},
}

func (s *Settings) hasCluster() bool { return s.Cluster.Enabled }

func (s *Settings) hasRaftLog() bool { return s.Cluster.Enabled && s.RaftLog.Enabled }

// Load reads a settings file. env looks up an environment variable.
func Load(path string, env func(string) string) (*Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, sexp.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, text, env)
}

// Parse reads settings from the text of the file at path.
func Parse(path string, text []byte, env func(string) string) (*Settings, error) {
	nodes, err := sexp.Parse(path, text)
	if err != nil {
		return nil, err
	}
	settings := &Settings{}
	schema := sexp.Schema{}
	for key, form := range settings.forms() {
		schema[key] = func(node *sexp.Node) error { return form.read(node, env) }
	}
	if err := schema.Read(nodes); err != nil {
		return settings, err
	}
	return settings, settings.checkRequirements(nodes)
}

func (s *Settings) checkRequirements(nodes []*sexp.Node) error {
	for _, required := range requirements {
		i := slices.IndexFunc(nodes, func(node *sexp.Node) bool { return slices.Contains(required.forms, node.Head()) })
		if i >= 0 && !required.isMet(s) {
			return nodes[i].Errorf("(%s ...) needs %s", nodes[i].Head(), required.needs)
		}
	}
	return nil
}
