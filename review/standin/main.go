// Command standin runs the cases of the review: stand-in servers, discovery and clients on loopback, with real
// poolers as processes. It exits with 1 if the case's rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

// env is what a case has.
type env struct {
	record  *record
	folder  string // temporary
	trouble bool   // the disruption happens
	started poolers
}

// cases are the cases by name. A case returns whether its rule was broken.
var cases = map[string]func(e *env) (broken bool, err error){
	"pipelined-insert": pipelinedInsert,
	"false-refusal":    falseRefusal,
	"unknown-outcome":  unknownOutcome,
	"kept-upgrade":     keptUpgrade,
	"reset-all":        resetAll,
	"platform-copy":    platformCopy,
	"second-copy":      secondCopy,
	"hidden-length":    hiddenLength,
	"blocking-socket":  blockingSocket,
	"drain-platform":   drainPlatform,
	"drain-pooled":     drainPooled,
	"behind-long":      behindLong,
	"journal-gap":      journalGap,
	"drained-session":  drainedSession,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return couldNot
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer r.close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		r.line("%v", err)
		return couldNot
	}
	defer func() { _ = os.RemoveAll(folder) }()
	e := &env{record: r, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	r.line("case %s, disruption: %v", args[0], e.trouble)
	broken, err := e.runInTime(cases[args[0]])
	e.started.kill()
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	case broken:
		r.line("verdict: the rule was broken")
		return ruleBroken
	}
	r.line("verdict: the rule held")
	return ruleHeld
}

// caseTime is the longest that a case may take.
const caseTime = 100 * time.Second

// runInTime runs a case. A case that takes too long, or that is ended by a signal, could not run.
func (e *env) runInTime(do func(e *env) (bool, error)) (broken bool, err error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	go func() {
		defer close(done)
		broken, err = do(e)
	}()
	select {
	case <-done:
		return broken, err
	case s := <-signals:
		return false, fmt.Errorf("ended by signal %v", s)
	case <-time.After(caseTime):
		return false, fmt.Errorf("not over within %v", caseTime)
	}
}
