package main

import (
	"fmt"

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

// appendVerdicts prints why servers are avoided, by whose word, and until when.
func (p *pooler) appendVerdicts(dst []byte) []byte {
	if p.judged == nil {
		return dst
	}
	for _, s := range p.judged.Avoided() {
		dst = fmt.Appendf(dst, "app.verdicts.%s.until=%.0f\napp.verdicts.%s.why=%s\napp.verdicts.%s.by=", s.Server, s.Until, s.Server, s.Why, s.Server)
		for i, id := range s.By {
			if i > 0 {
				dst = append(dst, ',')
			}
			dst = fmt.Appendf(dst, "%x", uint64(id))
		}
		dst = append(dst, '\n')
	}
	return fmt.Appendf(dst, "app.verdicts.own_links=%d\n", p.judged.Lonely())
}
