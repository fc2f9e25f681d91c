// Package sexp reads the operators' S-expressions: settings, scenarios and expectations. Every error names file,
// line and column.
package sexp

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// Bounds on what is read: a file is written by hand.
const (
	MaxBytes = 1 << 20
	maxDepth = 64
	maxNodes = 1 << 17
)

// Pos is a place in a file; lines and columns count from 1, columns in characters.
type Pos struct {
	File      string
	Line, Col int
}

func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// Error is a fault at a place.
type Error struct {
	Pos  Pos
	Text string
}

func (e *Error) Error() string { return e.Pos.String() + ": " + e.Text }

// Kind is what a node is.
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

// Errorf makes an error at the node.
func (n *Node) Errorf(format string, args ...any) error {
	return &Error{n.Pos, fmt.Sprintf(format, args...)}
}

// Parse reads all expressions of a file. A comment runs from ';' to the end of its line.
func Parse(file string, b []byte) ([]*Node, error) {
	p := &parser{input: b, position: Pos{file, 1, 1}}
	if len(b) > MaxBytes {
		return nil, &Error{p.position, fmt.Sprintf("the file has %d bytes; at most %d are read", len(b), MaxBytes)}
	}
	var nodes []*Node
	for {
		p.skipSpace()
		if p.offset == len(p.input) {
			return nodes, nil
		}
		node, err := p.parseNode(0)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, node)
	}
}

type parser struct {
	input     []byte
	offset    int
	position  Pos
	nodeCount int
}

// next takes one character.
func (p *parser) next() (rune, error) {
	r, size := utf8.DecodeRune(p.input[p.offset:])
	if r == utf8.RuneError && size <= 1 {
		return 0, &Error{p.position, "this is not UTF-8 text"}
	}
	p.offset += size
	p.position.Col++
	if r == '\n' {
		p.position.Line, p.position.Col = p.position.Line+1, 1
	}
	return r, nil
}

func (p *parser) skipSpace() {
	for p.offset < len(p.input) {
		switch p.input[p.offset] {
		case ' ', '\t', '\r', '\n':
			_, _ = p.next()
		case ';':
			for p.offset < len(p.input) && p.input[p.offset] != '\n' {
				if _, err := p.next(); err != nil {
					p.offset++ // within a comment anything goes
				}
			}
		default:
			return
		}
	}
}

func (p *parser) parseNode(depth int) (*Node, error) {
	node := &Node{Pos: p.position}
	if p.nodeCount++; p.nodeCount > maxNodes {
		return nil, node.Errorf("more than %d expressions", maxNodes)
	}
	switch c := p.input[p.offset]; c {
	case '(':
		if depth == maxDepth {
			return nil, node.Errorf("lists are nested more than %d deep", maxDepth)
		}
		node.Kind = List
		_, _ = p.next()
		for {
			p.skipSpace()
			if p.offset == len(p.input) {
				return nil, node.Errorf("this list is not closed")
			}
			if p.input[p.offset] == ')' {
				_, _ = p.next()
				return node, nil
			}
			item, err := p.parseNode(depth + 1)
			if err != nil {
				return nil, err
			}
			node.Items = append(node.Items, item)
		}
	case ')':
		return nil, node.Errorf("a ')' that closes nothing")
	case '"':
		node.Kind = String
		return node, p.parseString(node)
	}
	start := p.offset
	for p.offset < len(p.input) && !strings.ContainsRune(" \t\r\n();\"", rune(p.input[p.offset])) {
		if _, err := p.next(); err != nil {
			return nil, err
		}
	}
	node.Text = string(p.input[start:p.offset])
	return node, nil
}

func (p *parser) parseString(node *Node) error {
	_, _ = p.next()
	var b strings.Builder
	for p.offset < len(p.input) {
		start := p.position
		r, err := p.next()
		if err != nil {
			return err
		}
		switch r {
		case '"':
			node.Text = b.String()
			return nil
		case '\n':
			return node.Errorf("this text is not closed on its line")
		case '\\':
			if p.offset == len(p.input) {
				return node.Errorf("this text is not closed")
			}
			if r, err = p.next(); err != nil {
				return err
			}
			i := strings.IndexRune(`"\nt`, r)
			if i < 0 {
				return &Error{start, fmt.Sprintf(`\%c is not known; there are \" \\ \n \t`, r)}
			}
			r = rune("\"\\\n\t"[i])
		}
		b.WriteRune(r)
	}
	return node.Errorf("this text is not closed")
}

// Head is the name that a list begins with, empty where there is none.
func (n *Node) Head() string {
	if n.Kind == List && len(n.Items) > 0 && n.Items[0].Kind == Atom {
		return n.Items[0].Text
	}
	return ""
}

