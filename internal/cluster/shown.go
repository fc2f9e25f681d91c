package cluster

import (
	"math"
	"net"
	"time"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/encoding"
)

// Shown is what a pooler says to those who look.
type Shown struct {
	Records []view.Record
	Counts  view.Counts
	Avoided []module.AvoidedServer // by others' word
}

// Show asks a pooler for all that it knows.
func Show(addr string, key Key) (Shown, error) {
	c, err := net.DialTimeout("tcp", addr, streamMs*time.Millisecond)
	if err != nil {
		return Shown{}, err
	}
	defer func() { _ = c.Close() }()
	e, err := Call(c, key, &envelope{Message: view.Message{Kind: kindShow}})
	if err != nil {
		return Shown{}, err
	}
	return Shown{e.Records, e.counts, e.avoids}, nil
}

// mostAvoided and mostWords bound what is told, and read, of what a pooler avoids: servers, and of each those by whose word.
const (
	mostAvoided = 1000
	mostWords   = 16
)

// avoided is what this pooler's parts avoid by others' word, as far as it is told.
func (p *Peers) avoided() (all []module.AvoidedServer) {
	for _, x := range p.parts {
		if a, ok := x.(module.AvoidedReporter); ok {
			all = append(all, a.Avoided()...)
		}
	}
	return all[:min(len(all), mostAvoided)]
}

func appendAvoided(b []byte, a *module.AvoidedServer) []byte {
	b = appendText(appendText(b, 1, a.Server), 2, a.Reason)
	for _, id := range a.ReportedBy[:min(len(a.ReportedBy), mostWords)] {
		b = appendFixed(b, 3, uint64(id))
	}
	return appendFixed(b, 4, math.Float64bits(a.UntilMs))
}

func readAvoided(b []byte) (a module.AvoidedServer, err error) {
	err = encoding.Fields(b, fault, func(f encoding.Field) error {
		switch f.Number {
		case 1:
			a.Server = string(f.Bytes)
		case 2:
			a.Reason = string(f.Bytes)
		case 3:
			if len(a.ReportedBy) < mostWords {
				a.ReportedBy = append(a.ReportedBy, view.ID(f.Value))
			}
		case 4:
			if a.UntilMs = math.Float64frombits(f.Value); !(math.Abs(a.UntilMs) < 1e15) {
				return ErrForm
			}
		}
		return nil
	})
	return a, err
}
