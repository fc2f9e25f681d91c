package main

import (
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"beechgrade/internal/admin"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/lifecycle"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/record/recordpb"
)

// The times from a drain's begin until its stages, in milliseconds. By 4 s no client may hold a connection that is idle, or on which it has
// asked in the last 2 s: CloseActive is early enough for a connection to be shut (leaveMs and lingerMs of the frontend) and for the process to
// be held up meanwhile.
const (
	noticeMs        = 350  // until clients' side has noticed: new connections stop, and closed ones go elsewhere
	refuseMs        = 1500 // until the commands of clients that never become idle are refused
	endPartialMs    = 2500
	closeActiveMs   = 3000
	afterDeadlineMs = 1000 // from the last deadline of what was taken before that until CloseAll
)

const (
	listTimeoutMs = 1500 // of the list, after which the one from the start has to do

	queuedMs     = 1000 // after the process would end, for what has just connected to be told so...
	queuedSoonMs = 50   // ...and where it may be killed soon
)

// inherit takes the listening socket that the platform holds, where it names one.
func inherit(env func(string) string) (net.Listener, error) {
	v := env("EDGE_SOCKET_FD")
	if v == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(v)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("EDGE_SOCKET_FD: want the number of a descriptor above 2, got %q", v)
	}
	f := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(f) // a copy
	_ = f.Close()
	if err != nil {
		return nil, fmt.Errorf("EDGE_SOCKET_FD: descriptor %d: %w", fd, err)
	}
	if _, ok := ln.(*net.TCPListener); !ok {
		_ = ln.Close()
		return nil, fmt.Errorf("EDGE_SOCKET_FD: descriptor %d is no TCP listener", fd)
	}
	return ln, nil
}

// listObserver passes the list's news on, and notes the first.
type listObserver struct {
	pooler *pooler
	discovery.Events
}

// Listed is discovery.Events'.
func (l listObserver) Listed(list *discovery.List) {
	if p := l.pooler; list.Restarted || list.Generation >= p.list.gen { // else another process has told all of it, and more
		p.list.receive(list)
		p.saveList()
		l.Events.Listed(list)
	}
	l.pooler.listReceived()
}

// listReceived notes that the list has been heard: from then on this process can serve.
func (p *pooler) listReceived() {
	if !p.hasList {
		p.hasList = true
		p.handleLifecycle(lifecycle.Started)
	}
}

// openAdmin opens the operators' door, and has the process count as ready once the list is heard or has been waited for.
func (p *pooler) openAdmin() {
	p.lifecycle.Shared = p.inheritedListener != nil
	p.loop.At(p.loop.Now()+listTimeoutMs, p.listReceived)
	if p.adminAddr == "" {
		return
	}
	p.admin = admin.New(p.loop, p.log, adminHandler{p})
	at, _, err := p.loop.Listen(p.adminAddr, p.admin.Accept)
	if err != nil {
		p.log.Error("control", "err", err)
		p.loop.End()
		return
	}
	p.adminAddr = at
	p.log.Info("control", "listen", at)
}

// adminHandler carries operators' calls out.
type adminHandler struct{ pooler *pooler }

