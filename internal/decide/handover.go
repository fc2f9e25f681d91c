package decide

// The knowledge that a router hands to another one that takes its place or runs beside it. It is evidence with its time, so that the
// receiver can keep whatever it knows better; no decision is made here.

// ServerSnapshot is what a router knows of one server. The fields are those of server, and their JSON names are part of the handover's format.
type ServerSnapshot struct {
	ID                 ServerID `json:"id"`
	Role               Role     `json:"role"`
	RoleAt             Time     `json:"role_at"`
	Position           Time     `json:"position"`
	PositionAt         Time     `json:"position_at"`
	PositionReportedAt Time     `json:"placed_at"`
	PositionRate       float64  `json:"pace"`
	RelativeRate       float64  `json:"rel"`
	StartedAt          Time     `json:"cold_from"`
	SlowStartUsed      float64  `json:"cold_spent"`
	SlowStartUsedAt    Time     `json:"cold_spent_at"`
	Ejected            bool     `json:"down"`
	EjectedAt          Time     `json:"bad_at"`
}

// SessionCommit is the time of a session's last commit.
type SessionCommit struct {
	Session string
	At      Time
}

// Snapshot is what a router knows. Work is by class, Rates by kind of server. Commits are filled in by whoever stores them; the last commit
// of any other session is no later than Forgotten, which is 0 where there was none.
type Snapshot struct {
	Commits         []SessionCommit `json:"-"`
	ForgottenCommit Time            `json:"-"`

	Servers     []ServerSnapshot `json:"stores"`
	ClassWork   []float64        `json:"work"`
	KindRates   map[int]float64  `json:"rates"`
	AverageWork float64          `json:"mean"`
}

// Shift moves the times that are of the router's own clock, for a router whose clock differs by so much. Positions are
// on the servers' clock and stay.
func (m *Snapshot) Shift(by Time) {
	for i := range m.Servers {
		server := &m.Servers[i]
		for _, at := range []*Time{&server.RoleAt, &server.PositionAt, &server.PositionReportedAt, &server.StartedAt, &server.SlowStartUsedAt, &server.EjectedAt} {
			if *at > 0 { // else it has never happened
				*at += by
			}
		}
	}
}

// Snapshot returns what the router knows of the servers that are listed.
func (r *Router) Snapshot() *Snapshot {
	m := &Snapshot{KindRates: map[int]float64{}, AverageWork: r.averageWork}
	for _, s := range r.serversByID {
		if s.removedAt == 0 {
			m.Servers = append(m.Servers, s.memory())
		}
	}
	for i := range r.classes {
		m.ClassWork = append(m.ClassWork, r.classes[i].averageWork)
	}
	for k, x := range r.kindRates {
		m.KindRates[k] = x
	}
	return m
}

// SnapshotOf returns what the router knows of one server, and false for one that is not listed.
func (r *Router) SnapshotOf(id ServerID) (ServerSnapshot, bool) {
	if s := r.servers[id]; s != nil && s.removedAt == 0 {
		return s.memory(), true
	}
	return ServerSnapshot{}, false
}

func (s *server) memory() ServerSnapshot {
	return ServerSnapshot{ID: s.id, Role: s.role, RoleAt: s.roleAt, Position: s.position, PositionAt: s.positionAt,
		PositionReportedAt: s.positionReportedAt, PositionRate: s.positionRate, RelativeRate: s.relativeRate, StartedAt: s.startedAt, SlowStartUsed: s.slowStartUsed, SlowStartUsedAt: s.slowStartUsedAt,
		Ejected: s.health == ejected, EjectedAt: s.ejectedAt}
}

// Merge merges another router's memory into this one's, for the servers listed here. Newer evidence here stays; times ahead of now and
// figures out of range are ignored, as the memory may come from a file or from the network.
func (r *Router) Merge(now Time, m *Snapshot) {
	if r.checker != nil {
		r.checker.onMerge(r, now, m)
	}
	if m.ForgottenCommit > 0 {
		r.forgottenCommit = max(r.forgottenCommit, m.ForgottenCommit)
	}
	for _, commit := range m.Commits {
		r.rememberCommit(commit.Session, commit.At)
	}
	sane := func(x float64) bool { return x >= 1/maxRate && x <= maxRate }
	if len(m.ClassWork) == len(r.classes) && sane(m.AverageWork) {
		r.averageWork = m.AverageWork
		for i, w := range m.ClassWork {
			if sane(w) {
				r.classes[i].averageWork = w
			}
		}
	}
	for k, x := range m.KindRates {
		if sane(x) {
			r.kindRates[k] = x
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
		if known.Position > s.position && s.group.localTime(known.Position) <= now && known.PositionAt <= now && known.PositionReportedAt <= now {
			s.position, s.positionAt, s.positionReportedAt, s.positionRate = known.Position, known.PositionAt, known.PositionReportedAt, min(1, max(0, known.PositionRate))
		}
		if sane(known.RelativeRate) {
			s.relativeRate = known.RelativeRate
		}
		if known.StartedAt > s.startedAt && known.StartedAt <= now {
			s.startedAt = known.StartedAt
		}
		if known.SlowStartUsed >= 0 && known.SlowStartUsed <= maxRate && known.SlowStartUsedAt <= now {
			s.slowStartUsed, s.slowStartUsedAt = known.SlowStartUsed, known.SlowStartUsedAt
		}
		if known.Ejected && known.EjectedAt <= now && r.settings.MayCheckHealth {
			s.health, s.ejectedAt = ejected, known.EjectedAt
		}
	}
}
