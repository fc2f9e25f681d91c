package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"beechgrade/internal/testkit/model"
)

const keptScript = `(rehearsal "kept" (poolers 1) (groups 3) (sessions 4) (rate 10) (cold 1s) (list 20ms 30ms) (class "relatorio-mes" (aim 2s) (deadline 3s) (work 1ms 1ms)))`

// TestKeptStart: a daemon is killed, discovery is gone and its configuration's file cut short: it serves by what was kept. A server
// that has been drained meanwhile is not asked any more once discovery is back. Where what was kept is torn, rotten, foreign or too old, one
// line says so, and the start is one without it.
func TestKeptStart(t *testing.T) {
	t.Parallel()
	a := newAlone(t, keptScript)
	dir := a.file("kept")
	set := fmt.Sprintf("(kept (dir %q) (age 1h))", dir)
	if err := a.start(set); err != nil {
		t.Fatal(err)
	}
	n := 0
	served := func(want bool) {
		t.Helper()
		c, err := a.client()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close(t.Context()) }()
		n++
		_, err = ask(c, reading("k", "relatorio-mes", fmt.Sprint("r", n)))
		if (err == nil) != want {
			t.Fatalf("served %v, want %v: %v\n%s", err == nil, want, err, a.log())
		}
	}
	served(true)
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) { // the list comes a moment behind the configuration
		var all []byte
		files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
		for _, f := range files {
			b, _ := os.ReadFile(f)
			all = append(all, b...)
		}
		if bytes.Contains(all, []byte("instanceId")) {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("the list was not kept in 10 s: %s", a.log())
		}
	}
	a.kill()
	whole := map[string][]byte{}
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, f := range files {
		whole[f], _ = os.ReadFile(f)
	}
	config, err := os.ReadFile(a.file("config.json"))
	if err != nil {
		t.Fatal(err)
	}

	// Discovery answers nobody; the file ends too soon.
	gone := func(on bool) {
		if err := a.fleet.Update(func(w *model.World) error { w.SetListUnavailable(on); return nil }); err != nil {
			t.Fatal(err)
		}
	}
	gone(true)
	if err := os.WriteFile(a.file("config.json"), config[:len(config)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	if err := a.start(set); err != nil {
		t.Fatal(err)
	}
	a.logged("snapshots: starting with the saved configuration")
	a.logged("snapshots: starting with the saved list")
	served(true)

	// A server drains while nobody can hear of it.
	drained := a.fleet.Servers()[2]
	if err := a.fleet.Drain(drained); err != nil {
		t.Fatal(err)
	}
	gone(false)
	time.Sleep(2500 * time.Millisecond) // the next watch, and the grace
	before := len(a.fleet.LateFacts())
	for range 30 {
		served(true)
	}
	if late := a.fleet.LateFacts(); len(late) != before || len(late) > 0 {
		t.Errorf("sends to a server that drains: %+v", late)
	}
	a.kill()

	// What was kept is damaged, of another kind, or old: a start without it, with a line.
	gone(true)
	for name, c := range map[string]struct {
		change func()
		says   string
		starts bool
	}{
		"rotten": {func() {
			for f, b := range whole {
				bad := bytes.Clone(b)
				bad[40] ^= 1
				_ = os.WriteFile(f, bad, 0o600)
			}
		}, "snapshots: the store cannot be opened; starting without saved data", false},
		"foreign": {func() {
			for f := range whole {
				_ = os.WriteFile(f, []byte("[general]\nthis is another program's file\n"), 0o600)
			}
		}, "no file of this store", false},
		"torn": {func() {
			for f, b := range whole {
				_ = os.WriteFile(f, b[:len(b)-7], 0o600)
			}
		}, "kept: dropped an incomplete tail of the store", true},
	} {
		_ = os.RemoveAll(dir)
		_ = os.MkdirAll(dir, 0o750)
		c.change()
		err := a.start(set)
		if (err == nil) != c.starts {
			t.Errorf("%s: %v", name, err)
		}
		if lines := strings.Count(a.log(), c.says); lines != 1 {
			t.Errorf("%s: %d lines of %q in\n%s", name, lines, c.says, a.log())
		}
		a.kill()
		if !c.starts { // with its file back it starts, and says the same
			_ = os.WriteFile(a.file("config.json"), config, 0o600)
			if err := a.start(set); err != nil || !strings.Contains(a.log(), c.says) {
				t.Errorf("%s: %v\n%s", name, err, a.log())
			}
			served(false) // nobody has told it of a server
			a.kill()
			_ = os.WriteFile(a.file("config.json"), config[:len(config)/2], 0o600)
		}
	}
	for f, b := range whole {
		_ = os.RemoveAll(dir)
		_ = os.MkdirAll(dir, 0o750)
		_ = os.WriteFile(f, b, 0o600)
	}
	time.Sleep(1100 * time.Millisecond)
	if err := a.start(strings.Replace(set, "1h", "1s", 1)); err == nil || !strings.Contains(a.log(), "too old") {
		t.Errorf("too old: %v\n%s", err, a.log())
	}

	// A file that was read and says what cannot be is nobody's but the operators' to mend.
	a.told["listen"] = "no port"
	a.configure()
	if err := a.start(set); err == nil || strings.Contains(a.log(), "starting with the saved configuration") {
		t.Errorf("a wrong file: %v\n%s", err, a.log())
	}
}
