package main

import (
	"fmt"
	"strings"
	"time"

	"beechgrade/internal/protocol/pgwire"
)

func init() { cases["pipelined"] = playPipelined }

// playPipelined: a client sends a transaction, one INSERT, and pipelines a second one behind it. Meanwhile the network to the primary is
// cut for a second. The primary runs the first INSERT; its answer is lost. No transaction may run twice.
func playPipelined(s *scene) (broken bool, err error) {
	const (
		runs    = 300 * time.Millisecond // the first INSERT
		cutAt   = 100 * time.Millisecond // after it began
		cutFor  = time.Second
		longest = 200000 // bytes of the second INSERT's value
	)
	g, err := s.startGroup()
	if err != nil {
		return false, err
	}
	primary := g.servers[0]
	began := make(chan struct{}, 16)
	primary.begins = func(session *dbSession, sql string) {
		if !strings.Contains(sql, "entry-1") {
			return
		}
		s.note("%s: begins in session %d: %s", primary.name, session.pid, shorten(sql))
		began <- struct{}{}
		time.Sleep(runs)
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
	s.note("client: sends the first INSERT, entry-1")
	if err := c.send(executeMessages(nil, "ins", "entry-1")); err != nil {
		return false, err
	}
	<-began
	time.Sleep(cutAt)
	if s.trouble {
		s.note("network: cut between pooler and %s", primary.name)
		g.networks[0].cut()
	}
	s.note("client: pipelines the second INSERT, entry-2, of %d bytes", longest)
	if err := c.send(executeMessages(nil, "ins", "entry-2 "+strings.Repeat("x", longest))); err != nil {
		return false, err
	}
	if s.trouble {
		time.Sleep(cutFor)
		s.note("network: whole again; its connections are reset")
		g.networks[0].heal()
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
	if first == 0 {
		return false, errNotSettled
	}
	return first > 1 || second > 1, nil
}
