package decide

import (
	"fmt"
	"slices"
	"strings"
)

// walk checks the invariants of the whole state.
func (c *checker) walk(r *Router, event Event) {
	c.walkServers(r)
	waiting := c.walkGroups(r, event)
	c.walkRequests(r, waiting)
	busy := len(r.requests) > 0 || r.openAttempts > 0
	c.checks.That(r.timerAt != never || !busy, "decide: a timer is pending while anything is open", func() string {
		return fmt.Sprintf("%d requests, %d attempts", len(r.requests), r.openAttempts)
	})
	for id, view := range c.servers { // drop the records of removed servers
		if view.removed && view.openAttempts == 0 && r.servers[id] == nil {
			delete(c.servers, id)
		}
	}
}

// walkServers checks all servers, and the counts of attempts in flight.
func (c *checker) walkServers(r *Router) {
	open, byClass, byTenant := 0, map[int]int{}, map[int]int{}
	for _, server := range r.serversByID {
		c.walkServer(r, server, byClass, byTenant)
		open += len(server.openAttempts)
	}
	inOrder := slices.IsSortedFunc(r.serversByID, func(a, b *server) int { return strings.Compare(string(a.id), string(b.id)) })
	c.checks.That(len(r.serversByID) == len(r.servers) && inOrder, "decide: servers are in order", func() string {
		return fmt.Sprintf("%d in order, %d by id", len(r.serversByID), len(r.servers))
	})
	c.checks.That(open == r.openAttempts && open == c.openAttempts, "decide: attempts in flight agree", func() string {
		return fmt.Sprintf("%d in lists, %d counted, %d sent and not ended", open, r.openAttempts, c.openAttempts)
	})
	c.checkCounts("decide: attempts in flight agree by class", byClass, c.openByClass)
	c.checkCounts("decide: attempts in flight agree by tenant", byTenant, c.openByTenant)
}

// checkCounts checks that the numbers of attempts in the servers' lists equal those sent and not ended.
func (c *checker) checkCounts(name string, lists, sent map[int]int) {
	for key := range sent {
		c.checks.That(lists[key] == sent[key], name, func() string {
			return fmt.Sprintf("%d: %d in lists, %d sent and not ended", key, lists[key], sent[key])
		})
		if sent[key] == 0 {
			delete(sent, key)
		}
	}
}

// walkServer checks one server, and counts its attempts by class and tenant.
func (c *checker) walkServer(r *Router, server *server, byClass, byTenant map[int]int) {
	view := c.servers[server.id]
	registered := r.servers[server.id] == server && slices.Contains(server.group.members, server)
	c.checks.That(view != nil && registered, "decide: a server is a member of its group", func() string {
		return fmt.Sprintf("%s: listed %v, group %d", server.id, view != nil, server.group.id)
	})
	if view == nil {
		return
	}
	c.checks.That(len(server.openAttempts) == view.openAttempts, "decide: attempts in flight agree by server", func() string {
		return fmt.Sprintf("%s: %d in its list, %d sent and not ended", server.id, len(server.openAttempts), view.openAttempts)
	})
	lost := 0
	for _, attempt := range server.openAttempts {
		if attempt.presumedLost {
			lost++
		}
		request := c.requests[attempt.request.id]
		sentHere := request != nil && request.openAttempts[attempt.number].server == server.id
		if !sentHere || attempt.server != server || attempt.ended {
			c.checks.That(false, "decide: an attempt in flight at a server was sent there", func() string {
				return fmt.Sprintf("%s: %x, attempt %d", server.id, attempt.request.id, attempt.number)
			})
			continue
		}
		byClass[request.class]++
		byTenant[request.tenant]++
	}
	c.checks.That(lost == server.lostAttempts, "decide: lost attempts are counted", func() string {
		return fmt.Sprintf("%s: %d, counted %d", server.id, lost, server.lostAttempts)
	})
	c.checks.That(server.position <= view.position, "decide: a position is one that was reported", func() string {
		return fmt.Sprintf("%s: position %v, newest reported %v", server.id, server.position, view.position)
	})
	inRange := server.slowStartUsed >= 0 && server.slowStartDraw >= 0 && server.othersLoad >= 0 && server.relativeRate > 0
	c.checks.That(inRange, "decide: a server's values are in range", func() string {
		return fmt.Sprintf("%s: slow start used %v, drawn %v, load of others %v, rate %v",
			server.id, server.slowStartUsed, server.slowStartDraw, server.othersLoad, server.relativeRate)
	})
}

// walkGroups checks all groups, and returns the waiting requests.
func (c *checker) walkGroups(r *Router, event Event) map[*request]bool {
	waiting := map[*request]bool{}
	_, ticked := event.(*Timer)
	for _, group := range r.groupsByNumber {
		atMembers := 0
		for _, member := range group.members {
			atMembers += len(member.openAttempts)
		}
		c.checks.That(group.openAttempts == atMembers, "decide: attempts in flight agree by group", func() string {
			return fmt.Sprintf("group %d: %d in lists, %d counted", group.id, atMembers, group.openAttempts)
		})
		for _, request := range group.waiting {
			where := func() string { return fmt.Sprintf("%x in group %d", request.id, group.id) }
			c.checks.That(!waiting[request], "decide: a request waits once", where)
			c.checks.That(request.group == group, "decide: a request waits in its group", where)
			waiting[request] = true
			open := !request.finished && (request.openAttempts > 0 || r.now < request.deadline)
			c.checks.That(!ticked || open, "decide: after a tick no request that waits is over", func() string {
				return fmt.Sprintf("%s: finished %v, %d in flight, due in %v",
					where(), request.finished, request.openAttempts, request.deadline-r.now)
			})
		}
	}
	return waiting
}

// walkRequests checks all requests.
func (c *checker) walkRequests(r *Router, waiting map[*request]bool) {
	open := 0
	for id, view := range c.requests {
		if !view.ended {
			open++
			c.checks.That(r.requests[id] != nil, "decide: a request without a final answer is known", func() string {
				return fmt.Sprintf("%x: %+v", id, view)
			})
		}
	}
	c.checks.That(open == len(r.requests), "decide: a request that is known has no final answer", func() string {
		return fmt.Sprintf("%d known, %d without a final answer", len(r.requests), open)
	})
	for id, request := range r.requests {
		inFlight := 0
		for _, attempt := range request.attempts {
			if !attempt.ended {
				inFlight++
			}
		}
		counted := request.openAttempts == inFlight && !request.finished && request.id == id
		c.checks.That(counted, "decide: a request's attempts are counted", func() string {
			return fmt.Sprintf("%x: %d in flight, counted %d, finished %v", id, inFlight, request.openAttempts, request.finished)
		})
		c.checks.That(request.openAttempts > 0 || waiting[request], "decide: a request is in flight or waits", func() string {
			return fmt.Sprintf("%x in group %d, %d attempts, came %v ago, due in %v",
				id, request.group.id, len(request.attempts), r.now-request.arrivedAt, request.deadline-r.now)
		})
	}
}
