package consul

import (
	"errors"
	"fmt"
	"io"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/endpoints/reconcile"
)

// Instance is an instance of a service, as returned by the health or the catalogue API.
type Instance struct {
	Node, NodeAddress, Datacenter string
	NodeMeta                      map[string]string
	ID, Service, Address          string
	Port                          int
	Tags                          []string
	Meta                          map[string]string
	Weights                       Weights
	Health                        reconcile.Health
	FailingChecks                 string // ids of the checks that are not passing, each after a space
}

// Weights are the DNS weights of a service.
type Weights struct {
	Passing int `json:"Passing"`
	Warning int `json:"Warning"`
}

// Bounds of a response.
const (
	maxInstances         = 20000
	maxFieldBytes        = 1 << 16
	parseBufferBytes     = 1 << 15
	maxFailingCheckBytes = 200 // of Instance.FailingChecks; no id is added once it is as long
	maxCheckIDBytes      = 60
	maxErrorBytes        = 120
)

// Errors of a response that cannot be read. Their texts go into records.
var (
	ErrTooLong   = errors.New("the answer is too long")
	ErrTooMany   = errors.New("too many instances in the answer")
	ErrMalformed = errors.New("the answer is not whole")
)

// healthEntry is an entry of /v1/health/service.
type healthEntry struct {
	Node struct {
		Node       string            `json:"Node"`
		Address    string            `json:"Address"`
		Datacenter string            `json:"Datacenter"`
		Meta       map[string]string `json:"Meta"`
	} `json:"Node"`
	Service struct {
		ID      string            `json:"ID"`
		Service string            `json:"Service"`
		Address string            `json:"Address"`
		Port    int               `json:"Port"`
		Tags    []string          `json:"Tags"`
		Meta    map[string]string `json:"Meta"`
		Weights Weights           `json:"Weights"`
	} `json:"Service"`
	Checks []struct {
		CheckID string `json:"CheckID"`
		Status  string `json:"Status"`
	} `json:"Checks"`
}

// catalogEntry is an entry of /v1/catalog/service.
type catalogEntry struct {
	Node           string            `json:"Node"`
	Address        string            `json:"Address"`
	Datacenter     string            `json:"Datacenter"`
	NodeMeta       map[string]string `json:"NodeMeta"`
	ServiceID      string            `json:"ServiceID"`
	ServiceName    string            `json:"ServiceName"`
	ServiceAddress string            `json:"ServiceAddress"`
	ServicePort    int               `json:"ServicePort"`
	ServiceTags    []string          `json:"ServiceTags"`
	ServiceMeta    map[string]string `json:"ServiceMeta"`
	ServiceWeights Weights           `json:"ServiceWeights"`
	CreateIndex    uint64            `json:"CreateIndex"`
	ModifyIndex    uint64            `json:"ModifyIndex"`
	LockIndex      uint64            `json:"LockIndex"`
}

// Ids of the checks that agents register in maintenance mode.
const (
	nodeMaintenance          = "_node_maintenance"
	serviceMaintenancePrefix = "_service_maintenance:"
)

var jsonAPI = jsoniter.Config{EscapeHTML: false}.Froze()

// Parse reads a response of the health API if health is set, or else of the catalogue API. It returns either all instances or an
// error, which wraps ErrTooMany or ErrMalformed, or is ErrTooLong. Agents write an empty list also as null.
func Parse(reader io.Reader, health bool) ([]Instance, error) {
	iterator := jsoniter.Parse(jsonAPI, reader, parseBufferBytes)
	var instances []Instance
	if iterator.WhatIsNext() == jsoniter.NilValue {
		iterator.ReadNil()
	} else {
		for iterator.ReadArray() {
			if len(instances) == maxInstances {
				return nil, fmt.Errorf("%w: over %d", ErrTooMany, maxInstances)
			}
			instance := readInstance(iterator, health)
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
		return nil, fmt.Errorf("%w: %s", ErrMalformed, text[:min(len(text), maxErrorBytes)])
	}
	next := iterator.WhatIsNext()
	failed := iterator.Error != nil && !errors.Is(iterator.Error, io.EOF)
	if next != jsoniter.InvalidValue || failed {
		return nil, fmt.Errorf("%w: something follows the list", ErrMalformed)
	}
	return instances, nil
}

func readInstance(iterator *jsoniter.Iterator, health bool) Instance {
	if health {
		return readHealth(iterator)
	}
	return readCatalog(iterator)
}

func readHealth(iterator *jsoniter.Iterator) Instance {
	var entry healthEntry
	iterator.ReadVal(&entry)
	instance := Instance{
		Node:        entry.Node.Node,
		NodeAddress: entry.Node.Address,
		Datacenter:  entry.Node.Datacenter,
		NodeMeta:    entry.Node.Meta,
		ID:          entry.Service.ID,
		Service:     entry.Service.Service,
		Address:     entry.Service.Address,
		Port:        entry.Service.Port,
		Tags:        entry.Service.Tags,
		Meta:        entry.Service.Meta,
		Weights:     entry.Service.Weights,
	}
	for _, check := range entry.Checks {
		health := checkHealth(check.CheckID, check.Status)
		if health == reconcile.Passing {
			continue
		}
		instance.Health = max(instance.Health, health)
		if len(instance.FailingChecks) < maxFailingCheckBytes {
			instance.FailingChecks += " " + check.CheckID[:min(len(check.CheckID), maxCheckIDBytes)]
		}
	}
	return instance
}

// checkHealth returns the health that follows from a check. An unknown status counts as critical.
func checkHealth(id, status string) reconcile.Health {
	switch status {
	case "passing":
		return reconcile.Passing
	case "warning":
		return reconcile.Warning
	}
	if id == nodeMaintenance || strings.HasPrefix(id, serviceMaintenancePrefix) {
		return reconcile.Maintenance
	}
	return reconcile.Critical
}

func readCatalog(iterator *jsoniter.Iterator) Instance {
	var entry catalogEntry
	iterator.ReadVal(&entry)
	return Instance{
		Node:        entry.Node,
		NodeAddress: entry.Address,
		Datacenter:  entry.Datacenter,
		NodeMeta:    entry.NodeMeta,
		ID:          entry.ServiceID,
		Service:     entry.ServiceName,
		Address:     entry.ServiceAddress,
		Port:        entry.ServicePort,
		Tags:        entry.ServiceTags,
		Meta:        entry.ServiceMeta,
		Weights:     entry.ServiceWeights,
	}
}

// limitedReader fails with ErrTooLong after it has read a given number of bytes.
type limitedReader struct {
	reader    io.Reader
	remaining int64
}

// Read reads up to len(b) bytes, but no more than remaining.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, ErrTooLong
	}
	n, err := l.reader.Read(b[:min(int64(len(b)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}
