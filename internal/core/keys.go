package core

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
)

// Bounds of the memory of keys: a client repeats a request within seconds, or not at all.
const (
	minKeyLifetimeMs = 60000
	maxKeys          = 20000
)

// recentKeys remembers when requests that may have run were first sent. The core has two: one by the key by which servers recognise a
// repeat, so that a repeat under another id is held to the same window, and one by id, of requests that must not run twice. An entry
// stays for minKeyLifetimeMs and for lifetimeMs at least, unless more than maxKeys come in that time, and for twice that at most: there are two
// generations, and the older one is dropped whole.
type recentKeys struct {
	recent, previous map[string]float64
	recentSince      float64 // when the recent generation began
	lifetimeMs       float64
}

// lifetimeMs is how long requests of such classes are remembered: until their clients' deadlines and their servers' memory of keys have
// ended.
func keyLifetimeMs(classes []decide.Class) (ms float64) {
	for _, c := range classes {
		ms = max(ms, clock.ToMillis(c.Deadline+c.KeyWindow))
	}
	return ms
}

// rotate begins a new generation when the recent one is old or full.
func (k *recentKeys) rotate(now float64) {
	keep := max(minKeyLifetimeMs, k.lifetimeMs)
	if k.recent != nil && now-k.recentSince < keep && len(k.recent) < maxKeys {
		return
	}
	if k.previous = k.recent; now-k.recentSince >= 2*keep {
		k.previous = nil
	}
	k.recent, k.recentSince = map[string]float64{}, now
}

// firstSent returns when a request of that key was first sent, if it may have run.
func (k *recentKeys) firstSent(key string, now float64) (at float64, ok bool) {
	if key == "" {
		return 0, false
	}
	k.rotate(now)
	if at, ok = k.recent[key]; !ok {
		at, ok = k.previous[key]
	}
	return at, ok
}

// recordSend records a send.
func (k *recentKeys) recordSend(key string, at, now float64) {
	if first, ok := k.firstSent(key, now); key != "" && (!ok || at < first) {
		k.recent[key] = at
	}
}

// forget takes back a send that turned out not to have run.
func (k *recentKeys) forget(key string, at float64) {
	for _, m := range []map[string]float64{k.recent, k.previous} {
		if m[key] == at {
			delete(m, key)
		}
	}
}
