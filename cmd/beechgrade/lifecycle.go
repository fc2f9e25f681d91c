package main

import (
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/lifecycle"
	"beechgrade/internal/record/recordpb"
)

// listTimeoutMs is how long the startup waits for a server list before it serves with the one from the configuration.
const listTimeoutMs = 1500

// listObserver passes lists on from discovery, and marks the process ready at the first one.
type listObserver struct {
	pooler *pooler
	discovery.Events
}

// Listed applies a list from discovery. A list that is older than one that another process on the socket has reported is not passed on.
func (l listObserver) Listed(list *discovery.List) {
	if p := l.pooler; list.Restarted || list.Generation >= p.list.generation {
		p.list.receive(list)
		p.saveList()
		l.Events.Listed(list)
	}
	l.pooler.listReceived()
}

// awaitList marks the process ready once a list has been received, or after listTimeoutMs.
func (p *pooler) awaitList() {
	p.lifecycle.Shared = p.inheritedListener != nil
	p.loop.At(p.loop.Now()+listTimeoutMs, p.listReceived)
	p.acceptIfNobodyDoes()
}

// listReceived marks the process ready at the first call.
func (p *pooler) listReceived() {
	if !p.hasList {
		p.hasList = true
		p.handleLifecycle(lifecycle.Started)
	}
}

// handleLifecycle applies an event to the lifecycle state, starts the drain, resume or shutdown that follows from it, and reports whether the event
// was accepted.
func (p *pooler) handleLifecycle(event lifecycle.Event) bool {
	before := p.lifecycle.State()
	accepted := p.lifecycle.Handle(event)
	now := p.lifecycle.State()
	p.platform.SetReady(p.lifecycle.IsReadyForClients())
	if now == before {
		return accepted
	}
	p.log.Info("lifecycle state changed", "was", before.String(), "now", now.String(), "sessions", p.platform.Sessions(), "open_requests", p.core.OpenRequests())
	if p.inheritedListener != nil && before == lifecycle.Starting && p.lifecycle.AcceptsConnections() {
		p.stopAccepting = p.loop.AcceptFrom(p.inheritedListener, p.platform.Accept)
	}
	if p.peers != nil && now != lifecycle.Starting {
		p.peers.Drain(now != lifecycle.Ready)
	}
	switch now {
	case lifecycle.Draining:
		p.core.RecordEvent(recordpb.Kind_KIND_DRAIN, "")
		p.startDrain()
	case lifecycle.Ready:
		p.resume()
	case lifecycle.HandingOver, lifecycle.Stopping:
		p.core.RecordEvent(recordpb.Kind_KIND_DRAIN, "")
		p.beginShutdown(before == lifecycle.Draining)
	}
	return accepted
}
