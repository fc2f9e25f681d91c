package main

import (
	"fmt"
	"net/http"
	"net/url"

	"beechgrade/internal/admin"
	"beechgrade/internal/lifecycle"
	"beechgrade/internal/metrics/exposition"
)

// openAdmin opens the admin endpoint, where the configuration names its address.
func (p *pooler) openAdmin() {
	if p.adminAddr == "" {
		return
	}
	p.admin = admin.New(p.loop, p.log, adminHandler{p})
	address, _, err := p.loop.Listen(p.adminAddr, p.admin.Accept)
	if err != nil {
		p.log.Error("admin endpoint could not listen; shutting down", "err", err)
		p.fail(fmt.Errorf("admin endpoint: %w", err))
		return
	}
	p.adminAddr = address
	p.log.Info("admin endpoint listening", "listen", address)
}

// adminHandler answers operators' calls.
type adminHandler struct{ pooler *pooler }

// adminCall is a call that changes or queries the lifecycle state of the process.
type adminCall struct {
	method string
	do     func() bool // reports success
}

// Handle answers one call. It runs on the loop.
func (h adminHandler) Handle(method, path string, query url.Values) admin.Response {
	p := h.pooler
	if path == zonesPath && p.zones != nil {
		return p.zones.handleAdminCall(method, query)
	}
	if method == http.MethodGet {
		switch path {
		case "/-/metrics":
			return admin.Response{Status: http.StatusOK, Body: p.metrics().AppendLines(nil)}
		case "/-/prometheus":
			return h.prometheus()
		}
	}
	calls := map[string]adminCall{
		"/-/metrics":    {method: http.MethodGet},
		"/-/prometheus": {method: http.MethodGet},
		"/-/ready":      {http.MethodGet, p.lifecycle.IsServing},
		"/-/drain":      {http.MethodPost, func() bool { return p.handleLifecycle(lifecycle.Drain) }},
		"/-/resume":     {http.MethodPost, func() bool { return p.handleLifecycle(lifecycle.Resume) }},
	}
	call, known := calls[path]
	switch {
	case !known:
		return admin.Response{Status: http.StatusNotFound}
	case call.method != method:
		return admin.Response{Status: http.StatusMethodNotAllowed, AllowedMethod: call.method}
	case call.do():
		return h.state(http.StatusOK)
	case call.method == http.MethodGet:
		return h.state(http.StatusServiceUnavailable)
	}
	return h.state(http.StatusConflict)
}

// state answers with the process's state.
func (h adminHandler) state(status int) admin.Response {
	return admin.Response{Status: status, Body: []byte(h.pooler.lifecycle.State().String() + "\n")}
}

// prometheus answers with all metrics in Prometheus's text format.
func (h adminHandler) prometheus() admin.Response {
	text, err := h.pooler.metrics().PrometheusText()
	if err != nil {
		return admin.Response{Status: http.StatusInternalServerError, Body: []byte(err.Error() + "\n")}
	}
	return admin.Response{Status: http.StatusOK, ContentType: exposition.PrometheusContentType, Body: text}
}

// metrics collects the metrics of all subsystems.
func (p *pooler) metrics() *exposition.Snapshot {
	snapshot := &exposition.Snapshot{}
	p.core.WriteMetrics(snapshot)
	p.platform.WriteMetrics(snapshot)
	p.loop.WriteMetrics(snapshot)
	p.writeMemoryMetrics(snapshot)
	p.writePeersMetrics(snapshot)
	p.writeLimitsMetrics(snapshot)
	p.writeInvariantsMetrics(snapshot)
	p.writePoolingMetrics(snapshot)
	p.writeClickHouseMetrics(snapshot)
	p.writeScatterMetrics(snapshot)
	p.writeRaftLogMetrics(snapshot)
	p.writeCreditMetrics(snapshot)
	p.writeOverloadMetrics(snapshot)
	p.writeOutlierMetrics(snapshot)
	p.writeZonesMetrics(snapshot)
	return snapshot
}
