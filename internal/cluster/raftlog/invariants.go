package raftlog

import "fmt"

// checkTerm states that raft's term does not fall.
func (l *Log) checkTerm(term uint64) {
	checks := l.settings.Checks
	if !checks.Enabled() {
		return
	}
	checks.That(term >= l.term, "agreed: the term never falls", func() string {
		return fmt.Sprint(l.settings.Self, " ", l.term, " ", term)
	})
}

// checkApplied states that an entry is the next one to apply.
func (l *Log) checkApplied(index, term uint64) {
	checks := l.settings.Checks
	if !checks.Enabled() {
		return
	}
	inOrder := index == l.appliedIndex+1 && term >= l.appliedTerm
	checks.That(inOrder, "agreed: entries are applied one by one, in terms that never fall", func() string {
		return fmt.Sprint(l.settings.Self, " applies ", index, " of term ", term, " after ", l.appliedIndex, " of term ", l.appliedTerm)
	})
}
