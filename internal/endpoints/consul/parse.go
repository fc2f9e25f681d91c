package consul

import (
	"errors"
	"fmt"
	"io"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/endpoints/reconcile"
)

// Instance is a service's instance, as the health and the catalogue API tell of it.
type Instance struct {
	Node, NodeAddress, Datacenter string
	NodeMeta                      map[string]string
	ID, Service, Address          string
	Port                          int
	Tags                          []string
	Meta                          map[string]string
	Weights                       Weights
	Health                        reconcile.Health
	Notes                         string // ids of the checks that are not passing
}

// Weights are a service's for DNS.
type Weights struct{ Passing, Warning int }

// Bounds on what an agent says.
const (
	maxInstances = 20000
	maxField     = 1 << 16
)

// Errors of what an agent says.
var (
	ErrTooLong  = errors.New("the answer is too long")
	ErrTooMany  = errors.New("too many instances in the answer")
	ErrNotWhole = errors.New("the answer is not whole")
)

// healthEntry is an entry of /v1/health/service.
type healthEntry struct {
	Node struct {
		Node, Address, Datacenter string
		Meta                      map[string]string
	}
	Service struct {
		ID, Service, Address string
		Port                 int
		Tags                 []string
		Meta                 map[string]string
		Weights              Weights
	}
	Checks []struct{ CheckID, Status string }
}

// catalogEntry is an entry of /v1/catalog/service.
type catalogEntry struct {
	Node, Address, Datacenter           string
	NodeMeta                            map[string]string
	ServiceID, ServiceName              string
	ServiceAddress                      string
	ServicePort                         int
	ServiceTags                         []string
	ServiceMeta                         map[string]string
	ServiceWeights                      Weights
	CreateIndex, ModifyIndex, LockIndex uint64
}

// Maintenance's checks, as agents name them.
const (
	nodeMaintenance    = "_node_maintenance"
	serviceMaintenance = "_service_maintenance:"
)

var jsonAPI = jsoniter.Config{EscapeHTML: false}.Froze()

// Parse reads an answer, whole or not at all. A null is an empty list, as agents say it.
func Parse(r io.Reader, health bool) ([]Instance, error) {
	it := jsoniter.Parse(jsonAPI, r, 1<<15)
	var out []Instance
	if it.WhatIsNext() == jsoniter.NilValue {
		it.ReadNil()
	} else {
		for it.ReadArray() {
			if len(out) == maxInstances {
				return nil, fmt.Errorf("%w: over %d", ErrTooMany, maxInstances)
			}
			var x Instance
			if health {
				x = readHealth(it)
			} else {
				x = readCatalog(it)
			}
			if it.Error != nil {
				break
			}
			out = append(out, x)
		}
	}
	if it.Error != nil {
		if errors.Is(it.Error, ErrTooLong) {
			return nil, ErrTooLong
		}
		text := it.Error.Error()
		return nil, fmt.Errorf("%w: %s", ErrNotWhole, text[:min(len(text), 120)])
	}
	if rest := it.WhatIsNext(); rest != jsoniter.InvalidValue || it.Error != nil && !errors.Is(it.Error, io.EOF) {
		return nil, fmt.Errorf("%w: something follows the list", ErrNotWhole)
	}
	return out, nil
}

func readHealth(it *jsoniter.Iterator) Instance {
	var e healthEntry
	it.ReadVal(&e)
	x := Instance{Node: e.Node.Node, NodeAddress: e.Node.Address, Datacenter: e.Node.Datacenter, NodeMeta: e.Node.Meta, ID: e.Service.ID, Service: e.Service.Service,
		Address: e.Service.Address, Port: e.Service.Port, Tags: e.Service.Tags, Meta: e.Service.Meta, Weights: e.Service.Weights}
	for _, c := range e.Checks {
		h := reconcile.Passing
		switch c.Status {
		case "passing":
			continue
		case "warning":
			h = reconcile.Warning
		default: // also what is not known: not passing, in any case
			h = reconcile.Critical
			if c.CheckID == nodeMaintenance || strings.HasPrefix(c.CheckID, serviceMaintenance) {
				h = reconcile.Maintenance
			}
		}
		x.Health = max(x.Health, h)
		if len(x.Notes) < 200 {
			x.Notes += " " + c.CheckID[:min(len(c.CheckID), 60)]
		}
	}
	return x
}

func readCatalog(it *jsoniter.Iterator) Instance {
	var e catalogEntry
	it.ReadVal(&e)
	return Instance{Node: e.Node, NodeAddress: e.Address, Datacenter: e.Datacenter, NodeMeta: e.NodeMeta, ID: e.ServiceID, Service: e.ServiceName, Address: e.ServiceAddress,
		Port: e.ServicePort, Tags: e.ServiceTags, Meta: e.ServiceMeta, Weights: e.ServiceWeights}
}

// limited ends with ErrTooLong where more than so many bytes come.
type limited struct {
	r    io.Reader
	left int64
}

// Read is io.Reader's.
func (l *limited) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := l.r.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	return n, err
}
