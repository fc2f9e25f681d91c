package credit

import (
	"slices"

	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
)

// Bounds on the encoded sizes, in bytes.
const (
	messageOverhead  = 60 // of what is in a message beside its items
	requestOverhead  = 80 // of a request without its tenant's name
	responseOverhead = 64
	paymentOverhead  = 24
)

func requestBytes(request *message.Request) int { return requestOverhead + len(request.Key.Tenant) }

func responseBytes(response *message.Response) int {
	return responseOverhead + len(response.Key.Tenant)
}

// Kind returns the kind of this module's messages; it is a method of module.Module.
func (c *Credit) Kind() view.Kind { return module.KindCredit }

// Decode decodes a message of another pooler; it is a method of module.Module.
func (c *Credit) Decode(b []byte) (any, error) { return DecodeMessage(b) }

// UpdateMembers takes the members of the cluster; it is a method of module.Module. Of several processes of a voter's name the youngest
// is the voter.
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

// Tick lets time go on; it is a method of module.Module.
func (c *Credit) Tick() {
	now := c.transport.Now()
	if c.lessor != nil {
		c.runLessorActions(c.lessor.Tick(now, nil))
	}
	c.handleLeaseEvent(lease.Tick{})
	c.reportPayments(now)
}

// Leave is called when the process begins to end; it is a method of module.Module. With persisted marks requests that still come to this
// process may spend what it holds; whoever finds the files makes the final reports.
func (c *Credit) Leave() {
	c.closing = true
	if !c.settings.Lease.PersistMarks {
		c.handleLeaseEvent(lease.Shutdown{})
	}
}

// Receive takes a message of another pooler; it is a method of module.Module.
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
	case c.lessor == nil: // it takes this pooler for a voter
	case c.lessor.IsLeader():
		c.holders[m.Holder] = c.endpointOf(from)
		c.handleAsLeader(m.Holder, m)
	default:
		c.redirect(from, m)
	}
}

// redirect answers a request with the name of the leader, if it is another known pooler.
func (c *Credit) redirect(from view.ID, m *Message) {
	to := c.endpointOf(from)
	if to.addr != "" && c.leader != "" && c.leader != c.settings.Name {
		c.transport.Send(to.addr, to.id, module.KindCredit, &Message{Reply: true, Holder: m.Holder, Leader: c.leader})
	}
}

func (c *Credit) endpointOf(id view.ID) endpoint { return c.holders[uint64(id)] }

// sendToLeader sends a message to the leader, as far as it is known, and else to one voter after another.
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

// nextReachableVoter returns the next other voter, which a pooler that does not vote takes for the leader until it is told another.
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

// sendToHolder sends the leader's reply to a pooler, which may be this one.
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

// splitByDatagram splits a list so that each part fits a datagram.
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
