// Command witness plays one case of the review: it starts the project's own programs, plays their clients, servers and platform, and
// judges the rule by what these have seen. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each plays its story and reports whether the rule was broken.
var cases = map[string]func(*scene) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: witness CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(story func(*scene) (bool, error), recordPath string) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	s := &scene{record: record, dir: dir, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	s.note("trouble: %v", s.trouble)
	broken, err := s.playUntilSignal(story)
	s.stopAll()
	switch {
	case err != nil:
		s.note("could not run: %v", err)
		return exitNotRun
	case broken:
		s.note("BROKEN")
		return exitBroken
	}
	s.note("held")
	return exitHeld
}

// playUntilSignal plays a story. One that is ended by a signal could not run.
func (s *scene) playUntilSignal(story func(*scene) (bool, error)) (broken bool, err error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	go func() {
		defer close(done)
		broken, err = story(s)
	}()
	select {
	case <-done:
		return broken, err
	case received := <-signals:
		return false, fmt.Errorf("ended by signal %v", received)
	}
}

// scene is one play of a case.
type scene struct {
	record  *os.File
	dir     string // a temporary folder
	began   time.Time
	trouble bool

	mu        sync.Mutex
	processes []*process
}

var errNotSettled = errors.New("what the case needs did not happen in time")

// note writes a line to the record.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%7.3f  ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(s.record, line)
	fmt.Println(line)
}

// until waits until a condition holds, and reports whether it did within the limit.
func until(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