// Args are a list's items behind its name.
func (n *Node) Args() []*Node {
	if n.Head() == "" {
		return nil
	}
	return n.Items[1:]
}

// Argument is the single argument of a list such as (seconds 20).
func (n *Node) Argument() (*Node, error) {
	if a := n.Args(); len(a) == 1 {
		return a[0], nil
	}
	return nil, n.Errorf("(%s ...) takes one value, here are %d", n.Head(), len(n.Args()))
}

// Schema names what a list may hold and what is done with it.
type Schema map[string]func(*Node) error

// Read puts each list among items to the function of its name. Names that are not known are an error, and so are
// those that are said twice, but for those in many.
func (f Schema) Read(items []*Node, repeatable ...string) error {
	seen := map[string]Pos{}
	for _, node := range items {
		name := node.Head()
		if name == "" {
			return node.Errorf("here a list that begins with a name is due; known are: %s", f.keys())
		}
		read := f[name]
		if read == nil {
			return node.Errorf("%q is not known here; known are: %s", name, f.keys())
		}
		if first, twice := seen[name]; twice && !slices.Contains(repeatable, name) {
			return node.Errorf("%q stands here twice, first on line %d", name, first.Line)
		}
		seen[name] = node.Pos
		if err := read(node); err != nil {
			return err
		}
	}
	return nil
}

func (f Schema) keys() string {
	var names []string
	for name := range f {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// Float reads a list's single number and holds it to a range.
func (n *Node) Float(least, most float64) (float64, error) {
	a, err := n.Argument()
	if err != nil {
		return 0, err
	}
	return a.Number(least, most)
}

// Number reads an atom as a number within a range.
func (n *Node) Number(least, most float64) (float64, error) {
	x, err := strconv.ParseFloat(n.Text, 64)
	if n.Kind != Atom || err != nil || math.IsNaN(x) {
		return 0, n.Errorf("a number is due here")
	}
	if x < least || x > most {
		return 0, n.Errorf("%s is out of range; it may be from %v to %v", n.Text, least, most)
	}
	return x, nil
}

// Int reads a list's single whole number and holds it to a range.
func (n *Node) Int(least, most int) (int, error) {
	x, err := n.Float(float64(least), float64(most))
	if err != nil {
		return 0, err
	}
	if x != math.Trunc(x) {
		return 0, n.Items[1].Errorf("a whole number is due here")
	}
	return int(x), nil
}

// Bool reads a list's single yes or no; a list without a value means yes.
func (n *Node) Bool() (bool, error) {
	if len(n.Args()) == 0 {
		return true, nil
	}
	a, err := n.Argument()
	if err != nil {
		return false, err
	}
	switch a.Text {
	case "yes", "true", "on":
		return true, nil
	case "no", "false", "off":
		return false, nil
	}
	return false, a.Errorf("yes or no is due here")
}

// Str reads a list's single text.
func (n *Node) Str() (string, error) {
	a, err := n.Argument()
	if err != nil {
		return "", err
	}
	if a.Kind == List {
		return "", a.Errorf("a text is due here")
	}
	return a.Text, nil
}

// Millis reads a list's single time, such as 250ms, 2s or 1m30s, in milliseconds.
func (n *Node) Millis(least, most float64) (float64, error) {
	a, err := n.Argument()
	if err != nil {
		return 0, err
	}
	return a.Duration(least, most)
}

// Duration reads an atom as a time, in milliseconds.
func (n *Node) Duration(least, most float64) (float64, error) {
	d, err := time.ParseDuration(n.Text)
	if n.Kind != Atom || err != nil {
		return 0, n.Errorf("a time is due here, such as 250ms, 2s or 1m30s")
	}
	ms := float64(d) / float64(time.Millisecond)
	if ms < least || ms > most {
		return 0, n.Errorf("%s is out of range; it may be from %vms to %vms", n.Text, least, most)
	}
	return ms, nil
}

// Bytes reads a list's single size, such as 512k, 8m or 1g, in bytes.
func (n *Node) Bytes(least, most int64) (int64, error) {
	a, err := n.Argument()
	if err != nil {
		return 0, err
	}
	text, unit := strings.ToLower(a.Text), int64(1)
	for i, suffix := range []string{"k", "m", "g"} {
		if cut, ok := strings.CutSuffix(text, suffix); ok {
			text, unit = cut, 1<<(10*(i+1))
			break
		}
	}
	x, perr := strconv.ParseInt(text, 10, 64)
	if a.Kind != Atom || perr != nil || x < 0 || x > math.MaxInt64/unit {
		return 0, a.Errorf("a size is due here, such as 512k, 8m or 1g")
	}
	if x *= unit; x < least || x > most {
		return 0, a.Errorf("%s is out of range; it may be from %d to %d bytes", a.Text, least, most)
	}
	return x, nil
}
