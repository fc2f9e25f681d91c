package incident

import (
	"cmp"
	"slices"
	"strings"

	"beechgrade/internal/record"
)

// Avoided is a span in which a pooler avoided a server because other poolers reported it, and why.
type Avoided struct {
	Server    string   `json:"server"`
	By        string   `json:"by"` // the pooler that avoided it
	Why       string   `json:"why"`
	Reporters []string `json:"word"` // the poolers that reported it, by name where the records show it
	From      float64  `json:"from_ms"`
	To        float64  `json:"to_ms"` // 0: until the end of the records
}

// maxAvoided bounds the spans that are kept; later ones are dropped.
const maxAvoided = 20000

// avoided collects the spans in which poolers avoided servers.
type avoided struct {
	all  []Avoided
	last map[[2]string]int // by pooler and server: index of the open span plus 1
}

// event takes a text 'server: why by id,id until ms', which begins a span, or 'server: no more', which ends it.
func (a *avoided) event(pooler string, e *record.Event) {
	i := strings.LastIndex(e.Text, ": ")
	if i <= 0 {
		return
	}
	key, fields := [2]string{pooler, e.Text[:i]}, strings.Fields(e.Text[i+2:])
	if n := a.last[key]; n > 0 {
		a.all[n-1].To = e.At
		delete(a.last, key)
	}
	if !isAvoidance(fields) || len(a.all) >= maxAvoided {
		return
	}
	if a.last == nil {
		a.last = map[[2]string]int{}
	}
	a.all = append(a.all, Avoided{Server: key[1], By: pooler, Why: fields[0], Reporters: strings.Split(fields[2], ","), From: e.At})
	a.last[key] = len(a.all)
}

// isAvoidance reports whether fields are 'why by id,id until ms'.
func isAvoidance(fields []string) bool {
	return len(fields) == 5 && fields[1] == "by" && fields[3] == "until"
}

// ended ends the spans of a pooler whose process ended.
func (a *avoided) ended(pooler string, at float64) {
	for k, n := range a.last {
		if k[0] == pooler {
			a.all[n-1].To = at
			delete(a.last, k)
		}
	}
}

// view returns the spans by server, pooler and time. Process ids are replaced by names where a peer's state has both.
func (a *avoided) view(peers []PeerState) []Avoided {
	names := map[string]string{}
	for _, s := range peers {
		if name, id, ok := strings.Cut(s.Of, " "); ok {
			names[id] = name
		}
	}
	out := slices.Clone(a.all)
	for i := range out {
		out[i].Reporters = slices.Clone(out[i].Reporters)
		for j, id := range out[i].Reporters {
			out[i].Reporters[j] = cmp.Or(names[id], id)
		}
	}
	slices.SortStableFunc(out, func(a, b Avoided) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.By, b.By), cmp.Compare(a.From, b.From))
	})
	return out
}
