package core

import "beechgrade/internal/metrics/exposition"

// WriteMetrics writes the process's figures, with those of its list.
func (c *Core) WriteMetrics(s *exposition.Snapshot) {
	listed, avoided := c.router.CountServers()
	c.metrics.AppendTo(s, listed, avoided)
	c.decisions.writeMetrics(s)
}
