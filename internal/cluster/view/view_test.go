package view

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// testCluster is some views whose messages arrive at once, unless they are cut off.
type testCluster struct {
	t         *testing.T
	now       float64
	views     []*View
	cut       map[int]bool // nothing gets to or from
	dead      map[int]bool
	conflicts []string // conflicts
	queue     []func()
}

func newTestCluster(t *testing.T, names ...string) *testCluster {
	f := &testCluster{t: t, now: 1e6, cut: map[int]bool{}, dead: map[int]bool{}}
	for _, n := range names {
		f.join(n)
	}
	return f
}

// join starts another process, at an address of its own; its seed is the first process.
func (f *testCluster) join(name string) *View {
	i := len(f.views)
	s := Defaults()
	s.SeedAddresses, s.RandomSeed = []string{"at-0"}, uint64(i)
	v := New(s, Record{ID: NewID(f.now, uint64(i+1)), Name: name, Addr: fmt.Sprint("at-", i)}, f.now)
	f.views = append(f.views, v)
	return v
}

func (f *testCluster) indexOf(addr string) int {
	return slices.IndexFunc(f.views, func(v *View) bool { return v.self.Addr == addr && !f.dead[slices.Index(f.views, v)] })
}

func (f *testCluster) handle(i int, event Event) {
	if f.dead[i] {
		return
	}
	for _, a := range f.views[i].Handle(f.now, event, nil) {
		to := f.indexOf(a.Addr)
		switch a.Kind {
		case NameConflict:
			f.conflicts = append(f.conflicts, fmt.Sprint(i, ": ", a.Text))
		case Send:
			if to >= 0 && !f.cut[i] && !f.cut[to] {
				f.queue = append(f.queue, func() { f.handle(to, Received{a.Message}) })
			}
		case StartExchange:
			if to >= 0 && to != i && !f.cut[i] && !f.cut[to] {
				mine := f.views[i].Records()
				f.queue = append(f.queue, func() {
					theirs := f.views[to].Records()
					f.handle(to, ExchangeCompleted{mine})
					f.handle(i, ExchangeCompleted{theirs})
				})
			}
		}
	}
}

// advance lets time pass.
func (f *testCluster) advance(ms float64) {
	for end := f.now + ms; f.now < end; f.now += 50 {
		for i := range f.views {
			f.handle(i, Tick{})
		}
		for len(f.queue) > 0 {
			do := f.queue[0]
			f.queue = f.queue[1:]
			do()
		}
	}
}

