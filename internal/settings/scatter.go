package settings

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"os"
	"slices"

	"beechgrade/internal/decide"
	"beechgrade/internal/frontend/scatter"
	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/merge"
	"beechgrade/internal/sexp"
)

// Scatter says which reads may go over many groups. It rides on (pooling ...).
type Scatter struct {
	Enabled        bool
	KeyFile        string // empty for the peers' key
	RotateMs       float64
	MaxCursorAgeMs float64
	Specs          []scatter.Spec

	classPositions map[string]sexp.Pos // where reads name their classes
}

const maxReads = 64

func (s *Scatter) read(node *sexp.Node, env func(string) string) error {
	*s = Scatter{Enabled: true, RotateMs: 3600e3, MaxCursorAgeMs: 24 * 3600e3, classPositions: map[string]sexp.Pos{}}
	err := sexp.Schema{
		"key": func(node *sexp.Node) error {
			text, err := node.Str()
			if s.KeyFile = os.Expand(text, env); err == nil && s.KeyFile == "" {
				err = node.Errorf("the file's name is empty; is its variable set?")
			}
			return err
		},
		"rotate": func(node *sexp.Node) (err error) { s.RotateMs, err = node.Millis(1000, 365*maxDurationMs); return err },
		"age": func(node *sexp.Node) (err error) {
			s.MaxCursorAgeMs, err = node.Millis(1000, 365*maxDurationMs)
			return err
		},
		"read": s.readSpec,
	}.Read(node.Args(), "read")
	switch {
	case err != nil:
		return err
	case len(s.Specs) == 0:
		return node.Errorf("(scatter ...) needs a (read ...)")
	case cursor.Kept(s.RotateMs, s.MaxCursorAgeMs) > cursor.MostKept:
		return node.Errorf("cursors of %g ms take over %d keys that change each %g ms", s.MaxCursorAgeMs, cursor.MostKept, s.RotateMs)
	}
	return nil
}

func (s *Scatter) readSpec(node *sexp.Node) error {
	a := node.Args()
	if len(a) == 0 || a[0].Kind == sexp.List || a[0].Text == "" || len(a[0].Text) > 64 {
		return node.Errorf("a read's name, of 64 bytes at most, is due first")
	}
	x := scatter.Spec{Name: a[0].Text, Page: 50, MostPage: 1000, Memory: 8 << 20, MostRow: 64 << 10, AtOnce: 16, WaitMs: 10000, SilentMs: 1000, Again: 3, SettleMs: 20}
	if slices.ContainsFunc(s.Specs, func(o scatter.Spec) bool { return o.Name == x.Name }) {
		return a[0].Errorf("there is a read %q already", x.Name)
	}
	if len(s.Specs) == maxReads {
		return a[0].Errorf("over %d reads", maxReads)
	}
	span := func(to *float64, least float64) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Millis(least, maxDurationMs); return err }
	}
	whole := func(to *int, least, most int) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Int(least, most); return err }
	}
	size := func(to *int, least, most int64) func(*sexp.Node) error {
		return func(node *sexp.Node) error { b, err := node.Bytes(least, most); *to = int(b); return err }
	}
	var own []merge.Column
	var said *sexp.Node // (whole) or (partial)
	partial := false
	err := sexp.Schema{
		"class": func(node *sexp.Node) (err error) {
			if x.Class, err = node.Str(); err == nil {
				s.classPositions[x.Class] = node.Items[1].Pos
			}
			return err
		},
		"shards": func(node *sexp.Node) (err error) { x.Shards, err = readShards(node); return err },
		"order":  func(node *sexp.Node) (err error) { x.Order.Columns, err = readColumns(node); return err },
		"own":    func(node *sexp.Node) (err error) { own, err = readColumns(node); return err },
		"page":   whole(&x.Page, 1, 100000), "most-page": whole(&x.MostPage, 1, 100000),
		"whole": func(node *sexp.Node) error {
			if said != nil || len(node.Args()) > 0 {
				return node.Errorf("(whole) or (partial NUMBER), once")
			}
			said = node
			return nil
		},
		"partial": func(node *sexp.Node) (err error) {
			if said != nil {
				return node.Errorf("(whole) or (partial NUMBER), once")
			}
			said, partial = node, true
			x.Missing, err = node.Int(1, cursor.MostShards)
			return err
		},
		"memory": size(&x.Memory, 64<<10, 1<<30), "most-row": size(&x.MostRow, 1<<10, 16<<20),
		"at-once": whole(&x.AtOnce, 1, 10000), "wait": span(&x.WaitMs, 100), "silent": span(&x.SilentMs, 50), "again": whole(&x.Again, 0, 100), "settle": span(&x.SettleMs, 0),
	}.Read(a[1:])
	x.Order.Own = len(x.Order.Columns)
	x.Order.Columns = append(x.Order.Columns, own...)
	x.SpareMs = min(500, x.WaitMs/10)
	switch {
	case err != nil:
		return err
	case x.Class == "" || len(x.Shards) == 0 || x.Order.Own == 0 || len(own) == 0:
		return node.Errorf("read %q: (class ...), (shards ...), (order ...) and (own ...) are due", x.Name)
	case said == nil:
		return node.Errorf("read %q: is a page (whole), or may so many shards be missing: (partial NUMBER)?", x.Name)
	case partial && x.Missing >= len(x.Shards):
		return said.Errorf("of %d shards %d cannot be missing", len(x.Shards), x.Missing)
	case x.Page > x.MostPage:
		return node.Errorf("read %q: a page of %d rows is over its most, %d", x.Name, x.Page, x.MostPage)
	}
	for i, c := range x.Order.Columns {
		if slices.ContainsFunc(x.Order.Columns[:i], func(o merge.Column) bool { return o.Name == c.Name }) {
			return node.Errorf("read %q: column %q is there twice", x.Name, c.Name)
		}
	}
	s.Specs = append(s.Specs, x)
	return nil
}

