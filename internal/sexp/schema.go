package sexp

import (
	"slices"
	"strings"
)

// Schema says which lists are allowed, by their names, and what reads each of them.
type Schema map[string]func(*Node) error

// Read passes each of items to the function of its name. A name that is not in the schema is an error, and so is one that comes
// twice, unless it is repeatable.
func (s Schema) Read(items []*Node, repeatable ...string) error {
	seen := map[string]Pos{}
	for _, node := range items {
		name := node.Head()
		if name == "" {
			return node.Errorf("here a list that begins with a name is due; known are: %s", s.names())
		}
		read := s[name]
		if read == nil {
			return node.Errorf("%q is not known here; known are: %s", name, s.names())
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

func (s Schema) names() string {
	var names []string
	for name := range s {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
