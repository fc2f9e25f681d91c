package scenario

import (
	"beechgrade/internal/sexp"
	"beechgrade/internal/storage/journal"
	"beechgrade/internal/testkit/model"
)

// Journal has the settings of the poolers' journal of attempts in virtual time.
type Journal struct {
	Mode journal.Mode
	Disk model.Range // range of the time of a write with its sync, ms
}

// readJournal reads (journal off), (journal before ...) or (journal alongside ...), optionally followed by (disk MIN MAX).
func (s *Script) readJournal(n *sexp.Node) error {
	a := n.Args()
	if len(a) == 0 {
		return n.Errorf("(journal ...) takes off, before or alongside")
	}
	j := &Journal{Disk: model.Range{0.1, 2}}
	switch a[0].Text {
	case "off":
		s.Journal = nil
		return nil
	case "before":
		j.Mode = journal.BeforeSend
	case "alongside":
		j.Mode = journal.Alongside
	default:
		return a[0].Errorf("expected off, before or alongside")
	}
	s.Journal = j
	return sexp.Schema{"disk": func(n *sexp.Node) error { return readRange(n, (*[2]float64)(&j.Disk)) }}.Read(a[1:])
}
