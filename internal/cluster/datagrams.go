package cluster

import (
	"errors"
	"net"
	"net/netip"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/cluster/view"
)

// datagram is one that goes out; the view's message is not changed any more.
type datagram struct {
	to netip.AddrPort
	e  envelope
}

// write has a datagram go out, unless too many wait.
func (p *Peers) write(addr string, e envelope) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		p.dropped.Add(1)
		return
	}
	select {
	case p.send <- datagram{to, e}:
	default:
		p.overrun.Add(1)
	}
}

func (p *Peers) writer() {
	defer p.wg.Done()
	defer close(p.written)
	var b []byte
	for d := range p.send {
		b = p.opt.Key.seal(b[:0], &d.e)
		if _, err := p.packet.WriteToUDPAddrPort(b, d.to); err == nil {
			p.sent.Add(1)
		}
	}
}

func (p *Peers) reader() {
	defer p.wg.Done()
	b := make([]byte, MostDatagram+1)
	for {
		n, _, err := p.packet.ReadFromUDPAddrPort(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a refusal of what was sent to one who has gone
		}
		if n > MostDatagram {
			p.dropped.Add(1)
			continue
		}
		e, err := p.opt.Key.open(b[:n])
		ofPart := err == nil && e.Kind >= module.FirstKind && e.Kind <= module.LastKind
		if ofPart {
			err = p.readPart(e)
		}
		if err != nil || !ofPart && e.Kind > view.Gossip && (e.Kind != kindLimits || e.limits == nil) {
			p.dropped.Add(1)
			continue
		}
		p.in.Add(1)
		if ofPart {
			p.post(func() { p.heardPart(e) })
			continue
		}
		if e.Kind == kindLimits {
			p.post(func() { p.share(quota.Heard{Message: e.limits}) })
			continue
		}
		p.post(func() { p.do(view.Heard{Message: &e.Message}) })
	}
}

// post tells the view from a goroutine, unless too much waits for the loop.
func (p *Peers) post(do func()) {
	if p.posted.Add(1) > waiting {
		p.posted.Add(-1)
		p.overrun.Add(1)
		return
	}
	p.loop.Post(func() {
		p.posted.Add(-1)
		do()
	})
}
