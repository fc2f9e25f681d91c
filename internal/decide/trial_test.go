package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestDownServerWithoutProbes: where servers answer no probes, nothing but a request can show that a server that refused connections is back.
// Seen: a group's one server refused two connections, counted as down and got nothing any more, though it listened again a moment later; each
// request waited for half its deadline and was refused. Cause: a server came back by a probe's answer alone.
func TestDownServerWithoutProbes(t *testing.T) {
	set := testSettings()
	set.MayProbe = false
	g := newRig(t, set, Entry{Server: "p", Size: 1})
	for n := range 2 {
		id := RequestID(fmt.Sprint("refused", n))
		g.wantSend(g.ask(id, cAny), id, "p")
		g.end(id, 0, "p", Unreachable)
		g.do(&Expired{ID: id})
	}
	g.wantNone(Send, g.ask("at once", cAny))

	// One that still refuses gets a few requests in each pause, and the pause grows.
	sent, refused := 0, 0
	for range 500 {
		refused++
		g.ask(RequestID(fmt.Sprint("more", refused)), cAny)
		for _, a := range of(Send, append(g.out, g.pass(20*ms)...)) {
			sent++
			g.end(a.ID, a.Attempt, "p", Unreachable)
		}
	}
	if most := 10 * trialJobs; sent == 0 || sent > most {
		t.Errorf("%d attempts at a server that refuses connections for 10 s, want 1 to %d", sent, most)
	}

	// It is back: one answer shows that.
	served := false
	for n := range 400 {
		g.ask(RequestID(fmt.Sprint("back", n)), cAny)
		for _, a := range of(Send, append(g.out, g.pass(10*ms)...)) {
			served = true
			g.end(a.ID, a.Attempt, "p", OK)
		}
		if served {
			break
		}
	}
	if !served {
		t.Fatal("nothing is sent to a server that is back")
	}
	if s := g.r.servers["p"]; s.health != healthy || g.now-s.coldFrom > 5*time.Second {
		t.Errorf("health %d, cold since %v at %v: want it in use, and cold, as it refused for more than %v", s.health, s.coldFrom, g.now, outage)
	}
}

// TestProbeThatWasNotSent: a probe for which this machine had no descriptor says nothing about the server, which must stay in use.
func TestProbeThatWasNotSent(t *testing.T) {
	g := trio(t, nil)
	g.do(&ProbeResult{Server: "p", Result: Skipped})
	g.wantSend(g.ask("w", cUnsafe), "w", "p")
}
