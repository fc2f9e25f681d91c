package checker

type where struct{ pooler, server int }

type word struct {
	at      float64
	asOf    float64
	primary bool
}

const wordMs = 30000 // a server's word on its role counts for so long

type listing struct {
	state string
	at    float64
}

// Listed tells that a pooler has been told a server's state: up, draining or removed.
func (c *Checker) Listed(at float64, pooler, server int, state string) {
	w := where{pooler, server}
	if old, ok := c.listed[w]; ok && old.state != "up" && state != "up" {
		return // it heard the first already
	}
	if state == "up" {
		delete(c.listed, w)
		return
	}
	c.listed[w] = listing{state, at}
}

// Word tells that a server's word on its role has come to a pooler. A report is some time old: its word is as of the position
// that it tells, and does not take back a later one.
func (c *Checker) Word(at, asOf float64, pooler, server int, primary bool) {
	w := where{pooler, server}
	if primary {
		c.leads[server] = max(c.leads[server], asOf)
	}
	if old, ok := c.words[w]; !ok || asOf >= old.asOf {
		c.words[w] = word{at, asOf, primary}
	}
}

// Forgot tells that a pooler's process has ended, and knows nothing any more.
func (c *Checker) Forgot(pooler int) {
	if c.over != nil {
		c.over.twice.began++
	}
	for w := range c.listed {
		if w.pooler == pooler {
			delete(c.listed, w)
		}
	}
	for w := range c.words {
		if w.pooler == pooler {
			delete(c.words, w)
		}
	}
	for k := range c.keyed {
		if k.pooler == pooler {
			delete(c.keyed, k)
		}
	}
}
