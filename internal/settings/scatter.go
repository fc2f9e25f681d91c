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

// Scatter says which reads may go to many groups. It needs (pooling ...).
type Scatter struct {
	Enabled        bool
	KeyFile        string // of the cursors' keys; empty for the cluster's key
	RotateMs       float64
	MaxCursorAgeMs float64
	Specs          []scatter.Spec

	classPositions map[string]sexp.Pos // where reads name their classes
}

const (
	maxReads        = 64
	maxScatterName  = 64 // bytes of the name of a read or shard
	maxColumns      = 16
	maxCursorKeys   = 8
	defaultRotateMs = hour
	defaultAgeMs    = day

	// A read keeps this part of its time limit, and at most maxSpareMs, to answer after its shards' time is over.
	sparePart  = 10
	maxSpareMs = 500
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

// defaultSpec is a read whose settings name no more than what they must.
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
		return node.Errorf("cursors of %g ms take over %d keys that change each %g ms", s.MaxCursorAgeMs, cursor.MaxGenerations, s.RotateMs)
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
		return node.Errorf("a read's name, of %d bytes at most, is due first", maxScatterName)
	}
	if slices.ContainsFunc(s.Specs, func(other scatter.Spec) bool { return other.Name == name }) {
		return arguments[0].Errorf("there is a read %q already", name)
	}
	if len(s.Specs) == maxReads {
		return arguments[0].Errorf("over %d reads", maxReads)
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
				return node.Errorf("(whole) or (partial NUMBER), once")
			}
			r.completeness = node
			return nil
		},
		"partial": func(node *sexp.Node) error {
			if r.completeness != nil {
				return node.Errorf("(whole) or (partial NUMBER), once")
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

// finish completes a read from what was set, and checks it.
func (r *specReader) finish(node *sexp.Node) error {
	spec := &r.spec
	spec.Order.Own = len(spec.Order.Columns)
	spec.Order.Columns = append(spec.Order.Columns, r.own...)
	spec.AnswerReserveMs = min(maxSpareMs, spec.TimeoutMs/sparePart)
	isDescribed := spec.Class != "" && len(spec.Shards) > 0
	isOrdered := spec.Order.Own > 0 && len(r.own) > 0
	switch {
	case !isDescribed || !isOrdered:
		return node.Errorf("read %q: (class ...), (shards ...), (order ...) and (own ...) are due", spec.Name)
	case r.completeness == nil:
		return node.Errorf("read %q: is a page (whole), or may so many shards be missing: (partial NUMBER)?", spec.Name)
	case r.partial && spec.MaxMissing >= len(spec.Shards):
		return r.completeness.Errorf("of %d shards %d cannot be missing", len(spec.Shards), spec.MaxMissing)
	case spec.DefaultRows > spec.MaxRows:
		return node.Errorf("read %q: a page of %d rows is over its most, %d", spec.Name, spec.DefaultRows, spec.MaxRows)
	}
	for i, column := range spec.Order.Columns {
		sameName := func(other merge.Column) bool { return other.Name == column.Name }
		if slices.ContainsFunc(spec.Order.Columns[:i], sameName) {
			return node.Errorf("read %q: column %q is there twice", spec.Name, column.Name)
		}
	}
	return nil
}

// readShards reads (shards ("NAME" GROUP) ...), and sorts them by name, which decides ties.
func readShards(node *sexp.Node) (shards []scatter.Shard, err error) {
	for _, item := range node.Args() {
		shard, err := readShard(item)
		if err != nil {
			return nil, err
		}
		exists := func(other scatter.Shard) bool { return other.Name == shard.Name || other.Group == shard.Group }
		if slices.ContainsFunc(shards, exists) {
			return nil, item.Errorf("a shard of this name or group is there already")
		}
		shards = append(shards, shard)
	}
	if len(shards) == 0 || len(shards) > cursor.MaxShards {
		return nil, node.Errorf("from 1 to %d shards", cursor.MaxShards)
	}
	slices.SortFunc(shards, func(a, b scatter.Shard) int { return cmp.Compare(a.Name, b.Name) })
	return shards, nil
}

func readShard(node *sexp.Node) (scatter.Shard, error) {
	isPair := node.Kind == sexp.List && len(node.Items) == 2
	if !isPair || !isName(node.Items[0]) || len(node.Items[0].Text) > maxScatterName {
		return scatter.Shard{}, node.Errorf("(\"NAME\" GROUP) is due")
	}
	group, err := node.Items[1].Number(float64(groupNumbers.min), float64(groupNumbers.max))
	if err != nil || group != math.Trunc(group) {
		return scatter.Shard{}, node.Items[1].Errorf("a group's number is due here")
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
		return nil, node.Errorf("from 1 to %d columns", maxColumns)
	}
	return columns, nil
}

func readColumn(node *sexp.Node) (merge.Column, error) {
	if node.Kind != sexp.List || len(node.Items) < 2 || !isName(node.Items[0]) {
		return merge.Column{}, node.Errorf("(\"NAME\" TYPE ...) is due")
	}
	column := merge.Column{Name: node.Items[0].Text}
	typeNode, known := node.Items[1], false
	if column.Type, known = merge.TypeNamed(typeNode.Text); !known {
		return column, typeNode.Errorf("the order of type %q is not known here: int8, float8, text, bytea, timestamp, timestamptz or uuid", typeNode.Text)
	}
	nulls := ""
	err := sexp.Schema{
		"asc":  func(*sexp.Node) error { return nil },
		"desc": func(*sexp.Node) error { column.Desc = true; return nil },
		"as":   text(&column.Expr),
		"nulls": func(node *sexp.Node) (err error) {
			nulls, err = node.Str()
			if err == nil && nulls != "first" && nulls != "last" {
				err = node.Errorf("(nulls first) or (nulls last)")
			}
			return err
		},
	}.Read(node.Items[2:])
	column.NullsFirst = nulls == "first" || nulls == "" && column.Desc // PostgreSQL's default
	return column, err
}

// Check checks that the reads' classes exist in the pooling settings and fit, and that there is a key for cursors.
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
	i := pooling.classNamed(name)
	if i < 0 {
		reason := fmt.Sprintf("there is no (class %q ...) in (pooling ...)", name)
		return &sexp.Error{Pos: s.classPositions[name], Text: reason}
	}
	if pooling.Classes[i].Read != decide.ReadSession {
		reason := fmt.Sprintf("class %q is not of (needs session): a page must not be read behind the one before", name)
		return &sexp.Error{Pos: s.classPositions[name], Text: reason}
	}
	return nil
}

// Secrets returns what the cursors' keys are derived from: the lines of the key file, or the cluster's key. The first one seals.
func (s *Scatter) Secrets(cluster *Cluster) ([][]byte, error) {
	switch {
	case s.KeyFile != "":
		return readCursorKeys(s.KeyFile)
	case cluster.Enabled:
		key, err := cluster.Key()
		return [][]byte{key}, err
	}
	return nil, fmt.Errorf("(scatter ...) needs a (key \"FILE\"), as there are no (peers ...) with one")
}

func readCursorKeys(path string) ([][]byte, error) {
	text, err := ReadKey(path)
	if err != nil {
		return nil, fmt.Errorf("the cursors' key: %w", err)
	}
	var keys [][]byte
	for line := range bytes.Lines(text) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		if len(line) < minKeyBytes {
			return nil, fmt.Errorf("the cursors' key: %s: a line of %d bytes; %d are wanted", path, len(line), minKeyBytes)
		}
		keys = append(keys, line)
	}
	return keys[:min(len(keys), maxCursorKeys)], nil
}
