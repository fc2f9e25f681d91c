package view

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// testCluster is a set of views. A message arrives without delay, unless its sender or its receiver is cut off.
type testCluster struct {
	t         *testing.T
	now       float64
	views     []*View
	cut       map[int]bool // views whose messages are lost in both directions
	dead      map[int]bool
	conflicts []string // texts of NameConflict actions
	queue     []func()
}

func newTestCluster(t *testing.T, names ...string) *testCluster {
	cluster := &testCluster{t: t, now: 1e6, cut: map[int]bool{}, dead: map[int]bool{}}
	for _, n := range names {
		cluster.join(n)
	}
	return cluster
}

// join starts another process at a new address. Its seed is the first process.
func (cluster *testCluster) join(name string) *View {
	i := len(cluster.views)
	settings := Defaults()
	settings.SeedAddresses, settings.RandomSeed = []string{"at-0"}, uint64(i)
	v := New(settings, Record{ID: NewID(cluster.now, uint64(i+1)), Name: name, Addr: fmt.Sprint("at-", i)}, cluster.now)
	cluster.views = append(cluster.views, v)
	return v
}

func (cluster *testCluster) indexOf(addr string) int {
	return slices.IndexFunc(cluster.views, func(v *View) bool { return v.self.Addr == addr && !cluster.dead[slices.Index(cluster.views, v)] })
}

func (cluster *testCluster) handle(i int, event Event) {
	if cluster.dead[i] {
		return
	}
	for _, a := range cluster.views[i].Handle(cluster.now, event, nil) {
		to := cluster.indexOf(a.Addr)
		switch a.Kind {
		case NameConflict:
			cluster.conflicts = append(cluster.conflicts, fmt.Sprint(i, ": ", a.Text))
		case Send:
			if to >= 0 && !cluster.cut[i] && !cluster.cut[to] {
				cluster.queue = append(cluster.queue, func() { cluster.handle(to, Received{a.Message}) })
			}
		case StartExchange:
			if to >= 0 && to != i && !cluster.cut[i] && !cluster.cut[to] {
				sent := cluster.views[i].Records()
				cluster.queue = append(cluster.queue, func() {
					answered := cluster.views[to].Records()
					cluster.handle(to, ExchangeCompleted{sent})
					cluster.handle(i, ExchangeCompleted{answered})
				})
			}
		}
	}
}

// advance advances the time in steps of 50 ms.
func (cluster *testCluster) advance(ms float64) {
	for end := cluster.now + ms; cluster.now < end; cluster.now += 50 {
		for i := range cluster.views {
			cluster.handle(i, Tick{})
		}
		for len(cluster.queue) > 0 {
			deliver := cluster.queue[0]
			cluster.queue = cluster.queue[1:]
			deliver()
		}
	}
}

