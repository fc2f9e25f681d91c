package decide

// Read access to a router's state for its embedder. Nothing is decided or changed here.

// CountServers returns the number of listed servers, and how many of them are out of use now.
func (r *Router) CountServers() (listed, avoided int) {
	for _, s := range r.serversByID {
		if s.removedAt == 0 {
			listed++
			if !s.usable() {
				avoided++
			}
		}
	}
	return listed, avoided
}

// AverageWork returns the average work of each class, by number.
func (r *Router) AverageWork() (out []float64) {
	for i := range r.classes {
		out = append(out, r.classes[i].averageWork)
	}
	return out
}

// RelativeRate returns a server's rate relative to others of its kind; 1 where nothing is known.
func (r *Router) RelativeRate(id ServerID) float64 {
	if s := r.servers[id]; s != nil {
		return s.relativeRate
	}
	return 1
}

// Available reports whether the list allows sends to a server: it is listed, and does not drain.
func (r *Router) Available(id ServerID) bool {
	s := r.servers[id]
	return s != nil && s.available()
}

// IsPrimary reports whether a server is the primary of its group by the latest evidence.
func (r *Router) IsPrimary(id ServerID) bool {
	s := r.servers[id]
	return s != nil && r.primary(s.group) == s
}

// RetryBudget is how many copies and repeats a group may still send from here, and how many of its requests wait for one.
type RetryBudget struct {
	Group     int
	Remaining float64
	Waiting   int
}

// RetryBudgets returns the stock of each group that anything was sent to, by number.
func (r *Router) RetryBudgets() (out []RetryBudget) {
	lacks := map[int]int{}
	for _, req := range r.requests { // they are counted
		if req.awaitsRetryBudget {
			lacks[req.group.id]++
		}
	}
	for _, id := range r.retryBudgets.Groups() {
		out = append(out, RetryBudget{id, r.retryBudgets.Left(r.now, id), lacks[id]})
	}
	return out
}
