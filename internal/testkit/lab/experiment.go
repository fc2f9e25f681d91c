// Package lab runs experiments in virtual time: a grid of settings, sizes, faults and seeds over all cores, resumable
// after a kill; it compares variants paired by seed, reports, and shrinks a failing scenario to a small one.
package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"beechgrade/internal/sexp"
	"beechgrade/internal/testkit/scenario"
)

// Bounds of an experiment.
const (
	maxAxes   = 8
	maxValues = 64
	maxCells  = 4096
	maxSeeds  = 10000
	maxRuns   = 100000
)

// Experiment is a grid: each cell has one value of each axis, and is run with each seed.
type Experiment struct {
	Name  string
	Seeds []uint64
	Axes  []Axis
	Cells []Cell
}

// Axis is a dimension of the grid. Its first value is the baseline.
type Axis struct {
	Name   string
	Values []Value
}

// Value is a value of an axis: forms that replace those of the scenario or are added to it, see scenario.ReplaceForms.
type Value struct {
	Label string
	Forms []*sexp.Node
}

// Cell is one point of the grid.
type Cell struct {
	Labels []string // one for each axis
	Script *scenario.Script
}

// Key returns the name of a cell, which is unique in its experiment.
func (c *Cell) Key() string { return strings.Join(c.Labels, " / ") }

// Load reads an experiment file, and the scenario file that it names relative to its own folder.
func Load(path string) (*Experiment, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, b, os.ReadFile)
}

// Parse reads an experiment's text: (experiment "NAME" (scenario "FILE") (seeds FIRST LAST) (axis "NAME" (value "LABEL" FORM...) ...) ...).
func Parse(path string, b []byte, read func(string) ([]byte, error)) (*Experiment, error) {
	nodes, err := sexp.Parse(path, b)
	if err != nil {
		return nil, err
	}
	if len(nodes) != 1 || nodes[0].Head() != "experiment" {
		return nil, &sexp.Error{Pos: sexp.Pos{File: path, Line: 1, Col: 1}, Text: "expected one (experiment \"NAME\" ...)"}
	}
	n := nodes[0]
	args := n.Args()
	if len(args) == 0 || args[0].Kind != sexp.String || args[0].Text == "" {
		return nil, n.Errorf("expected the experiment's name in double quotes first")
	}
	x := &Experiment{Name: args[0].Text}
	var base *sexp.Node
	if err := (sexp.Schema{
		"scenario": func(n *sexp.Node) error {
			name, err := n.Str()
			if err != nil {
				return err
			}
			file := filepath.Join(filepath.Dir(path), name)
			text, err := read(file)
			if err != nil {
				return n.Items[1].Errorf("%v", err)
			}
			found, err := sexp.Parse(file, text)
			if err != nil {
				return err
			}
			if len(found) != 1 || found[0].Head() != "rehearsal" {
				return n.Items[1].Errorf("%s does not consist of one (rehearsal ...)", name)
			}
			base = found[0]
			return nil
		},
		"seeds": func(n *sexp.Node) error {
			a := n.Args()
			if len(a) != 2 {
				return n.Errorf("(seeds FIRST LAST) takes two numbers")
			}
			first, err := a[0].Number(0, 1e15)
			if err != nil {
				return err
			}
			last, err := a[1].Number(first, first+maxSeeds-1)
			if err != nil {
				return err
			}
			for s := uint64(first); s <= uint64(last); s++ {
				x.Seeds = append(x.Seeds, s)
			}
			return nil
		},
		"axis": x.axis,
	}).Read(args[1:], "axis"); err != nil {
		return nil, err
	}
	switch {
	case base == nil:
		return nil, n.Errorf("(scenario \"FILE\") is missing")
	case len(x.Seeds) == 0:
		return nil, n.Errorf("(seeds FIRST LAST) is missing")
	}
	return x, x.grid(n, base)
}

// axis reads (axis "NAME" (value "LABEL" FORM...) ...).
func (x *Experiment) axis(n *sexp.Node) error {
	a := n.Args()
	if len(a) < 2 || a[0].Kind == sexp.List || len(a)-1 > maxValues || len(x.Axes) == maxAxes {
		return n.Errorf("expected (axis \"NAME\" (value \"LABEL\" FORM...) ...), with up to %d values, and up to %d axes", maxValues, maxAxes)
	}
	axis := Axis{Name: a[0].Text}
	if slices.ContainsFunc(x.Axes, func(o Axis) bool { return o.Name == axis.Name }) {
		return a[0].Errorf("there is an axis %q already", axis.Name)
	}
	for _, v := range a[1:] {
		items := v.Args()
		if v.Head() != "value" || len(items) == 0 || items[0].Kind == sexp.List {
			return v.Errorf("expected (value \"LABEL\" FORM...)")
		}
		if slices.ContainsFunc(axis.Values, func(o Value) bool { return o.Label == items[0].Text }) {
			return items[0].Errorf("there is a value %q already", items[0].Text)
		}
		axis.Values = append(axis.Values, Value{Label: items[0].Text, Forms: items[1:]})
	}
	x.Axes = append(x.Axes, axis)
	return nil
}

// grid makes all cells, and checks that each is a valid scenario.
func (x *Experiment) grid(n, base *sexp.Node) error {
	at := make([]int, len(x.Axes)) // index of the value of each axis; the last axis changes fastest
	for {
		c := Cell{}
		items := slices.Clone(base.Items)
		for i, a := range x.Axes {
			v := a.Values[at[i]]
			c.Labels = append(c.Labels, v.Label)
			items = scenario.ReplaceForms(items, v.Forms)
		}
		complete := *base
		complete.Items = items
		s, err := scenario.Read(&complete)
		if err != nil {
			return fmt.Errorf("cell %q: %w", c.Key(), err)
		}
		c.Script = s
		x.Cells = append(x.Cells, c)
		if len(x.Cells) > maxCells || len(x.Cells)*len(x.Seeds) > maxRuns {
			return n.Errorf("the experiment has more than %d cells or %d runs", maxCells, maxRuns)
		}
		i := len(at) - 1
		for ; i >= 0; i-- {
			if at[i]++; at[i] < len(x.Axes[i].Values) {
				break
			}
			at[i] = 0
		}
		if i < 0 {
			return nil
		}
	}
}
