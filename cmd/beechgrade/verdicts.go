package main

import (
	"fmt"
	"strconv"
	"strings"

	"beechgrade/internal/operate"
	"beechgrade/internal/peers/verdicts"
	"beechgrade/internal/peers/verdicts/joined"
	"beechgrade/internal/peers/view"
	"beechgrade/internal/record/recordpb"
)

// useVerdicts has the fleet share what it knows of servers, where the settings have it so; after usePeers.
func (p *pooler) useVerdicts(set operate.Verdicts) {
	if !set.On || p.peers == nil {
		return
	}
	p.judged = joined.New(set.Options, p.core, peersHost{p.peers, p.loop})
	p.judged.Tell(func(s verdicts.Standing, begins bool) {
		p.core.Note(recordpb.Kind_KIND_AVOIDED, verdictText(s, begins))
	})
	p.core.Witness(p.judged)
	p.peers.Join(p.judged)
}

// verdictText is what the records have of a server that is avoided from now on by others' word, or no more.
func verdictText(s verdicts.Standing, begins bool) string {
	if !begins {
		return s.Server + ": no more"
	}
	return fmt.Sprintf("%s: %s by %s until %.0f", s.Server, s.Why, idsText(s.By), s.Until)
}

func idsText(ids []view.ID) string {
	var all []string
	for _, id := range ids {
		all = append(all, strconv.FormatUint(uint64(id), 16))
	}
	return strings.Join(all, ",")
}

// appendVerdicts prints why servers are avoided, by whose word, and until when.
func (p *pooler) appendVerdicts(dst []byte) []byte {
	if p.judged == nil {
		return dst
	}
	for _, s := range p.judged.Avoided() {
		dst = fmt.Appendf(dst, "app.verdicts.%s.until=%.0f\napp.verdicts.%s.why=%s\napp.verdicts.%s.by=%s\n", s.Server, s.Until, s.Server, s.Why, s.Server, idsText(s.By))
	}
	return fmt.Appendf(dst, "app.verdicts.own_links=%d\n", p.judged.Lonely())
}
