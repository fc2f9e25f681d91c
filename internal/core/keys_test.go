package core

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"beechgrade/internal/decide"
	"beechgrade/internal/testkit/deterministic"
)

// TestKeysRememberTheFirstSend: recentKeys agrees with a model. It returns the first send of each key that may have run, keeps it for the
// promised time, and stays within its bound.
func TestKeysRememberTheFirstSend(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		var keys recentKeys
		now, sent := 1e6, map[string][]float64{}
		t.Repeat(map[string]func(*rapid.T){
			"sent": func(t *rapid.T) {
				now++
				key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
				keys.recordSend(key, now, now)
				sent[key] = append(sent[key], now)
			},
			"did not run": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
				if sends := sent[key]; len(sends) == 1 {
					keys.forget(key, sends[0])
					delete(sent, key)
				}
			},
			"passes": func(t *rapid.T) { now += rapid.Float64Range(0, minKeyLifetimeMs).Draw(t, "ms") },
			"": func(t *rapid.T) {
				for key, sends := range sent {
					at, ok := keys.firstSent(key, now)
					if now-sends[0] < minKeyLifetimeMs && (!ok || at != sends[0]) {
						t.Fatalf("key %s, first sent at %v: remembered as sent at %v, known %v; want that time, true", key, sends[0], at, ok)
					}
					if last := sends[len(sends)-1]; now-last > 2*minKeyLifetimeMs+1 {
						if ok && at <= last {
							t.Fatalf("key %s, last sent at %v: still remembered at %v, want it forgotten", key, last, now)
						}
						delete(sent, key)
					}
				}
				if _, ok := keys.firstSent("4", now); ok {
					t.Fatal("a key that was never sent is remembered")
				}
			},
		})
	})
	var keys recentKeys
	for i := range 5 * maxKeys {
		keys.recordSend(fmt.Sprint(i), 1, 1)
	}
	if n := len(keys.recent) + len(keys.previous); n > 2*maxKeys {
		t.Errorf("%d keys are remembered, want at most %d", n, 2*maxKeys)
	}
}

// TestKeysAreRememberedAsLongAsTheSettingsNeed: a request that may have run is remembered until its deadline and its servers' key window
// are over, also if that is longer than a minute, but not for ever.
func TestKeysAreRememberedAsLongAsTheSettingsNeed(t *testing.T) {
	keys := recentKeys{lifetimeMs: keyLifetimeMs([]decide.Class{{Deadline: time.Second}, {Deadline: time.Minute, KeyWindow: 4 * time.Minute}})}
	keys.recordSend("key", 1, 1)
	if at, ok := keys.firstSent("key", 1+5*minKeyLifetimeMs); !ok || at != 1 {
		t.Errorf("after five minutes: first sent at %v, known %v; want 1, true", at, ok)
	}
	if _, ok := keys.firstSent("key", 1+11*minKeyLifetimeMs); ok {
		t.Error("the key is still remembered after eleven minutes")
	}
}
