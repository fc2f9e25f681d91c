package settings

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"slices"

	"beechgrade/internal/decide"
	"beechgrade/internal/frontend/scatter"
	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/merge"
	"beechgrade/internal/sexp"
)

// Scatter configures the reads that may be scattered to many groups. It needs (pooling ...).
type Scatter struct {
	Enabled        bool
	KeyFile        string // holds the cursors' keys; empty for the cluster's key
	RotateMs       float64
	MaxCursorAgeMs float64
	Specs          []scatter.Spec

	classPositions map[string]sexp.Pos // where reads last name each class
}

const (
	maxReads        = 64
	maxScatterName  = 64 // bytes of the name of a read or shard
	maxColumns      = 16
	maxCursorKeys   = 8
	defaultRotateMs = hour
	defaultAgeMs    = day

	// A read reserves 1/answerReserveDivisor of its time limit, and at most maxAnswerReserveMs, to respond after the time of its shards
	// is over.
	answerReserveDivisor = 10
	maxAnswerReserveMs   = 500
)

var (
	cursorTimes    = durationRange{second, year}
	pageRows       = countRange{1, 100000}
	missingShards  = countRange{1, cursor.MaxShards}
	scatterMemory  = sizeRange{64 * kilobyte, gigabyte}
	rowBytes       = sizeRange{kilobyte, 16 * megabyte}
	shardsAtOnce   = countRange{1, 10000}
	scatterWaits   = durationRange{100, day}
	shardSilences  = durationRange{50, day}
	scatterRetries = countRange{0, 100}
)

// defaultSpec returns a read with the default of each optional setting.
func defaultSpec(name string) scatter.Spec {
	return scatter.Spec{
		Name:           name,
		DefaultRows:    50,
		MaxRows:        1000,
		PageBytes:      8 * megabyte,
		MaxRowBytes:    64 * kilobyte,
		MaxConcurrent:  16,
		TimeoutMs:      10 * second,
		UnresponsiveMs: second,
		MaxRetries:     3,
		PositionWaitMs: 20,
	}
}

func (s *Scatter) read(node *sexp.Node, env func(string) string) error {
	*s = Scatter{Enabled: true, RotateMs: defaultRotateMs, MaxCursorAgeMs: defaultAgeMs, classPositions: map[string]sexp.Pos{}}
	err := sexp.Schema{
		"key":    filePath(&s.KeyFile, env),
		"rotate": duration(&s.RotateMs, cursorTimes),
		"age":    duration(&s.MaxCursorAgeMs, cursorTimes),
		"read":   s.readSpec,
	}.Read(node.Args(), "read")
	switch {
	case err != nil:
		return err
	case len(s.Specs) == 0:
		return node.Errorf("(scatter ...) needs a (read ...)")
	case cursor.Generations(s.RotateMs, s.MaxCursorAgeMs) > cursor.MaxGenerations:
		return node.Errorf("cursors with (age ...) of %g ms need more than %d keys with (rotate ...) of %g ms", s.MaxCursorAgeMs, cursor.MaxGenerations, s.RotateMs)
	}
	return nil
}

// specReader reads one (read ...).
type specReader struct {
	spec         scatter.Spec
	own          []merge.Column
	completeness *sexp.Node // (whole) or (partial NUMBER)
	partial      bool
}

func (s *Scatter) readSpec(node *sexp.Node) error {
	arguments := node.Args()
	name, ok := firstName(arguments)
	if !ok || len(name) > maxScatterName {
		return node.Errorf("expected a read's name of at most %d bytes first", maxScatterName)
	}
	if slices.ContainsFunc(s.Specs, func(other scatter.Spec) bool { return other.Name == name }) {
		return arguments[0].Errorf("duplicate read %q", name)
	}
	if len(s.Specs) == maxReads {
		return arguments[0].Errorf("more than %d reads", maxReads)
	}
	r := &specReader{spec: defaultSpec(name)}
	schema := r.schema()
	schema["class"] = func(node *sexp.Node) (err error) {
		if r.spec.Class, err = node.Str(); err == nil {
			s.classPositions[r.spec.Class] = node.Items[1].Pos
		}
		return err
	}
	if err := schema.Read(arguments[1:]); err != nil {
		return err
	}
	if err := r.finish(node); err != nil {
		return err
	}
	s.Specs = append(s.Specs, r.spec)
	return nil
}

