package simulation

import (
	"encoding/binary"
	"errors"
	"testing"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
)

// messageCounter is a module that sends a number to all other members at each tick, and counts what it receives.
type messageCounter struct {
	host     Host
	members  []view.Record
	self     view.ID
	last     number          // sent
	received map[view.ID]int // messages, by sender
	lost     int             // streams
	accepted int             // streams
}

type number uint64

func (n number) Append(b []byte) []byte { return binary.BigEndian.AppendUint64(b, uint64(n)) }

func (c *messageCounter) Kind() view.Kind { return 60 }

func (c *messageCounter) Decode(b []byte) (any, error) {
	if len(b) != 8 {
		return nil, errors.New("message is not 8 bytes long")
	}
	return number(binary.BigEndian.Uint64(b)), nil
}

func (c *messageCounter) UpdateMembers(self view.ID, all []view.Record, _ view.Counts) {
	c.self, c.members = self, all
}
func (c *messageCounter) Receive(from view.ID, m any) { _ = m.(number); c.received[from]++ }
func (c *messageCounter) Leave()                      {}

func (c *messageCounter) Tick() {
	c.last++
	for i := range c.members {
		if r := &c.members[i]; r.ID != c.self && r.State == view.Alive {
			c.host.Send(r.Addr, r.ID, c.Kind(), c.last)
			if c.last%30 == 0 {
				c.host.SendStream(r.Addr, r.ID, c.Kind(), c.last, func(ok bool) {
					if ok {
						c.accepted++
					} else {
						c.lost++
					}
				})
			}
		}
	}
}

// TestModuleMessages: the messages of modules arrive unless the link is cut, and a message to a process that has ended is not received by
// the pooler's next process.
func TestModuleMessages(t *testing.T) {
	t.Parallel()
	script := `(rehearsal "parts" (seconds 30) (poolers 4) (groups 3) (rate 20) (peers) (at 10s (between (0 1) (2 3) cut) (for 2s)) (at 20s (kill-pooler 3) (for 1s)))`
	run := func() (string, []*messageCounter) {
		var counters []*messageCounter
		r := runScenario(t, parse(t, script), Options{Seed: 3, Modules: []ModuleMaker{func(host Host) []module.Module {
			c := &messageCounter{host: host, received: map[view.ID]int{}}
			counters = append(counters, c)
			return []module.Module{c}
		}}})
		return r.Hash, counters
	}
	hash, counters := run()
	if len(counters) != 5 { // pooler 3 restarts
		t.Fatalf("%d modules were made; want 5, for 4 poolers and a restart", len(counters))
	}
	first := counters[0]
	var ids [5]view.ID
	for i, c := range counters {
		ids[i] = c.self
	}
	if n, m := first.received[ids[1]], first.received[ids[2]]; n < 550 || m < 450 || n-m < 20 {
		t.Errorf("received %d messages from pooler 1, %d from pooler 2, which is cut off for 2 s; want at least 550, at least 450, and a difference of at least 20", n, m)
	}
	if n := first.received[ids[3]]; n > 400 || n < 200 {
		t.Errorf("received %d messages from the killed process of pooler 3; want 200 to 400", n)
	}
	if first.received[ids[4]] < 100 || counters[4].received[ids[0]] < 100 {
		t.Errorf("received %d messages from the restarted process of pooler 3, which received %d; want at least 100", first.received[ids[4]], counters[4].received[ids[0]])
	}
	if first.accepted < 10 || first.lost == 0 {
		t.Errorf("%d streams were accepted, %d lost; want at least 10, and at least 1", first.accepted, first.lost)
	}
	if again, _ := run(); again != hash {
		t.Errorf("hashes %s and %s of two runs with the same seed; want equal ones", hash, again)
	}
}
