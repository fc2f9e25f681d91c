package checker

type poolerServer struct{ pooler, server int }

type roleReport struct {
	at      float64
	asOf    float64
	primary bool
}

const roleReportMs = 30000 // a server's word on its role counts for so long

type listing struct {
	state string
	at    float64
}

// Listed tells that a pooler has been told a server's state: up, draining or removed.
func (c *Checker) Listed(at float64, pooler, server int, state string) {
	w := poolerServer{pooler, server}
	if old, ok := c.listed[w]; ok && old.state != "up" && state != "up" {
		return // it heard the first already
	}
	if state == "up" {
		delete(c.listed, w)
		return
	}
	c.listed[w] = listing{state, at}
}

// RoleReported tells that a server's word on its role has come to a pooler. A report is some time old: its word is as of the position
// that it tells, and does not take back a later one.
func (c *Checker) RoleReported(at, asOf float64, pooler, server int, primary bool) {
	w := poolerServer{pooler, server}
	if primary {
		c.leaderAsOf[server] = max(c.leaderAsOf[server], asOf)
	}
	if old, ok := c.roleReports[w]; !ok || asOf >= old.asOf {
		c.roleReports[w] = roleReport{at, asOf, primary}
	}
}

// PoolerRestarted tells that a pooler's process has ended, and knows nothing any more.
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
