package load

import (
	"errors"
	"fmt"
	"math"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/testkit/records"
)

// maxReplayed is the maximum number of requests that are replayed.
const maxReplayed = 1 << 24

// replay is a source of recorded requests.
type replay struct {
	requests []Request
	next     int
}

// Next implements Source.
func (r *replay) Next() (Request, bool) {
	if r.next == len(r.requests) {
		return Request{}, false
	}
	r.next++
	return r.requests[r.next-1], true
}

// reader collects the first attempts of clients from records. Retries are left out, since they depend on the answers of the
// recorded poolers as much as on the clients.
type reader struct {
	requests []Request
	from     float64 // time of the first request, Unix ms
	speed    float64
}

func (r *reader) Begin(*records.Run)     {}
func (r *reader) End(*records.Run, bool) {}
func (r *reader) Fault(records.Fault)    {}

func (r *reader) Event(run *records.Run, e *record.Event) {
	if e.Kind != recordpb.Kind_KIND_REQUEST || e.Repeat || int(e.Class) >= len(run.Header.Classes) || len(r.requests) >= maxReplayed {
		return
	}
	if r.from == 0 {
		r.from = e.At
	}
	c := run.Header.Classes[e.Class]
	r.requests = append(r.requests, Request{
		AtMs:    max(0, e.At-r.from) / r.speed,
		Class:   c.Name,
		Group:   int(e.Group),
		Session: e.Session,
		Writes:  c.Read == "write",
	})
}

// Replay returns a source of the requests in records. Their times are divided by speed.
func Replay(set *records.Set, speed float64) (Source, error) {
	if !(speed > 0) || math.IsInf(speed, 0) {
		return nil, fmt.Errorf("the speed must be finite and above 0, got %v", speed)
	}
	r := &reader{speed: speed}
	if err := set.Read(r); err != nil {
		return nil, err
	}
	if len(r.requests) == 0 {
		return nil, errors.New("the records hold no requests")
	}
	for i := 1; i < len(r.requests); i++ { // poolers' clocks differ, so times may not be in order
		r.requests[i].AtMs = max(r.requests[i].AtMs, r.requests[i-1].AtMs)
	}
	return &replay{requests: r.requests}, nil
}
