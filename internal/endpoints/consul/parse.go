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
	FailingChecks                 string // ids of the checks that are not passing
}

// Weights are a service's for DNS.
type Weights struct{ Passing, Warning int }

// Bounds on what an agent says.
const (
	maxInstances  = 20000
	maxFieldBytes = 1 << 16
)

// Errors of what an agent says.
var (
	ErrTooLong   = errors.New("the answer is too long")
	ErrTooMany   = errors.New("too many instances in the answer")
	ErrMalformed = errors.New("the answer is not whole")
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
func Parse(reader io.Reader, health bool) ([]Instance, error) {
	iterator := jsoniter.Parse(jsonAPI, reader, 1<<15)
	var instances []Instance
	if iterator.WhatIsNext() == jsoniter.NilValue {
		iterator.ReadNil()
	} else {
		for iterator.ReadArray() {
			if len(instances) == maxInstances {
				return nil, fmt.Errorf("%w: over %d", ErrTooMany, maxInstances)
			}
			var instance Instance
			if health {
				instance = readHealth(iterator)
			} else {
				instance = readCatalog(iterator)
			}
			if iterator.Error != nil {
				break
			}
			instances = append(instances, instance)
		}
	}
	if iterator.Error != nil {
		if errors.Is(iterator.Error, ErrTooLong) {
			return nil, ErrTooLong
		}
		text := iterator.Error.Error()
		return nil, fmt.Errorf("%w: %s", ErrMalformed, text[:min(len(text), 120)])
	}
	if next := iterator.WhatIsNext(); next != jsoniter.InvalidValue || iterator.Error != nil && !errors.Is(iterator.Error, io.EOF) {
		return nil, fmt.Errorf("%w: something follows the list", ErrMalformed)
	}
	return instances, nil
}

func readHealth(iterator *jsoniter.Iterator) Instance {
	var entry healthEntry
	iterator.ReadVal(&entry)
	instance := Instance{Node: entry.Node.Node, NodeAddress: entry.Node.Address, Datacenter: entry.Node.Datacenter, NodeMeta: entry.Node.Meta, ID: entry.Service.ID, Service: entry.Service.Service,
		Address: entry.Service.Address, Port: entry.Service.Port, Tags: entry.Service.Tags, Meta: entry.Service.Meta, Weights: entry.Service.Weights}
	for _, check := range entry.Checks {
		health := reconcile.Passing
		switch check.Status {
		case "passing":
			continue
		case "warning":
			health = reconcile.Warning
		default: // also what is not known: not passing, in any case
			health = reconcile.Critical
			if check.CheckID == nodeMaintenance || strings.HasPrefix(check.CheckID, serviceMaintenance) {
				health = reconcile.Maintenance
			}
		}
		instance.Health = max(instance.Health, health)
		if len(instance.FailingChecks) < 200 {
			instance.FailingChecks += " " + check.CheckID[:min(len(check.CheckID), 60)]
		}
	}
	return instance
}

func readCatalog(iterator *jsoniter.Iterator) Instance {
	var entry catalogEntry
	iterator.ReadVal(&entry)
	return Instance{Node: entry.Node, NodeAddress: entry.Address, Datacenter: entry.Datacenter, NodeMeta: entry.NodeMeta, ID: entry.ServiceID, Service: entry.ServiceName, Address: entry.ServiceAddress,
		Port: entry.ServicePort, Tags: entry.ServiceTags, Meta: entry.ServiceMeta, Weights: entry.ServiceWeights}
}

// limitedReader ends with ErrTooLong where more than so many bytes come.
type limitedReader struct {
	reader    io.Reader
	remaining int64
}

// Read is io.Reader's.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, ErrTooLong
	}
	n, err := l.reader.Read(b[:min(int64(len(b)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}
