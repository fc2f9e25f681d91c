package consulserver

// object is a JSON object.
type object = map[string]any

const datacenter = "dc1"

// encodeHealth returns an instance in the form of the health API.
func encodeHealth(instance *Instance) any {
	status := instance.Status
	if status == "" {
		status = "passing"
	}
	serviceCheck := object{
		"Node":        instance.Node,
		"CheckID":     "service:" + instance.ID,
		"Status":      status,
		"ServiceID":   instance.ID,
		"ServiceName": instance.Service,
	}
	checks := []object{{"Node": instance.Node, "CheckID": "serfHealth", "Status": "passing"}, serviceCheck}
	if instance.Maintenance {
		checks = append(checks, object{
			"Node":      instance.Node,
			"CheckID":   "_service_maintenance:" + instance.ID,
			"Status":    "critical",
			"ServiceID": instance.ID,
		})
	}
	if instance.NodeDown {
		checks = append(checks, object{"Node": instance.Node, "CheckID": "_node_maintenance", "Status": "critical"})
	}
	return object{
		"Node": object{
			"ID":         "",
			"Node":       instance.Node,
			"Address":    instance.Address,
			"Datacenter": datacenter,
			"Meta":       object{},
		},
		"Service": object{
			"ID":      instance.ID,
			"Service": instance.Service,
			"Tags":    instance.Tags,
			"Address": instance.Address,
			"Port":    instance.Port,
			"Meta":    instance.Meta,
			"Weights": weights(instance),
		},
		"Checks": checks,
	}
}

// encodeCatalog returns an instance in the form of the catalogue API.
func encodeCatalog(instance *Instance) any {
	return object{
		"Node":           instance.Node,
		"Address":        instance.Address,
		"Datacenter":     datacenter,
		"NodeMeta":       object{},
		"ServiceID":      instance.ID,
		"ServiceName":    instance.Service,
		"ServiceAddress": instance.Address,
		"ServicePort":    instance.Port,
		"ServiceTags":    instance.Tags,
		"ServiceMeta":    instance.Meta,
		"ServiceWeights": weights(instance),
	}
}

func weights(instance *Instance) object {
	return object{"Passing": max(1, instance.Weight), "Warning": 1}
}
