// Package consul watches services in Consul's catalogue and health API, over several agents, by blocking queries.
//
// Each watch has a goroutine that asks, reads and compares; the loop is told only what has changed. What it decides is in
// Watch, which does no I/O.
package consul

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"beechgrade/internal/endpoints/reconcile"
)

// Options say what is watched where. Times are in milliseconds.
type Options struct {
	Name        string // as the judge knows the source
	Agents      []string
	TLS         *tls.Config // nil for plain HTTP
	Services    []string
	Catalog     bool // the catalogue alone, without health
	Datacenter  string
	Namespace   string
	Partition   string
	Filter      string
	Consistency string // "", "stale" or "consistent"
	MaxStale    float64
	Wait        float64
	MostBytes   int64
	Map         Mapping
	Seed        uint64
}

// Sink is told of what the source hears. Its calls come one at a time, through Post.
type Sink interface {
	Heard(source string, r *reconcile.Report)
	Lost(source, why string)                           // no agent answers for any service
	Noted(source string, w reconcile.What, why string) // something that may be of interest
}

// Source is the watches over all services.
type Source struct {
	opt    Options
	post   func(func())
	sink   Sink
	log    *slog.Logger
	client *http.Client
	token  atomic.Pointer[string]
	again  []chan struct{}
	now    func() float64
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	lost map[string]bool // services that no agent answers for
	told map[string]bool // services of which a list was told
	read atomic.Int64    // bytes of answers
}

const (
	dialMs    = 2000
	idleConns = 4
)

// New makes a source; Start has it watch. post carries calls to the loop, now is its clock.
func New(opt Options, post func(func()), now func() float64, sink Sink, log *slog.Logger) *Source {
	dialer := &net.Dialer{Timeout: dialMs * time.Millisecond}
	s := &Source{opt: opt, post: post, sink: sink, log: log, now: now, lost: map[string]bool{}, told: map[string]bool{},
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, TLSClientConfig: opt.TLS, MaxIdleConnsPerHost: idleConns,
			IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: 1 << 16, ReadBufferSize: 16 << 10, WriteBufferSize: 4 << 10},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	empty := ""
	s.token.Store(&empty)
	return s
}

// SetToken sets the token that queries carry from now on, and has those that were denied asked again.
func (s *Source) SetToken(t string) {
	t = strings.TrimSpace(t)
	if old := s.token.Swap(&t); *old == t {
		return
	}
	for _, a := range s.again {
		select {
		case a <- struct{}{}:
		default:
		}
	}
}

// Start begins the watches.
func (s *Source) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for i, name := range s.opt.Services {
		again := make(chan struct{}, 1)
		s.again = append(s.again, again)
		w := &watcher{s: s, service: name, again: again, last: map[string]reconcile.Claim{},
			plan: NewWatch(len(s.opt.Agents), s.opt.Wait, s.opt.MaxStale, rand.New(rand.NewPCG(s.opt.Seed, uint64(i))).Float64)}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			w.run(ctx)
		}()
	}
}

// Stop ends the watches, and returns once they have ended.
func (s *Source) Stop() {
	if s.cancel != nil {
		s.cancel()
		s.wg.Wait()
		s.client.CloseIdleConnections()
	}
}

// Read is how many bytes of answers have come.
func (s *Source) Read() int64 { return s.read.Load() }

// watcher watches one service.
type watcher struct {
	s       *Source
	service string
	plan    *Watch
	again   chan struct{}
	last    map[string]reconcile.Claim
	said    string // of what could not be used
	why     string // noted last...
	whyAt   float64
}

const sameAgain = 10000 // the same note is made again after so long

func (w *watcher) run(ctx context.Context) {
	for {
		now := w.s.now()
		q, at := w.plan.Next(now)
		if wait := at - now; wait > 0 {
			t := time.NewTimer(time.Duration(wait * float64(time.Millisecond)))
			select {
			case <-t.C:
			case <-w.again:
				t.Stop()
				w.plan.Again()
				continue
			case <-ctx.Done():
				t.Stop()
				return
			}
		}
		list, a := w.ask(ctx, q)
		if ctx.Err() != nil {
			return
		}
		v := w.plan.Answered(w.s.now(), q, a)
		w.note(q, v)
		if v.Take {
			w.take(list, v.Age)
		}
	}
}

// note tells of what was noticed, and that nobody answers any more.
func (w *watcher) note(q Query, v Verdict) {
	s := w.s
	if now := s.now(); v.Why != "" && (v.Why != w.why || now-w.whyAt > sameAgain) {
		w.why, w.whyAt = v.Why, now
		s.log.Info("consul", "service", w.service, "agent", s.opt.Agents[q.Agent], "why", v.Why)
		s.tell(func() {
			s.sink.Noted(s.opt.Name, reconcile.NotBelieved, w.service+" at "+s.opt.Agents[q.Agent]+": "+v.Why)
		})
	}
	if w.plan.Lost() {
		s.mu.Lock()
		s.lost[w.service] = true
		all := len(s.lost) == len(s.opt.Services)
		s.mu.Unlock()
		if all {
			s.tell(func() { s.sink.Lost(s.opt.Name, v.Why) })
		} else {
			s.tell(func() { s.sink.Noted(s.opt.Name, reconcile.SourceLost, "of "+w.service+": "+v.Why) })
		}
	}
}

