package consulserver

import (
	"maps"
	"slices"
	"sync"
)

// Instance is a registered instance of a service.
type Instance struct {
	ID, Service string
	Node        string
	Address     string
	Port        int
	Tags        []string
	Meta        map[string]string
	Status      string // passing, warning or critical; passing where empty
	Maintenance bool   // maintenance mode of the service
	NodeDown    bool   // maintenance mode of its node
	Weight      int
}

// Catalog is the state that the agents share. It is safe for concurrent use.
type Catalog struct {
	mu        sync.Mutex
	services  map[string]map[string]Instance
	indexes   map[string]uint64
	lastIndex uint64
	changed   chan struct{} // closed at each change
}

// NewCatalog returns an empty catalogue.
func NewCatalog() *Catalog {
	return &Catalog{services: map[string]map[string]Instance{}, indexes: map[string]uint64{}, lastIndex: 10, changed: make(chan struct{})}
}

// Change registers instances of a service, replacing those with the same IDs, and then removes instances by ID.
func (c *Catalog) Change(service string, put []Instance, removed ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	instances := c.services[service]
	if instances == nil {
		instances = map[string]Instance{}
		c.services[service] = instances
	}
	for _, instance := range put {
		instance.Service = service
		instances[instance.ID] = instance
	}
	for _, id := range removed {
		delete(instances, id)
	}
	c.lastIndex++
	c.indexes[service] = c.lastIndex
	close(c.changed)
	c.changed = make(chan struct{})
}

// ResetIndex lowers the indexes, as a restore of Consul from a snapshot does.
func (c *Catalog) ResetIndex() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastIndex = 1
	for service := range c.indexes {
		c.lastIndex++
		c.indexes[service] = c.lastIndex
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Catalog) read(service string) (list []Instance, index uint64, changed chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(c.services[service])) {
		list = append(list, c.services[service][id])
	}
	return list, max(1, c.indexes[service]), c.changed
}
