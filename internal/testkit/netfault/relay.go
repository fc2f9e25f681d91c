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

// Relays forward the datagrams and streams between poolers on loopback, each direction separately. Pooler i listens at
// ListenAddress(i) and advertises AdvertisedAddress(i), that of its relay; a sender is identified by the address that it sends from.
type Relays struct {
	mu     sync.Mutex // guards net, rng and the counts
	net    *Net
	rng    *rand.Rand
	relays []*relay

	forwarded, lost uint64 // datagrams
}

// relay is the relay of one pooler.
type relay struct {
	relays *Relays
	pooler int
	packet *net.UDPConn
	listen *net.TCPListener
	target netip.AddrPort
	wg     sync.WaitGroup

	mu      sync.Mutex
	streams map[net.Conn][2]int // sender and receiver of each stream
}

const (
	maxStreams          = 256
	maxDelayedDatagrams = 4096 // per relay at a time; further ones are dropped
)

// NewRelays opens relays for n poolers, each with its own loopback address.
func NewRelays(n int, seed uint64) (*Relays, error) {
	if n > 200 {
		return nil, fmt.Errorf("relays: %d poolers, at most 200 are supported", n)
	}
	relays := &Relays{net: New(n), rng: rand.New(rand.NewPCG(seed, 6))}
	for i := range n {
		r := &relay{relays: relays, pooler: i, streams: map[net.Conn][2]int{}}
		if err := r.open(); err != nil {
			return nil, errors.Join(err, relays.Close())
		}
		relays.relays = append(relays.relays, r)
	}
	for _, r := range relays.relays {
		r.wg.Add(2)
		go r.datagrams()
		go r.accept()
	}
	return relays, nil
}

func loopbackHost(kind, i int) string { return fmt.Sprintf("127.%d.0.%d", kind, i+1) }

func (r *relay) open() error {
	host := loopbackHost(78, r.pooler)
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
		real, err := freeAddress(loopbackHost(77, r.pooler))
		if err != nil {
			return errors.Join(err, p.Close(), l.Close())
		}
		r.packet, r.listen, r.target = p, l, real
		return nil
	}
	return errors.New("relay: found no port that is free for both UDP and TCP in 20 attempts")
}

// freeAddress finds a port that is free for both datagrams and streams.
func freeAddress(host string) (netip.AddrPort, error) {
	for range 20 {
		p, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
		if err != nil {
			return netip.AddrPort{}, err
		}
		addr := p.LocalAddr().(*net.UDPAddr).AddrPort()
		l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(host), Port: int(addr.Port())})
		_ = p.Close()
		if err == nil {
			_ = l.Close()
			return addr, nil
		}
	}
	return netip.AddrPort{}, errors.New("relay: found no port that is free for both UDP and TCP in 20 attempts")
}

// ListenAddress returns the address at which a pooler must listen.
func (relays *Relays) ListenAddress(i int) string { return relays.relays[i].target.String() }

// AdvertisedAddress returns the address that a pooler must advertise to its peers.
func (relays *Relays) AdvertisedAddress(i int) string {
	return relays.relays[i].packet.LocalAddr().String()
}

// Update changes the links' faults and closes the streams on links that are cut.
func (relays *Relays) Update(do func(n *Net)) {
	relays.mu.Lock()
	do(relays.net)
	relays.mu.Unlock()
	for _, r := range relays.relays {
		r.mu.Lock()
		for c, ends := range r.streams {
			if relays.cut(ends[0], ends[1]) || relays.cut(ends[1], ends[0]) {
				_ = c.Close()
			}
		}
		r.mu.Unlock()
	}
}

func (relays *Relays) cut(from, to int) bool {
	relays.mu.Lock()
	defer relays.mu.Unlock()
	return relays.net.Cut(from, to)
}

// Cut reports whether no message gets from one pooler to the other.
func (relays *Relays) Cut(from, to int) bool { return relays.cut(from, to) }

// Counts returns the numbers of forwarded and of dropped datagrams.
func (relays *Relays) Counts() (forwarded, lost uint64) {
	relays.mu.Lock()
	defer relays.mu.Unlock()
	return relays.forwarded, relays.lost
}

// senderOf returns the pooler that sends from an address, -1 for none.
func (relays *Relays) senderOf(a netip.Addr) int {
	for i, r := range relays.relays {
		if r.target.Addr() == a.Unmap() {
			return i
		}
	}
	return -1
}

func (r *relay) datagrams() {
	defer r.wg.Done()
	b := make([]byte, 1<<16)
	delayed := make(chan struct{}, maxDelayedDatagrams)
	for {
		n, at, err := r.packet.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from := r.relays.senderOf(at.Addr())
		if err != nil || from < 0 {
			continue
		}
		r.relays.mu.Lock()
		copies := r.relays.net.CopyDelays(from, r.pooler, r.relays.rng)
		if len(copies) == 0 {
			r.relays.lost++
		} else {
			r.relays.forwarded++
		}
		r.relays.mu.Unlock()
		for _, delayMs := range copies {
			if delayMs <= 0 {
				_, _ = r.packet.WriteToUDPAddrPort(b[:n], r.target)
				continue
			}
			select {
			case delayed <- struct{}{}:
			default:
				continue
			}
			m := append([]byte(nil), b[:n]...)
			time.AfterFunc(time.Duration(delayMs*float64(time.Millisecond)), func() {
				<-delayed
				_, _ = r.packet.WriteToUDPAddrPort(m, r.target)
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
			from = r.relays.senderOf(at.Addr())
		}
		r.mu.Lock()
		if from < 0 || len(r.streams) >= maxStreams || r.relays.cut(from, r.pooler) || r.relays.cut(r.pooler, from) {
			r.mu.Unlock()
			_ = c.Close()
			continue
		}
		r.streams[c] = [2]int{from, r.pooler}
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
	target, err := net.DialTimeout("tcp", r.target.String(), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn, sender, receiver int) {
		buf := make([]byte, 16<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				r.relays.mu.Lock()
				delayMs := r.relays.net.ExtraDelayMs(sender, receiver)
				r.relays.mu.Unlock()
				time.Sleep(time.Duration(delayMs * float64(time.Millisecond)))
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
	go forward(target, c, from, r.pooler)
	go forward(c, target, r.pooler, from)
	<-done
	<-done
}

// Close closes all relays and waits for their goroutines that read datagrams and accept streams.
func (relays *Relays) Close() error {
	for _, r := range relays.relays {
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
