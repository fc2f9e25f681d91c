package main

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"beechgrade/internal/figures/sheet"
	"beechgrade/internal/operate"
	"beechgrade/internal/peers/verdicts/joined"
)

// useVerdicts has the fleet share what it knows of servers, where the settings have it so; after usePeers.
func (p *pooler) useVerdicts(set operate.Verdicts) {
	if !set.On || p.peers == nil {
		return
	}
	p.judged = joined.New(set.Options, p.core, peersHost{p.peers, p.loop})
	p.core.Witness(p.judged)
	p.peers.Join(p.judged)
}

// tellVerdicts tells why servers are avoided, by whose word, and until when.
func (p *pooler) tellVerdicts(s *sheet.Sheet) {
	if p.judged == nil {
		return
	}
	verdicts := s.Part("verdicts")
	for _, v := range p.judged.Avoided() {
		of := verdicts.Of("server", v.Server)
		of.Whole("until", int64(math.RoundToEven(v.Until)))
		of.Word("why", fmt.Sprint(v.Why))
		by := make([]string, len(v.By))
		for i, id := range v.By {
			by[i] = strconv.FormatUint(uint64(id), 16)
		}
		of.Word("by", strings.Join(by, ","))
	}
	verdicts.Whole("own_links", int64(p.judged.Lonely()))
}