// Handle is control.Desk's.
func (d adminHandler) Handle(method, path string, query url.Values) admin.Response {
	p := d.pooler
	if path == zonesPath && p.zones != nil {
		return p.zones.handleAdminCall(method, query)
	}
	if method == http.MethodGet {
		switch path {
		case "/-/metrics":
			return admin.Response{Status: http.StatusOK, Body: p.metrics().AppendLines(nil)}
		case "/-/prometheus":
			b, err := p.metrics().PrometheusText()
			if err != nil {
				return admin.Response{Status: http.StatusInternalServerError, Body: []byte(err.Error() + "\n")}
			}
			return admin.Response{Status: http.StatusOK, ContentType: exposition.PrometheusContentType, Body: b}
		}
	}
	calls := map[string]struct {
		method string
		do     func() bool
	}{
		"/-/metrics":    {method: http.MethodGet},
		"/-/prometheus": {method: http.MethodGet},
		"/-/ready":      {http.MethodGet, p.lifecycle.IsServing},
		"/-/drain":      {http.MethodPost, func() bool { return p.handleLifecycle(lifecycle.Drain) }},
		"/-/resume":     {http.MethodPost, func() bool { return p.handleLifecycle(lifecycle.Resume) }},
	}
	c, ok := calls[path]
	switch {
	case !ok:
		return admin.Response{Status: http.StatusNotFound}
	case c.method != method:
		return admin.Response{Status: http.StatusMethodNotAllowed, AllowedMethod: c.method}
	case c.do():
		return admin.Response{Status: http.StatusOK, Body: []byte(p.lifecycle.State().String() + "\n")}
	case c.method == http.MethodGet:
		return admin.Response{Status: http.StatusServiceUnavailable, Body: []byte(p.lifecycle.State().String() + "\n")}
	}
	return admin.Response{Status: http.StatusConflict, Body: []byte(p.lifecycle.State().String() + "\n")}
}

// metrics are all that the process tells of itself.
func (p *pooler) metrics() *exposition.Snapshot {
	s := &exposition.Snapshot{}
	for _, tell := range []func(*exposition.Snapshot){p.core.WriteMetrics, p.platform.WriteFigures, p.writePeersMetrics, p.writeLimitsMetrics, p.writeInvariantsMetrics, p.writeScatterMetrics, p.writeRaftLogMetrics, p.writeCreditMetrics, p.writeOverloadMetrics,
		p.writeOutlierMetrics, p.writeZonesMetrics} {
		tell(s)
	}
	return s
}

// handleLifecycle takes an event of the pooler's life, does what follows from it, and tells whether it could be followed.
func (p *pooler) handleLifecycle(e lifecycle.Event) bool {
	was := p.lifecycle.State()
	ok := p.lifecycle.Handle(e)
	now := p.lifecycle.State()
	if p.platform.SetReady(p.lifecycle.IsReadyForClients()); now == was {
		return ok
	}
	p.log.Info("life", "was", was.String(), "now", now.String(), "sessions", p.platform.Sessions(), "open", p.core.OpenRequests())
	if p.inheritedListener != nil && was == lifecycle.Starting && p.lifecycle.AcceptsConnections() {
		p.stopAccepting = p.loop.AcceptFrom(p.inheritedListener, p.platform.Accept)
	}
	if p.peers != nil && now != lifecycle.Starting {
		p.peers.Drain(now != lifecycle.Ready)
	}
	switch now {
	case lifecycle.Draining:
		p.core.Note(recordpb.Kind_KIND_DRAIN, "")
		p.sendAway()
	case lifecycle.Ready:
		p.resume()
	case lifecycle.HandingOver, lifecycle.Stopping:
		p.core.Note(recordpb.Kind_KIND_DRAIN, "")
		p.end(was == lifecycle.Draining)
	}
	return ok
}

// sendAway begins a drain: clients are sent away in stages, each at a time that counts from now. A resume ends that; an end of the process
// does not.
func (p *pooler) sendAway() {
	p.drains++
	this, from := p.drains, p.loop.Now()
	if p.pooling != nil {
		p.pooling.Drain()
	}
	if p.clickhouse != nil {
		p.clickhouse.Drain()
	}
	for _, step := range []struct {
		ms    float64
		stage platform.DrainStage
	}{
		{noticeMs, platform.CloseIdle}, {refuseMs, platform.RefuseCommands}, {endPartialMs, platform.EndPartial},
		{closeActiveMs, platform.CloseActive}, {p.closeAllMs(), platform.CloseAll},
	} {
		p.loop.At(from+step.ms, func() {
			if p.drains == this {
				p.enterStage(step.stage, from)
			}
		})
	}
}

// closeAllMs is the time from a drain's begin until whatever a client still has under way is ended: what was begun before commands were
// refused has had its whole time by then.
func (p *pooler) closeAllMs() float64 {
	longest := 0.0
	for _, class := range p.cfg.Settings.Classes {
		longest = max(longest, clock.ToMillis(class.Deadline))
	}
	return max(stopTimeoutMs, refuseMs+longest+afterDeadlineMs)
}

