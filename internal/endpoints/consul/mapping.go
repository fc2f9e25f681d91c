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

// FieldKind is the kind of an instance's field that a value is taken from, by its name in the settings.
type FieldKind string

// The kinds of fields.
const (
	FieldMeta       FieldKind = "meta"
	FieldNodeMeta   FieldKind = "node-meta"
	FieldTag        FieldKind = "tag" // the rest of the first tag that begins with the key
	FieldConst      FieldKind = "const"
	FieldWeights    FieldKind = "weights"
	FieldService    FieldKind = "service"
	FieldDatacenter FieldKind = "datacenter"
	FieldNode       FieldKind = "node"
	FieldID         FieldKind = "id"
	FieldNone       FieldKind = "none"
)

// FieldKinds lists all kinds of fields.
var FieldKinds = []FieldKind{
	FieldMeta, FieldNodeMeta, FieldTag, FieldConst, FieldWeights, FieldService, FieldDatacenter, FieldNode, FieldID, FieldNone,
}

// FieldSource says which field of an instance a field of a server is taken from.
type FieldSource struct {
	Kind FieldKind
	Key  string // key for meta and node-meta, prefix for tag, the value itself for const
}

// Mapping says how the fields of a server are taken from an instance.
type Mapping struct {
	ID, Group, Zone, Kind, Weight, Started, Role FieldSource
	PrimaryValues, ReplicaValues                 []string          // values of Role; if Role is a tag without a key, the tags themselves
	GroupNumbers                                 map[string]string // group numbers by the value of Group; other values must be numbers
}

// DefaultMapping returns a mapping that takes the group, role, kind and start time from the service's meta.
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

// Errors of instances that cannot be used. Their texts go into records.
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
	maxQuotedLength = 40   // bytes of a value that an error quotes
)

// value returns the text of the field in an instance, and whether there is one.
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

// Observation returns the observation of the server that an instance describes, or an error if the instance cannot be used.
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
	if m.Role.Kind == FieldTag && m.Role.Key == "" { // a whole tag names the role
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
	for _, value := range m.PrimaryValues {
		if strings.EqualFold(value, text) {
			return reconcile.Primary
		}
	}
	for _, value := range m.ReplicaValues {
		if strings.EqualFold(value, text) {
			return reconcile.Replica
		}
	}
	return reconcile.RoleUnknown
}

// parseStart parses a time in Unix seconds, in Unix milliseconds or in RFC 3339. It returns Unix milliseconds, or 0 if the text is none
// of these.
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
