package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"beechgrade/internal/protocol/pgwire"
)

func init() { cases["turned-away"] = playTurnedAway }

// playTurnedAway: a client pipelines two transactions, each one INSERT. The primary turns the first one away once, as its queue is full, and
// runs the second one. No transaction may run twice.
func playTurnedAway(s *scene) (broken bool, err error) {
	g, err := s.startGroup()
	if err != nil {
		return false, err
	}
	primary := g.servers[0]
	var refused atomic.Bool
	primary.refuses = func(sql string) bool {
		return s.trouble && strings.Contains(sql, "entry-1") && refused.CompareAndSwap(false, true)
	}
	p, err := s.startPooler("pooler-1", pipelinedSettings, g.address, g.entries)
	if err != nil {
		return false, err
	}
	c, err := connect(p.pooling, "escritorio", "obra")
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	prepare := append(pgwire.AppendParse(nil, "ins", "INSERT INTO hours (note) VALUES ('$1')", []byte{0, 0}), "S\x00\x00\x00\x04"...)
	if err := c.send(prepare); err != nil {
		return false, err
	}
	if texts, err := c.answer(5 * time.Second); err != nil {
		return false, fmt.Errorf("prepare: %s", describe(texts, err))
	}
	s.note("client: pipelines two INSERTs, entry-1 and entry-2, each with its Sync")
	if err := c.send(executeMessages(executeMessages(nil, "ins", "entry-1"), "ins", "entry-2")); err != nil {
		return false, err
	}
	for i := 1; i <= 2; i++ {
		texts, err := c.answer(10 * time.Second)
		s.note("client: answer %d: %s", i, describe(texts, err))
		if err != nil {
			break
		}
	}
	time.Sleep(time.Second)
	first, second := primary.timesDone("entry-1"), primary.timesDone("entry-2")
	s.note("entry-1 was committed %d times, entry-2 %d times", first, second)
	if second == 0 {
		return false, errNotSettled
	}
	return first > 1 || second > 1, nil
}
