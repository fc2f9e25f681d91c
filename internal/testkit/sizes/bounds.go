package sizes

// Bound limits a measure of Needs relative to the baseline size: a factor on the baseline value, a constant, and an amount for
// each thousand servers.
type Bound struct {
	Name                          string
	Of                            func(needs *Needs) float64
	Factor, Constant, PerThousand float64
	LowerBound                    bool // the value must not fall below the limit, instead of not exceeding it
}

// Bounds returns the bounds that the operators have set.
func Bounds() []Bound {
	return []Bound{
		{Name: "CPU, s", Of: func(n *Needs) float64 { return n.CPU }, Factor: 1.4, Constant: 0.02, PerThousand: 0.03},
		{Name: "peak memory, MB", Of: func(n *Needs) float64 { return n.MemoryMB }, Factor: 1.5, Constant: 8, PerThousand: 4},
		{Name: "descriptors", Of: func(n *Needs) float64 { return float64(n.Descriptors) }, Factor: 2, Constant: 40},
		{Name: "connections made", Of: func(n *Needs) float64 { return float64(n.Connections) }, Factor: 2.5, Constant: 40},
		{Name: "bytes of lists, KB", Of: func(n *Needs) float64 { return float64(n.ListBytes) / 1000 }, Factor: 2, Constant: 64, PerThousand: 500},
		{Name: "share served", Of: (*Needs).Share, Factor: 0.85, LowerBound: true},
	}
}

// Limit returns the limit at a size, given the measurements at the baseline size.
func (b *Bound) Limit(baseline, at *Needs) float64 {
	return b.Factor*b.Of(baseline) + b.Constant + b.PerThousand*float64(at.Servers)/1000
}

// Holds reports whether the measurements at a size keep the bound.
func (b *Bound) Holds(baseline, at *Needs) bool {
	if b.LowerBound {
		return b.Of(at) >= b.Limit(baseline, at)
	}
	return b.Of(at) <= b.Limit(baseline, at)
}