// membersSeenBy lists the members of one view and their states, by name.
func (f *testCluster) membersSeenBy(i int) string {
	var out []string
	for _, record := range f.views[i].Members() {
		out = append(out, record.Name+" "+record.State.String())
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

func (f *testCluster) expectMembers(i int, members string) {
	f.t.Helper()
	if got := f.membersSeenBy(i); got != members {
		f.t.Errorf("%d has members %s; want %s", i, got, members)
	}
}

// TestRestartedProcessReplacesItsPredecessor: a process that starts with the same name and address within the suspicion timeout replaces
// the old one at once, and an old record does not bring the old one back.
func TestRestartedProcessReplacesItsPredecessor(t *testing.T) {
	f := newTestCluster(t, "a", "b", "c", "d")
	f.advance(4000)
	f.expectMembers(0, "a alive, b alive, c alive, d alive")
	old := f.views[1].Self()
	f.dead[1] = true
	f.advance(1000)
	next := f.join("b")
	next.self.Addr = "at-1"
	f.advance(3000)
	f.expectMembers(0, "a alive, b alive, b left, c alive, d alive")
	old.Incarnation += 9
	f.handle(0, ExchangeCompleted{[]Record{f.views[2].Self(), old}})
	f.advance(1000)
	f.expectMembers(0, "a alive, b alive, b left, c alive, d alive")
	if c := f.views[0].Counts(); c.Sending != 4 || c.Reachable != 4 {
		t.Errorf("counts %+v", c)
	}
}

// TestYoungerProcessChangesItsName: of two running processes with one name at different addresses the younger one takes another name,
// both report the conflict, and both are still counted.
func TestYoungerProcessChangesItsName(t *testing.T) {
	f := newTestCluster(t, "a", "b", "c")
	f.advance(4000)
	f.join("b")
	f.advance(6000)
	name := f.views[3].Self().Name
	if !strings.HasPrefix(name, "b~") || f.views[1].Self().Name != "b" {
		t.Errorf("the older one is called %q, the younger %q", f.views[1].Self().Name, name)
	}
	f.expectMembers(0, fmt.Sprintf("a alive, b alive, %s alive, c alive", name))
	if all := strings.Join(f.conflicts, "\n"); !strings.Contains(all, "3: an older process at at-1") || !strings.Contains(all, "1: a younger process at at-3") {
		t.Errorf("conflicts: %s", all)
	}
	if c := f.views[0].Counts(); c.Sending != 4 {
		t.Errorf("counts %+v", c)
	}
}

// TestIsolatedProcessSuspectsNobody: a process that is cut off suspects nobody, counts all as sending for SendingTimeout, and rejoins
// without its seed, which has ended meanwhile.
func TestIsolatedProcessSuspectsNobody(t *testing.T) {
	f := newTestCluster(t, "a", "b", "c", "d")
	f.advance(4000)
	f.cut[3] = true
	f.advance(20000)
	f.expectMembers(3, "a alive, b alive, c alive, d alive")
	if c := f.views[3].Counts(); !c.Isolated || c.Reachable != 1 || c.Sending != 4 || c.Majority {
		t.Errorf("counts of the one cut off %+v", c)
	}
	f.expectMembers(1, "a alive, b alive, c alive, d failed")
	if c := f.views[1].Counts(); c.Reachable != 3 || c.Sending != 4 {
		t.Errorf("counts of the others %+v", c)
	}
	f.dead[0] = true
	delete(f.cut, 3)
	f.advance(9000)
	for _, i := range []int{1, 2, 3} {
		f.expectMembers(i, "a failed, b alive, c alive, d alive")
	}
	f.advance(60000) // a process that failed longer ago than SendingTimeout does not count as sending
	if c := f.views[1].Counts(); c.Sending != 3 {
		t.Errorf("counts %+v", c)
	}
}

// TestProcessThatLeavesNeverReturns: a process that announces its end is not suspected and never returns; while draining it is counted.
func TestProcessThatLeavesNeverReturns(t *testing.T) {
	f := newTestCluster(t, "a", "b", "c")
	f.advance(4000)
	was := f.views[1].Self()
	f.handle(1, SetDraining{true})
	f.advance(1000)
	if i := slices.IndexFunc(f.views[0].Members(), func(record Record) bool { return record.Name == "b" && record.Draining }); i < 0 {
		t.Error("its draining was not announced")
	}
	if c := f.views[0].Counts(); c.Sending != 3 {
		t.Errorf("counts %+v", c)
	}
	f.handle(1, Leave{})
	f.dead[1] = true
	f.advance(100)
	f.expectMembers(0, "a alive, b left, c alive")
	was.Incarnation += 5
	f.handle(0, ExchangeCompleted{[]Record{was}})
	f.advance(6000)
	f.expectMembers(0, "a alive, b left, c alive")
	f.expectMembers(2, "a alive, b left, c alive")
}

// TestInvalidAndExcessRecordsAreRejected: invalid records, and those beyond MaxRecords, are counted and rejected.
func TestInvalidAndExcessRecordsAreRejected(t *testing.T) {
	f := newTestCluster(t, "a")
	f.handle(0, ExchangeCompleted{[]Record{{ID: 9}, {ID: 9, Name: "x"}, {ID: 9, Name: strings.Repeat("x", 65), Addr: "y"}, {ID: 9, Name: "x", Addr: "y", State: 7}}})
	for i := range 3 * MaxRecords {
		f.handle(0, ExchangeCompleted{[]Record{{ID: ID(100 + i), Name: fmt.Sprint(i), Addr: fmt.Sprint("nowhere-", i)}}})
	}
	if n := len(f.views[0].Members()); n != MaxRecords {
		t.Errorf("%d records are known", n)
	}
	if n := f.views[0].RejectedRecords(); n != 4+2*MaxRecords+1 {
		t.Errorf("%d were rejected", n)
	}
	f.advance(500)
}

// TestRestartedSeedsAreFoundByTheOthers: all seeds restart at once and know only one another; the others find them by probing the
// failed processes at their addresses.
func TestRestartedSeedsAreFoundByTheOthers(t *testing.T) {
	f := newTestCluster(t, "a", "b", "c", "d")
	f.advance(4000)
	f.dead[0] = true
	f.advance(9000)
	next := f.join("a")
	next.self.Addr, next.byAddress["at-0"] = "at-0", next.self
	f.advance(8000)
	for _, i := range []int{1, 2, 3, 4} {
		f.expectMembers(i, "a alive, a left, b alive, c alive, d alive")
	}
}

// TestRestartWithAnEarlierClock: a restarted process replaces its predecessor though its clock is behind the predecessor's.
func TestRestartWithAnEarlierClock(t *testing.T) {
	f := newTestCluster(t, "a", "b", "c", "d")
	f.advance(4000)
	f.dead[1] = true
	f.advance(1000)
	s := Defaults()
	s.SeedAddresses = []string{"at-0"}
	f.views = append(f.views, New(s, Record{ID: NewID(5000, 1), Name: "b", Addr: "at-1"}, f.now))
	f.advance(9000)
	for _, i := range []int{0, 2, 3, 4} {
		f.expectMembers(i, "a alive, b alive, b left, b left, c alive, d alive") // by its first ID, by the last process's and by its own
	}
}

// TestLastProcessFindsRestartedOnes: all but one process end, and restart while their seed stays down: the remaining one, isolated and
// suspecting nobody, finds them by probing the ring.
func TestLastProcessFindsRestartedOnes(t *testing.T) {
	f := newTestCluster(t, "a", "b", "c", "d")
	f.advance(4000)
	for i := range 3 {
		f.dead[i] = true
	}
	f.advance(9000)
	f.expectMembers(3, "a alive, b alive, c alive, d alive")
	for i, n := range []string{"b", "c"} {
		v := f.join(n)
		v.self.Addr = fmt.Sprint("at-", i+1)
		v.byAddress = map[string]*member{v.self.Addr: v.self}
	}
	for _, v := range f.views { // else a full exchange with whoever is at an address would do it, later
		v.nextExchange = 1e12
	}
	f.advance(20000)
	for _, i := range []int{3, 4, 5} {
		f.expectMembers(i, "a failed, b alive, b left, c alive, c left, d alive")
	}
}
