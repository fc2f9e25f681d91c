package sessionstate

import (
	"fmt"
	"slices"
	"strings"

	"beechgrade/internal/protocol/sqltext"
)

// statementOverhead is the approximate size of a statement besides its text and types, in bytes.
const statementOverhead = 64

// Statements holds prepared statements once for each distinct text and list of types, over all clients.
type Statements struct {
	byText map[string]*Statement
	lastID uint64
	bytes  int
}

// Statement is a statement that clients have prepared.
type Statement struct {
	ID       uint64
	SQL      string
	Types    []byte // as in Parse: the number of types and each type
	Effects  []sqltext.Statement
	users    int // number of clients' names for it, and of server connections that have it prepared
	registry *Statements
}

// NewStatements returns an empty collection.
func NewStatements() *Statements {
	return &Statements{byText: map[string]*Statement{}}
}

// Len returns the number of distinct statements.
func (statements *Statements) Len() int { return len(statements.byText) }

// Bytes returns the approximate size of all statements.
func (statements *Statements) Bytes() int { return statements.bytes }

// acquire returns the statement with a text and types, which is added if needed, and counts one more user.
func (statements *Statements) acquire(sql string, types []byte) *Statement {
	key := string(types) + sql
	s := statements.byText[key]
	if s == nil {
		s = statements.add(key, sql, types)
	}
	s.users++
	return s
}

// add adds a statement without users.
func (statements *Statements) add(key, sql string, types []byte) *Statement {
	statements.lastID++
	s := &Statement{
		registry: statements,
		ID:       statements.lastID,
		SQL:      strings.Clone(sql),
		Types:    slices.Clone(types),
		Effects:  sqltext.Split(sql),
	}
	if setting, ok := sqltext.SetConfig(sql); ok {
		s.Effects = []sqltext.Statement{setting}
	}
	statements.byText[key] = s
	statements.bytes += s.Size()
	return s
}

// Name returns the name under which the statement is prepared at servers.
func (s *Statement) Name() string { return fmt.Sprintf("bg_%d", s.ID) }

// Size returns the approximate size of the statement in bytes.
func (s *Statement) Size() int { return len(s.SQL) + len(s.Types) + statementOverhead }

// Release ends one use of the statement, which is removed after the last one.
func (s *Statement) Release() {
	s.users--
	if s.users != 0 {
		return
	}
	delete(s.registry.byText, string(s.Types)+s.SQL)
	s.registry.bytes -= s.Size()
}
