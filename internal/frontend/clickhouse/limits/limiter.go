package limits

import "slices"

// maxUsers is the number of users from which a new user makes the Limiter forget the users without running or queued queries. The state
// of their rate limits is lost with them.
const maxUsers = 10000

// Limiter admits queries. It is not safe for concurrent use.
type Limiter struct {
	configured map[string]Limits // by user
	defaults   Limits            // for all other users
	allowances map[string]Allowance
	users      map[string]*user
	running    map[ID]*user
	queued     map[ID]*user
}

// New creates a Limiter with the limits from the settings: those in configured, and defaults for all other users.
func New(configured map[string]Limits, defaults Limits) *Limiter {
	return &Limiter{
		configured: configured,
		defaults:   defaults,
		allowances: map[string]Allowance{},
		users:      map[string]*user{},
		running:    map[ID]*user{},
		queued:     map[ID]*user{},
	}
}

// Admit decides on a new query.
func (l *Limiter) Admit(id ID, name string, now float64) Verdict {
	user := l.user(name, now)
	user.countArrivals(now, 1)
	allowance := l.allowances[name]
	if user.limits.PerSecond > 0 || allowance.BoundsRate {
		user.refill(now, allowance)
		if user.tokens < 1 {
			return RateExceeded
		}
	}
	if l.mayRun(user) && (len(user.queue) == 0 || !l.isBounded(user)) {
		user.tokens--
		l.run(id, user)
		return Admitted
	}
	if len(user.queue) >= user.limits.MaxQueued {
		user.rejections++
		return TooMany
	}
	user.tokens--
	user.queue = append(user.queue, queuedQuery{id: id, deadline: now + user.limits.MaxWaitMs})
	l.queued[id] = user
	return Queued
}

// Release removes a query that has ended or is withdrawn from the queue. It returns the queued queries that are admitted in its place.
func (l *Limiter) Release(id ID) (admitted []ID) {
	if user := l.queued[id]; user != nil {
		delete(l.queued, id)
		user.queue = slices.DeleteFunc(user.queue, func(query queuedQuery) bool { return query.id == id })
		return nil
	}
	user := l.running[id]
	if user == nil {
		return nil
	}
	delete(l.running, id)
	user.running--
	return l.admitQueued(user)
}

// Assign sets this pooler's allowance of a user's limits, and returns the queued queries that it admits. Running queries that
// exceed a smaller allowance may finish.
func (l *Limiter) Assign(name string, allowance Allowance, now float64) (admitted []ID) {
	user := l.users[name]
	previous := l.allowances[name]
	l.allowances[name] = allowance
	if user == nil {
		return nil
	}
	user.refill(now, previous)
	if allowance.BoundsRate && !previous.BoundsRate { // other poolers may just have used the whole rate
		user.tokens = 0
	}
	user.refill(now, allowance)
	return l.admitQueued(user)
}

// Restore removes a user's allowance, so that the limits in the settings apply. It returns the queued queries that they admit.
func (l *Limiter) Restore(name string) (admitted []ID) {
	delete(l.allowances, name)
	if user := l.users[name]; user != nil {
		return l.admitQueued(user)
	}
	return nil
}

// Expire removes the queries that have been queued for too long, and returns them in the order of their IDs. The caller must reject them.
func (l *Limiter) Expire(now float64) (expired []ID) {
	if len(l.queued) == 0 {
		return nil
	}
	for _, user := range l.users {
		for len(user.queue) > 0 && now >= user.queue[0].deadline { // a user's queries have the same longest wait, so the oldest expires first
			expired = append(expired, user.queue[0].id)
			delete(l.queued, user.queue[0].id)
			user.queue = user.queue[1:]
		}
	}
	slices.Sort(expired)
	return expired
}

// MaxWaitMs returns how long a user's query may be queued.
func (l *Limiter) MaxWaitMs(name string) float64 { return l.limits(name).MaxWaitMs }

// Demand returns the load that a user's queries would cause without limits.
func (l *Limiter) Demand(name string, now float64) Demand {
	user := l.users[name]
	if user == nil {
		return Demand{}
	}
	user.countArrivals(now, 0)
	return Demand{Running: user.running, Unserved: float64(len(user.queue)) + user.rejections, PerSecond: user.arrivals}
}

// Counts returns the numbers of running and queued queries.
func (l *Limiter) Counts() (running, queued int) { return len(l.running), len(l.queued) }

// user returns the state of a user, and creates it if the user has none.
func (l *Limiter) user(name string, now float64) *user {
	if known := l.users[name]; known != nil {
		return known
	}
	if len(l.users) >= maxUsers {
		l.forgetIdleUsers()
	}
	limits := l.limits(name)
	added := &user{name: name, limits: limits, tokens: max(1, limits.Burst), refilledAt: now}
	if l.allowances[name].BoundsRate { // other processes may just have used the whole rate
		added.tokens = 0
	}
	l.users[name] = added
	return added
}

func (l *Limiter) forgetIdleUsers() {
	for name, user := range l.users {
		if user.running == 0 && len(user.queue) == 0 {
			delete(l.users, name)
		}
	}
}

// limits returns a user's limits from the settings.
func (l *Limiter) limits(name string) Limits {
	if limits, ok := l.configured[name]; ok {
		return limits
	}
	return l.defaults
}

// maxRunning returns how many queries of a user may run at a time, and whether that number is bounded.
func (l *Limiter) maxRunning(user *user) (limit int, bounded bool) {
	if allowance := l.allowances[user.name]; allowance.BoundsRunning {
		return allowance.MaxRunning, true
	}
	return user.limits.MaxRunning, user.limits.MaxRunning > 0
}

func (l *Limiter) isBounded(user *user) bool {
	_, bounded := l.maxRunning(user)
	return bounded
}

// mayRun reports whether one more query of a user may run.
func (l *Limiter) mayRun(user *user) bool {
	limit, bounded := l.maxRunning(user)
	return !bounded || user.running < limit
}

func (l *Limiter) run(id ID, user *user) {
	user.running++
	l.running[id] = user
}

// admitQueued admits as many of a user's queued queries as may run.
func (l *Limiter) admitQueued(user *user) (admitted []ID) {
	for len(user.queue) > 0 && l.mayRun(user) {
		next := user.queue[0].id
		user.queue = user.queue[1:]
		delete(l.queued, next)
		l.run(next, user)
		admitted = append(admitted, next)
	}
	return admitted
}
