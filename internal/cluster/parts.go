package cluster

import (
	"fmt"
	"net"
	"slices"
	"time"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/encoding"
)

// body is a part's message: words on their way out, or what was read of those that came.
type body struct {
	words module.Message
	raw   []byte
	read  any
}

func appendBody(b []byte, w module.Message) []byte {
	if w == nil {
		return b
	}
	return encoding.AppendBytesField(b, 9, w.Append(nil))
}

// Join has a part live beside the view; before Start.
func (p *Peers) Join(x module.Module) {
	if k := x.Kind(); k < module.FirstKind || k > module.LastKind || p.partOf(k) != nil {
		panic(fmt.Sprintf("peers: kind %d of a part", k))
	}
	p.parts = append(p.parts, x)
}

func (p *Peers) partOf(k view.Kind) module.Module {
	if i := slices.IndexFunc(p.parts, func(x module.Module) bool { return x.Kind() == k }); i >= 0 {
		return p.parts[i]
	}
	return nil
}

// Now is part.Net's.
func (p *Peers) Now() float64 { return p.loop.Now() }

// Send is part.Net's.
func (p *Peers) Send(addr string, to view.ID, kind view.Kind, w module.Message) {
	if p.ended || p.view == nil {
		return
	}
	p.write(addr, envelope{Message: view.Message{Kind: kind, From: p.view.Self().ID, Target: to}, body: body{words: w}})
}

// SendStream is part.Net's.
func (p *Peers) SendStream(addr string, to view.ID, kind view.Kind, w module.Message, done func(ok bool)) {
	if p.ended || p.view == nil {
		return
	}
	if p.asking.Add(1) > streams {
		p.asking.Add(-1)
		p.overrun.Add(1)
		done(false)
		return
	}
	e := &envelope{Message: view.Message{Kind: kind, From: p.view.Self().ID, Target: to}, body: body{words: w}}
	go func() {
		defer p.asking.Add(-1)
		_, err := p.exchange(addr, e) // the answer is one side of a full exchange, and says that it was taken
		if err != nil {
			p.log.Debug("peers: stream", "addr", addr, "kind", kind, "err", err)
		}
		p.loop.Post(func() {
			if !p.ended {
				done(err == nil)
			}
		})
	}()
}

// readPart has a part read its message, off the loop.
func (p *Peers) readPart(e *envelope) error {
	x := p.partOf(e.Kind)
	if x == nil {
		return fmt.Errorf("%w: kind %d", ErrForm, e.Kind)
	}
	m, err := x.Decode(e.body.raw)
	if err != nil {
		return fmt.Errorf("%w: kind %d: %w", ErrForm, e.Kind, err)
	}
	e.body.read = m
	return nil
}

// heardPart passes on what a part was told; what was for another process is not for this one.
func (p *Peers) heardPart(e *envelope) {
	if p.ended || p.view == nil || e.Target != p.view.Self().ID && e.Target != 0 {
		return
	}
	p.partOf(e.Kind).Receive(e.From, e.body.read)
}

// answerPart takes a part's message that came over a stream.
func (p *Peers) answerPart(c net.Conn, e *envelope) {
	if err := p.readPart(e); err != nil {
		p.dropped.Add(1)
		return
	}
	got := make(chan *envelope, 1)
	p.post(func() {
		if p.ended {
			close(got)
			return
		}
		p.heardPart(e)
		got <- &envelope{Message: view.Message{Kind: kindRecords, From: p.view.Self().ID}}
	})
	select {
	case mine := <-got:
		if mine != nil {
			_, _ = c.Write(appendFrame(nil, p.opt.Key.seal(nil, mine)))
		}
	case <-time.After(streamMs * time.Millisecond):
	}
}

// tellParts tells all parts who is there.
func (p *Peers) tellParts() {
	if len(p.parts) == 0 || p.view == nil || p.ended {
		return
	}
	self, all := p.view.Self().ID, p.view.Members()
	for _, x := range p.parts {
		x.UpdateMembers(self, all, p.counts)
	}
}
