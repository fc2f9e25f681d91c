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
	Name             string // as the judge knows the source
	Agents           []string
	TLS              *tls.Config // nil for plain HTTP
	Services         []string
	CatalogOnly      bool // the catalogue alone, without health
	Datacenter       string
	Namespace        string
	Partition        string
	Filter           string
	Consistency      string // "", "stale" or "consistent"
	MaxStaleMs       float64
	WaitMs           float64
	MaxResponseBytes int64
	Mapping          Mapping
	Seed             uint64
}

// Sink is told of what the source hears. Its calls come one at a time, through Post.
type Sink interface {
	Observe(source string, r *reconcile.Report)
	SourceLost(source, why string)                            // no agent answers for any service
	Note(source string, w reconcile.DecisionKind, why string) // something that may be of interest
}

// Source is the watches over all services.
type Source struct {
	options      Options
	post         func(func())
	sink         Sink
	log          *slog.Logger
	client       *http.Client
	token        atomic.Pointer[string]
	retrySignals []chan struct{}
	now          func() float64
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu          sync.Mutex
	unreachable map[string]bool // services that no agent answers for
	reported    map[string]bool // services of which a list was told
	bytesRead   atomic.Int64    // bytes of answers
}

const (
	dialTimeoutMs        = 2000
	maxIdleConnsPerAgent = 4
)

// New makes a source; Start has it watch. post carries calls to the loop, now is its clock.
func New(options Options, post func(func()), now func() float64, sink Sink, log *slog.Logger) *Source {
	dialer := &net.Dialer{Timeout: dialTimeoutMs * time.Millisecond}
	s := &Source{options: options, post: post, sink: sink, log: log, now: now, unreachable: map[string]bool{}, reported: map[string]bool{},
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, TLSClientConfig: options.TLS, MaxIdleConnsPerHost: maxIdleConnsPerAgent,
			IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: 1 << 16, ReadBufferSize: 16 << 10, WriteBufferSize: 4 << 10},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	empty := ""
	s.token.Store(&empty)
	return s
}

// SetToken sets the token that queries carry from now on, and has those that were denied asked again.
func (s *Source) SetToken(token string) {
	token = strings.TrimSpace(token)
	if previous := s.token.Swap(&token); *previous == token {
		return
	}
	for _, signal := range s.retrySignals {
		select {
		case signal <- struct{}{}:
		default:
		}
	}
}

