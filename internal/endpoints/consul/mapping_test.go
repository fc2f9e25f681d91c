package consul

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/endpoints/reconcile"
)

// TestMappingOfInstances checks the places that fields may come from, and which instances cannot be used.
func TestMappingOfInstances(t *testing.T) {
	x := Instance{
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
	m := DefaultMapping()
	m.Group = FieldSource{FieldTag, "cell="}
	m.Role = FieldSource{Kind: FieldTag}
	m.Zone = FieldSource{FieldNodeMeta, "rack"}
	m.Kind = FieldSource{FieldConst, "k"}
	m.Weight = FieldSource{FieldMeta, "w"}
	m.Started = FieldSource{FieldMeta, "up"}
	c, err := m.Observation(&x)
	if diff := cmp.Diff(reconcile.Observation{
		ID:          "i",
		Address:     "10.1.1.1:5432",
		Group:       4,
		Zone:        "r2",
		Kind:        "k",
		Weight:      2.5,
		StartedAtMs: 1.7e12,
		Role:        reconcile.Primary,
	}, c); err != nil || diff != "" {
		t.Error(err, diff)
	}
	m = DefaultMapping()
	m.Group, m.GroupNumbers, m.Role = FieldSource{Kind: "service"}, map[string]string{"obra-2": "9"}, FieldSource{"tag", "v"}
	if c, err = m.Observation(&x); err != nil || c.Group != 9 || c.Weight != 7 || c.Zone != "recife" || c.Role != reconcile.RoleUnknown {
		t.Errorf("%+v %v", c, err)
	}
	x.Health = reconcile.Warning
	if c, _ = m.Observation(&x); c.Weight != 2 {
		t.Errorf("weight %v", c.Weight)
	}
	for text, want := range map[string]float64{"1700000000": 1.7e12, "1700000000000": 1.7e12, "-1": 0, "soon": 0, "NaN": 0, "1e300": 0} {
		if got := parseStart(text); got != want {
			t.Errorf("%s: %v", text, got)
		}
	}
	m.GroupNumbers = nil
	if _, err := m.Observation(&x); !errors.Is(err, ErrNoGroup) {
		t.Error(err)
	}
	x.Port = 70000
	if _, err := m.Observation(&x); !errors.Is(err, ErrNoAddress) {
		t.Error(err)
	}
}
