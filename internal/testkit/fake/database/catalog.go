package database

import (
	"net"
	"strconv"

	"beechgrade/internal/testkit/fake/consulserver"
)

// Service is the name under which the servers are registered.
const Service = "servidores"

// Register makes the fleet copy the model's catalogue, with its delays and errors, into a Consul catalogue. It is called before Start.
func (f *Fleet) Register(c *consulserver.Catalog) { f.catalog, f.registeredIDs = c, map[string]bool{} }

// register copies the model's catalogue into the Consul catalogue. The lock is held.
func (f *Fleet) register() {
	if f.catalog == nil {
		return
	}
	var put []consulserver.Instance
	registered := map[string]bool{}
	for _, r := range f.world.Catalog.All() {
		host, port, err := net.SplitHostPort(r.Address)
		if err != nil {
			continue
		}
		instance := consulserver.Instance{ID: r.ID, Node: "no-" + r.Server.Name, Address: host, Tags: []string{r.Role}, Maintenance: r.Maintenance,
			Meta: map[string]string{"group": strconv.Itoa(r.Server.Group.ID), "kind": "padrao-4"}}
		instance.Port, _ = strconv.Atoi(port)
		if r.Critical {
			instance.Status = "critical"
		}
		if r.Started > 0 {
			instance.Meta["started"] = strconv.FormatInt(int64(r.Started), 10)
		}
		put = append(put, instance)
		registered[r.ID] = true
	}
	var removed []string
	for id := range f.registeredIDs {
		if !registered[id] {
			removed = append(removed, id)
		}
	}
	f.registeredIDs = registered
	f.catalog.Change(Service, put, removed...)
}
