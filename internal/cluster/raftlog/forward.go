package raftlog

import (
	"slices"

	"go.etcd.io/raft/v3"
)

// forwarding are proposals that went to another pooler, which leads or may know who does.
type forwarding struct {
	forwarded    []forwardedProposal // by when they went
	nextRef      uint64
	likelyLeader string // who may lead
}

type forwardedProposal struct {
	ref, proposerRef uint64
	to               string
	deadline         float64
}

// propose puts an entry to raft where this voter leads, else to who leads.
func (l *Log) propose(e Propose) {
	ok := len(e.Entry) > 0 && len(e.Entry) <= MaxEntryBytes && !l.left
	switch {
	case !ok:
	case l.isLeader:
		ok = l.node.Propose(e.Entry) == nil
	case len(l.forwarded) >= l.settings.MaxForwards:
		ok = false
	default:
		ok = l.forward(e)
	}
	if !ok {
		l.actions = append(l.actions, Action{Kind: ProposalDropped, Ref: e.Ref})
	}
}

func (l *Log) forward(e Propose) bool {
	to := l.likelyLeader
	if l.node != nil && !l.awaitingAdmission {
		if to = l.nameOf(l.leader); l.leader == raft.None {
			return false
		}
	} else if to == "" || l.addresses[to] == "" {
		to = l.nextReachableVoter(to)
	}
	if l.addresses[to] == "" {
		return false
	}
	if l.nextRef == 0 {
		l.nextRef = uint64(l.rng.Uint32()) + 1 // a last life's answers are not this one's
	}
	l.nextRef++
	l.likelyLeader = to
	l.forwarded = append(l.forwarded, forwardedProposal{l.nextRef, e.Ref, to, l.now + l.settings.ForwardTimeout()})
	l.sendTo(to, &message{kind: kindForward, ref: l.nextRef, data: e.Entry})
	return true
}

// nextReachableVoter is the next voter that there is a way to.
func (l *Log) nextReachableVoter(than string) string {
	i := slices.Index(l.settings.Voters, than)
	for k := 1; k <= len(l.settings.Voters); k++ {
		if v := l.settings.Voters[(i+k+len(l.settings.Voters))%len(l.settings.Voters)]; v != l.settings.Self && l.addresses[v] != "" {
			return v
		}
	}
	return ""
}

// handleForward takes another's proposal, where this voter leads.
func (l *Log) handleForward(from string, m *message) {
	if !l.isVoter || from == "" || len(m.data) == 0 || len(m.data) > MaxEntryBytes {
		return
	}
	re := &message{kind: kindForwardResult, ref: m.ref}
	if l.isLeader {
		re.name, re.flag = l.settings.Self, l.node.Propose(m.data) == nil
	} else if l.node != nil {
		re.name = l.nameOf(l.leader)
	}
	l.actions = append(l.actions, Action{Kind: Send, Addr: from, Message: re.encode(nil)})
}

// handleForwardResult takes the word on a proposal.
func (l *Log) handleForwardResult(m *message) {
	i := slices.IndexFunc(l.forwarded, func(f forwardedProposal) bool { return f.ref == m.ref })
	if i < 0 {
		return
	}
	f := l.forwarded[i]
	l.forwarded = slices.Delete(l.forwarded, i, i+1)
	if m.flag {
		l.likelyLeader = f.to
		return
	}
	l.dropForward(f, m.name)
}

// dropForward tells that a proposal has come to nothing, and goes by the hint to who leads, or to the next.
func (l *Log) dropForward(f forwardedProposal, hint string) {
	if l.likelyLeader == f.to {
		if l.likelyLeader = hint; hint == "" || hint == f.to || hint == l.settings.Self || l.addresses[hint] == "" {
			l.likelyLeader = l.nextReachableVoter(f.to)
		}
	}
	l.actions = append(l.actions, Action{Kind: ProposalDropped, Ref: f.proposerRef})
}

// expireForwards gives up what has had no word.
func (l *Log) expireForwards() {
	for len(l.forwarded) > 0 && l.now >= l.forwarded[0].deadline {
		f := l.forwarded[0]
		l.forwarded = slices.Delete(l.forwarded, 0, 1)
		l.dropForward(f, "")
	}
}
