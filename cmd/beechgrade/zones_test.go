package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"beechgrade/internal/settings"
	"beechgrade/internal/storage/store"
)

// TestPlanNumberIsSavedBeforeThePlanIsFollowed: a plan's number that the disk refuses at first is saved once the disk accepts it, and only
// then is the plan followed. An older number that arrives later does not replace it, nor a newer one saved by another process.
func TestPlanNumberIsSavedBeforeThePlanIsFollowed(t *testing.T) {
	t.Parallel()
	var p *pooler
	_, _, stop, ended := startWithAdmin(t, "", func(at *pooler) { p = at })
	dir := filepath.Join(t.TempDir(), "zones")
	z := &zoneFailover{pooler: p, set: settings.Zones{Dir: dir}, toSave: make(chan planNumber, 4), done: make(chan struct{})}
	go z.saveNumbers()
	kept := make(chan uint64, 2)
	p.loop.Post(func() { z.enqueueSave(planNumber{7, func() { kept <- 7 }}) })
	select {
	case <-kept:
		t.Fatal("the plan was followed before its number was saved")
	case <-time.After(100 * time.Millisecond):
	}
	if _, err := z.loadLastNumber(); err != nil { // creates the folder
		t.Fatalf("loading the last plan number: %v", err)
	}
	for _, number := range []uint64{7, 6} {
		if number == 6 {
			p.loop.Post(func() { z.enqueueSave(planNumber{6, func() { kept <- 6 }}) })
		}
		select {
		case got := <-kept:
			if got != number {
				t.Errorf("number of the followed plan is %d, want %d", got, number)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("saving plan number %d was not retried in 10 s", number)
		}
	}
	if number, err := z.loadLastNumber(); number != 7 || err != nil {
		t.Errorf("saved plan number is %d, error %v, want 7", number, err)
	}
	if err := store.Replace(store.Dir(dir), filepath.Base(z.file()), []byte("12")); err != nil { // the process that takes over has saved a newer number
		t.Fatalf("saving plan number 12 as another process: %v", err)
	}
	p.loop.Post(func() { z.enqueueSave(planNumber{9, func() { kept <- 9 }}) })
	select {
	case <-kept:
	case <-time.After(10 * time.Second):
		t.Fatalf("plan number 9 was not skipped in 10 s")
	}
	if number, err := z.loadLastNumber(); number != 12 || err != nil {
		t.Errorf("saved plan number is %d, error %v, want 12, which another process of this pooler had saved", number, err)
	}
	stop <- os.Interrupt
	<-ended
	close(z.toSave)
	<-z.done
}
