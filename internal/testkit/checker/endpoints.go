package checker

type poolerServer struct{ pooler, server int }

type roleReport struct {
	at      float64
	asOf    float64 // position as of which it is valid
	primary bool
}

const roleReportMs = 30000 // how long a server's report of its role is valid

type listing struct {
	state string
	at    float64
}

// Listed records that a pooler was notified of a server's lifecycle: up, draining or removed.
func (c *Checker) Listed(at float64, pooler, server int, state string) {
	key := poolerServer{pooler, server}
	if old, ok := c.listed[key]; ok && old.state != "up" && state != "up" {
		return // the grace starts at the first notification
	}
	if state == "up" {
		delete(c.listed, key)
		return
	}
	c.listed[key] = listing{state, at}
}

// RoleReported records that a pooler received a server's report of its role. A report is valid as of its position
// and does not replace a later one.
func (c *Checker) RoleReported(at, asOf float64, pooler, server int, primary bool) {
	key := poolerServer{pooler, server}
	if primary {
		c.leaderAsOf[server] = max(c.leaderAsOf[server], asOf)
	}
	if old, ok := c.roleReports[key]; !ok || asOf >= old.asOf {
		c.roleReports[key] = roleReport{at, asOf, primary}
	}
}

// PoolerRestarted records that a pooler's process ended and lost its state.
func (c *Checker) PoolerRestarted(pooler int) {
	if c.overload != nil {
		c.overload.repeats.processesStarted++
	}
	for key := range c.listed {
		if key.pooler == pooler {
			delete(c.listed, key)
		}
	}
	for key := range c.roleReports {
		if key.pooler == pooler {
			delete(c.roleReports, key)
		}
	}
	for k := range c.keyed {
		if k.pooler == pooler {
			delete(c.keyed, k)
		}
	}
}
