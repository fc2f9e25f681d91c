package backend

import (
	"strconv"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/protocol/pgwire"
)

// The parameters by which a server reports its role and its load along with its answers. The name of the parameter that holds its
// position is a setting.
const (
	roleParameter = "role"
	loadParameter = "load"
)

// The fields of a load report, by the names that they have on the wire.
const (
	positionField = "x0" // seconds of Unix time
	primaryField  = "x1" // 1 for a primary, 0 for a replica
)

// handleParameter reads a ParameterStatus message. If an answer holds a parameter more than once, its first valid value counts.
func (conn *conn) handleParameter(body []byte) {
	name, value, err := pgwire.Parameter(body)
	if err != nil {
		return
	}
	switch name {
	case roleParameter:
		if conn.outcome.Role == decide.RoleUnknown {
			conn.outcome.Role = conn.pool.parseRole(value)
		}
	case loadParameter:
		if conn.outcome.Load == (Report{}) {
			conn.outcome.Load = conn.pool.parseLoad(value)
		}
	case conn.pool.options.PositionName:
		ms, err := strconv.ParseInt(value, 10, 64)
		if err == nil && !conn.outcome.HasPosition && conn.pool.plausiblePosition(clock.FromUnix(ms)) {
			conn.outcome.Position = clock.FromUnix(ms)
			conn.outcome.HasPosition = true
		}
	}
}

func (pool *Pool) plausiblePosition(ms float64) bool { return clock.Plausible(ms, pool.loop.Now()) }

func (pool *Pool) parseRole(value string) decide.Role {
	switch value {
	case pool.options.Roles[0]:
		return decide.RolePrimary
	case pool.options.Roles[1]:
		return decide.RoleReplica
	}
	return decide.RoleUnknown
}

// parseHealthReport reads the row that answers a health check. An empty report, which a server sends until it has collected a
// first one, still shows that the server answers; a report that cannot be read is a failure.
func (pool *Pool) parseHealthReport(row []byte) Outcome {
	outcome := Outcome{Result: decide.OK}
	column, err := pgwire.Column(row)
	if err == nil && len(column) == 0 {
		return outcome
	}
	outcome.Report = pool.parseLoad(string(column))
	if !outcome.HasPosition {
		return Outcome{Result: decide.Failed}
	}
	return outcome
}

// parseLoad reads the text of a load report. It returns the zero Report unless both the position and the role can be read.
func (pool *Pool) parseLoad(text string) (report Report) {
	for name, value := range pgwire.Pairs(text) {
		number, err := strconv.ParseFloat(value, 64)
		switch {
		case err != nil:
		case name == positionField && pool.plausiblePosition(number*1000): // rounded down to milliseconds, as the printed number may have been rounded up
			report.Position = clock.FromUnix(int64(number * 1000))
			report.HasPosition = true
		case name == primaryField && number == 1:
			report.Role = decide.RolePrimary
		case name == primaryField && number == 0:
			report.Role = decide.RoleReplica
		}
	}
	if !report.HasPosition || report.Role == decide.RoleUnknown {
		return Report{}
	}
	return report
}
