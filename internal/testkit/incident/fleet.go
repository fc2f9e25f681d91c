package incident

import (
	"cmp"
	"slices"
	"strings"

	"beechgrade/internal/record"
)

// PeerState is a span in which a pooler observed another pooler's process in a state.
type PeerState struct {
	By    string  `json:"by"`
	Of    string  `json:"of"`
	State string  `json:"state"` // alive, suspect, failed or left
	From  float64 `json:"from_ms"`
	To    float64 `json:"to_ms"` // 0: until the end of the records
}

// maxPeerStates bounds the spans that are kept; later ones are dropped.
const maxPeerStates = 20000

// fleet collects the states in which poolers observed each other.
type fleet struct {
	states []PeerState
	last   map[[2]string]int // by pooler and process: index of the latest span plus 1
}

// event takes the state of a process as a pooler observed it: 'name id zone: state', followed by ', was state' where it changed.
func (f *fleet) event(pooler string, e *record.Event) {
	who, what, ok := strings.Cut(e.Text, ": ")
	name, id, _ := strings.Cut(who, " ")
	if id, _, _ = strings.Cut(id, " "); !ok || name == "" || id == "" || len(f.states) >= maxPeerStates {
		return
	}
	state, _, _ := strings.Cut(what, ",")
	if f.last == nil {
		f.last = map[[2]string]int{}
	}
	key := [2]string{pooler, id}
	if i := f.last[key]; i > 0 {
		if f.states[i-1].State == state {
			return
		}
		f.states[i-1].To = e.At
	}
	f.states = append(f.states, PeerState{By: pooler, Of: name + " " + id, State: state, From: e.At})
	f.last[key] = len(f.states)
}

// ended ends the spans of a pooler whose process ended.
func (f *fleet) ended(pooler string, at float64) {
	for k, i := range f.last {
		if k[0] == pooler {
			f.states[i-1].To = at
			delete(f.last, k)
		}
	}
}

// view returns the spans by observer, process and time.
func (f *fleet) view() []PeerState {
	out := slices.Clone(f.states)
	slices.SortStableFunc(out, func(a, b PeerState) int {
		return cmp.Or(cmp.Compare(a.By, b.By), cmp.Compare(a.Of, b.Of), cmp.Compare(a.From, b.From))
	})
	return out
}
