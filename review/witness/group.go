package main

import "fmt"

const pipelinedSettings = `
(pooling
  (listen "POOLING")
  (class "office" (needs primary) (aim 500ms) (deadline 60s))
  (pool (database "obra") (user "*") (mode transaction) (class "office") (group 0) (connections 8)))
`

// group is a group of a primary and two replicas, beside a second group that has no clients, with their discovery.
type group struct {
	servers   []*database
	networks  []*network // to each server
	entries   []instance
	address   string
	discovery *discovery
}

// startGroup starts the servers and their discovery.
func (s *scene) startGroup() (*group, error) {
	g := &group{}
	for i, role := range []string{"primary", "replica", "replica", "primary", "replica", "replica"} {
		d := &database{scene: s, name: fmt.Sprintf("db-%d", i+1), role: role}
		if err := d.listen(); err != nil {
			return nil, err
		}
		n, err := listenNetwork(d.address)
		if err != nil {
			return nil, err
		}
		g.servers = append(g.servers, d)
		g.networks = append(g.networks, n)
		g.entries = append(g.entries, d.entry(i/3, n.address))
	}
	var err error
	g.address, g.discovery, err = listenDiscovery(g.entries)
	return g, err
}
