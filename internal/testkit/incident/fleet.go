package incident

import (
	"cmp"
	"slices"
	"strings"

	"beechgrade/internal/record"
)

// Seen is for how long one pooler took another's process for something.
type Seen struct {
	By    string  `json:"by"`
	Of    string  `json:"of"`
	State string  `json:"state"` // alive, suspect, failed or left
	From  float64 `json:"from_ms"`
	To    float64 `json:"to_ms"` // 0 for the records' end
}

// maxSeen bounds how many are kept; what comes after them is left out.
const maxSeen = 20000

// fleet is who saw whom, in the records of poolers that are peers.
type fleet struct {
	seen []Seen
	last map[[2]string]int // by pooler and process: the last of them, numbered from 1
}

// event takes what a pooler made of a process: 'name id zone: state', with ', was state' behind it where that is known.
func (f *fleet) event(pooler string, e *record.Event) {
	who, what, ok := strings.Cut(e.Text, ": ")
	name, id, _ := strings.Cut(who, " ")
	if id, _, _ = strings.Cut(id, " "); !ok || name == "" || id == "" || len(f.seen) >= maxSeen {
		return
	}
	state, _, _ := strings.Cut(what, ",")
	if f.last == nil {
		f.last = map[[2]string]int{}
	}
	key := [2]string{pooler, id}
	if i := f.last[key]; i > 0 {
		if f.seen[i-1].State == state {
			return
		}
		f.seen[i-1].To = e.At
	}
	f.seen = append(f.seen, Seen{By: pooler, Of: name + " " + id, State: state, From: e.At})
	f.last[key] = len(f.seen)
}

// ended has a pooler's process end: what it thought is nothing any more.
func (f *fleet) ended(pooler string, at float64) {
	for k, i := range f.last {
		if k[0] == pooler {
			f.seen[i-1].To = at
			delete(f.last, k)
		}
	}
}

func (f *fleet) view() []Seen {
	out := slices.Clone(f.seen)
	slices.SortStableFunc(out, func(a, b Seen) int {
		return cmp.Or(cmp.Compare(a.By, b.By), cmp.Compare(a.Of, b.Of), cmp.Compare(a.From, b.From))
	})
	return out
}
