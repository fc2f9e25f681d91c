package view

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// few is a handful of views whose messages arrive at once, unless they are cut off.
type few struct {
	t     *testing.T
	now   float64
	views []*View
	cut   map[int]bool // nothing gets to or from
	dead  map[int]bool
	said  []string // conflicts
	queue []func()
}

func newFew(t *testing.T, names ...string) *few {
	f := &few{t: t, now: 1e6, cut: map[int]bool{}, dead: map[int]bool{}}
	for _, n := range names {
		f.join(n)
	}
	return f
}

// join has one more process begin, at an address of its own; its seed is the first.
func (f *few) join(name string) *View {
	i := len(f.views)
	s := Defaults()
	s.Seeds, s.Seed = []string{"at-0"}, uint64(i)
	v := New(s, Record{ID: NewID(f.now, uint64(i+1)), Name: name, Addr: fmt.Sprint("at-", i)}, f.now)
	f.views = append(f.views, v)
	return v
}

func (f *few) at(addr string) int {
	return slices.IndexFunc(f.views, func(v *View) bool { return v.self.Addr == addr && !f.dead[slices.Index(f.views, v)] })
}

func (f *few) do(i int, e Event) {
	if f.dead[i] {
		return
	}
	for _, a := range f.views[i].Handle(f.now, e, nil) {
		to := f.at(a.Addr)
		switch a.Kind {
		case Conflict:
			f.said = append(f.said, fmt.Sprint(i, ": ", a.Text))
		case Send:
			if to >= 0 && !f.cut[i] && !f.cut[to] {
				f.queue = append(f.queue, func() { f.do(to, Heard{a.Message}) })
			}
		case Trade:
			if to >= 0 && to != i && !f.cut[i] && !f.cut[to] {
				mine := f.views[i].Records()
				f.queue = append(f.queue, func() {
					theirs := f.views[to].Records()
					f.do(to, Exchanged{mine})
					f.do(i, Exchanged{theirs})
				})
			}
		}
	}
}

// pass lets time go by.
func (f *few) pass(ms float64) {
	for end := f.now + ms; f.now < end; f.now += 50 {
		for i := range f.views {
			f.do(i, Tick{})
		}
		for len(f.queue) > 0 {
			do := f.queue[0]
			f.queue = f.queue[1:]
			do()
		}
	}
}

