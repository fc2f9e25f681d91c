package clients

import (
	"bufio"
	"cmp"
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/protocol/pgwire"
)

// Kind is the outcome of an attempt for its client.
type Kind string

// The kinds. Attempt.Late marks attempts whose answer arrived after the client gave up.
const (
	Served       Kind = "served"
	Refused      Kind = "refused"
	Failed       Kind = "failed"
	Unanswered   Kind = "no answer" // neither until the client gave up nor within LateAnswerWaitMs after it
	Broken       Kind = "broken"    // the connection ended without an answer
	NotConnected Kind = "unmade"    // no connection to a pooler in time
)

// Attempt is one attempt of a request with its outcome for the client.
type Attempt struct {
	Request       *Request
	Class         *Class
	No            int // 0 for the first
	ID            string
	Pooler        int     // -1 if none was reached
	First         float64 // when the request's first attempt was sent, Unix ms
	Sent          float64
	Ended         float64 // when its client had the answer or gave up
	AnsweredAt    float64 // arrival of the answer's last byte; later than Ended if Late, 0 for none
	After         float64 // position that a session's read must see, as known to its client when the attempt was sent; 0 for none
	Kind          Kind
	Late          bool
	PoolerStalled bool // its pooler was paused meanwhile, and treats requests that arrived during the pause as new
	Extra         bool // more data, such as a second answer, followed the answer
	Value         []byte
	WriteNumber   uint64 // number of a write among those of its key
	Stale         bool   // the value read is older than the class allows
	Foreign       bool   // the value was never written under this key
	Tenant        string // empty for none
}

// Sink receives attempts as they end, from one goroutine at a time.
type Sink interface{ AttemptEnded(t *Attempt) }

// Player sends the requests of a plan.
type Player struct {
	cfg     Config
	clk     clock.Clock
	sink    Sink
	poolers []string

	mu               sync.Mutex
	idle             [][]*link
	sessions         Sessions
	unreachableUntil []float64 // by pooler: no connection attempts before this time
	wg               sync.WaitGroup
}

// link is a connection to a pooler.
type link struct {
	net.Conn
	reader  *bufio.Reader
	since   float64
	partial answer // the answer that is being received
	rows    int
}

const (
	unreachableMs = 500 // time for which clients avoid a pooler after a failed connection
	dialMs        = 300
	maxAnswer     = 16 << 10
)

// NewPlayer returns a player for poolers with the given addresses.
func NewPlayer(cfg Config, clk clock.Clock, poolers []string, sink Sink) *Player {
	return &Player{cfg: cfg, clk: clk, sink: sink, poolers: poolers, idle: make([][]*link, len(poolers)),
		sessions: Sessions{}, unreachableUntil: make([]float64, len(poolers))}
}

// Run sends each request at its time, and returns when all have ended. It calls progress, unless nil, with the number of sent requests.
func (p *Player) Run(ctx context.Context, plan []Request, progress func(sent int)) {
	order := make([]*Request, len(plan))
	for i := range plan {
		order[i] = &plan[i]
	}
	slices.SortStableFunc(order, func(a, b *Request) int { return cmp.Compare(a.At, b.At) })
	startedAt := p.clk.Now()
	for i, a := range order {
		if wait := startedAt + a.At - p.clk.Now(); wait > 0 {
			t := time.NewTimer(time.Duration(wait * float64(time.Millisecond)))
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
				p.end()
				return
			}
		}
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			p.request(ctx, a)
		}()
		if progress != nil && i%64 == 0 {
			progress(i + 1)
		}
	}
	p.end()
}

func (p *Player) end() {
	p.wg.Wait()
	for _, links := range p.idle {
		for _, l := range links {
			_ = l.Close()
		}
	}
}

// request makes the attempts of a request.
func (p *Player) request(ctx context.Context, a *Request) {
	c := &p.cfg.Classes[a.Class]
	first := 0.0
	for no := 0; no <= len(a.RetryWaits); no++ {
		t := &Attempt{Request: a, Class: c, No: no, Pooler: -1, Tenant: p.cfg.TenantOf(a)}
		wait := p.attempt(t, &first)
		p.mu.Lock()
		p.sink.AttemptEnded(t)
		p.mu.Unlock()
		if t.Kind == Served || no == len(a.RetryWaits) {
			return
		}
		if wait <= 0 {
			wait = a.RetryWaits[no]
		}
		select {
		case <-time.After(time.Duration(wait * float64(time.Millisecond))):
		case <-ctx.Done():
			return
		}
	}
}

