package raftlog

import (
	"slices"

	"go.etcd.io/raft/v3"
)

// forwarding is the state of the proposals that were forwarded to another pooler, which leads or may know the leader.
type forwarding struct {
	forwarded    []forwardedProposal // unanswered, in the order in which they were sent
	nextRef      uint64
	likelyLeader string // name of the voter that proposals go to, empty if unknown
}

type forwardedProposal struct {
	ref         uint64
	proposerRef uint64
	to          string
	deadline    float64
}

// propose passes an entry to raft if this voter leads, and otherwise forwards it to another pooler.
func (l *Log) propose(event Propose) {
	if !l.acceptProposal(event) {
		l.actions = append(l.actions, Action{Kind: ProposalDropped, Ref: event.Ref})
	}
}

func (l *Log) acceptProposal(event Propose) bool {
	switch {
	case len(event.Entry) == 0 || len(event.Entry) > MaxEntryBytes:
		return false
	case l.isLeader:
		return l.node.Propose(event.Entry) == nil
	case len(l.forwarded) >= l.settings.MaxForwards:
		return false
	}
	return l.forward(event)
}

// forward sends a proposal to the leader, or to a voter that may know the leader. It reports whether there is such a voter.
func (l *Log) forward(event Propose) bool {
	to := l.forwardTarget()
	if l.addresses[to] == "" {
		return false
	}
	if l.nextRef == 0 {
		l.nextRef = uint64(l.rng.Uint32()) + 1 // so that answers to an earlier process of this pooler match no proposal
	}
	l.nextRef++
	l.likelyLeader = to
	l.forwarded = append(l.forwarded, forwardedProposal{
		ref: l.nextRef, proposerRef: event.Ref, to: to, deadline: l.now + l.settings.ForwardTimeout(),
	})
	l.sendTo(to, &message{kind: kindForward, ref: l.nextRef, data: event.Entry})
	return true
}

// forwardTarget returns the name of the pooler to which a proposal is forwarded, empty for none.
func (l *Log) forwardTarget() string {
	isMember := l.node != nil && !l.awaitingAdmission
	switch {
	case isMember && l.leader == raft.None:
		return ""
	case isMember:
		return l.nameOf(l.leader)
	case l.addresses[l.likelyLeader] == "":
		return l.nextReachableVoter(l.likelyLeader)
	}
	return l.likelyLeader
}

// nextReachableVoter returns the next voter in the settings' order after a voter, other than this one, that has an address; empty for none.
func (l *Log) nextReachableVoter(after string) string {
	voters := l.settings.Voters
	from := slices.Index(voters, after)
	for i := 1; i <= len(voters); i++ {
		voter := voters[(from+i+len(voters))%len(voters)]
		if voter != l.settings.Self && l.addresses[voter] != "" {
			return voter
		}
	}
	return ""
}

// handleForward proposes another pooler's entry if this voter leads, and answers.
func (l *Log) handleForward(from string, m *message) {
	validEntry := len(m.data) > 0 && len(m.data) <= MaxEntryBytes
	if !l.isVoter || from == "" || !validEntry {
		return
	}
	answer := &message{kind: kindForwardResult, ref: m.ref}
	switch {
	case l.isLeader:
		answer.name = l.settings.Self
		answer.flag = l.node.Propose(m.data) == nil
	case l.node != nil:
		answer.name = l.nameOf(l.leader)
	}
	l.actions = append(l.actions, Action{Kind: Send, Addr: from, Message: answer.encode(nil)})
}

// handleForwardResult handles the answer to a forwarded proposal.
func (l *Log) handleForwardResult(m *message) {
	i := slices.IndexFunc(l.forwarded, func(proposal forwardedProposal) bool { return proposal.ref == m.ref })
	if i < 0 {
		return
	}
	proposal := l.forwarded[i]
	l.forwarded = slices.Delete(l.forwarded, i, i+1)
	if m.flag {
		l.likelyLeader = proposal.to
		return
	}
	l.dropForward(proposal, m.name)
}

// dropForward drops a proposal. Later ones go to the leader that the answer named, hint, or to the next voter if the hint cannot be used.
func (l *Log) dropForward(proposal forwardedProposal, hint string) {
	if l.likelyLeader == proposal.to {
		l.likelyLeader = hint
		unusable := hint == "" || hint == proposal.to || hint == l.settings.Self
		if unusable || l.addresses[hint] == "" {
			l.likelyLeader = l.nextReachableVoter(proposal.to)
		}
	}
	l.actions = append(l.actions, Action{Kind: ProposalDropped, Ref: proposal.proposerRef})
}

// expireForwards drops the proposals that were not answered in time.
func (l *Log) expireForwards() {
	for len(l.forwarded) > 0 && l.now >= l.forwarded[0].deadline {
		proposal := l.forwarded[0]
		l.forwarded = slices.Delete(l.forwarded, 0, 1)
		l.dropForward(proposal, "")
	}
}
