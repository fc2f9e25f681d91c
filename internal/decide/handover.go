package decide

// The knowledge that a router hands to another one that takes its place or runs beside it. It is evidence with its time, so that the
// receiver can keep whatever it knows better; no decision is made here.

// ServerMemory is what a router knows of one server. The fields are those of server, and their JSON names are part of the handover's format.
type ServerMemory struct {
	ID          ServerID `json:"id"`
	Role        Role     `json:"role"`
	RoleAt      Time     `json:"role_at"`
	Position    Time     `json:"position"`
	PositionAt  Time     `json:"position_at"`
	PlacedAt    Time     `json:"placed_at"`
	Pace        float64  `json:"pace"`
	Rel         float64  `json:"rel"`
	ColdFrom    Time     `json:"cold_from"`
	ColdSpent   float64  `json:"cold_spent"`
	ColdSpentAt Time     `json:"cold_spent_at"`
	Down        bool     `json:"down"`
	BadAt       Time     `json:"bad_at"`
}

// Commit is the time of a session's last commit.
type Commit struct {
	Session string
	At      Time
}

// Memory is what a router knows. Work is by class, Rates by kind of server. Commits are filled in by whoever stores them; the last commit
// of any other session is no later than Forgotten, which is 0 where there was none.
type Memory struct {
	Commits   []Commit `json:"-"`
	Forgotten Time     `json:"-"`

	Servers []ServerMemory  `json:"stores"`
	Work    []float64       `json:"work"`
	Rates   map[int]float64 `json:"rates"`
	Mean    float64         `json:"mean"`
}

// Shift moves the times that are of the router's own clock, for a router whose clock differs by so much. Positions are
// on the servers' clock and stay.
func (m *Memory) Shift(by Time) {
	for i := range m.Servers {
		server := &m.Servers[i]
		for _, at := range []*Time{&server.RoleAt, &server.PositionAt, &server.PlacedAt, &server.ColdFrom, &server.ColdSpentAt, &server.BadAt} {
			if *at > 0 { // else it has never happened
				*at += by
			}
		}
	}
}

// Memory returns what the router knows of the servers that are listed.
func (r *Router) Memory() *Memory {
	m := &Memory{Rates: map[int]float64{}, Mean: r.work}
	for _, s := range r.order {
		if s.gone == 0 {
			m.Servers = append(m.Servers, s.memory())
		}
	}
	for i := range r.classes {
		m.Work = append(m.Work, r.classes[i].work)
	}
	for k, x := range r.pools {
		m.Rates[k] = x
	}
	return m
}

// MemoryOf returns what the router knows of one server, and false for one that is not listed.
func (r *Router) MemoryOf(id ServerID) (ServerMemory, bool) {
	if s := r.servers[id]; s != nil && s.gone == 0 {
		return s.memory(), true
	}
	return ServerMemory{}, false
}

func (s *server) memory() ServerMemory {
	return ServerMemory{ID: s.id, Role: s.role, RoleAt: s.roleAt, Position: s.position, PositionAt: s.positionAt,
		PlacedAt: s.placedAt, Pace: s.pace, Rel: s.relativeRate, ColdFrom: s.coldFrom, ColdSpent: s.coldSpent, ColdSpentAt: s.coldSpentAt,
		Down: s.health == down, BadAt: s.badAt}
}

// Recall merges another router's memory into this one's, for the servers listed here. Newer evidence here stays; times ahead of now and
// figures out of range are ignored, as the memory may come from a file or from the network.
func (r *Router) Recall(now Time, m *Memory) {
	if r.watch != nil {
		r.watch.onRecall(r, now, m)
	}
	if m.Forgotten > 0 {
		r.forgotten = max(r.forgotten, m.Forgotten)
	}
	for _, commit := range m.Commits {
		r.remember(commit.Session, commit.At)
	}
	sane := func(x float64) bool { return x >= 1/rateMost && x <= rateMost }
	if len(m.Work) == len(r.classes) && sane(m.Mean) {
		r.work = m.Mean
		for i, w := range m.Work {
			if sane(w) {
				r.classes[i].work = w
			}
		}
	}
	for k, x := range m.Rates {
		if sane(x) {
			r.pools[k] = x
		}
	}
	for i := range m.Servers {
		known := &m.Servers[i]
		s := r.servers[known.ID]
		if s == nil {
			continue
		}
		if known.RoleAt > s.roleAt && known.RoleAt <= now && known.Role <= RoleReplica {
			s.role, s.roleAt = known.Role, known.RoleAt
		}
		if known.Position > s.position && s.group.onClock(known.Position) <= now && known.PositionAt <= now && known.PlacedAt <= now {
			s.position, s.positionAt, s.placedAt, s.pace = known.Position, known.PositionAt, known.PlacedAt, min(1, max(0, known.Pace))
		}
		if sane(known.Rel) {
			s.relativeRate = known.Rel
		}
		if known.ColdFrom > s.coldFrom && known.ColdFrom <= now {
			s.coldFrom = known.ColdFrom
		}
		if known.ColdSpent >= 0 && known.ColdSpent <= rateMost && known.ColdSpentAt <= now {
			s.coldSpent, s.coldSpentAt = known.ColdSpent, known.ColdSpentAt
		}
		if known.Down && known.BadAt <= now && r.set.MayProbe {
			s.health, s.badAt = down, known.BadAt
		}
	}
}
