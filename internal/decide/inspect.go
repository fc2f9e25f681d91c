package decide

// Read access to a router's state for its embedder.

// CountServers returns the number of listed servers, and how many of them are not usable now.
func (r *Router) CountServers() (listed, unusable int) {
	for _, server := range r.serversByID {
		if server.removedAt == 0 {
			listed++
			if !server.usable() {
				unusable++
			}
		}
	}
	return listed, unusable
}

// AverageWork returns the average work of each class, by number, in seconds of a server of rate 1.
func (r *Router) AverageWork() (work []float64) {
	for i := range r.classes {
		work = append(work, r.classes[i].averageWork)
	}
	return work
}

// RelativeRate returns a server's rate relative to others of its kind; 1 where nothing is known.
func (r *Router) RelativeRate(id ServerID) float64 {
	if server := r.servers[id]; server != nil {
		return server.relativeRate
	}
	return 1
}

// Available reports whether the list allows sends to a server: it is listed, and not draining.
func (r *Router) Available(id ServerID) bool {
	server := r.servers[id]
	return server != nil && server.available()
}

// IsPrimary reports whether a server is the primary of its group by the latest evidence.
func (r *Router) IsPrimary(id ServerID) bool {
	server := r.servers[id]
	return server != nil && r.primary(server.group) == server
}

// InFlight returns the numbers of open requests and of attempts in flight.
func (r *Router) InFlight() (requests, attempts int) { return len(r.requests), r.openAttempts }

// RetryBudget is how many hedged requests and retries this router may still send to a group, and how many
// requests wait for that budget.
type RetryBudget struct {
	Group     int
	Remaining float64
	Waiting   int
}

// RetryBudgets returns the retry budget of each group that anything was sent to, in order of the groups'
// numbers.
func (r *Router) RetryBudgets() (budgets []RetryBudget) {
	waiting := map[int]int{}
	for _, request := range r.requests { // the order does not matter: they are only counted
		if request.awaitsRetryBudget {
			waiting[request.group.id]++
		}
	}
	for _, id := range r.retryBudgets.Groups() {
		remaining := r.retryBudgets.Remaining(r.now, id)
		budgets = append(budgets, RetryBudget{Group: id, Remaining: remaining, Waiting: waiting[id]})
	}
	return budgets
}
