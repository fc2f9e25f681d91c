package main

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/rehearse"
	"beechgrade/internal/testkit/scenario"
)

// TestFleetMonthEnd runs the month-end scenario on eight processes with a relay between each two of them: overload from clients that retry, a partition,
// a tenant whose funds run out and who pays, reports paged at all processes in turn, and two processes that are killed. The counts are those of
// the servers and the clients.
func TestFleetMonthEnd(t *testing.T) {
	t.Parallel()
	s, err := scenario.Load("../../example/rehearsals/month-end-fleet.sexp")
	if err != nil {
		t.Fatalf("load the scenario: %v", err)
	}
	dir := t.TempDir()
	res, err := rehearse.Execute(context.Background(), s, rehearse.Options{Seed: 5, Out: dir, Daemon: daemon, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatalf("run the rehearsal: %v", err)
	}
	reportBreach(t, res)
	reportClientBreach(t, res)
	for _, rule := range append(checker.PageRules(), checker.WithinCredit, checker.Invariant, checker.OneAnswer, checker.ViewAccurate, checker.NotStale, checker.NotTwice) {
		if res.Rules.Checked[rule] == 0 {
			t.Errorf("%q was never checked", rule)
		}
	}
	t.Logf("%d requests, %.3f of their worth served; %d tries, %d refused; served for %v, up to the payment %v; %+v", res.Score.Total.Asked, res.Score.Total.Ratio, res.Score.Total.Tries, res.Score.Total.Refused, res.Served, res.UpTo, *res.Pages)
	if res.Score.Total.Ratio < 0.4 || res.UpTo["norte"] < 9000*9/10 || res.Served["norte"] <= res.UpTo["norte"] || res.Pages.Pages < 50 || res.Pages.Reports < 3 {
		t.Errorf("too little was served, spent or paged: %.3f of the worth, want 0.4; norte %v up to the payment, want 8100, and %v in all, want more; %d pages, want 50; %d reports, want 3",
			res.Score.Total.Ratio, res.UpTo["norte"], res.Served["norte"], res.Pages.Pages, res.Pages.Reports)
	}
	logs, _ := filepath.Glob(filepath.Join(dir, "pooler-*", "log.txt"))
	for _, name := range logs {
		if b, _ := os.ReadFile(name); strings.Contains(string(b), "panic:") {
			t.Errorf("%s: the pooler panicked: %s", name, b[max(0, len(b)-3000):])
		}
	}
}