func (r *specReader) schema() sexp.Schema {
	spec := &r.spec
	return sexp.Schema{
		"shards":    func(node *sexp.Node) (err error) { spec.Shards, err = readShards(node); return err },
		"order":     func(node *sexp.Node) (err error) { spec.Order.Columns, err = readColumns(node); return err },
		"own":       func(node *sexp.Node) (err error) { r.own, err = readColumns(node); return err },
		"page":      count(&spec.DefaultRows, pageRows),
		"most-page": count(&spec.MaxRows, pageRows),
		"whole": func(node *sexp.Node) error {
			if r.completeness != nil || len(node.Args()) > 0 {
				return node.Errorf("expected (whole) or (partial NUMBER), once")
			}
			r.completeness = node
			return nil
		},
		"partial": func(node *sexp.Node) error {
			if r.completeness != nil {
				return node.Errorf("expected (whole) or (partial NUMBER), once")
			}
			r.completeness = node
			r.partial = true
			return count(&spec.MaxMissing, missingShards)(node)
		},
		"memory":   size(&spec.PageBytes, scatterMemory),
		"most-row": size(&spec.MaxRowBytes, rowBytes),
		"at-once":  count(&spec.MaxConcurrent, shardsAtOnce),
		"wait":     duration(&spec.TimeoutMs, scatterWaits),
		"silent":   duration(&spec.UnresponsiveMs, shardSilences),
		"again":    count(&spec.MaxRetries, scatterRetries),
		"settle":   duration(&spec.PositionWaitMs, anyDuration),
	}
}

// finish derives the remaining fields of a read, and checks it.
func (r *specReader) finish(node *sexp.Node) error {
	spec := &r.spec
	spec.Order.OwnIndex = len(spec.Order.Columns)
	spec.Order.Columns = append(spec.Order.Columns, r.own...)
	spec.AnswerReserveMs = min(maxAnswerReserveMs, spec.TimeoutMs/answerReserveDivisor)
	isDescribed := spec.Class != "" && len(spec.Shards) > 0
	isOrdered := spec.Order.OwnIndex > 0 && len(r.own) > 0
	switch {
	case !isDescribed || !isOrdered:
		return node.Errorf("read %q: (class ...), (shards ...), (order ...) and (own ...) are required", spec.Name)
	case r.completeness == nil:
		return node.Errorf("read %q: expected (whole), or (partial NUMBER) if a page may lack that many shards", spec.Name)
	case r.partial && spec.MaxMissing >= len(spec.Shards):
		return r.completeness.Errorf("with %d shards, %d cannot be missing", len(spec.Shards), spec.MaxMissing)
	case spec.DefaultRows > spec.MaxRows:
		return node.Errorf("read %q: (page ...) of %d rows exceeds (most-page ...) of %d", spec.Name, spec.DefaultRows, spec.MaxRows)
	}
	for i, column := range spec.Order.Columns {
		sameName := func(other merge.Column) bool { return other.Name == column.Name }
		if slices.ContainsFunc(spec.Order.Columns[:i], sameName) {
			return node.Errorf("read %q: duplicate column %q", spec.Name, column.Name)
		}
	}
	return nil
}

// readShards reads (shards ("NAME" GROUP) ...), and sorts them by name: rows that compare equal are in the order of their shards.
func readShards(node *sexp.Node) (shards []scatter.Shard, err error) {
	for _, item := range node.Args() {
		shard, err := readShard(item)
		if err != nil {
			return nil, err
		}
		isDuplicate := func(other scatter.Shard) bool { return other.Name == shard.Name || other.Group == shard.Group }
		if slices.ContainsFunc(shards, isDuplicate) {
			return nil, item.Errorf("duplicate name or group of a shard")
		}
		shards = append(shards, shard)
	}
	if len(shards) == 0 || len(shards) > cursor.MaxShards {
		return nil, node.Errorf("expected from 1 to %d shards", cursor.MaxShards)
	}
	slices.SortFunc(shards, func(a, b scatter.Shard) int { return cmp.Compare(a.Name, b.Name) })
	return shards, nil
}

