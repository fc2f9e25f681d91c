// Package sexp reads the S-expressions that operators write: settings, scenarios and expectations. Parse parses a text into nodes, a
// Schema lists what is allowed in a list and the functions that read it, and methods of Node read values. Every error is an *Error,
// which names file, line and column.
package sexp

import "fmt"

// Bounds of a file. Files are written by hand, so that these are generous.
const (
	MaxBytes = 1 << 20
	maxDepth = 64
	maxNodes = 1 << 17
)

// Pos is a position in a file. Lines and columns count from 1, columns in characters.
type Pos struct {
	File      string
	Line, Col int
}

// String is FILE:LINE:COLUMN.
func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// Error is an error at a position in a file.
type Error struct {
	Pos  Pos
	Text string
}

// Error returns the position and the text.
func (e *Error) Error() string { return e.Pos.String() + ": " + e.Text }

// Kind is the kind of a node.
type Kind uint8

// The kinds.
const (
	Atom   Kind = iota // a bare word or number
	String             // in double quotes
	List
)

// Node is one expression.
type Node struct {
	Pos   Pos
	Kind  Kind
	Text  string // of an atom or a string
	Items []*Node
}

// Errorf returns an error at the node.
func (n *Node) Errorf(format string, args ...any) error {
	return &Error{n.Pos, fmt.Sprintf(format, args...)}
}

// Head returns the name that a list begins with, or "" if there is none.
func (n *Node) Head() string {
	if n.Kind == List && len(n.Items) > 0 && n.Items[0].Kind == Atom {
		return n.Items[0].Text
	}
	return ""
}

// Args returns the items of a list after its name.
func (n *Node) Args() []*Node {
	if n.Head() == "" {
		return nil
	}
	return n.Items[1:]
}
