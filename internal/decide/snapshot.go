package decide

// A snapshot is the state that a router hands over to another one, which replaces it or runs beside it. Its
// evidence has times, so that the receiver can keep newer evidence of its own.

// ServerSnapshot is what a router knows about one server. The JSON names are part of the handover format.
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

// Snapshot is the state of a router that is handed over. The JSON names are part of the handover format. The
// commits are stored separately and filled in by the caller. The last commit of any session that is not among
// them is at most ForgottenCommit, which is 0 if there was none.
type Snapshot struct {
	Commits         []SessionCommit `json:"-"`
	ForgottenCommit Time            `json:"-"`

	Servers     []ServerSnapshot `json:"stores"`
	ClassWork   []float64        `json:"work"`  // average work, by class
	KindRates   map[int]float64  `json:"rates"` // by kind of server
	AverageWork float64          `json:"mean"`
}

// Shift converts the times on the sender's clock for a router whose clock is ahead by the given time.
// Positions are on the servers' clock and stay.
func (snapshot *Snapshot) Shift(by Time) {
	for i := range snapshot.Servers {
		server := &snapshot.Servers[i]
		times := []*Time{
			&server.RoleAt, &server.PositionAt, &server.PositionReportedAt,
			&server.StartedAt, &server.SlowStartUsedAt, &server.EjectedAt,
		}
		for _, at := range times {
			if *at > 0 { // otherwise the event has not happened
				*at += by
			}
		}
	}
}

// Snapshot returns the router's averages, and its state of the listed servers.
func (r *Router) Snapshot() *Snapshot {
	snapshot := &Snapshot{KindRates: map[int]float64{}, AverageWork: r.averageWork}
	for _, server := range r.serversByID {
		if server.removedAt == 0 {
			snapshot.Servers = append(snapshot.Servers, server.snapshot())
		}
	}
	for i := range r.classes {
		snapshot.ClassWork = append(snapshot.ClassWork, r.classes[i].averageWork)
	}
	for kind, rate := range r.kindRates {
		snapshot.KindRates[kind] = rate
	}
	return snapshot
}

// SnapshotOf returns what the router knows about one server, and false if the server is not listed.
func (r *Router) SnapshotOf(id ServerID) (ServerSnapshot, bool) {
	if server := r.servers[id]; server != nil && server.removedAt == 0 {
		return server.snapshot(), true
	}
	return ServerSnapshot{}, false
}

// snapshot returns what the router knows about the server.
func (server *server) snapshot() ServerSnapshot {
	return ServerSnapshot{
		ID:                 server.id,
		Role:               server.role,
		RoleAt:             server.roleAt,
		Position:           server.position,
		PositionAt:         server.positionAt,
		PositionReportedAt: server.positionReportedAt,
		PositionRate:       server.positionRate,
		RelativeRate:       server.relativeRate,
		StartedAt:          server.startedAt,
		SlowStartUsed:      server.slowStartUsed,
		SlowStartUsedAt:    server.slowStartUsedAt,
		Ejected:            server.health == ejected,
		EjectedAt:          server.ejectedAt,
	}
}

// Merge merges another router's snapshot into this router's state, for the servers listed here. Newer
// evidence of this router is kept. Times ahead of now and values out of range are ignored, as the snapshot
// may come from a file or from the network.
func (r *Router) Merge(now Time, snapshot *Snapshot) {
	if r.checker != nil {
		r.checker.onMerge(r, now, snapshot)
	}
	if snapshot.ForgottenCommit > 0 {
		r.forgottenCommit = max(r.forgottenCommit, snapshot.ForgottenCommit)
	}
	for _, commit := range snapshot.Commits {
		r.rememberCommit(commit.Session, commit.At)
	}
	r.mergeWork(snapshot)
	for kind, rate := range snapshot.KindRates {
		if withinRateBounds(rate) {
			r.kindRates[kind] = rate
		}
	}
	for i := range snapshot.Servers {
		if server := r.servers[snapshot.Servers[i].ID]; server != nil {
			r.mergeServer(now, server, &snapshot.Servers[i])
		}
	}
}

// mergeWork adopts the average work of the classes, if their number is the same here.
func (r *Router) mergeWork(snapshot *Snapshot) {
	if len(snapshot.ClassWork) != len(r.classes) || !withinRateBounds(snapshot.AverageWork) {
		return
	}
	r.averageWork = snapshot.AverageWork
	for i, work := range snapshot.ClassWork {
		if withinRateBounds(work) {
			r.classes[i].averageWork = work
		}
	}
}

// mergeServer merges what another router knows about a server.
func (r *Router) mergeServer(now Time, server *server, other *ServerSnapshot) {
	if other.RoleAt > server.roleAt && other.RoleAt <= now && other.Role <= RoleReplica {
		server.role = other.Role
		server.roleAt = other.RoleAt
	}
	if other.Position > server.position && other.positionIsPast(now, server.group) {
		server.position = other.Position
		server.positionAt = other.PositionAt
		server.positionReportedAt = other.PositionReportedAt
		server.positionRate = min(1, max(0, other.PositionRate))
	}
	if withinRateBounds(other.RelativeRate) {
		server.relativeRate = other.RelativeRate
	}
	if other.StartedAt > server.startedAt && other.StartedAt <= now {
		server.startedAt = other.StartedAt
	}
	if other.SlowStartUsed >= 0 && other.SlowStartUsed <= maxRate && other.SlowStartUsedAt <= now {
		server.slowStartUsed = other.SlowStartUsed
		server.slowStartUsedAt = other.SlowStartUsedAt
	}
	if other.Ejected && other.EjectedAt <= now && r.settings.MayCheckHealth {
		server.health = ejected
		server.ejectedAt = other.EjectedAt
	}
}

// positionIsPast reports whether neither the position nor the times of its reports are ahead of now.
func (snapshot *ServerSnapshot) positionIsPast(now Time, group *group) bool {
	latest := max(group.localTime(snapshot.Position), snapshot.PositionAt, snapshot.PositionReportedAt)
	return latest <= now
}

// withinRateBounds reports whether a rate, or an average work, is within the bounds of maxRate.
func withinRateBounds(value float64) bool { return value >= 1/maxRate && value <= maxRate }
