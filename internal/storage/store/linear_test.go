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

// operation is what a client did: it wrote some keys at once, or read all (writes is nil).
type operation struct {
	writes    map[int]string
	uncertain bool // whether it was kept is not known
}

const linearKeys = 3

// contents is a state: the keys' values.
type contents [linearKeys]string

// linear is the model of a store that does one operation after another.
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

// concurrent runs clients that write and read at once, beside compactions, until power is lost, and again after that. It returns their history,
// and the number of writes whose outcome is not known.
func concurrent(t *testing.T, seed uint64) (history []porcupine.Operation, maybes int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	d := faultyfs.New()
	d.CrashAt = 20 + rng.IntN(30)
	var mu sync.Mutex
	began := time.Now()
	now := func() int64 { return time.Since(began).Nanoseconds() }
	var unsure []int
	for life := range 2 {
		s, _, err := store.Open(store.Options{FS: d, SegmentBytes: 200, Checks: panicOnBreach(), BatchesPerWalk: 1})
		if err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		for client := range 5 {
			mine := rand.New(rand.NewPCG(seed, uint64(10*life+client+2)))
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := range 9 {
					op := porcupine.Operation{ClientId: client, Call: now()}
					switch mine.IntN(5) {
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
						for range 1 + mine.IntN(2) {
							k := mine.IntN(linearKeys)
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
						unsure = append(unsure, len(history))
					}
					history = append(history, op)
					mu.Unlock()
					if in := op.Input.(operation); in.uncertain { // the client ends
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
				t.Fatal(err)
			}
			op := porcupine.Operation{ClientId: 9, Call: now(), Input: operation{}, Output: readAll(s)}
			for _, i := range unsure { // these may have been kept at any time up to the restart
				history[i].Return = now()
			}
			op.Call = now()
			op.Return = now() + 1
			history = append(history, op)
			_ = s.Close()
		}
	}
	return history, len(unsure)
}

// TestConcurrentHistoriesAreLinearizable checks that what concurrent clients wrote and read, beside compactions and over a loss of power, is
// linearizable, and that a history with one stale read is not.
func TestConcurrentHistoriesAreLinearizable(t *testing.T) {
	t.Parallel()
	reads, maybes, broken := 0, 0, 0
	for seed := range uint64(25) {
		h, unsure := concurrent(t, seed)
		maybes += unsure
		if res := porcupine.CheckOperationsTimeout(linear, h, 3*time.Second); res != porcupine.Ok {
			t.Fatalf("seed %d: %v of %d operations", seed, res, len(h))
		}
		for i := len(h) - 1; i >= 0 && broken <= int(seed); i-- { // an older value of a key, in place of the last
			if out, ok := h[i].Output.(contents); ok && strings.HasPrefix(out[0], "1") {
				out[0] = ""
				h[i].Output = out
				if porcupine.CheckOperationsTimeout(linear, h, 3*time.Second) == porcupine.Illegal {
					broken++
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
	t.Logf("%d reads, %d writes with unknown outcome; %d of 25 histories with a stale read were found", reads, maybes, broken)
	if reads < 200 || maybes == 0 || broken < 20 {
		t.Errorf("%d reads, %d unsure writes, %d broken histories found", reads, maybes, broken)
	}
}
