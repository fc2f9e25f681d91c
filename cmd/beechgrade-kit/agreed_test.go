package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/rehearse"
	"beechgrade/internal/testkit/scenario"
)

// agreedLine is a line of a pooler's log.
type agreedLine struct {
	at      time.Time
	process string
	fields  map[string]string
}

var fieldOf = regexp.MustCompile(`(\w+)=("[^"]*"|\S+)`)

// agreedLines are what all poolers logged, by time.
func agreedLines(t testing.TB, dir string, poolers int) (all []agreedLine) {
	t.Helper()
	for i := range poolers {
		name := fmt.Sprintf("pooler-%d", i)
		f, err := os.Open(filepath.Join(dir, name, "log.txt"))
		if err != nil {
			t.Fatal(err)
		}
		life := 0
		for in := bufio.NewScanner(f); in.Scan(); {
			l := agreedLine{fields: map[string]string{}}
			for _, m := range fieldOf.FindAllStringSubmatch(in.Text(), -1) {
				l.fields[m[1]] = strings.Trim(m[2], `"`)
			}
			if l.fields["msg"] == "cluster: node could not start; shutting down" || l.fields["msg"] == "cluster: listening" {
				life++
			}
			if l.at, err = time.Parse(time.RFC3339, l.fields["time"]); err != nil || !strings.HasPrefix(l.fields["msg"], "replicated log: ") && !strings.HasPrefix(l.fields["msg"], "store agreed: ") {
				continue
			}
			l.process = fmt.Sprintf("%s/%d", name, life)
			all = append(all, l)
		}
		_ = f.Close()
	}
	slices.SortStableFunc(all, func(a, b agreedLine) int { return a.at.Compare(b.at) })
	return all
}

// agreedPlay plays a script on so many voters and one pooler that does not vote, which all propose, and holds what they say to the
// checker. Those of quiet are not held to have taken all in the end.
func agreedPlay(t testing.TB, voters int, script string, killed func(disk string, pooler string), quiet ...int) (*checker.LogAgreement, []agreedLine) {
	t.Helper()
	dir := t.TempDir()
	names := ""
	for i := range voters {
		names += fmt.Sprintf(" %q", fmt.Sprintf("pooler-%d", i))
	}
	s, err := scenario.Parse("script", []byte(fmt.Sprintf(`(rehearsal "agreed" %s (poolers %d) (peers (probe 300ms) (timeout 100ms) (suspicion 900ms) (gossip 100ms) (exchange 2s) (reconnect 400ms) (hold 30s)) %s)`,
		quick, voters+1, script)))
	if err != nil {
		t.Fatal(err)
	}
	s.Clients.Rate = 20
	disks := filepath.Join(dir, "disks")
	opt := rehearse.Options{Seed: 3, Out: dir, Daemon: daemon, Log: slog.New(slog.DiscardHandler),
		Operators: fmt.Sprintf("(agreed (voters%s) (dir \"%s/$POOLER\") (tick 50ms) (election 12) (heartbeat 2) (every 400) (keep 100) (witness 60))\n", names, disks)}
	if killed != nil {
		opt.Killed = func(pooler string) { killed(filepath.Join(disks, pooler), pooler) }
	}
	res, err := rehearse.Execute(context.Background(), s, opt)
	if err != nil {
		t.Fatal(err)
	}
	breached(t, res)
	lines := agreedLines(t, dir, voters+1)
	a := &checker.LogAgreement{}
	last := map[string]string{}
	for _, l := range lines {
		num := func(k string) uint64 {
			n, _ := strconv.ParseUint(l.fields[k], 10, 64)
			return n
		}
		switch l.fields["msg"] {
		case "replicated log: this pooler became the leader":
			a.ReportLeader(l.process, num("term"))
		case "replicated log: witness entries":
			if pooler, _, _ := strings.Cut(l.process, "/"); pooler != fmt.Sprintf("pooler-%d", voters) {
				a.ReportTally(l.at, l.process, checker.Tally{Taken: num("taken"), Applied: num("applied"), Term: num("term"), Sum: l.fields["sum"], Participates: l.fields["part"] == "true"})
				last[pooler] = l.process
			}
		}
	}
	var ends []string
	for i := range voters {
		if !slices.Contains(quiet, i) {
			ends = append(ends, last[fmt.Sprintf("pooler-%d", i)])
		}
	}
	for _, f := range a.Violations {
		t.Error(f)
	}
	found := len(a.Violations)
	a.CheckFinal(ends, 3*time.Second)
	for _, f := range a.Violations[found:] {
		t.Errorf("%s, 3 s after others took these", f)
	}
	t.Logf("%d entries taken, %d terms with a leader, %.1f s at most in which nobody took any", a.MostTaken, a.TermsWithLeader, a.LongestPause.Seconds())
	if t.Failed() {
		for _, l := range lines {
			if l.fields["msg"] != "replicated log: witness entries" {
				t.Log(l.at.Format("05.000"), l.process, l.fields["msg"], cmp.Or(l.fields["leader"], l.fields["reason"], l.fields["voters"]), l.fields["term"])
			}
		}
	}
	return a, lines
}

func said(lines []agreedLine, msg, pooler string) int {
	return len(slices.DeleteFunc(slices.Clone(lines), func(l agreedLine) bool { return l.fields["msg"] != msg || !strings.HasPrefix(l.process, pooler) }))
}