func readShard(node *sexp.Node) (scatter.Shard, error) {
	isPair := node.Kind == sexp.List && len(node.Items) == 2
	if !isPair || !isName(node.Items[0]) || len(node.Items[0].Text) > maxScatterName {
		return scatter.Shard{}, node.Errorf("expected (\"NAME\" GROUP)")
	}
	group, err := node.Items[1].Number(float64(groupNumbers.min), float64(groupNumbers.max))
	if err != nil || group != math.Trunc(group) {
		return scatter.Shard{}, node.Items[1].Errorf("expected a group's number")
	}
	return scatter.Shard{Name: node.Items[0].Text, Group: int(group)}, nil
}

// readColumns reads (order ("NAME" TYPE ...) ...) or (own ...).
func readColumns(node *sexp.Node) (columns []merge.Column, err error) {
	for _, item := range node.Args() {
		column, err := readColumn(item)
		if err != nil {
			return nil, err
		}
		columns = append(columns, column)
	}
	if len(columns) == 0 || len(columns) > maxColumns {
		return nil, node.Errorf("expected from 1 to %d columns", maxColumns)
	}
	return columns, nil
}

func readColumn(node *sexp.Node) (merge.Column, error) {
	if node.Kind != sexp.List || len(node.Items) < 2 || !isName(node.Items[0]) {
		return merge.Column{}, node.Errorf("expected (\"NAME\" TYPE ...)")
	}
	column := merge.Column{Name: node.Items[0].Text}
	typeNode, known := node.Items[1], false
	if column.Type, known = merge.TypeNamed(typeNode.Text); !known {
		return column, typeNode.Errorf("cannot order by type %q; expected int8, float8, text, bytea, timestamp, timestamptz or uuid", typeNode.Text)
	}
	nulls := ""
	err := sexp.Schema{
		"asc":  func(*sexp.Node) error { return nil },
		"desc": func(*sexp.Node) error { column.Desc = true; return nil },
		"as":   text(&column.Expr),
		"nulls": func(node *sexp.Node) (err error) {
			nulls, err = node.Str()
			if err == nil && nulls != "first" && nulls != "last" {
				err = node.Errorf("expected (nulls first) or (nulls last)")
			}
			return err
		},
	}.Read(node.Items[2:])
	column.NullsFirst = nulls == "first" || nulls == "" && column.Desc // PostgreSQL's default
	return column, err
}

// Check checks that the reads' classes exist in the pooling settings and are of session reads, and that there is a key for cursors.
func (s *Scatter) Check(pooling *Pooling, cluster *Cluster) error {
	if !s.Enabled {
		return nil
	}
	if pooling.Listen == "" {
		return fmt.Errorf("(scatter ...) needs (pooling ...)")
	}
	for i := range s.Specs {
		if err := s.checkClass(pooling, s.Specs[i].Class); err != nil {
			return err
		}
	}
	_, err := s.Secrets(cluster)
	return err
}

func (s *Scatter) checkClass(pooling *Pooling, name string) error {
	i := pooling.classIndex(name)
	if i < 0 {
		reason := fmt.Sprintf("there is no (class %q ...) in (pooling ...)", name)
		return &sexp.Error{Pos: s.classPositions[name], Text: reason}
	}
	if pooling.Classes[i].Read != decide.ReadSession {
		reason := fmt.Sprintf("class %q must be (needs session), so that no page is older than the page before it", name)
		return &sexp.Error{Pos: s.classPositions[name], Text: reason}
	}
	return nil
}

// Secrets returns the secrets that the cursors' keys are derived from: the lines of the key file, or the cluster's key. New cursors
// are sealed with the first.
func (s *Scatter) Secrets(cluster *Cluster) ([][]byte, error) {
	switch {
	case s.KeyFile != "":
		return readCursorKeys(s.KeyFile)
	case cluster.Enabled:
		key, err := cluster.Key()
		return [][]byte{key}, err
	}
	return nil, fmt.Errorf("(scatter ...) needs a (key \"FILE\"), as there is no (peers ...) whose key it could use")
}

func readCursorKeys(path string) ([][]byte, error) {
	text, err := ReadKey(path)
	if err != nil {
		return nil, fmt.Errorf("cursor keys: %w", err)
	}
	var keys [][]byte
	for line := range bytes.Lines(text) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		if len(line) < minKeyBytes {
			return nil, fmt.Errorf("cursor keys: %s: a line has %d bytes; want at least %d", path, len(line), minKeyBytes)
		}
		keys = append(keys, line)
	}
	return keys[:min(len(keys), maxCursorKeys)], nil
}
