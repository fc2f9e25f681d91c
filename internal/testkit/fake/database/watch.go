package database

import (
	"maps"
	"slices"
)

// Watch holds counts of ordinary sessions over all servers.
type Watch struct {
	Statements   int            `json:"statements"`
	Preparations int            `json:"preparations"`
	Twice        int            `json:"prepared_twice"` // named statements whose text was prepared already on the same connection
	Mismatches   []string       `json:"mismatches"`     // statements that ran under settings other than those they expect
	Cancelled    []string       `json:"cancelled"`      // statements that a cancel request ended
	ByText       map[string]int `json:"-"`
	Sessions     int            `json:"sessions"` // sessions that were opened
	Open         int            `json:"open"`
	MostOpen     int            `json:"most_open"`
	DuringDrain  int            `json:"during_drain"` // messages received after the grace of a drain
	Locks        int            `json:"locks"`        // advisory locks that sessions hold
	Committed    map[string]int `json:"-"`            // writes that were committed, by their keys
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
	w.Committed = maps.Clone(f.watch.Committed)
	return w
}

// Before sets a function that is called before each statement of an ordinary session; if it returns false, the connection
// is reset at once. Tests inject failures with it.
func (f *Fleet) Before(do func(server, sql string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before = do
}

// Reject sets a function that is called before each statement of an ordinary session. The statement is not executed if it returns an
// SQLSTATE, with which the session answers.
func (f *Fleet) Reject(code func(server, sql string) string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reject = code
}

// LoseAnswer sets a function that is called after each statement of an ordinary session. If it returns true, the connection is reset in place
// of the next ReadyForQuery, after what the statement's transaction commits there.
func (f *Fleet) LoseAnswer(lose func(server, sql string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswer = lose
}

// CopyAnswer sets a function that is called after each statement of an ordinary session. If it returns true, a second copy of the answer that
// is sent next follows it, in the same write.
func (f *Fleet) CopyAnswer(copies func(server, sql string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copyAnswer = copies
}

// Streamed returns the number of bytes of streamed results that were sent, counted in steps of 16 rows.
func (f *Fleet) Streamed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.streamed
}

// cancelSession cancels the statement that a session runs, if the key is right.
func (f *Fleet) cancelSession(pid, key uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sess := f.sessions[pid]; sess != nil && sess.key == key && sess.cancel != nil {
		f.watch.Cancelled = append(f.watch.Cancelled, sess.sql)
		sess.cancel()
	}
}
