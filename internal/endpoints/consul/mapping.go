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

// FieldKind is a kind of place in an instance, as settings name it.
type FieldKind string

// The kinds of places.
const (
	FieldMeta       FieldKind = "meta"
	FieldNodeMeta   FieldKind = "node-meta"
	FieldTag        FieldKind = "tag" // what follows the key in a tag
	FieldConst      FieldKind = "const"
	FieldWeights    FieldKind = "weights"
	FieldService    FieldKind = "service"
	FieldDatacenter FieldKind = "datacenter"
	FieldNode       FieldKind = "node"
	FieldID         FieldKind = "id"
	FieldNone       FieldKind = "none"
)

// FieldKinds are all kinds of places.
var FieldKinds = []FieldKind{
	FieldMeta, FieldNodeMeta, FieldTag, FieldConst, FieldWeights, FieldService, FieldDatacenter, FieldNode, FieldID, FieldNone,
}

// FieldSource says where in an instance a field of a server comes from.
type FieldSource struct {
	Kind FieldKind
	Key  string // for meta, node-meta and tag; the value itself for const
}

// Mapping says how an instance becomes a server.
type Mapping struct {
	ID, Group, Zone, Kind, Weight, Started, Role FieldSource
	PrimaryValues, ReplicaValues                 []string          // values of Role; for a tag without a key, the tags themselves
	GroupNumbers                                 map[string]string // numbers of groups, by name
}

// DefaultMapping has the group, role, kind and start in the service's meta.
func DefaultMapping() Mapping {
	return Mapping{
		ID:            FieldSource{Kind: FieldID},
		Group:         FieldSource{FieldMeta, "group"},
		Zone:          FieldSource{Kind: FieldDatacenter},
		Kind:          FieldSource{FieldMeta, "kind"},
		Weight:        FieldSource{Kind: FieldWeights},
		Started:       FieldSource{FieldMeta, "started"},
		Role:          FieldSource{FieldMeta, "role"},
		PrimaryValues: []string{"primary", "master", "leader"},
		ReplicaValues: []string{"replica", "standby", "secondary", "slave"},
	}
}

// Errors of instances that cannot be used.
var (
	ErrNoAddress = errors.New("it has no address or port")
	ErrNoGroup   = errors.New("its group cannot be told")

	errNoID = errors.New("it has no id")
)

// Bounds of the values in an instance.
const (
	maxPort         = 65535
	maxGroup        = 1 << 30
	maxWeight       = 1e6
	maxStartMs      = 1e14
	minStartMs      = 1e11 // a smaller number is in seconds
	maxQuotedLength = 40   // of a value in an error
)

// value is a field's text, and whether there is one.
func (f FieldSource) value(instance *Instance) (string, bool) {
	var text string
	switch f.Kind {
	case FieldMeta:
		text = instance.Meta[f.Key]
	case FieldNodeMeta:
		text = instance.NodeMeta[f.Key]
	case FieldTag:
		for _, tag := range instance.Tags {
			if suffix, ok := strings.CutPrefix(tag, f.Key); ok {
				return suffix, true
			}
		}
	case FieldConst:
		return f.Key, true
	case FieldService:
		text = instance.Service
	case FieldDatacenter:
		text = instance.Datacenter
	case FieldNode:
		text = instance.Node
	case FieldID:
		text = instance.ID
	}
	return text, text != ""
}

// Observation is the server that an instance stands for. An error says why it cannot be used.
func (m *Mapping) Observation(instance *Instance) (reconcile.Observation, error) {
	observation := reconcile.Observation{Health: instance.Health, Weight: 1}
	host := instance.Address
	if host == "" {
		host = instance.NodeAddress
	}
	if host == "" || instance.Port <= 0 || instance.Port > maxPort {
		return observation, ErrNoAddress
	}
	observation.ID, _ = m.ID.value(instance)
	if observation.ID == "" || len(observation.ID) > maxFieldBytes {
		return observation, errNoID
	}
	observation.Address = net.JoinHostPort(host, strconv.Itoa(instance.Port))
	var err error
	if observation.Group, err = m.group(instance); err != nil {
		return observation, err
	}
	observation.Zone, _ = m.Zone.value(instance)
	observation.Kind, _ = m.Kind.value(instance)
	observation.Role = m.role(instance)
	observation.Weight = m.weight(instance)
	if text, ok := m.Started.value(instance); ok {
		observation.StartedAtMs = parseStart(text)
	}
	return observation, nil
}

func (m *Mapping) group(instance *Instance) (int, error) {
	text, ok := m.Group.value(instance)
	if !ok {
		return 0, ErrNoGroup
	}
	if number, ok := m.GroupNumbers[text]; ok {
		text = number
	}
	group, err := strconv.Atoi(text)
	if err != nil || group < 0 || group > maxGroup {
		return 0, fmt.Errorf("%w: %q is no number and has none", ErrNoGroup, text[:min(len(text), maxQuotedLength)])
	}
	return group, nil
}

func (m *Mapping) weight(instance *Instance) float64 {
	if m.Weight.Kind == FieldWeights {
		if instance.Health == reconcile.Warning && instance.Weights.Warning > 0 {
			return float64(instance.Weights.Warning)
		}
		return float64(max(1, instance.Weights.Passing))
	}
	if text, ok := m.Weight.value(instance); ok {
		if weight, err := strconv.ParseFloat(text, 64); err == nil && weight > 0 && weight <= maxWeight {
			return weight
		}
	}
	return 1
}

func (m *Mapping) role(instance *Instance) reconcile.Role {
	if m.Role.Kind == FieldTag && m.Role.Key == "" { // a tag by itself is the role
		for _, tag := range instance.Tags {
			if role := m.roleNamed(tag); role != reconcile.RoleUnknown {
				return role
			}
		}
		return reconcile.RoleUnknown
	}
	text, _ := m.Role.value(instance)
	return m.roleNamed(text)
}

func (m *Mapping) roleNamed(text string) reconcile.Role {
	for _, word := range m.PrimaryValues {
		if strings.EqualFold(word, text) {
			return reconcile.Primary
		}
	}
	for _, word := range m.ReplicaValues {
		if strings.EqualFold(word, text) {
			return reconcile.Replica
		}
	}
	return reconcile.RoleUnknown
}

// parseStart reads a time in Unix seconds, in Unix milliseconds or in RFC 3339, as Unix milliseconds; 0 where it is none of these.
func parseStart(text string) float64 {
	if start, err := time.Parse(time.RFC3339, text); err == nil {
		return float64(start.UnixMilli())
	}
	number, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil || !(number > 0) || number > maxStartMs:
		return 0
	case number < minStartMs:
		return number * msPerSecond
	}
	return number
}
