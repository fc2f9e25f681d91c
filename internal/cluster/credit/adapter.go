package credit

import (
	"slices"

	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
)

// Upper bounds on encoded sizes, in bytes. Those of requests, responses and payments do not include the tenant's name.
const (
	messageOverhead  = 60 // everything in a message except its items
	requestOverhead  = 80
	responseOverhead = 64
	paymentOverhead  = 24
)

func requestBytes(request *message.Request) int { return requestOverhead + len(request.Key.Tenant) }

func responseBytes(response *message.Response) int {
	return responseOverhead + len(response.Key.Tenant)
}

// Kind returns the kind of this module's messages. It implements module.Module.
func (c *Credit) Kind() view.Kind { return module.KindCredit }

// Decode decodes a message from another pooler. It implements module.Module.
func (c *Credit) Decode(b []byte) (any, error) { return DecodeMessage(b) }

// UpdateMembers updates the known members of the cluster. It implements module.Module. If several processes have a voter's name, the
// youngest, which has the highest ID, is the voter.
func (c *Credit) UpdateMembers(self view.ID, members []view.Record, _ view.Counts) {
	c.self = self
	clear(c.voters)
	for _, member := range members {
		isVoter := member.State <= view.Suspect && slices.Contains(c.settings.Voters, member.Name)
		if isVoter && member.ID > c.voters[member.Name].id {
			c.voters[member.Name] = endpoint{addr: member.Addr, id: member.ID}
		}
	}
	for holder, known := range c.holders {
		if !slices.ContainsFunc(members, func(member view.Record) bool { return member.ID == known.id }) {
			delete(c.holders, holder)
		}
	}
	if c.lessor == nil {
		return
	}
	for _, member := range members {
		c.holders[uint64(member.ID)] = endpoint{addr: member.Addr, id: member.ID}
	}
}

// Tick does the work that is due at the current time. It implements module.Module.
func (c *Credit) Tick() {
	now := c.transport.Now()
	if c.lessor != nil {
		c.runLessorActions(c.lessor.Tick(now, nil))
	}
	c.handleLeaseEvent(lease.Tick{})
	c.reportPayments(now)
}

// Leave is called when the process begins to shut down. It implements module.Module. With persisted marks, requests that still arrive may
// spend what this process holds, and the process that finds its files makes the final reports.
func (c *Credit) Leave() {
	c.closing = true
	if !c.settings.Lease.PersistMarks {
		c.handleLeaseEvent(lease.Shutdown{})
	}
}

// Receive handles a message from another pooler. It implements module.Module.
func (c *Credit) Receive(from view.ID, decoded any) {
	m := decoded.(*Message)
	switch {
	case m.Reply && m.Leader != "":
		if c.lessor == nil && slices.Contains(c.settings.Voters, m.Leader) {
			c.leader = m.Leader
		}
	case m.Reply:
		c.leaderContactAt = c.transport.Now()
		c.handleReply(m)
	case c.lessor == nil: // a request sent to a pooler that does not vote is dropped
	case c.lessor.IsLeader():
		c.holders[m.Holder] = c.endpointOf(from)
		c.handleAsLeader(m.Holder, m)
	default:
		c.redirect(from, m)
	}
}

// redirect answers a request with the name of the leader, if the leader is known and is another pooler.
func (c *Credit) redirect(from view.ID, m *Message) {
	to := c.endpointOf(from)
	if to.addr != "" && c.leader != "" && c.leader != c.settings.Name {
		c.transport.Send(to.addr, to.id, module.KindCredit, &Message{Reply: true, Holder: m.Holder, Leader: c.leader})
	}
}

func (c *Credit) endpointOf(id view.ID) endpoint { return c.holders[uint64(id)] }

// sendToLeader sends a message to the last known leader, or to the next voter if no leader is known or the leader does not respond.
func (c *Credit) sendToLeader(m *Message) {
	m.Holder = c.settings.Holder
	if c.lessor != nil && c.leader == c.settings.Name {
		c.handleAsLeader(c.settings.Holder, m)
		return
	}
	to, known := c.voters[c.leader]
	now := c.transport.Now()
	unresponsive := c.lessor == nil && now-c.leaderContactAt > 2*c.settings.Lease.RenewInterval
	if !known || unresponsive {
		c.leaderContactAt = now
		to, known = c.nextReachableVoter()
	}
	if known {
		c.transport.Send(to.addr, to.id, module.KindCredit, m)
	}
}

// nextReachableVoter returns the next voter in turn that is a known member and not this pooler. A pooler that does not vote assumes that
// this voter is the leader until a reply names another.
func (c *Credit) nextReachableVoter() (voter endpoint, known bool) {
	for range c.settings.Voters {
		c.nextVoter = (c.nextVoter + 1) % len(c.settings.Voters)
		name := c.settings.Voters[c.nextVoter]
		voter, known = c.voters[name]
		if known && name != c.settings.Name {
			if c.lessor == nil {
				c.leader = name
			}
			return voter, true
		}
	}
	return endpoint{}, false
}

// sendToHolder sends a reply of the leader to a pooler, which may be this one.
func (c *Credit) sendToHolder(holder ledger.Holder, m *Message) {
	m.Holder = holder
	if holder == c.settings.Holder {
		c.handleReply(m)
		return
	}
	if to := c.holders[holder]; to.addr != "" {
		c.transport.Send(to.addr, to.id, module.KindCredit, m)
	}
}

// splitByDatagram splits a list into parts that each fit into one datagram.
func splitByDatagram[T any](items []T, size func(*T) int) [][]T {
	var parts [][]T
	total := 0
	for i := range items {
		bytes := size(&items[i])
		total += bytes
		if len(parts) == 0 || total > module.MaxBodyBytes-messageOverhead {
			parts = append(parts, nil)
			total = bytes
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], items[i])
	}
	return parts
}
