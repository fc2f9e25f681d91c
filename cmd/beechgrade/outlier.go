package main

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"beechgrade/internal/cluster/outlier"
	"beechgrade/internal/cluster/outlier/adapter"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/settings"
)

// openOutlier opens the shared outlier detection, where the settings enable it. It comes after openPeers.
func (p *pooler) openOutlier(set settings.OutlierDetection) {
	if !set.Enabled || p.peers == nil {
		return
	}
	p.outlier = adapter.New(set.Options, p.core, clusterTransport{p.peers, p.loop})
	p.outlier.OnEjection(func(s outlier.Ejection, begins bool) {
		p.core.RecordEvent(recordpb.Kind_KIND_AVOIDED, ejectionText(s, begins))
	})
	p.core.SetServerObserver(p.outlier)
	p.peers.Register(p.outlier)
}

// ejectionText returns the text of the record of a server's ejection, or of its end.
func ejectionText(s outlier.Ejection, begins bool) string {
	if !begins {
		return s.Server + ": no more"
	}
	return fmt.Sprintf("%s: %s by %s until %.0f", s.Server, s.Reason, idsText(s.ReportedBy), s.UntilMs)
}

func idsText(ids []view.ID) string {
	all := make([]string, len(ids))
	for i, id := range ids {
		all[i] = strconv.FormatUint(uint64(id), 16)
	}
	return strings.Join(all, ",")
}

// writeOutlierMetrics writes why servers are ejected, by whose observations, and until when.
func (p *pooler) writeOutlierMetrics(s *exposition.Snapshot) {
	if p.outlier == nil {
		return
	}
	part := s.Scope("verdicts")
	for _, v := range p.outlier.Avoided() {
		of := part.Label("server", v.Server)
		of.IntGauge("until", int64(math.RoundToEven(v.UntilMs)))
		of.Info("why", v.Reason)
		of.Info("by", idsText(v.ReportedBy))
	}
	part.IntGauge("own_links", int64(p.outlier.LocallyUnreachable()))
}
