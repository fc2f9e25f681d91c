package raftlog

import "fmt"

// checkTerm checks that raft's term does not decrease.
func (l *Log) checkTerm(term uint64) {
	checks := l.settings.Checks
	if !checks.Enabled() {
		return
	}
	checks.That(term >= l.term, "raftlog: the term never decreases", func() string {
		return fmt.Sprint(l.settings.Self, ": term ", l.term, ", then ", term)
	})
}

// checkApplied checks that an entry is the next one to apply.
func (l *Log) checkApplied(index, term uint64) {
	checks := l.settings.Checks
	if !checks.Enabled() {
		return
	}
	inOrder := index == l.appliedIndex+1 && term >= l.appliedTerm
	checks.That(inOrder, "raftlog: entries are applied one by one, in terms that never decrease", func() string {
		return fmt.Sprint(l.settings.Self, " applies ", index, " of term ", term, " after ", l.appliedIndex, " of term ", l.appliedTerm)
	})
}