// attempt makes one attempt, and returns the wait in ms that a refusal advised.
func (p *Player) attempt(t *Attempt, first *float64) (wait float64) {
	a, c := t.Request, t.Class
	t.ID = fmt.Sprintf("%08x%02x%08x", p.cfg.Seed&0xffffffff, t.No, a.No)
	if c.Read == Write {
		p.mu.Lock()
		t.WriteNumber = p.sessions.Write(a, c)
		p.mu.Unlock()
	}
	if c.Read == ReadSession {
		p.mu.Lock()
		t.After = p.sessions.Committed(a.Key)
		p.mu.Unlock()
	}
	t.Sent = p.clk.Now()
	if *first == 0 {
		*first = t.Sent
	}
	t.First = *first
	l := p.connect(t)
	if l == nil {
		t.Kind, t.Ended = NotConnected, p.clk.Now()
		return 0
	}
	giveUpAt := t.Sent + a.Patience
	if p.clk.Now() >= giveUpAt { // connecting took all of its time
		t.Kind, t.Ended = NotConnected, p.clk.Now()
		_ = l.Close()
		return 0
	}
	query, answer := pgwire.AppendQuery(nil, statement(a, c, t, t.After, giveUpAt-p.clk.Now())), l.answer
	if p.cfg.ClickHouse {
		query, answer = clickhouseQuery(a, c, t, giveUpAt-p.clk.Now()), l.clickhouseAnswer
	}
	_ = l.SetDeadline(time.Now().Add(time.Duration((giveUpAt - p.clk.Now()) * float64(time.Millisecond))))
	if w, ok := p.sink.(Watcher); ok {
		w.BeforeSend(t, giveUpAt, math.Ceil(t.After))
	}
	if _, err := l.Write(query); err != nil {
		t.Kind, t.Ended = Broken, p.clk.Now()
		_ = l.Close()
		return 0
	}
	received, err := answer()
	t.Ended = p.clk.Now()
	if isTimeout(err) { // its client has given up; wait for a late answer
		_ = l.SetDeadline(time.Now().Add(time.Duration(p.cfg.LateAnswerWaitMs * float64(time.Millisecond))))
		received, err = answer()
		if isTimeout(err) {
			t.Kind = Unanswered
			_ = l.Close()
			return 0
		}
		t.Late = err == nil
	}
	t.AnsweredAt = p.clk.Now()
	if err != nil {
		t.Kind = Broken
		_ = l.Close()
		return 0
	}
	switch {
	case received.code == "":
		t.Kind, t.Value = Served, received.value
	case received.code == "53300" || received.code == "57P03":
		t.Kind, wait = Refused, received.wait
	default:
		t.Kind = Failed
	}
	if t.Kind == Served {
		p.mu.Lock()
		p.sessions.Served(t)
		p.mu.Unlock()
	}
	t.Extra = l.reader.Buffered() > 0
	if received.ready && !t.Late && !t.Extra {
		p.releaseLink(t.Pooler, l)
	} else {
		_ = l.Close()
	}
	return wait
}

// statement returns the SQL text of an attempt, whose comment carries its class, deadline and further fields.
func statement(a *Request, c *Class, t *Attempt, after, patience float64) string {
	var b strings.Builder
	if c.Read == Write {
		fmt.Fprintf(&b, `INSERT INTO kv (name, content) VALUES ('%s', '\x%s') RETURNING content`, a.Key, hex.EncodeToString(Value(a.Key, t.WriteNumber)))
	} else {
		fmt.Fprintf(&b, "SELECT content FROM kv WHERE name = '%s'", a.Key)
	}
	fmt.Fprintf(&b, " /* id=%s,c=%s,d=%d,cluster=%d", t.ID, c.Name, max(1, int(math.Floor(patience))), a.Group)
	if after > 0 {
		fmt.Fprintf(&b, ",after=%d", int64(math.Ceil(after)))
	}
	if c.KeyMs > 0 {
		fmt.Fprintf(&b, ",k=%s", a.IdempotencyKey())
	}
	if t.Tenant != "" {
		fmt.Fprintf(&b, ",t=%s", t.Tenant)
	}
	if t.No > 0 {
		b.WriteString(",r=1")
	}
	b.WriteString(" */")
	return b.String()
}

// Home returns the index of the pooler that a request goes to: its session's, unless RoamShare or Skew directs it to another.
func (c *Config) Home(a *Request, poolers int) int {
	if c.Skew > 0 && (a.Tag>>20)%1000 < uint64(1000*c.Skew) && c.TenantOf(a) != "" {
		if c.SwingMs > 0 && poolers > 1 {
			return int(a.At/c.SwingMs) % 2
		}
		return 0
	}
	if a.Tag%1000 < uint64(1000*c.RoamShare) {
		return int(a.Tag / 1000 % uint64(poolers))
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(a.Key))
	return int(h.Sum32() % uint32(poolers))
}

