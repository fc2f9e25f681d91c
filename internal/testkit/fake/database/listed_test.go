package database

import (
	"bufio"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/testkit/model"
)

// listedStates is a Watcher that receives the states that the fleet reports as sent to the watchers of the list.
type listedStates chan string

func (listedStates) Probed(int, float64)                             {}
func (listedStates) Arrived(int, string, float64) int                { return 0 }
func (listedStates) Rejected(string, int, string, float64)           {}
func (listedStates) Accepted(int, float64, string, float64, float64) {}
func (listedStates) Finished(int, string, float64)                   {}
func (listedStates) Executed(int, *model.Job, []byte, model.Run)     {}
func (c listedStates) Listed(_ int, state string, _ float64)         { c <- state }

// TestDrainEndsWhileListUnavailable: a drain that ends while the list is unavailable must be reported as ended at once. A pooler that
// reads the list when it is back learns of it, so requests that it sends then are not late.
func TestDrainEndsWhileListUnavailable(t *testing.T) {
	cfg := Defaults(2)
	cfg.ListDelay, cfg.RoleDelay = Range{0, 0}, Range{0, 0}
	fleet := New(cfg, clock.System(), slog.New(slog.DiscardHandler))
	states := make(listedStates, 9)
	fleet.Watch(states)
	if err := fleet.Start(); err != nil {
		t.Fatalf("starting the fleet: %v", err)
	}
	defer fleet.Close()
	res, err := http.Get("http://" + fleet.Discovery() + "/v1/endpoints?watch=1&from=1")
	if err != nil {
		t.Fatalf("watching the list: %v", err)
	}
	defer func() { _ = res.Body.Close() }()
	act := func(do func(w *model.World, name string) error) {
		t.Helper()
		if err := fleet.Update(func(w *model.World) error { return do(w, "s-0-1") }); err != nil {
			t.Fatalf("changing the state of s-0-1: %v", err)
		}
	}
	next := func(want string) {
		t.Helper()
		select {
		case got := <-states:
			if got != want {
				t.Fatalf("listed state %q, want %q", got, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("state %q not listed within 20 s", want)
		}
	}
	act((*model.World).Drain)
	next("draining")
	if line, err := bufio.NewReader(res.Body).ReadString('\n'); err != nil || !strings.Contains(line, `"draining"`) {
		t.Fatalf("the watch sent %q, %v; want the state draining", line, err)
	}
	setUnavailable := func(on bool) { _ = fleet.Update(func(w *model.World) error { w.SetListUnavailable(on); return nil }) }
	setUnavailable(true)
	act((*model.World).Undrain)
	next("up")
	setUnavailable(false)
}
