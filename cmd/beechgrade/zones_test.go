package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"beechgrade/internal/settings"
	"beechgrade/internal/storage/store"
)

// TestPlanNumberIsSavedBeforeThePlanIsFollowed: a plan's number that the disk does not take at first is kept once it does, and only then the plan is followed; an older one that
// comes behind does not take its place, nor that of a newer one of another process.
func TestPlanNumberIsSavedBeforeThePlanIsFollowed(t *testing.T) {
	t.Parallel()
	var p *pooler
	_, _, stop, ended := operated(t, "", func(at *pooler) { p = at })
	dir := filepath.Join(t.TempDir(), "zones")
	z := &zoneFailover{pooler: p, set: settings.Zones{Dir: dir}, toSave: make(chan planNumber, 4), done: make(chan struct{})}
	go z.saveNumbers()
	kept := make(chan uint64, 2)
	p.loop.Post(func() { z.enqueueSave(planNumber{7, func() { kept <- 7 }}) })
	select {
	case <-kept:
		t.Fatal("followed without a number on the disk")
	case <-time.After(100 * time.Millisecond):
	}
	if _, err := z.loadLastNumber(); err != nil { // makes the folder
		t.Fatal(err)
	}
	for _, no := range []uint64{7, 6} {
		if no == 6 {
			p.loop.Post(func() { z.enqueueSave(planNumber{6, func() { kept <- 6 }}) })
		}
		select {
		case got := <-kept:
			if got != no {
				t.Errorf("%d was kept before %d", got, no)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%d was not tried again in 10 s", no)
		}
	}
	if no, err := z.loadLastNumber(); no != 7 || err != nil {
		t.Errorf("%d is kept, %v", no, err)
	}
	if err := store.Replace(store.Dir(dir), filepath.Base(z.file()), []byte("12")); err != nil { // the process that takes over has kept a newer one
		t.Fatal(err)
	}
	p.loop.Post(func() { z.enqueueSave(planNumber{9, func() { kept <- 9 }}) })
	select {
	case <-kept:
	case <-time.After(10 * time.Second):
		t.Fatalf("9 was not passed over in 10 s")
	}
	if no, err := z.loadLastNumber(); no != 12 || err != nil {
		t.Errorf("%d is kept, %v: another process of this pooler had kept 12", no, err)
	}
	stop <- os.Interrupt
	<-ended
	close(z.toSave)
	<-z.done
}
