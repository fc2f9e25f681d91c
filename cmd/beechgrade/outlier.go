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
	p.outlier.OnEjection(func(e outlier.Ejection, begins bool) {
		p.core.RecordEvent(recordpb.Kind_KIND_AVOIDED, ejectionText(e, begins))
	})
	p.core.SetServerObserver(p.outlier)
	p.peers.Register(p.outlier)
}

// ejectionText returns the text that is recorded when a server's ejection begins or ends.
func ejectionText(e outlier.Ejection, begins bool) string {
	if !begins {
		return e.Server + ": no more"
	}
	return fmt.Sprintf("%s: %s by %s until %.0f", e.Server, e.Reason, idsText(e.ReportedBy), e.UntilMs)
}

func idsText(ids []view.ID) string {
	all := make([]string, len(ids))
	for i, id := range ids {
		all[i] = strconv.FormatUint(uint64(id), 16)
	}
	return strings.Join(all, ",")
}

// writeOutlierMetrics writes the reason, the reporting poolers and the end of each server's ejection.
func (p *pooler) writeOutlierMetrics(s *exposition.Snapshot) {
	if p.outlier == nil {
		return
	}
	ejections := s.Scope("verdicts")
	for _, e := range p.outlier.Avoided() {
		server := ejections.Label("server", e.Server)
		server.IntGauge("until", int64(math.RoundToEven(e.UntilMs)))
		server.Info("why", e.Reason)
		server.Info("by", idsText(e.ReportedBy))
	}
	ejections.IntGauge("own_links", int64(p.outlier.LocallyUnreachable()))
}
