package core

import "beechgrade/internal/metrics/exposition"

// WriteFigures writes the process's figures, with those of its list.
func (c *Core) WriteFigures(s *exposition.Sheet) {
	listed, avoided := c.router.Survey()
	c.figures.Tell(s, listed, avoided)
	c.decisions.tell(s)
}
