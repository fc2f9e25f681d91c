package simulator

import (
	"fmt"
	"time"

	"beechgrade/internal/decide"
)

// Names of the lines of a batch.
const (
	lineStart         = "PROVISION"
	lineStop          = "CRASH_NOW"
	lineList          = "CENSUS" // a numbered endpoint list
	lineEndpoint      = "ENTRY"  // of a list
	lineListEvent     = "MEMBERS"
	lineRequest       = "ASK"
	lineOutcome       = "SETTLED"
	lineAbandoned     = "EXPIRED"
	lineTimer         = "TIMEOUT_FIRED"
	lineHealthCheck   = "ECHO"
	lineAttempt       = "PASS_ON"
	lineCancel        = "REVOKE"
	lineReject        = "NOT_NOW"
	lineFail          = "ERROR"
	lineCheckHealth   = "PROBE"
	lineSetTimer      = "WAKE_AT"
	lineSubscribe     = "WATCH"
	lineFetchList     = "LIST_ALL"
	lineLog           = "TRACE"
	lineInstanceFault = "BAIL_OUT"
)

// Names of fields that several lines have.
const (
	fieldInstance = "front"
	fieldRequest  = "request_id"
	fieldServer   = "store"
	fieldGroup    = "shard"
	fieldAttempt  = "try"
	fieldResult   = "disposition"
	fieldLoad     = "server_stats"
	fieldTag      = "tag"
	fieldList     = "slot"
	fieldText     = "msg"
)

// noInstance is the instance of a line that does not name one.
const noInstance = -1

// decodeLine decodes a line of a batch, and adds its event to the batch.
func (d *Decoder) decodeLine(batch *Batch, line *line) error {
	if line.name == lineList {
		return d.decodeList(line)
	}
	item := Item{Instance: noInstance, Kind: DeliverEvent}
	var err error
	switch line.name {
	case lineStart:
		item, err = d.decodeStart(line)
	case lineStop:
		item.Kind = StopInstance
		item.Instance = decodeInstance(line)
		delete(d.positionZero, item.Instance)
	case lineListEvent:
		item.Instance, item.Event, err = d.decodeListEvent(line)
	case lineRequest:
		item.Instance, item.Event = decodeRequest(line)
	case lineOutcome:
		item.Instance, item.Event = d.decodeOutcome(line)
	case lineAbandoned:
		item.Instance, item.Event = decodeAbandoned(line)
	case lineTimer:
		item.Instance, item.Event = decodeTimer(line)
	case lineHealthCheck:
		item.Instance, item.Event = d.decodeHealthCheck(line)
	default:
		return nil // a message that the decision module does not need
	}
	switch {
	case err != nil:
		return err
	case line.err != nil:
		return line.err
	case item.Instance < 0:
		return fmt.Errorf("%s: front missing or negative", line.name)
	}
	batch.Items = append(batch.Items, item)
	return nil
}

// decodeStart decodes the settings of a new instance.
func (d *Decoder) decodeStart(line *line) (Item, error) {
	item := Item{Instance: noInstance, Kind: StartInstance}
	values := map[string]string{}
	for line.next() {
		switch line.key {
		case fieldInstance:
			item.Instance = line.int()
		case "prng":
			item.Seed = uint64(line.int64())
		default:
			values[line.key] = string(line.value)
		}
	}
	if line.err != nil {
		return item, nil // the caller reports it
	}
	settings, zero, err := Settings(values)
	if err != nil {
		return item, fmt.Errorf("%s: %w", lineStart, err)
	}
	item.Settings = settings
	d.positionZero[item.Instance] = zero
	return item, nil
}

// decodeInstance decodes a line whose only field is its instance.
func decodeInstance(line *line) int {
	instance := noInstance
	for line.next() {
		if line.key == fieldInstance {
			instance = line.int()
		}
	}
	return instance
}

