package sizes

// Bound is how far a need may grow over the usual size: so many times it, and so much more, and more for each thousand servers.
type Bound struct {
	Name             string
	Of               func(needs *Needs) float64
	Times, More, For float64
	Least            bool // it may not fall under Times of the usual one
}

// Bounds are those that the operators have set.
func Bounds() []Bound {
	return []Bound{
		{Name: "CPU, s", Of: func(n *Needs) float64 { return n.CPU }, Times: 1.4, More: 0.02, For: 0.03},
		{Name: "peak memory, MB", Of: func(n *Needs) float64 { return n.MemoryMB }, Times: 1.5, More: 8, For: 4},
		{Name: "descriptors", Of: func(n *Needs) float64 { return float64(n.Descriptors) }, Times: 2, More: 40},
		{Name: "connections made", Of: func(n *Needs) float64 { return float64(n.Connections) }, Times: 2.5, More: 40},
		{Name: "bytes of lists, KB", Of: func(n *Needs) float64 { return float64(n.ListBytes) / 1000 }, Times: 2, More: 64, For: 500},
		{Name: "share served", Of: (*Needs).Share, Times: 0.85, Least: true},
	}
}

// Limit is the bound at a size, by what was needed at the usual one.
func (b *Bound) Limit(usual, at *Needs) float64 {
	return b.Times*b.Of(usual) + b.More + b.For*float64(at.Servers)/1000
}

// Holds tells whether a size keeps the bound.
func (b *Bound) Holds(usual, at *Needs) bool {
	if b.Least {
		return b.Of(at) >= b.Limit(usual, at)
	}
	return b.Of(at) <= b.Limit(usual, at)
}
