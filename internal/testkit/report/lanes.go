package report

import (
	"fmt"
	"math"
	"strings"

	"beechgrade/internal/testkit/incident"
)

// stateNames are the CSS class and the name of each state, the most severe first.
var stateNames = []struct {
	flag        uint8
	class, name string
}{
	{incident.FlagRemoved, "gone", "left the list"},
	{incident.FlagBroken, "broken", "could not be reached"},
	{incident.FlagUnresponsive, "silent", "took requests and answered none"},
	{incident.FlagDraining, "drain", "drains"},
	{incident.FlagPrimary, "primary", "primary"},
	{incident.FlagWarmingUp, "cold", "cold"},
	{incident.FlagReplica, "replica", "replica"},
}

// state returns the CSS class and the name of the most severe state among the flags of a cell.
func state(f uint8) (class, name string) {
	for _, n := range stateNames {
		if f&n.flag != 0 {
			return n.class, n.name
		}
	}
	return "unheard", "nothing told"
}

// lanes draws the states and the lag of each server over time, by group.
func (d *pageData) lanes() {
	d.Axis = d.ticks(laneWidth, timeTicks)
	servers := map[string]*incident.ServerView{}
	for i := range d.View.Servers {
		servers[d.View.Servers[i].Name] = &d.View.Servers[i]
	}
	n := min(maxColumns, max(minLaneColumns, maxLaneColumns/max(1, len(servers))))
	for _, g := range d.View.Groups {
		x := GroupLanes{GroupView: g}
		for _, name := range g.Servers {
			if s := servers[name]; s != nil {
				x.Lanes = append(x.Lanes, d.lane(s, n))
			}
		}
		d.Groups = append(d.Groups, x)
	}
}

// lane merges a server's cells into n columns at most, and these into bands of one state.
func (d *pageData) lane(s *incident.ServerView, n int) Lane {
	cells := d.View.Series.Servers[s.Name]
	flags, lag := make([]uint8, n), make([]float64, n)
	used := columns(len(cells.Flags), n, func(col, i int) {
		flags[col] |= cells.Flags[i]
		lag[col] = max(lag[col], float64(cells.Lag[i]))
	})
	l := Lane{Server: s}
	if used == 0 {
		return l
	}
	w := laneWidth / float64(used)
	from := 0
	for i := 1; i <= used; i++ {
		class, name := state(flags[from])
		if i < used {
			if c, _ := state(flags[i]); c == class {
				continue
			}
		}
		at := d.View.From + (d.View.To-d.View.From)*float64(from)/float64(used)
		l.Bands = append(l.Bands, Band{X: math.Round(10*w*float64(from)) / 10, Width: math.Round(10*w*float64(i-from)) / 10, Class: class,
			Title: name + " from " + Clock(at)})
		from = i
	}
	l.Lag = lagPath(lag[:used], w)
	return l
}

// minLagShown is the part of maxLagMs below which no lag is drawn.
const minLagShown = 1.0 / 20

// lagPath returns an SVG path of a server's lag in columns of width w. Columns below minLagShown are left out.
func lagPath(lag []float64, w float64) string {
	b := &strings.Builder{}
	drawn := false
	for i := range lag {
		y := laneHeightPx * (1 - min(1, lag[i]/maxLagMs))
		if lag[i] < maxLagMs*minLagShown {
			drawn = false
			continue
		}
		op := 'L'
		if !drawn {
			op = 'M'
		}
		drawn = true
		fmt.Fprintf(b, "%c%s %sh%s", op, formatTenth(w*float64(i)), formatTenth(y), formatTenth(w))
	}
	return b.String()
}
