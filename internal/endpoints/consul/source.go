// Package consul watches services in Consul's catalogue and health API, over several agents, by blocking queries, and reports
// their instances as servers.
//
// Each service has a goroutine that sends the queries, parses the responses and compares them; the event loop receives only the
// changes. Watch makes the decisions (which agent to query and when, whether to accept a response) and does no I/O. When no agent
// answers any more, the source reports once that it is lost, and keeps trying.
package consul

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"beechgrade/internal/endpoints/reconcile"
)

// Options configure a Source. Times are in milliseconds.
type Options struct {
	Name             string      // of the source, in the reconciler's settings
	Agents           []string    // addresses
	TLS              *tls.Config // nil for plain HTTP
	Services         []string
	CatalogOnly      bool // query the catalogue API, which reports no health
	Datacenter       string
	Namespace        string
	Partition        string
	Filter           string
	Consistency      string // "", "stale" or "consistent"
	MaxStaleMs       float64
	WaitMs           float64 // of blocking queries; at most maxWaitMs is used
	MaxResponseBytes int64
	Mapping          Mapping
	Seed             uint64 // of the random jitter
}

// Sink receives what a Source observes. Its methods are called one at a time, on the event loop.
type Sink interface {
	Observe(source string, report *reconcile.Report)
	SourceLost(source, reason string) // no agent answers for any service
	Note(source string, kind reconcile.DecisionKind, reason string)
}

// Source watches services. Its methods may be called from any goroutine, except that SetToken, Start and Stop must not be called
// concurrently.
type Source struct {
	options      Options
	post         func(func())
	sink         Sink
	log          *slog.Logger
	client       *http.Client
	token        atomic.Pointer[string]
	retrySignals []chan struct{} // one for each watcher
	now          func() float64
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	bytesRead    atomic.Int64 // of response bodies

	mu          sync.Mutex
	unreachable map[string]bool // services for which no agent answers
	reported    map[string]bool // services that were reported at least once
}

const (
	dialTimeoutMs        = 2000
	idleConnTimeout      = time.Minute
	maxIdleConnsPerAgent = 4
	maxHeaderBytes       = 1 << 16
	readBufferBytes      = 16 << 10
	writeBufferBytes     = 4 << 10
)

// New returns a source that watches its services once Start is called. post runs a function on the event loop, and now returns that
// loop's time in ms.
func New(options Options, post func(func()), now func() float64, sink Sink, log *slog.Logger) *Source {
	s := &Source{
		options:     options,
		post:        post,
		sink:        sink,
		log:         log,
		now:         now,
		client:      newClient(options.TLS),
		unreachable: map[string]bool{},
		reported:    map[string]bool{},
	}
	s.token.Store(new(string))
	return s
}

func newClient(config *tls.Config) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeoutMs * time.Millisecond}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			TLSClientConfig:        config,
			MaxIdleConnsPerHost:    maxIdleConnsPerAgent,
			IdleConnTimeout:        idleConnTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			ReadBufferSize:         readBufferBytes,
			WriteBufferSize:        writeBufferBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// SetToken sets the token of the next queries. If it differs from the previous token, watchers that are pausing query again at once.
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

// Start starts a watcher for each service.
func (s *Source) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for i, service := range s.options.Services {
		retrySignal := make(chan struct{}, 1)
		s.retrySignals = append(s.retrySignals, retrySignal)
		random := rand.New(rand.NewPCG(s.options.Seed, uint64(i))).Float64
		w := &watcher{
			source:           s,
			service:          service,
			plan:             NewWatch(len(s.options.Agents), s.options.WaitMs, s.options.MaxStaleMs, random),
			retrySignal:      retrySignal,
			lastObservations: map[string]reconcile.Observation{},
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			w.run(ctx)
		}()
	}
}

// Stop stops the watchers, and returns when they have ended.
func (s *Source) Stop() {
	if s.cancel != nil {
		s.cancel()
		s.wg.Wait()
		s.client.CloseIdleConnections()
	}
}

// BytesRead returns how many bytes of response bodies were read so far.
func (s *Source) BytesRead() int64 { return s.bytesRead.Load() }

// setUnreachable records that no agent answers for a service, and reports whether this is now so for all services.
func (s *Source) setUnreachable(service string) (all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable[service] = true
	return len(s.unreachable) == len(s.options.Services)
}

// setReported records that a service was reported, and returns whether other services have not been reported yet.
func (s *Source) setReported(service string) (moreToCome bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unreachable, service)
	s.reported[service] = true
	return len(s.reported) < len(s.options.Services)
}
