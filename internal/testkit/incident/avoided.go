package incident

import (
	"cmp"
	"slices"
	"strings"

	"beechgrade/internal/record"
)

// Avoided is for how long one pooler avoided a server by others' word, why, and by whose.
type Avoided struct {
	Server    string   `json:"server"`
	By        string   `json:"by"` // the pooler
	Why       string   `json:"why"`
	Reporters []string `json:"word"` // of these, by name where the records have it
	From      float64  `json:"from_ms"`
	To        float64  `json:"to_ms"` // 0 for the records' end
}

// maxAvoided bounds how many are kept; what comes after them is left out.
const maxAvoided = 20000

// avoided is who avoided what when.
type avoided struct {
	all  []Avoided
	last map[[2]string]int // by pooler and server: the last of them that lasts, numbered from 1
}

// event takes 'server: why by id,id until ms', or 'server: no more'.
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
	if len(fields) != 5 || fields[1] != "by" || fields[3] != "until" || len(a.all) >= maxAvoided {
		return
	}
	if a.last == nil {
		a.last = map[[2]string]int{}
	}
	a.all = append(a.all, Avoided{Server: key[1], By: pooler, Why: fields[0], Reporters: strings.Split(fields[2], ","), From: e.At})
	a.last[key] = len(a.all)
}

// ended has a pooler's process end: it avoids nothing any more.
func (a *avoided) ended(pooler string, at float64) {
	for k, n := range a.last { // each on its own
		if k[0] == pooler {
			a.all[n-1].To = at
			delete(a.last, k)
		}
	}
}

// view tells them with names for those whom the poolers have seen.
func (a *avoided) view(seen []Seen) []Avoided {
	names := map[string]string{}
	for _, s := range seen {
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
