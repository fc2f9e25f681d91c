package sexp

import (
	"slices"
	"strings"
)

// Schema maps the names of the lists that are allowed to the functions that read them.
type Schema map[string]func(*Node) error

// Read passes each item to the function of its name. A name that is not in the schema is an error, and so is a second item of the
// same name, unless the name is repeatable.
func (s Schema) Read(items []*Node, repeatable ...string) error {
	seen := map[string]Pos{}
	for _, node := range items {
		name := node.Head()
		if name == "" {
			return node.Errorf("expected a list that begins with a name; allowed are: %s", s.names())
		}
		read := s[name]
		if read == nil {
			return node.Errorf("%q is unknown here; allowed are: %s", name, s.names())
		}
		if first, exists := seen[name]; exists && !slices.Contains(repeatable, name) {
			return node.Errorf("duplicate %q; the first is on line %d", name, first.Line)
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
