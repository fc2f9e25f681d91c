package decide

import (
	"cmp"
	"slices"
)

// group is a primary and its replicas, with the requests that wait for them.
type group struct {
	id           int
	members      []*server
	waiting      []*request
	openAttempts int        // attempts in flight at its members
	backlogs     [2]backlog // at its primary, and at its other members
	clock        clockOffset
}

// groupFor returns the group of a number, which it adds if there is none.
func (r *Router) groupFor(id int) *group {
	found := r.groups[id]
	if found == nil {
		found = &group{id: id}
		r.groups[id] = found
		at, _ := slices.BinarySearchFunc(r.groupsByNumber, id, func(other *group, id int) int {
			return cmp.Compare(other.id, id)
		})
		r.groupsByNumber = slices.Insert(r.groupsByNumber, at, found)
	}
	return found
}

// dropGroup removes a group that has no members and no requests.
func (r *Router) dropGroup(dropped *group) {
	delete(r.groups, dropped.id)
	r.groupsByNumber = slices.DeleteFunc(r.groupsByNumber, func(other *group) bool {
		return other == dropped
	})
}

// primary returns the group's primary by the latest evidence, or nil if none is known.
func (r *Router) primary(group *group) *server {
	var primary *server
	for _, member := range group.members {
		if member.role == RolePrimary && (primary == nil || member.roleAt > primary.roleAt) {
			primary = member
		}
	}
	return primary
}
