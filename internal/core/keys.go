package core

import (
	"hash/maphash"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
)

// Bounds of recentKeys. Clients retry a request within seconds or not at all.
const (
	minKeyLifetimeMs = 60000
	maxKeys          = 20000
)

// keySeed is secret, so that no client can choose keys that count as those of others.
var keySeed = maphash.MakeSeed()

// recentKeys remembers when requests that may have run were first sent. The request table has two: one by idempotency key, so that a
// retry under another id is bound by the same key window, and one by id, for requests that must not run twice. An entry is kept for
// at least the longer of minKeyLifetimeMs and lifetimeMs, unless more than maxKeys entries are added in that time, and for at most
// twice as long: there are two generations, and the older one is dropped as a whole. Keys are remembered by their hashes, which take the same
// memory however long the keys are.
type recentKeys struct {
	recent, previous map[uint64]float64
	recentSince      float64 // start of the recent generation, in ms of the loop
	lifetimeMs       float64
}

// keyLifetimeMs returns how long requests of these classes must be remembered: until the clients' deadlines have passed and the
// servers have forgotten the keys.
func keyLifetimeMs(classes []decide.Class) (ms float64) {
	for _, class := range classes {
		ms = max(ms, clock.ToMillis(class.Deadline+class.KeyWindow))
	}
	return ms
}

// rotate starts a new generation if the recent one has reached its lifetime or maxKeys.
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
	k.recent = map[uint64]float64{}
	k.recentSince = now
}

// firstSent returns when a request with that key that may have run was first sent.
func (k *recentKeys) firstSent(key string, now float64) (at float64, ok bool) {
	if key == "" {
		return 0, false
	}
	k.rotate(now)
	hash := maphash.String(keySeed, key)
	if at, ok = k.recent[hash]; !ok {
		at, ok = k.previous[hash]
	}
	return at, ok
}

// recordSend records that a request with that key was sent at a time. The earliest send counts.
func (k *recentKeys) recordSend(key string, at, now float64) {
	first, known := k.firstSent(key, now)
	if key != "" && (!known || at < first) {
		k.recent[maphash.String(keySeed, key)] = at
	}
}

// forget removes the send at a time, of a request that turned out not to have run.
func (k *recentKeys) forget(key string, at float64) {
	hash := maphash.String(keySeed, key)
	for _, generation := range []map[uint64]float64{k.recent, k.previous} {
		if generation[hash] == at {
			delete(generation, hash)
		}
	}
}
