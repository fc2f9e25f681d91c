package cluster

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
)

// trade begins a full exchange.
func (p *Peers) trade(addr string) {
	if p.asking.Add(1) > streams {
		p.asking.Add(-1)
		p.overrun.Add(1)
		return
	}
	mine := p.side()
	p.traded.Add(1)
	go func() {
		defer p.asking.Add(-1)
		e, err := p.exchange(addr, mine)
		if err != nil {
			p.failed.Add(1)
			p.log.Debug("peers: exchange", "addr", addr, "err", err)
			return
		}
		p.post(func() { p.do(view.Exchanged{Records: e.Records}) })
	}()
}

// side is this process's side of an exchange; it is made on the loop.
func (p *Peers) side() *envelope {
	me := p.view.Self()
	return &envelope{Message: view.Message{Kind: kindRecords, From: me.ID, Records: p.view.Records()}, counts: p.counts}
}

func (p *Peers) exchange(addr string, mine *envelope) (*envelope, error) {
	d := net.Dialer{Timeout: streamMs * time.Millisecond, LocalAddr: &net.TCPAddr{IP: p.local.AsSlice()}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	return Call(c, p.opt.Key, mine)
}

// Call has one side of an exchange over a connection that is up.
func Call(c net.Conn, key Key, mine *envelope) (*envelope, error) {
	_ = c.SetDeadline(time.Now().Add(streamMs * time.Millisecond))
	if _, err := c.Write(appendFrame(nil, key.seal(nil, mine))); err != nil {
		return nil, err
	}
	return readFrame(c, key)
}

// readFrame reads one sealed message of a stream. Nothing is set aside for what a length promises before it has come.
func readFrame(c io.Reader, key Key) (*envelope, error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > MostStream {
		return nil, fmt.Errorf("%w: %d bytes", ErrForm, n)
	}
	b, err := io.ReadAll(io.LimitReader(c, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(b) < int(n) {
		return nil, io.ErrUnexpectedEOF
	}
	return key.open(b)
}

func (p *Peers) accepter() {
	defer p.wg.Done()
	room := make(chan struct{}, streams)
	for {
		c, err := p.listen.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(againMs * time.Millisecond) // no descriptor
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			p.overrun.Add(1)
			_ = c.Close()
			continue
		}
		go func() {
			defer func() { _ = c.Close(); <-room }()
			p.answer(c)
		}()
	}
}

// answer has the other side of an exchange.
func (p *Peers) answer(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(streamMs * time.Millisecond))
	e, err := readFrame(c, p.opt.Key)
	if err == nil && e.Kind >= module.FirstKind && e.Kind <= module.LastKind {
		p.answerPart(c, e)
		return
	}
	if err != nil || e.Kind != kindRecords && e.Kind != kindShow {
		p.dropped.Add(1)
		return
	}
	got := make(chan *envelope, 1)
	if p.posted.Add(1) > waiting {
		p.posted.Add(-1)
		p.overrun.Add(1)
		return
	}
	p.loop.Post(func() {
		p.posted.Add(-1)
		if p.ended {
			close(got)
			return
		}
		mine := p.side()
		if e.Kind == kindRecords {
			p.do(view.Exchanged{Records: e.Records})
		} else {
			mine.avoids = p.avoided()
		}
		got <- mine
	})
	select {
	case mine := <-got:
		if mine != nil {
			_, _ = c.Write(appendFrame(nil, p.opt.Key.seal(nil, mine)))
		}
	case <-time.After(streamMs * time.Millisecond):
	}
}