// Start begins the watches.
func (s *Source) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for i, name := range s.options.Services {
		retrySignal := make(chan struct{}, 1)
		s.retrySignals = append(s.retrySignals, retrySignal)
		w := &watcher{source: s, service: name, retrySignal: retrySignal, lastObservations: map[string]reconcile.Observation{},
			plan: NewWatch(len(s.options.Agents), s.options.WaitMs, s.options.MaxStaleMs, rand.New(rand.NewPCG(s.options.Seed, uint64(i))).Float64)}
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

// BytesRead is how many bytes of answers have come.
func (s *Source) BytesRead() int64 { return s.bytesRead.Load() }

// watcher watches one service.
type watcher struct {
	source           *Source
	service          string
	plan             *Watch
	retrySignal      chan struct{}
	lastObservations map[string]reconcile.Observation
	lastUnusable     string // of what could not be used
	lastReason       string // noted last...
	lastReasonAt     float64
}

const repeatedNoteMs = 10000 // the same note is made again after so long

func (w *watcher) run(ctx context.Context) {
	for {
		now := w.source.now()
		query, queryAt := w.plan.Next(now)
		if wait := queryAt - now; wait > 0 {
			timer := time.NewTimer(time.Duration(wait * float64(time.Millisecond)))
			select {
			case <-timer.C:
			case <-w.retrySignal:
				timer.Stop()
				w.plan.ResetBackoff()
				continue
			case <-ctx.Done():
				timer.Stop()
				return
			}
		}
		list, response := w.query(ctx, query)
		if ctx.Err() != nil {
			return
		}
		result := w.plan.HandleResponse(w.source.now(), query, response)
		w.note(query, result)
		if result.Accepted {
			w.reportChanges(list, result.AgeMs)
		}
	}
}

// note tells of what was noticed, and that nobody answers any more.
func (w *watcher) note(query Query, result Result) {
	source := w.source
	if now := source.now(); result.Reason != "" && (result.Reason != w.lastReason || now-w.lastReasonAt > repeatedNoteMs) {
		w.lastReason, w.lastReasonAt = result.Reason, now
		source.log.Info("consul", "service", w.service, "agent", source.options.Agents[query.Agent], "why", result.Reason)
		source.dispatch(func() {
			source.sink.Note(source.options.Name, reconcile.Rejected, w.service+" at "+source.options.Agents[query.Agent]+": "+result.Reason)
		})
	}
	if w.plan.BecameUnreachable() {
		source.mu.Lock()
		source.unreachable[w.service] = true
		allUnreachable := len(source.unreachable) == len(source.options.Services)
		source.mu.Unlock()
		if allUnreachable {
			source.dispatch(func() { source.sink.SourceLost(source.options.Name, result.Reason) })
		} else {
			source.dispatch(func() {
				source.sink.Note(source.options.Name, reconcile.SourceLost, "of "+w.service+": "+result.Reason)
			})
		}
	}
}

func (s *Source) dispatch(f func()) { s.post(f) }

// URL is what an agent is asked.
func (s *Source) url(service string, query Query) string {
	scheme, path := "http", "/v1/health/service/"
	if s.options.TLS != nil {
		scheme = "https"
	}
	if s.options.CatalogOnly {
		path = "/v1/catalog/service/"
	}
	parameters := url.Values{}
	if query.Index > 0 {
		parameters.Set("index", strconv.FormatUint(query.Index, 10))
		parameters.Set("wait", strconv.Itoa(int(query.WaitMs))+"ms")
	}
	for key, val := range map[string]string{"dc": s.options.Datacenter, "ns": s.options.Namespace, "partition": s.options.Partition, "filter": s.options.Filter} {
		if val != "" {
			parameters.Set(key, val)
		}
	}
	if s.options.Consistency != "" {
		parameters.Set(s.options.Consistency, "")
	}
	u := url.URL{Scheme: scheme, Host: s.options.Agents[query.Agent], Path: path + service, RawQuery: parameters.Encode()}
	return u.String()
}

// query asks once.
func (w *watcher) query(ctx context.Context, query Query) ([]Instance, Response) {
	source := w.source
	ctx, cancel := context.WithTimeout(ctx, time.Duration(query.TimeoutMs()*float64(time.Millisecond)))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, source.url(w.service, query), nil)
	if err != nil {
		return nil, Response{Err: err}
	}
	if token := *source.token.Load(); token != "" {
		req.Header.Set("X-Consul-Token", token)
	}
	res, err := source.client.Do(req)
	if err != nil {
		if u := (*url.Error)(nil); errors.As(err, &u) {
			err = u.Err // its address is known
		}
		if ctx.Err() == context.DeadlineExceeded {
			err = fmt.Errorf("no answer within %.0f s", query.TimeoutMs()/1000)
		}
		return nil, Response{Err: err}
	}
	defer func() {
		_, _ = io.CopyN(io.Discard, res.Body, 4096) // what little is left, so that the connection can be used again
		_ = res.Body.Close()
	}()
	response := Response{Status: res.StatusCode, Leaderless: res.Header.Get("X-Consul-KnownLeader") == "false", RetryAfterMs: headerMillis(res.Header.Get("Retry-After")),
		LastContactMs: min(nonNegative(res.Header.Get("X-Consul-LastContact")), 1e12)}
	if age := headerMillis(res.Header.Get("Age")); age > 0 { // of an agent's cache
		response.LastContactMs += age
	}
	response.Index, _ = strconv.ParseUint(res.Header.Get("X-Consul-Index"), 10, 64)
	if response.Status != http.StatusOK {
		return nil, response
	}
	body := &limitedReader{reader: res.Body, remaining: source.options.MaxResponseBytes}
	list, err := Parse(body, !source.options.CatalogOnly)
	source.bytesRead.Add(source.options.MaxResponseBytes - body.remaining)
	if err != nil {
		response.Err = err
	}
	return list, response
}

// nonNegative reads a figure that is not negative, 0 for any other text.
func nonNegative(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x > 0) {
		return 0
	}
	return x
}

// headerMillis reads a header's seconds as milliseconds, at most an hour's: no agent stops a watch for longer.
func headerMillis(text string) float64 { return min(nonNegative(text), 3600) * 1000 }

// reportChanges compares an answer with the last, and tells what has changed.
func (w *watcher) reportChanges(list []Instance, ageMs float64) {
	source := w.source
	source.mu.Lock()
	delete(source.unreachable, w.service)
	source.reported[w.service] = true
	moreToCome := len(source.reported) < len(source.options.Services)
	source.mu.Unlock()
	next := make(map[string]reconcile.Observation, len(list))
	report := &reconcile.Report{AgeMs: ageMs, MoreToCome: moreToCome}
	unusable, example := 0, ""
	for i := range list {
		observation, err := source.options.Mapping.Observation(&list[i])
		if err != nil {
			unusable++
			example = fmt.Sprintf("%s: %v", cmp.Or(list[i].ID, list[i].Node), err)
			continue
		}
		if previous, ok := next[observation.ID]; ok && (previous.Started > observation.Started || previous.Started == observation.Started && w.lastObservations[observation.ID].Address == previous.Address) {
			report.Observations = append(report.Observations, observation) // the judge hears of both
			continue
		}
		next[observation.ID] = observation
	}
	for id, observation := range next {
		if previous, ok := w.lastObservations[id]; !ok || previous != observation {
			report.Observations = append(report.Observations, observation)
		}
	}
	slices.SortFunc(report.Observations, func(a, b reconcile.Observation) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(b.Started, a.Started))
	})
	for id := range w.lastObservations {
		if _, ok := next[id]; !ok {
			report.Removed = append(report.Removed, id)
		}
	}
	slices.Sort(report.Removed)
	w.lastObservations = next
	if note := fmt.Sprintf("%s: %d of %d instances cannot be used, such as %s", w.service, unusable, len(list), example); unusable > 0 && note != w.lastUnusable {
		w.lastUnusable = note
		source.log.Warn("consul", "why", note)
		source.dispatch(func() { source.sink.Note(source.options.Name, reconcile.Rejected, note) })
	}
	source.dispatch(func() { source.sink.Observe(source.options.Name, report) })
}