func decodeAbandoned(line *line) (instance int, event *decide.Abandoned) {
	instance, event = noInstance, &decide.Abandoned{}
	for line.next() {
		switch line.key {
		case fieldInstance:
			instance = line.int()
		case fieldRequest:
			event.ID = decide.RequestID(line.value)
		}
	}
	return instance, event
}

func decodeTimer(line *line) (instance int, event *decide.Timer) {
	instance, event = noInstance, &decide.Timer{}
	for line.next() {
		switch line.key {
		case fieldInstance:
			instance = line.int()
		case fieldTag:
			event.Tag = line.int64()
		}
	}
	return instance, event
}

func (d *Decoder) decodeHealthCheck(line *line) (instance int, event *decide.HealthCheckResult) {
	instance, event = noInstance, &decide.HealthCheckResult{Result: decide.TimedOut}
	var load []byte
	for line.next() {
		switch line.key {
		case fieldInstance:
			instance = line.int()
		case fieldServer:
			event.Server = decide.ServerID(line.value)
		case fieldResult:
			event.Result = decodeResult(line.value)
		case fieldLoad:
			load = line.value
		}
	}
	event.Load = decodeLoad(load, d.positionZero[instance], line)
	return instance, event
}

// Bits of the options of a request.
const (
	optionHasWork = 1
	optionRetry   = 2
)

func decodeRequest(line *line) (instance int, event *decide.Request) {
	instance, event = noInstance, &decide.Request{Class: -1, Group: -1}
	options, work := 0, time.Duration(0)
	for line.next() {
		switch line.key {
		case fieldInstance:
			instance = line.int()
		case fieldRequest:
			event.ID = decide.RequestID(line.value)
		case "party":
			event.Tenant = line.int()
		case "due_ns":
			event.Deadline = line.duration()
		case fieldGroup:
			event.Group = line.int()
		case "session":
			event.Session = string(line.value)
		case "token_ms":
			event.SinceCommit = max(0, time.Duration(line.float()*float64(time.Millisecond)))
		case "expected_ns":
			work = line.duration()
		case "options":
			options = line.int()
		case "cls":
			event.Class = line.int()
		}
	}
	if options&optionHasWork != 0 {
		event.WorkHint = work
	}
	event.ClientRetry = options&optionRetry != 0
	if event.ID == "" {
		line.fail(fieldRequest)
	}
	return instance, event
}

// Layout of the note of an outcome: the lowest 2 bits are the role, the rest is the position in milliseconds, 0 for none.
const (
	noteRoleMask     = 3
	notePrimary      = 1
	noteReplica      = 2
	notePositionUnit = 4
)

func (d *Decoder) decodeOutcome(line *line) (instance int, event *decide.Outcome) {
	instance, event = noInstance, &decide.Outcome{Result: decide.Failed}
	note := int64(0)
	var load []byte
	for line.next() {
		switch line.key {
		case fieldInstance:
			instance = line.int()
		case fieldRequest:
			event.ID = decide.RequestID(line.value)
		case fieldAttempt:
			event.Attempt = line.int()
		case fieldResult:
			event.Result = decodeResult(line.value)
		case "no_more":
			event.Final = line.bool()
		case fieldServer:
			event.Server = decide.ServerID(line.value)
		case "note":
			note = line.int64()
		case fieldLoad:
			load = line.value
		}
	}
	zero := d.positionZero[instance]
	event.Reported = decodeNote(note, zero)
	event.Load = decodeLoad(load, zero, line)
	return instance, event
}

// decodeNote decodes the role and the position that an answer reported; zero is the time of position 0.
func decodeNote(note int64, zero time.Duration) (report decide.Report) {
	switch note & noteRoleMask {
	case notePrimary:
		report.Role = decide.RolePrimary
	case noteReplica:
		report.Role = decide.RoleReplica
	}
	if note >= notePositionUnit {
		report.Position = zero + time.Duration(note/notePositionUnit)*time.Millisecond
		report.HasPosition = true
	}
	return report
}
