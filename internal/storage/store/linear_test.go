package store_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"beechgrade/internal/storage/store"
	"beechgrade/internal/testkit/fake/faultyfs"
)

// operation is an operation of a client: an atomic write of some keys, or a read of all keys if writes is nil.
type operation struct {
	writes    map[int]string
	uncertain bool // it is unknown whether the write was stored
}

const linearKeys = 3

// contents is the state of the store: the values of the keys.
type contents [linearKeys]string

// linear is the model of a store that performs one operation at a time.
var linear = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{contents{}} },
	Step: func(state, input, output any) []any {
		s, in := state.(contents), input.(operation)
		if in.writes == nil {
			if output.(contents) == s {
				return []any{s}
			}
			return nil
		}
		next := s
		for k, v := range in.writes {
			next[k] = v
		}
		if in.uncertain {
			return []any{s, next}
		}
		return []any{next}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

func readAll(s *store.Store) (out contents) {
	s.Range("", "", func(k string, v []byte) bool {
		i := 0
		if _, err := fmt.Sscanf(k, "k%d", &i); err == nil {
			out[i] = string(v)
		}
		return true
	})
	return out
}

// runClients runs clients that write and read concurrently with compactions, until a power failure and again after it. It returns their
// history, and the number of writes whose outcome is unknown.
func runClients(t *testing.T, seed uint64) (history []porcupine.Operation, uncertainWrites int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	d := faultyfs.New()
	d.CrashAt = 20 + rng.IntN(30)
	var mu sync.Mutex
	began := time.Now()
	now := func() int64 { return time.Since(began).Nanoseconds() }
	var uncertain []int // indices in history
	for life := range 2 {
		s, _, err := store.Open(store.Options{FS: d, SegmentBytes: 200, Checks: panicOnBreach(), BatchesPerWalk: 1})
		if err != nil {
			t.Fatalf("open the store: %v", err)
		}
		var wg sync.WaitGroup
		for client := range 5 {
			clientRNG := rand.New(rand.NewPCG(seed, uint64(10*life+client+2)))
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := range 9 {
					op := porcupine.Operation{ClientId: client, Call: now()}
					switch clientRNG.IntN(5) {
					case 0, 1:
						op.Input, op.Output = operation{}, readAll(s)
					case 2:
						if client == 0 {
							s.Compact(nil)
						}
						continue
					default:
						in := operation{writes: map[int]string{}}
						var e []store.Entry
						for range 1 + clientRNG.IntN(2) {
							k := clientRNG.IntN(linearKeys)
							if in.writes[k] == "" {
								in.writes[k] = fmt.Sprint(life, client, ".", i)
								e = append(e, store.Entry{Key: fmt.Sprint("k", k), Value: []byte(in.writes[k])})
							}
						}
						done := make(chan error, 1)
						s.Append(e, func(err error) { done <- err })
						in.uncertain = <-done != nil
						op.Input = in
					}
					op.Return = now()
					mu.Lock()
					if in := op.Input.(operation); in.uncertain {
						uncertain = append(uncertain, len(history))
					}
					history = append(history, op)
					mu.Unlock()
					if in := op.Input.(operation); in.uncertain { // a client stops after an uncertain write
						return
					}
				}
			}()
		}
		wg.Wait()
		_ = s.Close()
		if life == 0 {
			d = d.Restart(rng, seed%2 == 0)
			if s, _, err = store.Open(store.Options{FS: d, SegmentBytes: 200}); err != nil {
				t.Fatalf("open the store after the power failure: %v", err)
			}
			op := porcupine.Operation{ClientId: 9, Call: now(), Input: operation{}, Output: readAll(s)}
			for _, i := range uncertain { // these may have taken effect at any time up to the restart
				history[i].Return = now()
			}
			op.Call = now()
			op.Return = now() + 1
			history = append(history, op)
			_ = s.Close()
		}
	}
	return history, len(uncertain)
}

// TestConcurrentHistoriesAreLinearizable checks that the histories of concurrent clients are linearizable, with compactions and across a power
// failure, and that the check finds a history with one stale read.
func TestConcurrentHistoriesAreLinearizable(t *testing.T) {
	t.Parallel()
	reads, uncertain, staleFound := 0, 0, 0
	for seed := range uint64(25) {
		h, n := runClients(t, seed)
		uncertain += n
		if res := porcupine.CheckOperationsTimeout(linear, h, 3*time.Second); res != porcupine.Ok {
			t.Fatalf("seed %d: history of %d operations is %v, want %v", seed, len(h), res, porcupine.Ok)
		}
		for i := len(h) - 1; i >= 0 && staleFound <= int(seed); i-- { // replaces the last read value of a key by an older one
			if out, ok := h[i].Output.(contents); ok && strings.HasPrefix(out[0], "1") {
				out[0] = ""
				h[i].Output = out
				if porcupine.CheckOperationsTimeout(linear, h, 3*time.Second) == porcupine.Illegal {
					staleFound++
				}
				break
			}
		}
		for _, op := range h {
			if op.Output != nil {
				reads++
			}
		}
	}
	t.Logf("%d reads, %d writes with unknown outcome; %d of 25 histories with a stale read were found", reads, uncertain, staleFound)
	if reads < 200 || uncertain == 0 || staleFound < 20 {
		t.Errorf("%d reads, %d writes with unknown outcome, %d of 25 histories with a stale read found; want at least 200, 1, 20", reads, uncertain, staleFound)
	}
}