func (s *Source) tell(f func()) { s.post(f) }

// URL is what an agent is asked.
func (s *Source) url(service string, q Query) string {
	scheme, path := "http", "/v1/health/service/"
	if s.opt.TLS != nil {
		scheme = "https"
	}
	if s.opt.Catalog {
		path = "/v1/catalog/service/"
	}
	v := url.Values{}
	if q.Index > 0 {
		v.Set("index", strconv.FormatUint(q.Index, 10))
		v.Set("wait", strconv.Itoa(int(q.Wait))+"ms")
	}
	for key, val := range map[string]string{"dc": s.opt.Datacenter, "ns": s.opt.Namespace, "partition": s.opt.Partition, "filter": s.opt.Filter} {
		if val != "" {
			v.Set(key, val)
		}
	}
	if s.opt.Consistency != "" {
		v.Set(s.opt.Consistency, "")
	}
	u := url.URL{Scheme: scheme, Host: s.opt.Agents[q.Agent], Path: path + service, RawQuery: v.Encode()}
	return u.String()
}

// ask asks once.
func (w *watcher) ask(ctx context.Context, q Query) ([]Instance, Answer) {
	s := w.s
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.Patience()*float64(time.Millisecond)))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url(w.service, q), nil)
	if err != nil {
		return nil, Answer{Err: err}
	}
	if t := *s.token.Load(); t != "" {
		req.Header.Set("X-Consul-Token", t)
	}
	res, err := s.client.Do(req)
	if err != nil {
		if u := (*url.Error)(nil); errors.As(err, &u) {
			err = u.Err // its address is known
		}
		if ctx.Err() == context.DeadlineExceeded {
			err = fmt.Errorf("no answer within %.0f s", q.Patience()/1000)
		}
		return nil, Answer{Err: err}
	}
	defer func() {
		_, _ = io.CopyN(io.Discard, res.Body, 4096) // what little is left, so that the connection can be used again
		_ = res.Body.Close()
	}()
	a := Answer{Status: res.StatusCode, Leaderless: res.Header.Get("X-Consul-KnownLeader") == "false", RetryAfter: seconds(res.Header.Get("Retry-After")),
		Contact: min(number(res.Header.Get("X-Consul-LastContact")), 1e12)}
	if age := seconds(res.Header.Get("Age")); age > 0 { // of an agent's cache
		a.Contact += age
	}
	a.Index, _ = strconv.ParseUint(res.Header.Get("X-Consul-Index"), 10, 64)
	if a.Status != http.StatusOK {
		return nil, a
	}
	body := &limited{r: res.Body, left: s.opt.MostBytes}
	list, err := Parse(body, !s.opt.Catalog)
	s.read.Add(s.opt.MostBytes - body.left)
	if err != nil {
		a.Err = err
	}
	return list, a
}

// number reads a figure that is not negative, 0 for any other text.
func number(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x > 0) {
		return 0
	}
	return x
}

// seconds reads a header's seconds as milliseconds, at most an hour's: no agent stops a watch for longer.
func seconds(text string) float64 { return min(number(text), 3600) * 1000 }

// take compares an answer with the last, and tells what has changed.
func (w *watcher) take(list []Instance, age float64) {
	s := w.s
	s.mu.Lock()
	delete(s.lost, w.service)
	s.told[w.service] = true
	more := len(s.told) < len(s.opt.Services)
	s.mu.Unlock()
	next := make(map[string]reconcile.Claim, len(list))
	r := &reconcile.Report{Age: age, More: more}
	bad, why := 0, ""
	for i := range list {
		c, err := s.opt.Map.Claim(&list[i])
		if err != nil {
			bad++
			why = fmt.Sprintf("%s: %v", cmp.Or(list[i].ID, list[i].Node), err)
			continue
		}
		if old, ok := next[c.ID]; ok && (old.Started > c.Started || old.Started == c.Started && w.last[c.ID].Address == old.Address) {
			r.Claims = append(r.Claims, c) // the judge hears of both
			continue
		}
		next[c.ID] = c
	}
	for id, c := range next {
		if old, ok := w.last[id]; !ok || old != c {
			r.Claims = append(r.Claims, c)
		}
	}
	slices.SortFunc(r.Claims, func(a, b reconcile.Claim) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(b.Started, a.Started))
	})
	for id := range w.last {
		if _, ok := next[id]; !ok {
			r.Removed = append(r.Removed, id)
		}
	}
	slices.Sort(r.Removed)
	w.last = next
	if said := fmt.Sprintf("%s: %d of %d instances cannot be used, such as %s", w.service, bad, len(list), why); bad > 0 && said != w.said {
		w.said = said
		s.log.Warn("consul", "why", said)
		s.tell(func() { s.sink.Noted(s.opt.Name, reconcile.NotBelieved, said) })
	}
	s.tell(func() { s.sink.Heard(s.opt.Name, r) })
}
