package simulation

import (
	"encoding/binary"
	"errors"
	"testing"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
)

// partCounter is a part that tells all others a number with each step.
type partCounter struct {
	h     Host
	all   []view.Record
	self  view.ID
	n     number
	heard map[view.ID]int // how often
	lost  int             // streams
	taken int
}

type number uint64

func (n number) Append(b []byte) []byte { return binary.BigEndian.AppendUint64(b, uint64(n)) }

func (c *partCounter) Kind() view.Kind { return 60 }

func (c *partCounter) Decode(b []byte) (any, error) {
	if len(b) != 8 {
		return nil, errors.New("no number")
	}
	return number(binary.BigEndian.Uint64(b)), nil
}

func (c *partCounter) UpdateMembers(self view.ID, all []view.Record, _ view.Counts) {
	c.self, c.all = self, all
}
func (c *partCounter) Receive(from view.ID, m any) { _ = m.(number); c.heard[from]++ }
func (c *partCounter) Leave()                      {}

func (c *partCounter) Tick() {
	c.n++
	for i := range c.all {
		if r := &c.all[i]; r.ID != c.self && r.State == view.Alive {
			c.h.Send(r.Addr, r.ID, c.Kind(), c.n)
			if c.n%30 == 0 {
				c.h.SendStream(r.Addr, r.ID, c.Kind(), c.n, func(ok bool) {
					if ok {
						c.taken++
					} else {
						c.lost++
					}
				})
			}
		}
	}
}

// TestParts: what a part tells arrives at those that the way lets through, and not at those that it cuts off; what is for a process that has
// gone is not heard by the next one of its pooler.
func TestParts(t *testing.T) {
	t.Parallel()
	script := `(rehearsal "parts" (seconds 30) (poolers 4) (groups 3) (rate 20) (peers) (at 10s (between (0 1) (2 3) cut) (for 2s)) (at 20s (kill-pooler 3) (for 1s)))`
	run := func() (string, []*partCounter) {
		var made []*partCounter
		r := play(t, parse(t, script), Options{Seed: 3, Modules: []ModuleMaker{func(h Host) []module.Module {
			c := &partCounter{h: h, heard: map[view.ID]int{}}
			made = append(made, c)
			return []module.Module{c}
		}}})
		return r.Hash, made
	}
	hash, made := run()
	if len(made) != 5 { // one began again
		t.Fatalf("%d parts were made", len(made))
	}
	a := made[0]
	var ids [5]view.ID
	for i, c := range made {
		ids[i] = c.self
	}
	if n, m := a.heard[ids[1]], a.heard[ids[2]]; n < 550 || m < 450 || n-m < 20 {
		t.Errorf("heard %d words of one that is always there, %d of one that is cut off for 2 s", n, m)
	}
	if n := a.heard[ids[3]]; n > 400 || n < 200 {
		t.Errorf("heard %d words of one that was cut off and killed", n)
	}
	if a.heard[ids[4]] < 100 || made[4].heard[ids[0]] < 100 {
		t.Errorf("heard %d and %d words of and by one that began again", a.heard[ids[4]], made[4].heard[ids[0]])
	}
	if a.taken < 10 || a.lost == 0 {
		t.Errorf("%d streams were taken, %d lost", a.taken, a.lost)
	}
	if again, _ := run(); again != hash {
		t.Error("the same seed, and other events")
	}
}
