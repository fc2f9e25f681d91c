package sexp

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// delimiters end an atom.
const delimiters = " \t\r\n();\""

// The characters that may follow a backslash in a string, and what they stand for.
const (
	escapes   = `"\nt`
	unescaped = "\"\\\n\t"
)

// Parse reads all expressions of a file's text. A comment runs from ';' to the end of its line.
func Parse(file string, text []byte) ([]*Node, error) {
	p := &parser{input: text, pos: Pos{file, 1, 1}}
	if len(text) > MaxBytes {
		return nil, p.errorf(p.pos, "the file has %d bytes; at most %d are read", len(text), MaxBytes)
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
		return 0, p.errorf(p.pos, "this is not UTF-8 text")
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
			p.offset++ // any bytes may stand in a comment
		}
	}
}

// parseNode reads an expression inside so many lists.
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
		return nil, node.Errorf("a ')' that closes nothing")
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
			return list.Errorf("this list is not closed")
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
			return node.Errorf("this text is not closed on its line")
		case '\\':
			if p.atEnd() {
				return node.Errorf("this text is not closed")
			}
			if r, err = p.unescape(start); err != nil {
				return err
			}
		}
		text.WriteRune(r)
	}
	return node.Errorf("this text is not closed")
}

// unescape consumes the character after a backslash at start, and returns what it stands for.
func (p *parser) unescape(start Pos) (rune, error) {
	r, err := p.next()
	if err != nil {
		return 0, err
	}
	i := strings.IndexRune(escapes, r)
	if i < 0 {
		return 0, p.errorf(start, `\%c is not known; there are \" \\ \n \t`, r)
	}
	return rune(unescaped[i]), nil
}