// enterStage brings a drain that began at the given time to a stage.
func (p *pooler) enterStage(stage platform.DrainStage, from float64) {
	p.log.Info("drain", "stage", stage.String(), "ms", p.loop.Now()-from, "sessions", p.platform.Sessions(), "halfway", p.platform.PartialMessages(), "open", p.core.OpenRequests())
	p.platform.SetDrainStage(stage)
	if stage < platform.CloseAll {
		return
	}
	if p.pooling != nil {
		p.pooling.End()
	}
	if p.clickhouse != nil {
		p.clickhouse.End()
	}
}

// resume ends a drain.
func (p *pooler) resume() {
	p.drains++ // what is left of it has no effect
	p.platform.Resume()
	if p.pooling != nil {
		p.pooling.Resume()
	}
	if p.clickhouse != nil {
		p.clickhouse.Resume()
	}
}

// end ends the service. Where another process takes what comes on the same socket, clients' connections are closed as they
// fall idle, and they connect to that one. Else no new connections come after a while, as the clients' side hears of the
// restart, but those that there are stay in use for as long as they stay open: nobody else may be there to take their
// requests. So they are closed late, just soon enough to answer all before the process may be killed, and to have clients read
// that. Halves of requests are refused in the end.
func (p *pooler) end(drained bool) {
	began, longest := p.loop.Now(), 0.0
	for _, c := range p.cfg.Settings.Classes {
		longest = max(longest, clock.ToMillis(c.Deadline))
	}
	longest = min(longest, deadlineMs)
	p.core.EndAt(began + longest + drainEnd)
	closeAt, leastMs := began+longest+drainClose, float64(drainMs)
	if p.lifecycle.State() == lifecycle.HandingOver {
		p.stopAccepting()
		if p.peers != nil { // the next process is this pooler from now on
			p.peers.Leave(true)
		}
		closeAt, leastMs = began, handOverMs
		p.loop.At(began+longest, func() { p.platform.SetDrainStage(platform.RefuseCommands) })
	} else if drained {
		closeAt = began
	}
	p.loop.At(closeAt, func() { p.platform.SetDrainStage(platform.CloseIdle) })
	p.loop.At(began+longest+drainEnd, func() { p.platform.SetDrainStage(platform.EndPartial) })
	p.loop.At(began+longest+drainActive, func() { p.platform.SetDrainStage(platform.CloseActive) })
	if p.pooling != nil {
		p.stopPooling()
		p.pooling.Drain()
	}
	if p.clickhouse != nil {
		p.stopClickHouse()
		p.clickhouse.Drain()
	}
	var look func()
	look = func() {
		now, busy := p.loop.Now(), p.platform.HasOutstanding() || p.core.OpenRequests() > 0 || p.pooling != nil && p.pooling.HasOutstanding() || p.clickhouse != nil && p.clickhouse.HasOutstanding()
		if now < began+leastMs || now < began+longest+drainLast && p.platform.Sessions() > 0 || now < began+stopTimeoutMs && busy {
			p.loop.At(now+pollMs, look)
			return
		}
		p.log.Info("drained", "ms", now-began)
		if p.credit != nil {
			p.credit.close()
		}
		if p.peers != nil {
			p.peers.Leave(false)
		}
		p.endLoop(max(now+queuedSoonMs, min(now+queuedMs, began+longest+drainLast)))
	}
	look()
}

// endLoop ends the loop. What connects in the last moment is accepted and told so first, lest it be reset with the listener; by the given
// time it ends whatever they have read of that.
func (p *pooler) endLoop(by float64) {
	p.platform.SetDrainStage(platform.EndPartial)
	p.loop.StopAccepting(by-p.loop.Now(), func(accepted int) {
		var look func()
		look = func() {
			if now := p.loop.Now(); accepted > 0 && p.platform.Sessions() > 0 && now < by {
				p.loop.At(min(by, now+pollMs), look)
				return
			}
			p.loop.End()
		}
		look()
	})
}
