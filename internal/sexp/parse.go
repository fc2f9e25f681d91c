package sexp

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// delimiters end an atom.
const delimiters = " \t\r\n();\""

// The characters that may follow a backslash in a string, and the characters that they stand for, in the same order.
const (
	escapes   = `"\nt`
	unescaped = "\"\\\n\t"
)

// Parse parses all expressions in the text of a file. A comment runs from ';' to the end of its line.
func Parse(file string, text []byte) ([]*Node, error) {
	p := &parser{input: text, pos: Pos{file, 1, 1}}
	if len(text) > MaxBytes {
		return nil, p.errorf(p.pos, "the file has %d bytes; at most %d are allowed", len(text), MaxBytes)
	}
	var nodes []*Node
	for {
		p.skipSpace()
		if p.atEnd() {
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
	pos       Pos // of offset
	nodeCount int
}

func (p *parser) errorf(pos Pos, format string, args ...any) error {
	return &Error{pos, fmt.Sprintf(format, args...)}
}

func (p *parser) atEnd() bool { return p.offset == len(p.input) }

// next consumes one character.
func (p *parser) next() (rune, error) {
	r, size := utf8.DecodeRune(p.input[p.offset:])
	if r == utf8.RuneError && size <= 1 {
		return 0, p.errorf(p.pos, "invalid UTF-8")
	}
	p.offset += size
	p.pos.Col++
	if r == '\n' {
		p.pos.Line++
		p.pos.Col = 1
	}
	return r, nil
}

// skip consumes one character that is known to be ASCII.
func (p *parser) skip() { _, _ = p.next() }

// skipSpace consumes white space and comments.
func (p *parser) skipSpace() {
	for !p.atEnd() {
		switch p.input[p.offset] {
		case ' ', '\t', '\r', '\n':
			p.skip()
		case ';':
			p.skipComment()
		default:
			return
		}
	}
}

func (p *parser) skipComment() {
	for !p.atEnd() && p.input[p.offset] != '\n' {
		if _, err := p.next(); err != nil {
			p.offset++ // a comment may contain invalid UTF-8
		}
	}
}

// parseNode parses an expression that is nested in depth lists.
func (p *parser) parseNode(depth int) (*Node, error) {
	node := &Node{Pos: p.pos}
	p.nodeCount++
	if p.nodeCount > maxNodes {
		return nil, node.Errorf("more than %d expressions", maxNodes)
	}
	switch p.input[p.offset] {
	case '(':
		return node, p.parseList(node, depth)
	case ')':
		return nil, node.Errorf("unmatched ')'")
	case '"':
		return node, p.parseString(node)
	}
	return node, p.parseAtom(node)
}

func (p *parser) parseList(list *Node, depth int) error {
	if depth == maxDepth {
		return list.Errorf("lists are nested more than %d deep", maxDepth)
	}
	list.Kind = List
	p.skip()
	for {
		p.skipSpace()
		if p.atEnd() {
			return list.Errorf("unclosed list")
		}
		if p.input[p.offset] == ')' {
			p.skip()
			return nil
		}
		item, err := p.parseNode(depth + 1)
		if err != nil {
			return err
		}
		list.Items = append(list.Items, item)
	}
}

func (p *parser) parseAtom(node *Node) error {
	start := p.offset
	for !p.atEnd() && !strings.ContainsRune(delimiters, rune(p.input[p.offset])) {
		if _, err := p.next(); err != nil {
			return err
		}
	}
	node.Text = string(p.input[start:p.offset])
	return nil
}

func (p *parser) parseString(node *Node) error {
	node.Kind = String
	p.skip()
	var text strings.Builder
	for !p.atEnd() {
		start := p.pos
		r, err := p.next()
		if err != nil {
			return err
		}
		switch r {
		case '"':
			node.Text = text.String()
			return nil
		case '\n':
			return node.Errorf("unclosed string at the end of the line")
		case '\\':
			if p.atEnd() {
				return node.Errorf("unclosed string")
			}
			if r, err = p.unescape(start); err != nil {
				return err
			}
		}
		text.WriteRune(r)
	}
	return node.Errorf("unclosed string")
}

// unescape consumes the character after the backslash at start, and returns the character that the escape stands for.
func (p *parser) unescape(start Pos) (rune, error) {
	r, err := p.next()
	if err != nil {
		return 0, err
	}
	i := strings.IndexRune(escapes, r)
	if i < 0 {
		return 0, p.errorf(start, `unknown escape \%c; allowed are \" \\ \n \t`, r)
	}
	return rune(unescaped[i]), nil
}
