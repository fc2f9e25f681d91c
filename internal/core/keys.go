package core

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
)

// Bounds of the memory of keys: a client repeats a request within seconds, or not at all.
const (
	keysMs  = 60000
	maxKeys = 20000
)

// keys remembers when requests that may have run were first sent. The core has two: one by the key by which servers recognise a
// repeat, so that a repeat under another id is held to the same window, and one by id, of requests that must not run twice. An entry
// stays for keysMs and for keepMs at least, unless more than maxKeys come in that time, and for twice that at most: there are two
// generations, and the older one is dropped whole.
type keys struct {
	recent, previous map[string]float64
	since            float64 // when the recent generation began
	keepMs           float64
}

// keepMs is how long requests of such classes are remembered: until their clients' deadlines and their servers' memory of keys have
// ended.
func keepMs(classes []decide.Class) (ms float64) {
	for _, c := range classes {
		ms = max(ms, clock.Millis(c.Deadline+c.KeyWindow))
	}
	return ms
}

// rotate begins a new generation when the recent one is old or full.
func (k *keys) rotate(now float64) {
	keep := max(keysMs, k.keepMs)
	if k.recent != nil && now-k.since < keep && len(k.recent) < maxKeys {
		return
	}
	if k.previous = k.recent; now-k.since >= 2*keep {
		k.previous = nil
	}
	k.recent, k.since = map[string]float64{}, now
}

// ran returns when a request of that key was first sent, if it may have run.
func (k *keys) ran(key string, now float64) (at float64, ok bool) {
	if key == "" {
		return 0, false
	}
	k.rotate(now)
	if at, ok = k.recent[key]; !ok {
		at, ok = k.previous[key]
	}
	return at, ok
}

// sent records a send.
func (k *keys) sent(key string, at, now float64) {
	if first, ok := k.ran(key, now); key != "" && (!ok || at < first) {
		k.recent[key] = at
	}
}

// forget takes back a send that turned out not to have run.
func (k *keys) forget(key string, at float64) {
	for _, m := range []map[string]float64{k.recent, k.previous} {
		if m[key] == at {
			delete(m, key)
		}
	}
}
