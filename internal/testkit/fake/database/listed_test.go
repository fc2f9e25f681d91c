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

// told notes what its fleet says the watchers of the list were told.
type told chan string

func (told) Probed(int, float64)                         {}
func (told) Arrived(int, string, float64) int            { return 0 }
func (told) Turned(string, int, string, float64)         {}
func (told) Took(int, float64, string, float64, float64) {}
func (told) Over(int, string, float64)                   {}
func (told) Ran(int, *model.Job, []byte, model.Run)      {}
func (c told) Listed(_ int, state string, _ float64)     { c <- state }

// TestDrainOverWhileTheListIsGone: a drain that ends while nobody can be told is over for whoever asks when the list is back, so
// what is sent then is no breach.
func TestDrainOverWhileTheListIsGone(t *testing.T) {
	cfg := Defaults(2)
	cfg.ListDelay, cfg.RoleDelay = Range{0, 0}, Range{0, 0}
	f := New(cfg, clock.System(), slog.New(slog.DiscardHandler))
	says := make(told, 9)
	f.Watch(says)
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	res, err := http.Get("http://" + f.Discovery() + "/v1/endpoints?watch=1&from=1")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	act := func(do func(w *model.World, name string) error) {
		t.Helper()
		if err := f.Update(func(w *model.World) error { return do(w, "s-0-1") }); err != nil {
			t.Fatal(err)
		}
	}
	next := func(want string) {
		t.Helper()
		select {
		case got := <-says:
			if got != want {
				t.Fatalf("told %q, want %q", got, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("not told %q", want)
		}
	}
	act((*model.World).Drain)
	next("draining")
	if line, err := bufio.NewReader(res.Body).ReadString('\n'); err != nil || !strings.Contains(line, `"draining"`) {
		t.Fatalf("the watch says %q, %v", line, err)
	}
	gone := func(on bool) { _ = f.Update(func(w *model.World) error { w.SetListUnavailable(on); return nil }) }
	gone(true)
	act((*model.World).Undrain)
	next("up")
	gone(false)
}
