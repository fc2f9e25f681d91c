package checker

type poolerServer struct{ pooler, server int }

type roleReport struct {
	at      float64
	asOf    float64
	primary bool
}

const roleReportMs = 30000 // for which a server's report of its role counts

type listing struct {
	state string
	at    float64
}

// Listed records that a pooler was notified of a server's lifecycle: up, draining or removed.
func (c *Checker) Listed(at float64, pooler, server int, state string) {
	w := poolerServer{pooler, server}
	if old, ok := c.listed[w]; ok && old.state != "up" && state != "up" {
		return // the first notification counts
	}
	if state == "up" {
		delete(c.listed, w)
		return
	}
	c.listed[w] = listing{state, at}
}

// RoleReported records that a pooler received a server's report of its role. A report is valid as of its position
// and does not replace a later one.
func (c *Checker) RoleReported(at, asOf float64, pooler, server int, primary bool) {
	w := poolerServer{pooler, server}
	if primary {
		c.leaderAsOf[server] = max(c.leaderAsOf[server], asOf)
	}
	if old, ok := c.roleReports[w]; !ok || asOf >= old.asOf {
		c.roleReports[w] = roleReport{at, asOf, primary}
	}
}

// PoolerRestarted records that a pooler's process ended, and with it what it knew.
func (c *Checker) PoolerRestarted(pooler int) {
	if c.overload != nil {
		c.overload.repeats.processesStarted++
	}
	for w := range c.listed {
		if w.pooler == pooler {
			delete(c.listed, w)
		}
	}
	for w := range c.roleReports {
		if w.pooler == pooler {
			delete(c.roleReports, w)
		}
	}
	for k := range c.keyed {
		if k.pooler == pooler {
			delete(c.keyed, k)
		}
	}
}
