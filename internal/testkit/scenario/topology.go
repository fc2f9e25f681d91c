package scenario

import (
	"slices"

	"beechgrade/internal/sexp"
	"beechgrade/internal/testkit/model"
)

// readSites reads (sites NAME NAME ...).
func (s *Script) readSites(n *sexp.Node) error {
	for _, a := range n.Args() {
		if a.Kind == sexp.List || a.Text == "" || slices.Contains(s.Sites, a.Text) {
			return a.Errorf("expected a site's name that is not listed already")
		}
		s.Sites = append(s.Sites, a.Text)
	}
	if len(s.Sites) < 2 || len(s.Sites) > maxSites {
		return n.Errorf("(sites NAME NAME ...) takes from 2 to %d names", maxSites)
	}
	return nil
}

// readRegions reads (regions N N ...): how many of the sites, in their order, each region has.
func (s *Script) readRegions(n *sexp.Node) error {
	for i, a := range n.Args() {
		x, err := a.Number(1, maxSites)
		if err != nil {
			return err
		}
		for range int(x) {
			s.Regions = append(s.Regions, i)
		}
	}
	if len(s.Regions) != len(s.Sites) {
		return n.Errorf("the regions have %d sites together; %d sites are listed", len(s.Regions), len(s.Sites))
	}
	return nil
}

// Delays returns the mean one-way delays between sites in ms.
func (s *Script) Delays() [][]float64 {
	out := make([][]float64, len(s.Sites))
	for a := range out {
		out[a] = make([]float64, len(s.Sites))
		for b := range out[a] {
			r := s.DelayBetween(a, b)
			out[a][b] = (r[0] + r[1]) / 2
		}
	}
	return out
}

// DelayBetween returns the range of the one-way delay between two sites.
func (s *Script) DelayBetween(a, b int) model.Range {
	if a == b {
		return s.NetworkDelay
	}
	if len(s.Regions) > 0 && s.Regions[a] != s.Regions[b] {
		return s.RegionDelay
	}
	return s.SiteDelay
}

// readRange reads (NAME MIN MAX), a range of durations, in ms.
func readRange(n *sexp.Node, to *[2]float64) (err error) {
	a := n.Args()
	if len(a) != 2 {
		return n.Errorf("expected (%s MIN MAX) with two durations", n.Head())
	}
	for i := range to {
		if to[i], err = a[i].Duration(0, maxSeconds*1000); err != nil {
			return err
		}
	}
	if to[0] > to[1] {
		return n.Errorf("the minimum is greater than the maximum")
	}
	return nil
}

// readGroups reads (groups N ...), the number of servers of each group.
func (s *Script) readGroups(n *sexp.Node) error {
	s.Fleet.Groups = nil
	sum := 0
	for _, a := range n.Args() {
		x, err := a.Number(1, 20)
		if err != nil {
			return err
		}
		sum += int(x)
		s.Fleet.Groups = append(s.Fleet.Groups, int(x))
	}
	if sum == 0 || sum > maxServers {
		return n.Errorf("the groups have %d servers together; allowed are 1 to %d", sum, maxServers)
	}
	return nil
}

// readGroupsOf reads (groups-of NUMBER MEMBERS): many groups of one size.
func (s *Script) readGroupsOf(n *sexp.Node) error {
	a := n.Args()
	if len(a) != 2 {
		return n.Errorf("(groups-of NUMBER MEMBERS) takes two numbers")
	}
	groups, err := a[0].Number(1, maxServers)
	if err != nil {
		return err
	}
	members, err := a[1].Number(1, 20)
	if err != nil {
		return err
	}
	if groups*members > maxServers {
		return n.Errorf("the groups have %.0f servers together; allowed are 1 to %d", groups*members, maxServers)
	}
	s.Fleet.Groups = slices.Repeat([]int{int(members)}, int(groups))
	return nil
}
