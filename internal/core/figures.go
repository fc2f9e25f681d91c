package core

import "beechgrade/internal/figures/sheet"

// Tell tells the process's figures, with those of its list.
func (c *Core) Tell(s *sheet.Sheet) {
	listed, avoided := c.router.Survey()
	c.figures.Tell(s, listed, avoided)
}
