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
	Avoided []module.Avoided // by others' word
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
func (p *Peers) avoided() (all []module.Avoided) {
	for _, x := range p.parts {
		if a, ok := x.(module.Avoiding); ok {
			all = append(all, a.Avoided()...)
		}
	}
	return all[:min(len(all), mostAvoided)]
}

func appendAvoided(b []byte, a *module.Avoided) []byte {
	b = appendText(appendText(b, 1, a.Server), 2, a.Why)
	for _, id := range a.By[:min(len(a.By), mostWords)] {
		b = appendFixed(b, 3, uint64(id))
	}
	return appendFixed(b, 4, math.Float64bits(a.Until))
}

func readAvoided(b []byte) (a module.Avoided, err error) {
	err = encoding.Fields(b, fault, func(f encoding.Field) error {
		switch f.Number {
		case 1:
			a.Server = string(f.Bytes)
		case 2:
			a.Why = string(f.Bytes)
		case 3:
			if len(a.By) < mostWords {
				a.By = append(a.By, view.ID(f.Value))
			}
		case 4:
			if a.Until = math.Float64frombits(f.Value); !(math.Abs(a.Until) < 1e15) {
				return ErrForm
			}
		}
		return nil
	})
	return a, err
}
