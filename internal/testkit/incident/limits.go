package incident

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"beechgrade/internal/record"
)

// LimitShare is a pooler's share of a fleet-wide limit, with the span in which it held.
type LimitShare struct {
	Limit  string  `json:"limit"`
	By     string  `json:"by"`
	Amount float64 `json:"amount"`
	From   float64 `json:"from_ms"`
	To     float64 `json:"to_ms"` // 0: until the end of the records
}

// maxLimitShares bounds the shares that are kept; later ones are dropped.
const maxLimitShares = 20000

// limits collects the shares of limits.
type limits struct {
	shares []LimitShare
	last   map[[2]string]int // by pooler and limit: index of the latest share plus 1
}

// event takes the share that a pooler received, as 'limit: amount'. A text that cannot be parsed is ignored.
func (l *limits) event(pooler string, e *record.Event) {
	i := strings.LastIndex(e.Text, ": ")
	if i <= 0 || len(l.shares) >= maxLimitShares {
		return
	}
	name := e.Text[:i]
	amount, err := strconv.ParseFloat(e.Text[i+2:], 64)
	if err != nil || !(amount >= 0) {
		return
	}
	if l.last == nil {
		l.last = map[[2]string]int{}
	}
	key := [2]string{pooler, name}
	if n := l.last[key]; n > 0 {
		if l.shares[n-1].Amount == amount {
			return
		}
		l.shares[n-1].To = e.At
	}
	l.shares = append(l.shares, LimitShare{Limit: name, By: pooler, Amount: amount, From: e.At})
	l.last[key] = len(l.shares)
}

// ended ends the shares of a pooler whose process ended.
func (l *limits) ended(pooler string, at float64) {
	for k, n := range l.last {
		if k[0] == pooler {
			l.shares[n-1].To = at
			delete(l.last, k)
		}
	}
}

// view returns the shares by limit, pooler and time.
func (l *limits) view() []LimitShare {
	out := slices.Clone(l.shares)
	slices.SortStableFunc(out, func(a, b LimitShare) int {
		return cmp.Or(cmp.Compare(a.Limit, b.Limit), cmp.Compare(a.By, b.By), cmp.Compare(a.From, b.From))
	})
	return out
}
