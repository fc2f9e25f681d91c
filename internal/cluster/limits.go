package cluster

import (
	"math"

	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/cluster/view"
)

// members tells the quota who is there. A process that has taken another ID begins anew: what it had was lent to the old one.
func (p *Peers) members() {
	if p.opt.Limits == nil || p.ended {
		return
	}
	if self := p.view.Self().ID; p.quota == nil || self != p.lends {
		p.lends, p.quota = self, quota.New(*p.opt.Limits, self, p.loop.Now())
		p.quota.Check(p.checks, p.every)
	}
	e := quota.Members{Sending: p.counts.Sending}
	for _, r := range p.view.Members() {
		if r.State <= view.Suspect {
			e.Peers = append(e.Peers, quota.Peer{ID: r.ID, Addr: r.Addr, Ending: r.Draining})
		}
	}
	p.share(e)
}

// share tells the quota and carries out what it asks for.
func (p *Peers) share(e quota.Event) {
	if p.ended || p.quota == nil {
		return
	}
	acts := p.quota.Handle(p.loop.Now(), e, p.acts[:0])
	p.acts = nil // who is told may tell again
	p.due = p.quota.Due()
	for i := range acts {
		switch a := &acts[i]; a.Kind {
		case quota.Send:
			p.write(a.Addr, envelope{Message: view.Message{Kind: kindLimits, From: a.Message.From, Target: a.Message.To}, limits: a.Message})
		case quota.Allow:
			p.events.Allow(a.Limit, a.Amount, a.Burst)
		}
	}
	clear(acts)
	p.acts = acts
}

// Demand tells what this pooler would use of a limit, and uses.
func (p *Peers) Demand(limit string, want, used float64) {
	p.share(quota.Demand{Limit: limit, Want: want, Used: used})
}

// Limit has the limits be these from now on. How they are shared stays as it was, where there were some before.
func (p *Peers) Limit(set quota.Settings) {
	if p.opt.Limits == nil {
		p.opt.Limits = &set
		if p.view != nil {
			p.members()
		}
		return
	}
	p.opt.Limits.Limits = set.Limits
	p.share(quota.Retune{Limits: set.Limits})
}

// Due is when what is allowed may fall without another word; never where nothing may.
func (p *Peers) Due() float64 {
	if p.quota == nil {
		return math.Inf(1)
	}
	return p.due
}

// Expire has leases that are over be so.
func (p *Peers) Expire() { p.share(quota.Tick{}) }

// Standings tell how limits stand here.
func (p *Peers) Standings() []quota.Standing {
	if p.quota == nil {
		return nil
	}
	return p.quota.Standings()
}
