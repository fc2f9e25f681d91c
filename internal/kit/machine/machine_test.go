package machine

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

// TestBusy: a machine all of whose processors are worked by others, and twice over, is seen to be later than one left alone.
func TestBusy(t *testing.T) {
	look := func() Busy {
		w := Begin()
		time.Sleep(300 * time.Millisecond)
		return w.End()
	}
	idle := look()
	for range 4 { // others may use the machine just then
		idle = least(idle, look())
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 8 * runtime.NumCPU() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			runtime.LockOSThread()
			for {
				select {
				case <-stop:
					return
				default:
					spin(1 << 16)
				}
			}
		}()
	}
	busy := look()
	close(stop)
	wg.Wait()
	if busy.Late <= idle.Late || busy.Worst <= idle.Worst {
		t.Errorf("idle %+v, busy %+v", idle, busy)
	}
}

func least(a, b Busy) Busy {
	if a.Late < b.Late {
		return a
	}
	return b
}
