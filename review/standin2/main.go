// Command standin2 plays the cases of the second review: it starts stand-in servers, a stand-in of discovery and the project's pooler on
// loopback addresses, is the pooler's clients, and judges what they saw.
//
//	standin2 CASE FOLDER
//
// It is started in the root of the repository, by the run.sh of a case. FOLDER gets record.txt. The exit code is 1 if the rule of the
// case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// mostTime is the longest that a case may take.
const mostTime = 100 * time.Second

// errBroken is the verdict that the rule of a case was broken.
var errBroken = errors.New("the rule is broken")

// run is one run of a case.
type run struct {
	trouble bool
	folder  string // temporary
	began   time.Time

	mu     sync.Mutex
	record *os.File
	ends   []func() // in the order in which they were added
}

// cases are the cases by name.
var cases = map[string]func(*run) error{
	"literal":   literalCase,
	"script":    scriptCase,
	"journaled": journaledCase,
	"long":      longCase,
	"behind":    behindCase,
	"pipeline":  pipelineCase,
	"replace":   replaceCase,
	"smuggle":   smuggleCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitFailed)
	}
	err := play(os.Args[1], os.Args[2])
	switch {
	case err == nil:
		os.Exit(exitHeld)
	case errors.Is(err, errBroken):
		os.Exit(exitBroken)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitFailed)
}

// play plays a case once.
func play(name, folder string) error {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	defer func() { _ = record.Close() }()
	temporary, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return fmt.Errorf("temporary folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	r := &run{trouble: os.Getenv("TROUBLE") != "0", folder: temporary, began: time.Now(), record: record}
	defer r.end()
	watchdog := time.AfterFunc(mostTime, func() {
		r.note("verdict: the case could not run: it took over %v", mostTime)
		r.end()
		_ = os.RemoveAll(temporary)
		os.Exit(exitFailed)
	})
	defer watchdog.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.end()
		_ = os.RemoveAll(temporary)
		os.Exit(exitFailed)
	}()
	r.note("case %s, with the disruption: %v", name, r.trouble)
	err = cases[name](r)
	switch {
	case err == nil:
		r.note("verdict: the rule held")
	case errors.Is(err, errBroken):
		r.note("verdict: %v", err)
	default:
		r.note("verdict: the case could not run: %v", err)
	}
	return err
}

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(r.record, "%9.1f ms  %s\n", float64(time.Since(r.began).Microseconds())/1000, line)
	fmt.Println(line)
}

// atEnd has f called at the end of the run.
func (r *run) atEnd(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, f)
}

// end calls what was passed to atEnd, the last first.
func (r *run) end() {
	r.mu.Lock()
	ends := r.ends
	r.ends = nil
	r.mu.Unlock()
	for _, end := range slices.Backward(ends) {
		end()
	}
}

// path returns the path of a file in the temporary folder.
func (r *run) path(name string) string { return filepath.Join(r.folder, name) }
