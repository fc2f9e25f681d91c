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

const snapshotScript = `(rehearsal "kept" (poolers 1) (groups 3) (sessions 4) (rate 10) (cold 1s) (list 20ms 30ms) (class "relatorio-mes" (aim 2s) (deadline 3s) (work 1ms 1ms)))`

// TestStartFromSnapshots guards against a daemon that cannot start while discovery is unavailable and its configuration file is truncated:
// it has to serve from the saved snapshots. A server that was drained meanwhile must get no requests once discovery is back. If a snapshot
// is torn, corrupted, of another program or too old, the daemon logs that in one line and starts without it.
func TestStartFromSnapshots(t *testing.T) {
	t.Parallel()
	instance := newStandaloneDaemon(t, snapshotScript)
	dir := instance.file("kept")
	operators := fmt.Sprintf("(kept (dir %q) (age 1h))", dir)
	if err := instance.start(operators); err != nil {
		t.Fatalf("start the daemon: %v", err)
	}
	requests := 0
	served := func(want bool) {
		t.Helper()
		c, err := instance.connect()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close(t.Context()) }()
		requests++
		_, err = query(c, readStatement("k", "relatorio-mes", fmt.Sprint("r", requests)))
		if (err == nil) != want {
			t.Fatalf("request %d: served %v, want %v: %v\n%s", requests, err == nil, want, err, instance.log())
		}
	}
	served(true)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) { // the list is saved shortly after the configuration
		var all []byte
		files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
		for _, f := range files {
			b, _ := os.ReadFile(f)
			all = append(all, b...)
		}
		if bytes.Contains(all, []byte("instanceId")) {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the list was not saved within 10 s: %s", instance.log())
		}
	}
	instance.kill()
	intact := map[string][]byte{}
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, f := range files {
		intact[f], _ = os.ReadFile(f)
	}
	config, err := os.ReadFile(instance.file("config.json"))
	if err != nil {
		t.Fatal(err)
	}

	// Discovery is unavailable and the configuration file is truncated.
	setListUnavailable := func(on bool) {
		if err := instance.fleet.Update(func(w *model.World) error { w.SetListUnavailable(on); return nil }); err != nil {
			t.Fatalf("make the list unavailable (%v): %v", on, err)
		}
	}
	setListUnavailable(true)
	if err := os.WriteFile(instance.file("config.json"), config[:len(config)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	if err := instance.start(operators); err != nil {
		t.Fatalf("start the daemon: %v", err)
	}
	instance.waitForLog("snapshots: starting with the saved configuration")
	instance.waitForLog("snapshots: starting with the saved list")
	served(true)

	// A server is drained while discovery cannot report it.
	drained := instance.fleet.Servers()[2]
	if err := instance.fleet.Drain(drained); err != nil {
		t.Fatal(err)
	}
	setListUnavailable(false)
	time.Sleep(2500 * time.Millisecond) // until the next watch has answered, and the grace period
	before := len(instance.fleet.LateFacts())
	for range 30 {
		served(true)
	}
	if late := instance.fleet.LateFacts(); len(late) != before || len(late) > 0 {
		t.Errorf("requests to a draining server: got %+v, want none", late)
	}
	instance.kill()

	// With a snapshot that is damaged, of another kind or too old, the daemon logs one line and starts without it.
	setListUnavailable(true)
	for name, c := range map[string]struct {
		change  func()
		wantLog string
		starts  bool
	}{
		"corrupted": {func() {
			for f, b := range intact {
				bad := bytes.Clone(b)
				bad[40] ^= 1
				_ = os.WriteFile(f, bad, 0o600)
			}
		}, "snapshots: the store cannot be opened; starting without saved data", false},
		"foreign": {func() {
			for f := range intact {
				_ = os.WriteFile(f, []byte("[general]\nthis is another program's file\n"), 0o600)
			}
		}, "no file of this store", false},
		"torn": {func() {
			for f, b := range intact {
				_ = os.WriteFile(f, b[:len(b)-7], 0o600)
			}
		}, "snapshots: recovery dropped an incomplete tail of the store", true},
	} {
		_ = os.RemoveAll(dir)
		_ = os.MkdirAll(dir, 0o750)
		c.change()
		err := instance.start(operators)
		if (err == nil) != c.starts {
			t.Errorf("%s snapshot: start: got error %v, want a start: %v", name, err, c.starts)
		}
		if lines := strings.Count(instance.log(), c.wantLog); lines != 1 {
			t.Errorf("%s snapshot: got %d lines of %q, want 1, in\n%s", name, lines, c.wantLog, instance.log())
		}
		instance.kill()
		if !c.starts { // with a valid configuration file it starts and logs the same line
			_ = os.WriteFile(instance.file("config.json"), config, 0o600)
			if err := instance.start(operators); err != nil || !strings.Contains(instance.log(), c.wantLog) {
				t.Errorf("%s snapshot, valid configuration file: start: got error %v, want none and the line %q in\n%s", name, err, c.wantLog, instance.log())
			}
			served(false) // it knows no server
			instance.kill()
			_ = os.WriteFile(instance.file("config.json"), config[:len(config)/2], 0o600)
		}
	}
	for f, b := range intact {
		_ = os.RemoveAll(dir)
		_ = os.MkdirAll(dir, 0o750)
		_ = os.WriteFile(f, b, 0o600)
	}
	time.Sleep(1100 * time.Millisecond)
	if err := instance.start(strings.Replace(operators, "1h", "1s", 1)); err == nil || !strings.Contains(instance.log(), "too old") {
		t.Errorf("snapshot too old: start: got error %v, want one, and \"too old\" in\n%s", err, instance.log())
	}

	// A configuration file that is complete but invalid is not replaced by a snapshot: the operators have to correct it.
	instance.config["listen"] = "no port"
	instance.writeConfig()
	if err := instance.start(operators); err == nil || strings.Contains(instance.log(), "starting with the saved configuration") {
		t.Errorf("invalid configuration file: start: got error %v, want one, and no start with the saved configuration in\n%s", err, instance.log())
	}
}
