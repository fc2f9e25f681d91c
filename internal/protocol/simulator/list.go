package simulator

import (
	"errors"
	"fmt"

	"beechgrade/internal/decide"
)

// listKinds are the kinds of list events, by their names in the protocol.
var listKinds = map[string]decide.ListKind{
	"update":      decide.ListChanges,
	"replace":     decide.ListFull,
	"restored":    decide.ListRestored,
	"unavailable": decide.ListFailed,
}

// serverStates are the states of servers, by their names in the protocol.
var serverStates = map[string]decide.ServerState{
	"SERVING":  decide.Serving,
	"DRAINING": decide.Draining,
	"DELETED":  decide.Removed,
}

// decodeListEvent decodes the event that delivers a numbered list to an instance.
func (d *Decoder) decodeListEvent(line *line) (instance int, event *decide.EndpointList, err error) {
	instance, event = noInstance, &decide.EndpointList{}
	list, how := -1, ""
	for line.next() {
		switch line.key {
		case fieldInstance:
			instance = line.int()
		case "how":
			how = string(line.value)
		case fieldList:
			list = line.int()
		}
	}
	kind, ok := listKinds[how]
	if !ok {
		return instance, event, fmt.Errorf("%s: unknown how %q", line.name, how)
	}
	event.Kind = kind
	if kind == decide.ListFailed {
		return instance, event, nil
	}
	if list < 0 || list >= maxLists {
		return instance, event, fmt.Errorf("%s: slot %d out of range", line.name, list)
	}
	event.Endpoints = d.lists[list]
	return instance, event, nil
}

// decodeList reads a numbered list, whose endpoints are on the lines that follow.
func (d *Decoder) decodeList(line *line) error {
	number, records := -1, 0
	for line.next() {
		switch line.key {
		case fieldList:
			number = line.int()
		case "records":
			records = line.int()
		}
	}
	if line.err != nil {
		return line.err
	}
	if number < 0 || number >= maxLists || records < 0 {
		return fmt.Errorf("%s: slot %d or records %d out of range", line.name, number, records)
	}
	var list []decide.Endpoint // a new slice, as events of this batch may still refer to the old one
	for range records {
		text, err := d.readLine()
		if err != nil {
			return err
		}
		endpoint, err := decodeEndpoint(newLine(text))
		if err != nil {
			return err
		}
		list = append(list, endpoint)
	}
	d.lists[number] = list
	return nil
}

func decodeEndpoint(line *line) (decide.Endpoint, error) {
	endpoint := decide.Endpoint{Capacity: 1}
	if line.name != lineEndpoint {
		return endpoint, fmt.Errorf("want %s, got %q", lineEndpoint, line.name)
	}
	for line.next() {
		switch line.key {
		case "online_since_ns":
			endpoint.Started = line.duration()
		case fieldGroup:
			endpoint.Group = line.int()
		case "shape":
			endpoint.Kind = line.int()
		case "availability":
			state, ok := serverStates[string(line.value)]
			if !ok {
				return endpoint, fmt.Errorf("%s: unknown availability %q", lineEndpoint, line.value)
			}
			endpoint.State = state
		case "weight":
			endpoint.Capacity = line.float()
		case "hall":
			endpoint.Zone = line.int()
		case fieldServer:
			endpoint.Server = decide.ServerID(line.value)
		case "is_primary":
			endpoint.Primary = line.float() == 1
		}
	}
	if line.err != nil {
		return endpoint, line.err
	}
	if endpoint.Server == "" {
		return endpoint, errors.New("ENTRY: store missing")
	}
	return endpoint, nil
}