// TestFleetAgreedKilled: each of three voters is killed in turn, so the one that leads too; then all at once. Nothing that anybody
// took is lost, and another leads within the bound and what a busy machine adds.
func TestFleetAgreedKilled(t *testing.T) {
	t.Parallel()
	a, _ := agreedPlay(t, 3, `(seconds 19) (at 3s (kill-pooler 0) (for 2s)) (at 7s (kill-pooler 1) (for 2s)) (at 11s (kill-pooler 2) (for 2s))
		(at 14s (kill-pooler 0) (for 300ms)) (at 14s (kill-pooler 1) (for 300ms)) (at 14s (kill-pooler 2) (for 300ms))`, nil)
	if a.TermsWithLeader < 2 {
		t.Errorf("%d terms", a.TermsWithLeader)
	}
	if a.MostTaken < 1000 || a.LongestPause > 8*time.Second {
		t.Errorf("%d entries, a gap of %v", a.MostTaken, a.LongestPause)
	}
}

// TestFleetAgreedStopped: each voter stands still for 5 s and wakes, the leader of old among them.
func TestFleetAgreedStopped(t *testing.T) {
	t.Parallel()
	a, _ := agreedPlay(t, 3, `(seconds 22) (at 2s (stall-pooler 0) (for 5s)) (at 8500ms (stall-pooler 1) (for 5s)) (at 15s (stall-pooler 2) (for 5s))`, nil)
	if a.TermsWithLeader < 2 {
		t.Errorf("%d terms", a.TermsWithLeader)
	}
	if a.MostTaken < 1000 || a.LongestPause > 5*time.Second {
		t.Errorf("%d entries, a gap of %v", a.MostTaken, a.LongestPause)
	}
}

// TestFleetAgreedParted: of five voters two are cut off from three, then others, with proposals on both sides; then three of ten datagrams
// are lost, others doubled and overtaken.
func TestFleetAgreedParted(t *testing.T) {
	t.Parallel()
	a, _ := agreedPlay(t, 5, `(seconds 22) (at 2s (between (0 1) (2 3 4) cut) (for 5s)) (at 8s (between (2 3) (0 1 4 5) cut) (for 4s))
		(at 12500ms (between all all (lose 0.3) (duplicate 0.2) (reorder 0.3)) (for 5s))`, nil)
	if a.MostTaken < 1500 || a.LongestPause > 9*time.Second {
		t.Errorf("%d entries, a gap of %v", a.MostTaken, a.LongestPause)
	}
}

// TestFleetAgreedDisks: all three are killed; one comes back without its disk, one with a torn tail. The one without has no vote until
// the others have agreed to its new disk; later another's disk is rotten: it votes no more, serves on, and the others go on without it.
func TestFleetAgreedDisks(t *testing.T) {
	t.Parallel()
	kills := map[string]int{}
	a, lines := agreedPlay(t, 3, `(seconds 18) (at 3s (kill-pooler 0) (for 500ms)) (at 3s (kill-pooler 1) (for 500ms)) (at 3s (kill-pooler 2) (for 500ms)) (at 11s (kill-pooler 0) (for 500ms))`,
		func(disk, pooler string) {
			kills[pooler]++
			switch {
			case pooler == "pooler-1":
				_ = os.RemoveAll(disk)
			case pooler == "pooler-2":
				damage(t, disk, func(b []byte) []byte { return append(b, 40, 0, 0, 0, 1, 2, 3) })
			case kills[pooler] == 2:
				damage(t, disk, func(b []byte) []byte { b[200] ^= 4; return b })
			}
		}, 0)
	if said(lines, "replicated log: a voter continues on another disk", "pooler-2") == 0 {
		t.Error("nobody agreed to the new disk")
	}
	if said(lines, "store agreed: recovery dropped an incomplete end", "pooler-2") != 1 {
		t.Error("nobody saw the torn tail")
	}
	if said(lines, "replicated log: stopped; this pooler no longer votes", "pooler-0") != 1 {
		t.Error("a rotten disk was taken")
	}
	if a.MostTaken < 800 {
		t.Errorf("%d entries", a.MostTaken)
	}
}

// damage changes the newest segment of a store.
func damage(t testing.TB, disk string, do func(b []byte) []byte) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(disk, "*.log"))
	if err != nil || len(names) == 0 {
		t.Errorf("%s: %v, %v", disk, names, err)
		return
	}
	slices.Sort(names)
	name := names[len(names)-1]
	b, err := os.ReadFile(name)
	if err == nil {
		err = os.WriteFile(name, do(b), 0o640)
	}
	if err != nil {
		t.Error(err)
	}
}

// TestFleetAgreedRolled: three voters are restarted one after the other under load.
func TestFleetAgreedRolled(t *testing.T) {
	t.Parallel()
	a, _ := agreedPlay(t, 3, `(seconds 20) (at 2s (restart-pooler 0)) (at 7s (restart-pooler 1)) (at 12s (restart-pooler 2))`, nil)
	if a.MostTaken < 1500 || a.LongestPause > 3*time.Second {
		t.Errorf("%d entries, a gap of %v", a.MostTaken, a.LongestPause)
	}
}
