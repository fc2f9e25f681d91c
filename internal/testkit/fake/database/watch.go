package database

import "slices"

// Watch has counts of ordinary sessions, over all servers.
type Watch struct {
	Statements   int            `json:"statements"`
	Preparations int            `json:"preparations"`
	Twice        int            `json:"prepared_twice"` // the same text on one connection, while it was prepared there
	Mismatches   []string       `json:"mismatches"`     // statements that ran under other settings than they wanted
	Cancelled    []string       `json:"cancelled"`      // statements that a cancel hit
	ByText       map[string]int `json:"-"`
	Sessions     int            `json:"sessions"` // that began
	Open         int            `json:"open"`
	MostOpen     int            `json:"most_open"`
	DuringDrain  int            `json:"during_drain"` // messages behind the grace of a drain
}

// Watched returns the counts so far.
func (f *Fleet) Watched() Watch {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.watch
	w.Mismatches, w.Cancelled = slices.Clone(w.Mismatches), slices.Clone(w.Cancelled)
	w.ByText = map[string]int{}
	for k, n := range f.watch.ByText {
		w.ByText[k] = n
	}
	return w
}

// Before has a function called before each statement of an ordinary session; where it returns false, the connection
// breaks there and then. Tests cause their failures with it.
func (f *Fleet) Before(do func(server, sql string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before = do
}

// Streamed returns the number of bytes of long results that were sent.
func (f *Fleet) Streamed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.streamed
}

// hitBy cancels what a session runs.
func (f *Fleet) hitBy(pid, key uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x := f.fulls[pid]; x != nil && x.key == key && x.cancel != nil {
		f.watch.Cancelled = append(f.watch.Cancelled, x.sql)
		x.cancel()
	}
}