// sees is what one says of all, by name.
func (f *few) sees(i int) string {
	var out []string
	for _, r := range f.views[i].Members() {
		out = append(out, r.Name+" "+r.State.String())
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

func (f *few) want(i int, sees string) {
	f.t.Helper()
	if got := f.sees(i); got != sees {
		f.t.Errorf("%d sees %s; want %s", i, got, sees)
	}
}

// TestRestartTakesItsPlace: a process that returns at the same name and address within the suspicion's time is the pooler from then
// on; the old one is not waited for, and its old word does not bring it back.
func TestRestartTakesItsPlace(t *testing.T) {
	f := newFew(t, "a", "b", "c", "d")
	f.pass(4000)
	f.want(0, "a alive, b alive, c alive, d alive")
	old := f.views[1].Self()
	f.dead[1] = true
	f.pass(1000)
	next := f.join("b")
	next.self.Addr = "at-1"
	f.pass(3000)
	f.want(0, "a alive, b alive, b left, c alive, d alive")
	old.Inc += 9
	f.do(0, Exchanged{[]Record{f.views[2].Self(), old}})
	f.pass(1000)
	f.want(0, "a alive, b alive, b left, c alive, d alive")
	if c := f.views[0].Counts(); c.Sending != 4 || c.Reachable != 4 {
		t.Errorf("counts %+v", c)
	}
}

// TestTwoWithOneName: of two processes that run under one name at different addresses the younger one gives way, by taking a name of
// its own, loudly at both; both go on being counted.
func TestTwoWithOneName(t *testing.T) {
	f := newFew(t, "a", "b", "c")
	f.pass(4000)
	f.join("b")
	f.pass(6000)
	name := f.views[3].Self().Name
	if !strings.HasPrefix(name, "b~") || f.views[1].Self().Name != "b" {
		t.Errorf("the older one is called %q, the younger %q", f.views[1].Self().Name, name)
	}
	f.want(0, fmt.Sprintf("a alive, b alive, %s alive, c alive", name))
	if all := strings.Join(f.said, "\n"); !strings.Contains(all, "3: an older process at at-1") || !strings.Contains(all, "1: a younger process at at-3") {
		t.Errorf("said: %s", all)
	}
	if c := f.views[0].Counts(); c.Sending != 4 {
		t.Errorf("counts %+v", c)
	}
}

// TestHearsNobody: one that is cut off accuses nobody, however long it lasts, counts all for as long as is stated, and is taken back
// without a seed, which has gone meanwhile.
func TestHearsNobody(t *testing.T) {
	f := newFew(t, "a", "b", "c", "d")
	f.pass(4000)
	f.cut[3] = true
	f.pass(20000)
	f.want(3, "a alive, b alive, c alive, d alive")
	if c := f.views[3].Counts(); !c.Alone || c.Reachable != 1 || c.Sending != 4 || c.Majority {
		t.Errorf("counts of the one cut off %+v", c)
	}
	f.want(1, "a alive, b alive, c alive, d failed")
	if c := f.views[1].Counts(); c.Reachable != 3 || c.Sending != 4 {
		t.Errorf("counts of the others %+v", c)
	}
	f.dead[0] = true
	delete(f.cut, 3)
	f.pass(9000)
	for _, i := range []int{1, 2, 3} {
		f.want(i, "a failed, b alive, c alive, d alive")
	}
	f.pass(60000) // what was dead for longer than Hold sends no more
	if c := f.views[1].Counts(); c.Sending != 3 {
		t.Errorf("counts %+v", c)
	}
}

// TestLeaves: who says that it leaves is suspected by nobody, and never comes back; what drains is counted until then.
func TestLeaves(t *testing.T) {
	f := newFew(t, "a", "b", "c")
	f.pass(4000)
	was := f.views[1].Self()
	f.do(1, Drain{true})
	f.pass(1000)
	if i := slices.IndexFunc(f.views[0].Members(), func(r Record) bool { return r.Name == "b" && r.Draining }); i < 0 {
		t.Error("its draining was not heard")
	}
	if c := f.views[0].Counts(); c.Sending != 3 {
		t.Errorf("counts %+v", c)
	}
	f.do(1, Leave{})
	f.dead[1] = true
	f.pass(100)
	f.want(0, "a alive, b left, c alive")
	was.Inc += 5
	f.do(0, Exchanged{[]Record{was}})
	f.pass(6000)
	f.want(0, "a alive, b left, c alive")
	f.want(2, "a alive, b left, c alive")
}

// TestBounded: records that nobody can have, and more of them than there may be, are counted and not taken.
func TestBounded(t *testing.T) {
	f := newFew(t, "a")
	f.do(0, Exchanged{[]Record{{ID: 9}, {ID: 9, Name: "x"}, {ID: 9, Name: strings.Repeat("x", 65), Addr: "y"}, {ID: 9, Name: "x", Addr: "y", State: 7}}})
	for i := range 3 * MostRecords {
		f.do(0, Exchanged{[]Record{{ID: ID(100 + i), Name: fmt.Sprint(i), Addr: fmt.Sprint("nowhere-", i)}}})
	}
	if n := len(f.views[0].Members()); n != MostRecords {
		t.Errorf("%d records are kept", n)
	}
	if n := f.views[0].Strangers(); n != 4+2*MostRecords+1 {
		t.Errorf("%d were turned down", n)
	}
	f.pass(500)
}

// TestSeedsRestart: all seeds come back with an empty memory, at once. They know one another only; the others, which look for the
// processes that were there before, find them.
func TestSeedsRestart(t *testing.T) {
	f := newFew(t, "a", "b", "c", "d")
	f.pass(4000)
	f.dead[0] = true
	f.pass(9000)
	next := f.join("a")
	next.self.Addr, next.holds["at-0"] = "at-0", next.self
	f.pass(8000)
	for _, i := range []int{1, 2, 3, 4} {
		f.want(i, "a alive, a left, b alive, c alive, d alive")
	}
}

// TestClockGoesBack: a process that returns by a clock that is behind the last one's is the pooler all the same.
func TestClockGoesBack(t *testing.T) {
	f := newFew(t, "a", "b", "c", "d")
	f.pass(4000)
	f.dead[1] = true
	f.pass(1000)
	s := Defaults()
	s.Seeds = []string{"at-0"}
	f.views = append(f.views, New(s, Record{ID: NewID(5000, 1), Name: "b", Addr: "at-1"}, f.now))
	f.pass(9000)
	for _, i := range []int{0, 2, 3, 4} {
		f.want(i, "a alive, b alive, b left, b left, c alive, d alive") // by its first ID, by the last process's and by its own
	}
}

// TestOneLeft: all but one are gone, and come back empty while their seed stays away: the one that is left, which hears nobody and
// accuses nobody, finds them by looking for those that were there.
func TestOneLeft(t *testing.T) {
	f := newFew(t, "a", "b", "c", "d")
	f.pass(4000)
	for i := range 3 {
		f.dead[i] = true
	}
	f.pass(9000)
	f.want(3, "a alive, b alive, c alive, d alive")
	for i, n := range []string{"b", "c"} {
		v := f.join(n)
		v.self.Addr = fmt.Sprint("at-", i+1)
		v.holds = map[string]*member{v.self.Addr: v.self}
	}
	for _, v := range f.views { // else a full exchange with whoever is at an address would do it, later
		v.tradeAt = 1e12
	}
	f.pass(20000)
	for _, i := range []int{3, 4, 5} {
		f.want(i, "a failed, b alive, b left, c alive, c left, d alive")
	}
}
