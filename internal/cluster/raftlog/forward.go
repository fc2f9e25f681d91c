package raftlog

import (
	"slices"

	"go.etcd.io/raft/v3"
)

// forwards are proposals that went to another pooler, which leads or may know who does.
type forwards struct {
	waiting []forward // by when they went
	nextRef uint64
	guessed string // who may lead
}

type forward struct {
	ref, own uint64
	to       string
	till     float64
}

// propose puts an entry to raft where this voter leads, else to who leads.
func (l *Log) propose(e Propose) {
	ok := len(e.Entry) > 0 && len(e.Entry) <= MostEntry && !l.left
	switch {
	case !ok:
	case l.leads:
		ok = l.node.Propose(e.Entry) == nil
	case len(l.waiting) >= l.set.Forwards:
		ok = false
	default:
		ok = l.forward(e)
	}
	if !ok {
		l.out = append(l.out, Action{Kind: Dropped, Ref: e.Ref})
	}
}

func (l *Log) forward(e Propose) bool {
	to := l.guessed
	if l.node != nil && !l.isNew {
		if to = l.nameOf(l.lead); l.lead == raft.None {
			return false
		}
	} else if to == "" || l.addr[to] == "" {
		to = l.another(to)
	}
	if l.addr[to] == "" {
		return false
	}
	if l.nextRef == 0 {
		l.nextRef = uint64(l.rng.Uint32()) + 1 // a last life's answers are not this one's
	}
	l.nextRef++
	l.guessed = to
	l.waiting = append(l.waiting, forward{l.nextRef, e.Ref, to, l.now + l.set.Patience()})
	l.tell(to, &message{verb: verbForward, ref: l.nextRef, data: e.Entry})
	return true
}

// another is the next voter that there is a way to.
func (l *Log) another(than string) string {
	i := slices.Index(l.set.Voters, than)
	for k := 1; k <= len(l.set.Voters); k++ {
		if v := l.set.Voters[(i+k+len(l.set.Voters))%len(l.set.Voters)]; v != l.set.Self && l.addr[v] != "" {
			return v
		}
	}
	return ""
}

// onForward takes another's proposal, where this voter leads.
func (l *Log) onForward(from string, m *message) {
	if !l.votes || from == "" || len(m.data) == 0 || len(m.data) > MostEntry {
		return
	}
	re := &message{verb: verbTook, ref: m.ref}
	if l.leads {
		re.name, re.flag = l.set.Self, l.node.Propose(m.data) == nil
	} else if l.node != nil {
		re.name = l.nameOf(l.lead)
	}
	l.out = append(l.out, Action{Kind: Send, Addr: from, Message: re.append(nil)})
}

// onTook takes the word on a proposal.
func (l *Log) onTook(m *message) {
	i := slices.IndexFunc(l.waiting, func(f forward) bool { return f.ref == m.ref })
	if i < 0 {
		return
	}
	f := l.waiting[i]
	l.waiting = slices.Delete(l.waiting, i, i+1)
	if m.flag {
		l.guessed = f.to
		return
	}
	l.lost(f, m.name)
}

// lost tells that a proposal has come to nothing, and goes by the hint to who leads, or to the next.
func (l *Log) lost(f forward, hint string) {
	if l.guessed == f.to {
		if l.guessed = hint; hint == "" || hint == f.to || hint == l.set.Self || l.addr[hint] == "" {
			l.guessed = l.another(f.to)
		}
	}
	l.out = append(l.out, Action{Kind: Dropped, Ref: f.own})
}

// patience gives up what has had no word.
func (l *Log) patience() {
	for len(l.waiting) > 0 && l.now >= l.waiting[0].till {
		f := l.waiting[0]
		l.waiting = slices.Delete(l.waiting, 0, 1)
		l.lost(f, "")
	}
}
