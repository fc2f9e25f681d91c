package verdicts

import (
	"math"

	"beechgrade/internal/peers/view"
)

// ID names a process, as in the view.
type ID = view.ID

// Settings say how evidence is shared. Times are in ms.
type Settings struct {
	Period    float64 // between two words to some of the others
	Fanout    int     // of these
	Delay     float64 // the longest that a message is on its way: this is added to every age
	Stale     float64 // evidence older than that is neither told nor taken
	Lapse     float64 // a verdict stands for so long after the evidence that it rests on
	Observers int     // that must say of a server that it is bad, of two zones where the poolers stand in several
	Blind     float64 // part of a group that words of others may take away together
	Shun      float64 // one whose word was contradicted counts for nothing for so long
	Step      float64 // the grain of all these
	Health    bool    // servers that are bad are shared
	Places    bool    // positions are
	Roles     bool    // who leads is
	Broken    Fault   // for tests that prove the checker
}

// Defaults are for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{Period: 100, Fanout: 3, Delay: 50, Stale: 2000, Lapse: 8000, Observers: 2, Blind: 0.5, Shun: 30000, Step: 50, Health: true, Places: true, Roles: true}
}

// Fault is what a pooler does wrongly on purpose.
type Fault uint8

// The faults.
const (
	Sound     Fault = iota
	HeardAge        // age is taken from when it was heard
	KeepsOld        // evidence of a server's old process is kept
	OneEnough       // one observer is enough
	OwnLoses        // own evidence is overruled by others' older
	NotAged         // positions and roles are not aged
)

// Spread bounds the time from the first who knows that a server is bad to the last, where messages take delay at most and none is lost.
func (s *Settings) Spread(delay float64) float64 { return s.Step + delay }

// Talk bounds the bytes that a pooler sends a second, for so many servers.
func (s *Settings) Talk(poolers, servers int) float64 { return math.Inf(1) }

// Standing is why a server is avoided, by whose word, and until when.
type Standing struct {
	Server string
	Why    string
	By     []ID
	Until  float64
}