// connect returns a connection to the request's pooler, or to another if that is unreachable; nil if all are.
func (p *Player) connect(t *Attempt) *link {
	home := p.cfg.Home(t.Request, len(p.poolers))
	for i := range p.poolers {
		n := (home + i) % len(p.poolers)
		now := p.clk.Now()
		p.mu.Lock()
		skip := now < p.unreachableUntil[n]
		var l *link
		for links := p.idle[n]; l == nil && len(links) > 0; links = p.idle[n] {
			l = links[len(links)-1]
			p.idle[n] = links[:len(links)-1]
			if now-l.since > p.cfg.IdleMs || !l.alive() {
				_ = l.Close()
				l = nil
			}
		}
		p.mu.Unlock()
		if l != nil {
			t.Pooler = n
			return l
		}
		if skip {
			continue
		}
		connect := dial
		if p.cfg.ClickHouse {
			connect = dialClickHouse
		}
		l, err := connect(p.poolers[n])
		if err == nil {
			t.Pooler = n
			return l
		}
		p.mu.Lock()
		p.unreachableUntil[n] = p.clk.Now() + unreachableMs
		p.mu.Unlock()
	}
	return nil
}

func (p *Player) releaseLink(n int, l *link) {
	l.since = p.clk.Now()
	p.mu.Lock()
	p.idle[n] = append(p.idle[n], l)
	p.mu.Unlock()
}

// alive reports whether an idle connection is open and has received nothing.
func (l *link) alive() bool {
	_ = l.SetReadDeadline(time.Now().Add(20 * time.Microsecond))
	_, err := l.reader.Peek(1)
	timedOut := isTimeout(err)
	_ = l.SetReadDeadline(time.Time{})
	return timedOut
}

// isTimeout reports whether an error is a network time-out.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func newLink(nc net.Conn) *link { return &link{Conn: nc, reader: bufio.NewReaderSize(nc, 2*maxAnswer)} }

func dial(addr string) (*link, error) {
	nc, err := net.DialTimeout("tcp", addr, dialMs*time.Millisecond)
	if err != nil {
		return nil, err
	}
	l := newLink(nc)
	_ = nc.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := nc.Write(pgwire.AppendStartup(nil, "backend", "store")); err != nil {
		_ = nc.Close()
		return nil, err
	}
	if a, err := l.answer(); err != nil || a.code != "" {
		_ = nc.Close()
		return nil, fmt.Errorf("startup response: %w", cmp.Or(err, io.ErrUnexpectedEOF))
	}
	return l, nil
}

// answer is a pooler's answer as read from a connection.
type answer struct {
	code  string  // of an error
	wait  float64 // ms that a refusal advises
	value []byte
	ready bool // the connection can be used again
}

// answer reads up to ReadyForQuery, or up to the connection's end after an error. After a time-out it may be called again
// and resumes.
func (l *link) answer() (answer, error) {
	for {
		head, err := l.reader.Peek(5)
		if err != nil {
			if l.partial.code != "" && err == io.EOF {
				return l.partial, nil // after a fatal error, no ReadyForQuery is needed
			}
			return answer{}, err
		}
		n := int(binary.BigEndian.Uint32(head[1:]))
		if n < 4 || n > maxAnswer {
			return answer{}, fmt.Errorf("message length %d is not between 4 and %d bytes", n, maxAnswer)
		}
		message, err := l.reader.Peek(n + 1)
		if err != nil {
			return answer{}, err
		}
		typ, body := message[0], message[5:]
		switch typ {
		case 'D':
			v, err := pgwire.Column(body)
			if l.rows++; err != nil || l.rows > 1 {
				return answer{}, fmt.Errorf("%d rows: %w", l.rows, cmp.Or(err, io.ErrUnexpectedEOF))
			}
			l.partial.value = slices.Clone(v)
		case 'E':
			l.partial.code = pgwire.ErrorCode(body)
			if ms, err := strconv.ParseFloat(pgwire.ErrorDetail(body), 64); err == nil && ms > 0 {
				l.partial.wait = ms
			}
		}
		if _, err := l.reader.Discard(n + 1); err != nil {
			return answer{}, err
		}
		if typ == 'Z' {
			a := l.partial
			a.ready, l.partial, l.rows = true, answer{}, 0
			return a, nil
		}
	}
}

// Ready returns nil if a pooler accepts clients.
func Ready(addr string) error {
	l, err := dial(addr)
	if err != nil {
		return err
	}
	return l.Close()
}
