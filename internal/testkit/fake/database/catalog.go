package database

import (
	"net"
	"strconv"

	"beechgrade/internal/testkit/fake/consulserver"
)

// Service is the name under which the servers are registered.
const Service = "servidores"

// Register has the servers registered in a catalogue, from Start on, as late and as wrongly as the model's.
func (f *Fleet) Register(c *consulserver.Catalog) { f.catalog, f.known = c, map[string]bool{} }

// register brings the catalogue up to date. The lock is held.
func (f *Fleet) register() {
	if f.catalog == nil {
		return
	}
	var put []consulserver.Instance
	now := map[string]bool{}
	for _, r := range f.world.Catalog.All() {
		host, port, err := net.SplitHostPort(r.Address)
		if err != nil {
			continue
		}
		x := consulserver.Instance{ID: r.ID, Node: "no-" + r.Server.Name, Address: host, Tags: []string{r.Role}, Maintenance: r.Maintenance,
			Meta: map[string]string{"group": strconv.Itoa(r.Server.Group.ID), "kind": "padrao-4"}}
		x.Port, _ = strconv.Atoi(port)
		if r.Critical {
			x.Status = "critical"
		}
		if r.Started > 0 {
			x.Meta["started"] = strconv.FormatInt(int64(r.Started), 10)
		}
		put = append(put, x)
		now[r.ID] = true
	}
	var drop []string
	for id := range f.known {
		if !now[id] {
			drop = append(drop, id)
		}
	}
	f.known = now
	f.catalog.Change(Service, put, drop...)
}
