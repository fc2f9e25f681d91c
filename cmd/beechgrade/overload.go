package main

import (
	"strconv"

	"beechgrade/internal/cluster"
	"beechgrade/internal/cluster/overload/adapter"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/settings"
)

// peersHost is what a part lives on: the peers' words and the loop's time.
type peersHost struct {
	*cluster.Peers
	loop *eventloop.Loop
}

// At is joined.Host's.
func (h peersHost) At(ms float64, do func()) { h.loop.At(ms, do) }

// useOverload has the fleet handle overload as one, where the settings have it so; after usePeers.
func (p *pooler) useOverload(set settings.Overload) {
	if !set.On || p.peers == nil {
		return
	}
	j := adapter.New(set.Options, p.core, peersHost{p.peers, p.loop})
	if set.Shed {
		p.core.SetPressure(j)
	}
	if set.Share {
		p.core.SetProber(adapter.Prober{Joined: j})
	}
	j.Begin()
	p.peers.Join(j)
	p.over = j
}

// tellOverload tells how groups stand, where overload is handled together.
func (p *pooler) tellOverload(s *exposition.Sheet) {
	if p.over == nil {
		return
	}
	for _, g := range p.over.Standings() {
		of := s.Part("overload").Of("group", strconv.Itoa(int(g.Group)))
		of.Level("level", g.Level)
		of.Whole("of", int64(g.Cells))
		of.Whole("answers", int64(g.Answers))
	}
}