func readShards(node *sexp.Node) (out []scatter.Shard, err error) {
	for _, a := range node.Args() {
		if a.Kind != sexp.List || len(a.Items) != 2 || a.Items[0].Kind == sexp.List || a.Items[0].Text == "" || len(a.Items[0].Text) > 64 {
			return nil, a.Errorf("(\"NAME\" GROUP) is due")
		}
		x := scatter.Shard{Name: a.Items[0].Text}
		group, err := a.Items[1].Number(0, 1<<30)
		if err != nil || group != math.Trunc(group) {
			return nil, a.Items[1].Errorf("a group's number is due here")
		}
		x.Group = int(group)
		if slices.ContainsFunc(out, func(o scatter.Shard) bool { return o.Name == x.Name || o.Group == x.Group }) {
			return nil, a.Errorf("a shard of this name or group is there already")
		}
		out = append(out, x)
	}
	if len(out) == 0 || len(out) > cursor.MostShards {
		return nil, node.Errorf("from 1 to %d shards", cursor.MostShards)
	}
	slices.SortFunc(out, func(a, b scatter.Shard) int { return cmp.Compare(a.Name, b.Name) }) // ties go by name
	return out, nil
}

func readColumns(node *sexp.Node) (out []merge.Column, err error) {
	for _, a := range node.Args() {
		if a.Kind != sexp.List || len(a.Items) < 2 || a.Items[0].Kind == sexp.List || a.Items[0].Text == "" {
			return nil, a.Errorf("(\"NAME\" TYPE ...) is due")
		}
		c := merge.Column{Name: a.Items[0].Text}
		known := false
		if c.Type, known = merge.TypeNamed(a.Items[1].Text); !known {
			return nil, a.Items[1].Errorf("the order of type %q is not known here: int8, float8, text, bytea, timestamp, timestamptz or uuid", a.Items[1].Text)
		}
		nulls := ""
		err := sexp.Schema{
			"asc":  func(node *sexp.Node) error { return nil },
			"desc": func(node *sexp.Node) error { c.Desc = true; return nil },
			"as":   func(node *sexp.Node) (err error) { c.Expr, err = node.Str(); return err },
			"nulls": func(node *sexp.Node) (err error) {
				if nulls, err = node.Str(); err == nil && nulls != "first" && nulls != "last" {
					err = node.Errorf("(nulls first) or (nulls last)")
				}
				return err
			},
		}.Read(a.Items[2:])
		if err != nil {
			return nil, err
		}
		c.NullsFirst = nulls == "first" || nulls == "" && c.Desc // as the servers have it
		out = append(out, c)
	}
	if len(out) == 0 || len(out) > 16 {
		return nil, node.Errorf("from 1 to 16 columns")
	}
	return out, nil
}

// Check holds the reads' classes against those of the pools, and the key against what there is.
func (s *Scatter) Check(p *Pooling, peers *Cluster) error {
	if !s.Enabled {
		return nil
	}
	if p.Listen == "" {
		return fmt.Errorf("(scatter ...) needs (pooling ...)")
	}
	for i := range s.Specs {
		x := &s.Specs[i]
		k := slices.IndexFunc(p.Classes, func(c TransactionClass) bool { return c.Name == x.Class })
		switch {
		case k < 0:
			return &sexp.Error{Pos: s.classPositions[x.Class], Text: fmt.Sprintf("there is no (class %q ...) in (pooling ...)", x.Class)}
		case p.Classes[k].Read != decide.ReadSession:
			return &sexp.Error{Pos: s.classPositions[x.Class], Text: fmt.Sprintf("class %q is not of (needs session): a page must not be read behind the one before", x.Class)}
		}
	}
	_, err := s.Secrets(peers)
	return err
}

// Secrets are what cursors' keys are derived from: the lines of the key's file, or the peers' key. The first one seals.
func (s *Scatter) Secrets(p *Cluster) ([][]byte, error) {
	switch {
	case s.KeyFile != "":
		secrets, err := ReadKey(s.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("the cursors' key: %w", err)
		}
		var out [][]byte
		for line := range bytes.Lines(secrets) {
			if line = bytes.TrimSpace(line); len(line) == 0 {
				continue
			}
			if len(line) < minKeyBytes {
				return nil, fmt.Errorf("the cursors' key: %s: a line of %d bytes; %d are wanted", s.KeyFile, len(line), minKeyBytes)
			}
			out = append(out, line)
		}
		return out[:min(len(out), 8)], nil
	case p.Enabled:
		key, err := p.Key()
		return [][]byte{key}, err
	}
	return nil, fmt.Errorf("(scatter ...) needs a (key \"FILE\"), as there are no (peers ...) with one")
}
