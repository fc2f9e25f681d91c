package settings

import (
	"os"
	"slices"
	"time"

	"beechgrade/internal/cluster/zones"
	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/statemachine"
	"beechgrade/internal/sexp"
)

// Zones says whether the poolers decide together which zone's reads are served where. It takes (peers ...) and (agreed ...).
type Zones struct {
	Enabled bool
	Dir     string // where a pooler keeps the number of the plan that it follows; empty for nowhere
	zones.Settings
}

func (z *Zones) read(node *sexp.Node, env func(string) string) error {
	*z = Zones{Enabled: true, Settings: zones.Defaults()}
	s, c := &z.Settings, &z.Settings.Chief
	span := func(to *float64, least, most float64) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Millis(least, most); return err }
	}
	part := func(to *float64, least, most float64) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Float(least, most); return err }
	}
	var delays []*sexp.Node
	err := sexp.Schema{
		"names": func(node *sexp.Node) error {
			for _, x := range node.Args() {
				if x.Kind == sexp.List || x.Text == "" || len(x.Text) > statemachine.MostName || slices.Contains(s.Zones, x.Text) {
					return x.Errorf("a zone's name, each once, is due here")
				}
				s.Zones = append(s.Zones, x.Text)
			}
			return nil
		},
		"delay": func(node *sexp.Node) error { delays = append(delays, node); return nil },
		"order": func(node *sexp.Node) error {
			o, err := readZoneOrder(node)
			s.Order = append(s.Order, o)
			return err
		},
		"dir": func(node *sexp.Node) error {
			text, err := node.Str()
			if z.Dir = os.Expand(text, env); err == nil && z.Dir == "" {
				err = node.Errorf("the folder's name is empty; is its variable set?")
			}
			return err
		},
		"cores": part(&s.Cores, 0.1, 1024), "price": part(&s.Price, 0, 10), "spare": part(&c.Plan.Spare, 0, 0.9), "tight": part(&c.Plan.Tight, 0, 0.9),
		"period": span(&s.Period, 100, 10000), "life": span(&s.Life, 1000, 600000), "renew": span(&c.Renew, 200, 60000), "step": span(&c.Step, 200, 60000),
		"out": part(&c.Out, 0.01, 1), "back": part(&c.Back, 0.01, 1), "window": span(&c.Window, 200, 60000), "memory": span(&c.Memory, 200, 600000),
		"least": part(&c.State.Least, 1, 1e6), "fail-at": part(&c.State.FailAt, 0.01, 1), "well-at": part(&c.State.WellAt, 0, 1), "up-at": part(&c.State.UpAt, 0, 1),
		"fail": span(&c.State.Fail, 100, 600000), "empty": span(&c.State.Empty, 0, 600000), "rest": span(&c.State.Rest, 1000, 3600e3), "most-rest": span(&c.State.MostRest, 1000, 24*3600e3),
		"warm": span(&c.State.Warm, 0, 3600e3),
	}.Read(node.Args(), "delay", "order")
	switch {
	case err != nil:
		return err
	case len(s.Zones) < 2 || len(s.Zones) > statemachine.MostZones:
		return node.Errorf("(zones ...) needs (names NAME NAME ...), from 2 to %d of them", statemachine.MostZones)
	case s.Life < 2*c.Renew+2*s.Period:
		return node.Errorf("a plan's life of %g ms is to be two renewals and two periods at least", s.Life)
	}
	for range s.Zones {
		c.Plan.Delay = append(c.Plan.Delay, make([]float64, len(s.Zones)))
	}
	for _, d := range delays {
		if err := z.readDelay(d); err != nil {
			return err
		}
	}
	for _, o := range s.Order {
		if s.Index(o.Zone) < 0 {
			return node.Errorf("an order is of zone %q, which is not named", o.Zone)
		}
	}
	return nil
}

func (z *Zones) readDelay(node *sexp.Node) error {
	a := node.Args()
	if len(a) != 3 || z.Index(a[0].Text) < 0 || z.Index(a[1].Text) < 0 {
		return node.Errorf("(delay ZONE ZONE TIME): one way between two zones that are named")
	}
	ms, err := a[2].Duration(0, 60000)
	x, y := z.Index(a[0].Text), z.Index(a[1].Text)
	z.Chief.Plan.Delay[x][y], z.Chief.Plan.Delay[y][x] = ms, ms
	return err
}

// readZoneOrder reads (order NUMBER ZONE STATE (until "TIME")), or lifted in place of a state.
func readZoneOrder(node *sexp.Node) (o zones.Order, err error) {
	a := node.Args()
	if len(a) < 3 || len(a) > 4 {
		return o, node.Errorf("(order NUMBER ZONE STATE), with (until \"2026-01-31T12:00:00Z\") behind it where it ends; STATE is one of %v, or lifted", health.Names)
	}
	no, err := wholeNumber(a[0], 1)
	if err != nil {
		return o, err
	}
	o.No, o.Zone = uint64(no), a[1].Text
	i := slices.Index(health.Names[:], a[2].Text)
	if o.Lifts = a[2].Text == "lifted"; i < 0 && !o.Lifts {
		return o, a[2].Errorf("a state is one of %v, or lifted", health.Names)
	}
	o.State = health.State(max(0, i))
	if len(a) == 4 {
		text, err := a[3].Str()
		if err != nil || a[3].Head() != "until" {
			return o, a[3].Errorf("(until \"TIME\") is due here")
		}
		at, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return o, a[3].Errorf("%q is no time as 2026-01-31T12:00:00Z", text)
		}
		o.Until = float64(at.UnixMilli())
	}
	return o, nil
}
