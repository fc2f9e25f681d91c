package consul

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/endpoints/reconcile"
)

// TestMappingOfInstances checks the fields that values may be taken from, and which instances cannot be used.
func TestMappingOfInstances(t *testing.T) {
	instance := Instance{
		Node:        "n",
		NodeAddress: "10.1.1.1",
		Datacenter:  "recife",
		NodeMeta:    map[string]string{"rack": "r2"},
		ID:          "i",
		Service:     "obra-2",
		Port:        5432,
		Tags:        []string{"Master", "cell=4", "v1"},
		Meta:        map[string]string{"w": "2.5", "up": "2023-11-14T22:13:20Z"},
		Weights:     Weights{Passing: 7, Warning: 2},
	}
	mapping := DefaultMapping()
	mapping.Group = FieldSource{FieldTag, "cell="}
	mapping.Role = FieldSource{Kind: FieldTag}
	mapping.Zone = FieldSource{FieldNodeMeta, "rack"}
	mapping.Kind = FieldSource{FieldConst, "k"}
	mapping.Weight = FieldSource{FieldMeta, "w"}
	mapping.Started = FieldSource{FieldMeta, "up"}
	observation, err := mapping.Observation(&instance)
	if diff := cmp.Diff(reconcile.Observation{
		ID:          "i",
		Address:     "10.1.1.1:5432",
		Group:       4,
		Zone:        "r2",
		Kind:        "k",
		Weight:      2.5,
		StartedAtMs: 1.7e12,
		Role:        reconcile.Primary,
	}, observation); err != nil || diff != "" {
		t.Errorf("observation with values from other fields: error %v (-want +got):\n%s", err, diff)
	}
	mapping = DefaultMapping()
	mapping.Group, mapping.GroupNumbers, mapping.Role = FieldSource{Kind: "service"}, map[string]string{"obra-2": "9"}, FieldSource{"tag", "v"}
	if observation, err = mapping.Observation(&instance); err != nil || observation.Group != 9 || observation.Weight != 7 ||
		observation.Zone != "recife" || observation.Role != reconcile.RoleUnknown {
		t.Errorf("observation with a table of group numbers: got %+v, error %v; want group 9, weight 7, zone recife, no role", observation, err)
	}
	instance.Health = reconcile.Warning
	if observation, _ = mapping.Observation(&instance); observation.Weight != 2 {
		t.Errorf("weight of an instance whose health is a warning: got %v, want 2", observation.Weight)
	}
	for text, want := range map[string]float64{"1700000000": 1.7e12, "1700000000000": 1.7e12, "-1": 0, "soon": 0, "NaN": 0, "1e300": 0} {
		if got := parseStart(text); got != want {
			t.Errorf("start time %s: got %v, want %v", text, got, want)
		}
	}
	mapping.GroupNumbers = nil
	if _, err := mapping.Observation(&instance); !errors.Is(err, ErrNoGroup) {
		t.Errorf("observation without a group: error %v, want ErrNoGroup", err)
	}
	instance.Port = 70000
	if _, err := mapping.Observation(&instance); !errors.Is(err, ErrNoAddress) {
		t.Errorf("observation with port 70000: error %v, want ErrNoAddress", err)
	}
}
