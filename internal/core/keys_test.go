package core

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"beechgrade/internal/decide"
	"beechgrade/internal/testkit/deterministic"
)

// TestKeysRememberTheFirstSend: the memory of keys agrees with a model: the first send of each that may have run, for
// as long as is promised, and no more of them than is allowed.
func TestKeysRememberTheFirstSend(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		var k recentKeys
		now, sent := 1e6, map[string][]float64{}
		t.Repeat(map[string]func(*rapid.T){
			"sent": func(t *rapid.T) {
				now++
				key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
				k.recordSend(key, now, now)
				sent[key] = append(sent[key], now)
			},
			"never": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
				if s := sent[key]; len(s) == 1 {
					k.forget(key, s[0])
					delete(sent, key)
				}
			},
			"passes": func(t *rapid.T) { now += rapid.Float64Range(0, minKeyLifetimeMs).Draw(t, "ms") },
			"": func(t *rapid.T) {
				for key, s := range sent {
					at, ok := k.firstSent(key, now)
					if now-s[0] < minKeyLifetimeMs && (!ok || at != s[0]) {
						t.Fatalf("%s: first sent at %v, remembered %v %v", key, s[0], at, ok)
					}
					if last := s[len(s)-1]; now-last > 2*minKeyLifetimeMs+1 {
						if ok && at <= last {
							t.Fatalf("%s: last sent at %v, still remembered at %v", key, last, now)
						}
						delete(sent, key)
					}
				}
				if _, ok := k.firstSent("4", now); ok {
					t.Fatal("remembers what was never sent")
				}
			},
		})
	})
	var k recentKeys
	for i := range 5 * maxKeys {
		k.recordSend(fmt.Sprint(i), 1, 1)
	}
	if n := len(k.recent) + len(k.previous); n > 2*maxKeys {
		t.Errorf("remembers %d", n)
	}
}

// TestKeysAreRememberedAsLongAsTheSettingsNeed: a request that may have run is remembered for as long as its client may
// wait and its servers know its key, where that is longer than a minute, and not for ever.
func TestKeysAreRememberedAsLongAsTheSettingsNeed(t *testing.T) {
	k := recentKeys{lifetimeMs: keyLifetimeMs([]decide.Class{{Deadline: time.Second}, {Deadline: time.Minute, KeyWindow: 4 * time.Minute}})}
	k.recordSend("key", 1, 1)
	if at, ok := k.firstSent("key", 1+5*minKeyLifetimeMs); !ok || at != 1 {
		t.Errorf("after five minutes: %v %v", at, ok)
	}
	if _, ok := k.firstSent("key", 1+11*minKeyLifetimeMs); ok {
		t.Error("it is still remembered after eleven minutes")
	}
}
