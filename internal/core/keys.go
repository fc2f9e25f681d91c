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

// recentKeys remembers when requests that may have run were first sent. The core has two: one by the key by which servers
// recognise a repeat, so that a repeat under another id is bound by the same window, and one by id, of requests that must not
// run twice. An entry stays for minKeyLifetimeMs and for lifetimeMs at least, unless more than maxKeys come in that time, and
// for twice that at most: there are two generations, and the older one is dropped whole.
type recentKeys struct {
	recent, previous map[string]float64
	recentSince      float64 // when the recent generation began
	lifetimeMs       float64
}

// keyLifetimeMs returns how long requests of such classes are remembered: until their clients' deadlines and their servers'
// memory of keys have ended.
func keyLifetimeMs(classes []decide.Class) (ms float64) {
	for _, class := range classes {
		ms = max(ms, clock.ToMillis(class.Deadline+class.KeyWindow))
	}
	return ms
}

// rotate begins a new generation when the recent one is old or full.
func (k *recentKeys) rotate(now float64) {
	lifetime := max(minKeyLifetimeMs, k.lifetimeMs)
	age := now - k.recentSince
	if k.recent != nil && age < lifetime && len(k.recent) < maxKeys {
		return
	}
	k.previous = k.recent
	if age >= 2*lifetime {
		k.previous = nil
	}
	k.recent = map[string]float64{}
	k.recentSince = now
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
	first, known := k.firstSent(key, now)
	if key != "" && (!known || at < first) {
		k.recent[key] = at
	}
}

// forget takes back a send that turned out not to have run.
func (k *recentKeys) forget(key string, at float64) {
	for _, generation := range []map[string]float64{k.recent, k.previous} {
		if generation[key] == at {
			delete(generation, key)
		}
	}
}
