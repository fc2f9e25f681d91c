package netfault

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Relays carry what goes between poolers on loopback, datagrams and streams, each way by itself. Pooler i has an address of its own,
// Real(i), and the others are told of Told(i), where its relay listens; who sends is known by the address that it sends from.
type Relays struct {
	mu     sync.Mutex // of net, rng and counts
	net    *Net
	rng    *rand.Rand
	relays []*relay

	carried, lost uint64
}

// relay is before one pooler.
type relay struct {
	of     *Relays
	no     int
	packet *net.UDPConn
	listen *net.TCPListener
	real   netip.AddrPort
	wg     sync.WaitGroup

	mu      sync.Mutex
	streams map[net.Conn][2]int // and from whom to whom
}

const (
	mostStreams = 256
	mostHeld    = 4096 // datagrams that are on their way at a time
)

// NewRelays opens relays for so many poolers. Their addresses are of the loop's own range, one for each pooler.
func NewRelays(n int, seed uint64) (*Relays, error) {
	if n > 200 {
		return nil, fmt.Errorf("relays: %d poolers; 200 may be", n)
	}
	x := &Relays{net: New(n), rng: rand.New(rand.NewPCG(seed, 6))}
	for i := range n {
		r := &relay{of: x, no: i, streams: map[net.Conn][2]int{}}
		if err := r.open(); err != nil {
			return nil, errors.Join(err, x.Close())
		}
		x.relays = append(x.relays, r)
	}
	for _, r := range x.relays {
		r.wg.Add(2)
		go r.datagrams()
		go r.accept()
	}
	return x, nil
}

func home(kind, i int) string { return fmt.Sprintf("127.%d.0.%d", kind, i+1) }

func (r *relay) open() error {
	host := home(78, r.no)
	for range 20 {
		p, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
		if err != nil {
			return fmt.Errorf("relay: %w", err)
		}
		port := p.LocalAddr().(*net.UDPAddr).Port
		l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(host), Port: port})
		if err != nil {
			_ = p.Close()
			continue
		}
		real, err := free(home(77, r.no))
		if err != nil {
			return errors.Join(err, p.Close(), l.Close())
		}
		r.packet, r.listen, r.real = p, l, real
		return nil
	}
	return errors.New("relay: no port is free for both")
}

// free finds a port that is free for datagrams and streams.
func free(host string) (netip.AddrPort, error) {
	for range 20 {
		p, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
		if err != nil {
			return netip.AddrPort{}, err
		}
		at := p.LocalAddr().(*net.UDPAddr).AddrPort()
		l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(host), Port: int(at.Port())})
		_ = p.Close()
		if err == nil {
			_ = l.Close()
			return at, nil
		}
	}
	return netip.AddrPort{}, errors.New("relay: no port is free for both")
}

// Real is where a pooler is to listen.
func (x *Relays) Real(i int) string { return x.relays[i].real.String() }

// Told is what a pooler is to say of itself, and others of it.
func (x *Relays) Told(i int) string { return x.relays[i].packet.LocalAddr().String() }

// Strike has something done to the ways; streams on those that are cut by it break.
func (x *Relays) Strike(do func(n *Net)) {
	x.mu.Lock()
	do(x.net)
	x.mu.Unlock()
	for _, r := range x.relays {
		r.mu.Lock()
		for c, ends := range r.streams {
			if x.cut(ends[0], ends[1]) || x.cut(ends[1], ends[0]) {
				_ = c.Close()
			}
		}
		r.mu.Unlock()
	}
}

func (x *Relays) cut(from, to int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.net.Cut(from, to)
}

// Cut tells whether nothing gets from one to the other.
func (x *Relays) Cut(from, to int) bool { return x.cut(from, to) }

// Counts are the datagrams that were carried, and those that were lost on purpose.
func (x *Relays) Counts() (carried, lost uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.carried, x.lost
}

// from finds the pooler that sends from an address, -1 for none.
func (x *Relays) from(a netip.Addr) int {
	for i, r := range x.relays {
		if r.real.Addr() == a.Unmap() {
			return i
		}
	}
	return -1
}

func (r *relay) datagrams() {
	defer r.wg.Done()
	b := make([]byte, 1<<16)
	held := make(chan struct{}, mostHeld)
	for {
		n, at, err := r.packet.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from := r.of.from(at.Addr())
		if err != nil || from < 0 {
			continue
		}
		r.of.mu.Lock()
		copies := r.of.net.Fate(from, r.no, r.of.rng)
		if len(copies) == 0 {
			r.of.lost++
		} else {
			r.of.carried++
		}
		r.of.mu.Unlock()
		for _, late := range copies {
			if late <= 0 {
				_, _ = r.packet.WriteToUDPAddrPort(b[:n], r.real)
				continue
			}
			select {
			case held <- struct{}{}:
			default:
				continue
			}
			m := append([]byte(nil), b[:n]...)
			time.AfterFunc(time.Duration(late*float64(time.Millisecond)), func() {
				<-held
				_, _ = r.packet.WriteToUDPAddrPort(m, r.real)
			})
		}
	}
}

func (r *relay) accept() {
	defer r.wg.Done()
	for {
		c, err := r.listen.Accept()
		if err != nil {
			return
		}
		at, err := netip.ParseAddrPort(c.RemoteAddr().String())
		from := -1
		if err == nil {
			from = r.of.from(at.Addr())
		}
		r.mu.Lock()
		if from < 0 || len(r.streams) >= mostStreams || r.of.cut(from, r.no) || r.of.cut(r.no, from) {
			r.mu.Unlock()
			_ = c.Close()
			continue
		}
		r.streams[c] = [2]int{from, r.no}
		r.mu.Unlock()
		go r.stream(c, from)
	}
}

func (r *relay) stream(c net.Conn, from int) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.streams, c)
		r.mu.Unlock()
	}()
	there, err := net.DialTimeout("tcp", r.real.String(), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = there.Close() }()
	done := make(chan struct{}, 2)
	pass := func(to, of net.Conn, a, b int) {
		buf := make([]byte, 16<<10)
		for {
			n, err := of.Read(buf)
			if n > 0 {
				r.of.mu.Lock()
				late := r.of.net.Slow(a, b)
				r.of.mu.Unlock()
				time.Sleep(time.Duration(late * float64(time.Millisecond)))
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				if t, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
					_ = t.CloseWrite()
				}
				break
			}
		}
		done <- struct{}{}
	}
	go pass(there, c, from, r.no)
	go pass(c, there, r.no, from)
	<-done
	<-done
}

// Close ends all relays.
func (x *Relays) Close() error {
	for _, r := range x.relays {
		_ = r.packet.Close()
		_ = r.listen.Close()
		r.mu.Lock()
		for c := range r.streams {
			_ = c.Close()
		}
		r.mu.Unlock()
		r.wg.Wait()
	}
	return nil
}
