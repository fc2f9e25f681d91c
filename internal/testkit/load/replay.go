package load

import (
	"errors"
	"fmt"
	"math"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/testkit/records"
)

// maxReplayed bounds a day that is replayed.
const maxReplayed = 1 << 24

// replay gives the requests of a recorded day again.
type replay struct {
	shots []Request
	next  int
}

// Next is Source's.
func (r *replay) Next() (Request, bool) {
	if r.next == len(r.shots) {
		return Request{}, false
	}
	r.next++
	return r.shots[r.next-1], true
}

// reader takes the clients' first tries out of records. Their retries are the poolers' doing as much as the clients'.
type reader struct {
	shots []Request
	from  float64
	speed float64
}

func (r *reader) Begin(*records.Run)     {}
func (r *reader) End(*records.Run, bool) {}
func (r *reader) Fault(records.Fault)    {}

func (r *reader) Event(run *records.Run, e *record.Event) {
	if e.Kind != recordpb.Kind_KIND_REQUEST || e.Repeat || int(e.Class) >= len(run.Header.Classes) || len(r.shots) >= maxReplayed {
		return
	}
	if r.from == 0 {
		r.from = e.At
	}
	c := run.Header.Classes[e.Class]
	r.shots = append(r.shots, Request{
		AtMs:    max(0, e.At-r.from) / r.speed,
		Class:   c.Name,
		Group:   int(e.Group),
		Session: e.Session,
		Writes:  c.Read == "write",
	})
}

// Replay is a source of what was asked on a recorded day, so many times as fast.
func Replay(set *records.Set, speed float64) (Source, error) {
	if !(speed > 0) || math.IsInf(speed, 0) {
		return nil, fmt.Errorf("a speed above 0 is due, not %v", speed)
	}
	r := &reader{speed: speed}
	if err := set.Read(r); err != nil {
		return nil, err
	}
	if len(r.shots) == 0 {
		return nil, errors.New("the records hold no requests")
	}
	for i := 1; i < len(r.shots); i++ { // poolers' clocks differ a little
		r.shots[i].AtMs = max(r.shots[i].AtMs, r.shots[i-1].AtMs)
	}
	return &replay{shots: r.shots}, nil
}