// membersSeenBy lists the members of one view and their states, by name.
func (cluster *testCluster) membersSeenBy(i int) string {
	var out []string
	for _, record := range cluster.views[i].Members() {
		out = append(out, record.Name+" "+record.State.String())
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

func (cluster *testCluster) expectMembers(i int, members string) {
	cluster.t.Helper()
	if got := cluster.membersSeenBy(i); got != members {
		cluster.t.Errorf("view %d has members %s; want %s", i, got, members)
	}
}

// TestRestartedProcessReplacesItsPredecessor checks that a process that starts with the same name and address within the suspicion timeout
// replaces the old one at once, and that a late record of the old one does not bring that back.
func TestRestartedProcessReplacesItsPredecessor(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c", "d")
	cluster.advance(4000)
	cluster.expectMembers(0, "a alive, b alive, c alive, d alive")
	old := cluster.views[1].Self()
	cluster.dead[1] = true
	cluster.advance(1000)
	successor := cluster.join("b")
	successor.self.Addr = "at-1"
	cluster.advance(3000)
	cluster.expectMembers(0, "a alive, b alive, b left, c alive, d alive")
	old.Incarnation += 9
	cluster.handle(0, ExchangeCompleted{[]Record{cluster.views[2].Self(), old}})
	cluster.advance(1000)
	cluster.expectMembers(0, "a alive, b alive, b left, c alive, d alive")
	if c := cluster.views[0].Counts(); c.Sending != 4 || c.Reachable != 4 {
		t.Errorf("counts of view 0 after the restart of b: got %+v, want 4 sending and 4 reachable", c)
	}
}

// TestYoungerProcessChangesItsName checks that of two running processes with one name at different addresses the younger one changes its
// name, both report the conflict, and both are still counted.
func TestYoungerProcessChangesItsName(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(4000)
	cluster.join("b")
	cluster.advance(6000)
	name := cluster.views[3].Self().Name
	if !strings.HasPrefix(name, "b~") || cluster.views[1].Self().Name != "b" {
		t.Errorf("the older b is named %q and the younger one %q, want b and a name that begins with b~", cluster.views[1].Self().Name, name)
	}
	cluster.expectMembers(0, fmt.Sprintf("a alive, b alive, %s alive, c alive", name))
	if all := strings.Join(cluster.conflicts, "\n"); !strings.Contains(all, "3: an older process at at-1") || !strings.Contains(all, "1: a younger process at at-3") {
		t.Errorf("reported name conflicts: got %q, want one of process 3 with at-1 and one of process 1 with at-3", all)
	}
	if c := cluster.views[0].Counts(); c.Sending != 4 {
		t.Errorf("counts of view 0 with two processes named b: got %+v, want 4 sending", c)
	}
}

// TestIsolatedProcessSuspectsNobody checks that a process that is cut off suspects nobody, counts all as sending for SendingTimeout, and
// rejoins although its seed has ended in the meantime.
func TestIsolatedProcessSuspectsNobody(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c", "d")
	cluster.advance(4000)
	cluster.cut[3] = true
	cluster.advance(20000)
	cluster.expectMembers(3, "a alive, b alive, c alive, d alive")
	if c := cluster.views[3].Counts(); !c.Isolated || c.Reachable != 1 || c.Sending != 4 || c.Majority {
		t.Errorf("counts of view 3, which is cut off: got %+v, want isolated, no majority, 1 reachable, 4 sending", c)
	}
	cluster.expectMembers(1, "a alive, b alive, c alive, d failed")
	if c := cluster.views[1].Counts(); c.Reachable != 3 || c.Sending != 4 {
		t.Errorf("counts of view 1 while 3 is cut off: got %+v, want 3 reachable, 4 sending", c)
	}
	cluster.dead[0] = true
	delete(cluster.cut, 3)
	cluster.advance(9000)
	for _, i := range []int{1, 2, 3} {
		cluster.expectMembers(i, "a failed, b alive, c alive, d alive")
	}
	cluster.advance(60000) // a process that failed longer ago than SendingTimeout does not count as sending
	if c := cluster.views[1].Counts(); c.Sending != 3 {
		t.Errorf("counts of view 1 after SendingTimeout: got %+v, want 3 sending", c)
	}
}

// TestProcessThatLeavesNeverReturns checks that a process that announces its end is not suspected and never returns, and that it is counted
// while draining.
func TestProcessThatLeavesNeverReturns(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(4000)
	old := cluster.views[1].Self()
	cluster.handle(1, SetDraining{true})
	cluster.advance(1000)
	if i := slices.IndexFunc(cluster.views[0].Members(), func(record Record) bool { return record.Name == "b" && record.Draining }); i < 0 {
		t.Error("the draining of b was not announced")
	}
	if c := cluster.views[0].Counts(); c.Sending != 3 {
		t.Errorf("counts of view 0 while b drains: got %+v, want 3 sending", c)
	}
	cluster.handle(1, Leave{})
	cluster.dead[1] = true
	cluster.advance(100)
	cluster.expectMembers(0, "a alive, b left, c alive")
	old.Incarnation += 5
	cluster.handle(0, ExchangeCompleted{[]Record{old}})
	cluster.advance(6000)
	cluster.expectMembers(0, "a alive, b left, c alive")
	cluster.expectMembers(2, "a alive, b left, c alive")
}

// TestInvalidAndExcessRecordsAreRejected checks that invalid records and those beyond MaxRecords are rejected and counted.
func TestInvalidAndExcessRecordsAreRejected(t *testing.T) {
	cluster := newTestCluster(t, "a")
	cluster.handle(0, ExchangeCompleted{[]Record{{ID: 9}, {ID: 9, Name: "x"}, {ID: 9, Name: strings.Repeat("x", 65), Addr: "y"}, {ID: 9, Name: "x", Addr: "y", State: 7}}})
	for i := range 3 * MaxRecords {
		cluster.handle(0, ExchangeCompleted{[]Record{{ID: ID(100 + i), Name: fmt.Sprint(i), Addr: fmt.Sprint("nowhere-", i)}}})
	}
	if n := len(cluster.views[0].Members()); n != MaxRecords {
		t.Errorf("%d records are known, want %d", n, MaxRecords)
	}
	if n := cluster.views[0].RejectedRecords(); n != 4+2*MaxRecords+1 {
		t.Errorf("%d records were rejected, want %d", n, 4+2*MaxRecords+1)
	}
	cluster.advance(500)
}

// TestRestartedSeedsAreFoundByTheOthers checks that the others find the only seed, which restarts and knows nobody, by probing the failed
// process at its address.
func TestRestartedSeedsAreFoundByTheOthers(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c", "d")
	cluster.advance(4000)
	cluster.dead[0] = true
	cluster.advance(9000)
	successor := cluster.join("a")
	successor.self.Addr, successor.byAddress["at-0"] = "at-0", successor.self
	cluster.advance(8000)
	for _, i := range []int{1, 2, 3, 4} {
		cluster.expectMembers(i, "a alive, a left, b alive, c alive, d alive")
	}
}

// TestRestartWithAnEarlierClock checks that a restarted process replaces its predecessor although its clock is behind the predecessor's.
func TestRestartWithAnEarlierClock(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c", "d")
	cluster.advance(4000)
	cluster.dead[1] = true
	cluster.advance(1000)
	settings := Defaults()
	settings.SeedAddresses = []string{"at-0"}
	cluster.views = append(cluster.views, New(settings, Record{ID: NewID(5000, 1), Name: "b", Addr: "at-1"}, cluster.now))
	cluster.advance(9000)
	for _, i := range []int{0, 2, 3, 4} {
		cluster.expectMembers(i, "a alive, b alive, b left, b left, c alive, d alive") // the first ID of the restarted b, the ID of its predecessor, and its current one
	}
}

// TestLastProcessFindsRestartedOnes checks that after all but one process have ended, and some of them restart without a reachable seed,
// the remaining process, which is isolated and suspects nobody, finds them by probing the ring.
func TestLastProcessFindsRestartedOnes(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c", "d")
	cluster.advance(4000)
	for i := range 3 {
		cluster.dead[i] = true
	}
	cluster.advance(9000)
	cluster.expectMembers(3, "a alive, b alive, c alive, d alive")
	for i, n := range []string{"b", "c"} {
		v := cluster.join(n)
		v.self.Addr = fmt.Sprint("at-", i+1)
		v.byAddress = map[string]*member{v.self.Addr: v.self}
	}
	for _, v := range cluster.views { // else a later full exchange with the process at an address would find it
		v.nextExchange = 1e12
	}
	cluster.advance(20000)
	for _, i := range []int{3, 4, 5} {
		cluster.expectMembers(i, "a failed, b alive, b left, c alive, c left, d alive")
	}
}
