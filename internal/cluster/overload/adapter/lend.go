package adapter

import (
	"time"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/cluster/overload/budgetlease"
	"beechgrade/internal/cluster/overload/retrybudget"
	"beechgrade/internal/cluster/view"
)

// Bound says what of a group's requests may be sent twice, and how fast servers that return are come back to.
type Bound struct {
	Repeats        bool
	Part           float64
	Floor          float64
	SpanMs         float64
	AddRetryBudget bool
	Lending        budgetlease.Settings
	Returns        float64 // connections a second of the fleet to one server, 0 for any number
}

// DefaultBound is of (repeats) without more.
func DefaultBound() Bound {
	return Bound{Part: 0.1, Floor: 10, SpanMs: 10000, AddRetryBudget: true, Lending: budgetlease.Defaults()}
}

// Begin has the module told what it needs no other pooler for.
func (j *Joined) Begin() {
	b := &j.opt.Bound
	var r *retrybudget.Repeats
	if b.Repeats {
		r = &retrybudget.Repeats{Part: b.Part, Floor: b.Floor, Span: time.Duration(b.SpanMs * float64(time.Millisecond))}
	}
	if r != nil || b.Returns > 0 {
		j.core.SetRetryBudget(r, b.Returns)
	}
}

// lenders tells who can be reached. A process that takes another ID begins anew.
func (j *Joined) lenders(self view.ID, peers []overload.Peer) {
	if !j.opt.Repeats || !j.opt.AddRetryBudget {
		return
	}
	if j.l == nil {
		j.l = budgetlease.New(j.opt.Lending, self, j.host.Now())
		j.l.Check(j.checks)
	}
	j.l.Members(self, peers)
}

// stocks tells what the module has.
func (j *Joined) stocks() {
	if j.l == nil {
		return
	}
	all := j.core.RetryBudgets()
	told := make([]budgetlease.Stock, len(all))
	for i, s := range all {
		told[i] = budgetlease.Stock(s)
	}
	j.lends(j.l.Tick(j.host.Now(), told, nil))
}

func (j *Joined) lends(acts []budgetlease.Action) {
	moved := map[int]float64{}
	for i := range acts {
		switch a := &acts[i]; {
		case a.Give != nil:
			j.host.Send(a.Addr, a.To, j.Kind(), a.Give)
		case a.Want != nil:
			j.host.Send(a.Addr, a.To, j.Kind(), a.Want)
		default:
			moved[a.Group] += a.Amount
		}
	}
	j.core.AddRetryBudget(moved)
}
