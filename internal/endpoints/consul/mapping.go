package consul

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"beechgrade/internal/endpoints/reconcile"
)

// From says where a field of a server comes from.
type From struct {
	Kind string // meta, node-meta, tag (what follows Key in a tag), const, weights, service, datacenter, node, id or none
	Key  string
}

// Kinds of places a field may come from.
var Kinds = []string{"meta", "node-meta", "tag", "const", "weights", "service", "datacenter", "node", "id", "none"}

// Mapping says how an instance becomes a server.
type Mapping struct {
	ID, Group, Zone, Kind, Weight, Started, Role From
	Primary, Replica                             []string          // words for the roles; for a tag's, the tags themselves
	Groups                                       map[string]string // names of groups and their numbers
}

// DefaultMapping has the group, role, zone, kind and start in the service's meta.
func DefaultMapping() Mapping {
	return Mapping{ID: From{Kind: "id"}, Group: From{"meta", "group"}, Zone: From{Kind: "datacenter"}, Kind: From{"meta", "kind"}, Weight: From{Kind: "weights"},
		Started: From{"meta", "started"}, Role: From{"meta", "role"}, Primary: []string{"primary", "master", "leader"}, Replica: []string{"replica", "standby", "secondary", "slave"}}
}

// Errors of instances that cannot be used.
var (
	ErrNoAddress = errors.New("it has no address or port")
	ErrNoGroup   = errors.New("its group cannot be told")
)

// get is a field's text, and whether there is one.
func (f From) get(x *Instance) (string, bool) {
	var s string
	switch f.Kind {
	case "meta":
		s = x.Meta[f.Key]
	case "node-meta":
		s = x.NodeMeta[f.Key]
	case "tag":
		for _, t := range x.Tags {
			if rest, ok := strings.CutPrefix(t, f.Key); ok {
				return rest, true
			}
		}
	case "const":
		return f.Key, true
	case "service":
		s = x.Service
	case "datacenter":
		s = x.Datacenter
	case "node":
		s = x.Node
	case "id":
		s = x.ID
	}
	return s, s != ""
}

// Claim is what an instance says of a server.
func (m *Mapping) Claim(x *Instance) (reconcile.Claim, error) {
	c := reconcile.Claim{Health: x.Health, Weight: 1}
	host := x.Address
	if host == "" {
		host = x.NodeAddress
	}
	if host == "" || x.Port <= 0 || x.Port > 65535 {
		return c, ErrNoAddress
	}
	if c.ID, _ = m.ID.get(x); c.ID == "" || len(c.ID) > maxField {
		return c, errors.New("it has no id")
	}
	c.Address = net.JoinHostPort(host, strconv.Itoa(x.Port))
	text, ok := m.Group.get(x)
	if !ok {
		return c, ErrNoGroup
	}
	if n, ok := m.Groups[text]; ok {
		text = n
	}
	var err error
	if c.Group, err = strconv.Atoi(text); err != nil || c.Group < 0 || c.Group > 1<<30 {
		return c, fmt.Errorf("%w: %q is no number and has none", ErrNoGroup, text[:min(len(text), 40)])
	}
	c.Zone, _ = m.Zone.get(x)
	c.Kind, _ = m.Kind.get(x)
	c.Role = m.role(x)
	c.Weight = m.weight(x)
	if text, ok := m.Started.get(x); ok {
		c.Started = start(text)
	}
	return c, nil
}

func (m *Mapping) weight(x *Instance) float64 {
	if m.Weight.Kind == "weights" {
		if x.Health == reconcile.Warning && x.Weights.Warning > 0 {
			return float64(x.Weights.Warning)
		}
		return float64(max(1, x.Weights.Passing))
	}
	if text, ok := m.Weight.get(x); ok {
		if w, err := strconv.ParseFloat(text, 64); err == nil && w > 0 && w <= 1e6 {
			return w
		}
	}
	return 1
}

func (m *Mapping) role(x *Instance) reconcile.Role {
	if m.Role.Kind == "tag" && m.Role.Key == "" { // a tag by itself is the role
		for _, t := range x.Tags {
			if r := m.word(t); r != reconcile.RoleUnknown {
				return r
			}
		}
		return reconcile.RoleUnknown
	}
	text, _ := m.Role.get(x)
	return m.word(text)
}

func (m *Mapping) word(text string) reconcile.Role {
	for _, w := range m.Primary {
		if strings.EqualFold(w, text) {
			return reconcile.Primary
		}
	}
	for _, w := range m.Replica {
		if strings.EqualFold(w, text) {
			return reconcile.Replica
		}
	}
	return reconcile.RoleUnknown
}

// start reads a time in Unix seconds, milliseconds, or as RFC 3339 has it; 0 where it cannot be read.
func start(text string) float64 {
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return float64(t.UnixMilli())
	}
	x, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil || !(x > 0) || x > 1e14:
		return 0
	case x < 1e11:
		return x * 1000
	}
	return x
}
