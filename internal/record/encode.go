package record

import (
	"os"
	"strconv"
	"strings"

	"beechgrade/internal/record/recordpb"
)

// stateRemoved is the schema's state of an entry that was removed from the list.
const stateRemoved = 2

// Files from which the process's resource usage is read.
const (
	memoryFile  = "/proc/self/statm"
	descriptors = "/proc/self/fd"
)

// trackList keeps track of the endpoint list, which is written at the start of each segment.
func (w *writer) trackList(event *Event) {
	switch {
	case event.Kind == recordpb.Kind_KIND_LIST && event.Full:
		clear(w.listed)
	case event.Kind != recordpb.Kind_KIND_ENTRY:
	case event.State == stateRemoved:
		delete(w.listed, event.Server)
	default:
		w.listed[event.Server] = *event
	}
}

// encode adds an event to the batch.
func (w *writer) encode(event *Event) {
	n := len(w.batch.Events)
	if n == len(w.events) {
		w.events = append(w.events, &recordpb.Event{})
	}
	out := w.events[n]
	out.Reset()
	w.batch.Events = append(w.batch.Events, out)
	at := microseconds(event.At)
	out.Kind = event.Kind
	out.AfterUs = at - w.previousUs
	w.previousUs = at
	out.Request = event.Request
	out.Class = uint32(event.Class)
	out.Group = event.Group
	out.Server = w.nameNumber(event.Server)
	out.Result = uint32(event.Result)
	out.Role = uint32(event.Role)
	if event.Position != 0 {
		out.Positioned = true
		out.BehindUs = at - microseconds(event.Position)
	}
	out.TookUs = unsignedMicroseconds(event.DurationMs)
	out.LeftUs = unsignedMicroseconds(event.RemainingMs)
	out.WaitUs = unsignedMicroseconds(event.WaitMs)
	out.Session = event.Session
	out.Id = event.ID
	out.Repeat = event.Repeat
	out.Attempt = uint32(event.Attempt)
	out.Final = event.Final
	out.Reason = uint32(event.Reason)
	out.Text = event.Text
	out.Pool = w.nameNumber(event.Pool)
	out.Source = w.nameNumber(event.Source)
	out.Health = uint32(event.Health)
	w.encodeByKind(event, out)
}

// encodeByKind encodes the fields that are specific to a kind.
func (w *writer) encodeByKind(event *Event, out *recordpb.Event) {
	switch event.Kind {
	case recordpb.Kind_KIND_HAND:
		out.Hand = &recordpb.Hand{
			How:     uint32(event.Assignment),
			Other:   event.FromOtherClient,
			Moved:   event.ServerChanged,
			Carried: event.SettingsRestored,
		}
	case recordpb.Kind_KIND_POOL:
		out.Held = encodePool(&event.PoolState)
	case recordpb.Kind_KIND_ENTRY, recordpb.Kind_KIND_SAID:
		out.Text = ""
		out.Entry = &recordpb.Entry{
			State:     uint32(event.State),
			Primary:   event.Primary,
			StartedUs: event.Number * usPerMs,
			Address:   event.Text,
			Held:      event.Restated,
		}
	case recordpb.Kind_KIND_GAUGE:
		out.Gauge = &recordpb.Gauge{
			Sessions:    uint32(event.Sessions),
			Connections: uint32(event.Connections),
			Open:        uint32(event.Number),
			Memory:      residentBytes(),
			Descriptors: openDescriptors(),
			WallUs:      microseconds(event.WallClockMs),
		}
	case recordpb.Kind_KIND_LOST:
		out.Lost = &recordpb.Lost{
			Events: event.Lost,
			FromUs: microseconds(event.LostFrom),
			ToUs:   microseconds(event.LostTo),
			Cause:  uint32(event.LossCause),
		}
		w.lost += event.Lost
	case recordpb.Kind_KIND_LIST:
		out.Number = event.Number
		out.Whole = event.Full
	case recordpb.Kind_KIND_RECOVERED:
		found := event.Recovery
		out.Recovered = &recordpb.Recovered{
			Store:    found.Store,
			Records:  uint64(found.Records),
			Segments: uint32(found.Segments),
			Dropped:  uint64(found.Dropped),
		}
	}
}

func encodePool(state *PoolState) *recordpb.Pool {
	return &recordpb.Pool{
		Clients:    uint32(state.Clients),
		Idle:       uint32(state.Idle),
		Used:       uint32(state.Used),
		Connecting: uint32(state.Connecting),
		Waiting:    uint32(state.Waiting),
		LongestUs:  unsignedMicroseconds(state.LongestWaitMs),
		Most:       uint32(state.MaxConnections),
	}
}

// nameNumber returns the number of a name in this segment, 0 for the empty name. A new name is added to the batch.
func (w *writer) nameNumber(name string) uint32 {
	if name == "" {
		return 0
	}
	number, ok := w.nameNumbers[name]
	if !ok {
		number = uint32(len(w.nameNumbers) + 1)
		w.nameNumbers[name] = number
		w.batch.Names = append(w.batch.Names, name)
	}
	return number
}

// residentBytes returns the resident memory of the process in bytes, 0 if it cannot be read.
func residentBytes() uint64 {
	text, err := os.ReadFile(memoryFile)
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text)) // in pages: total, resident, ...
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize())
}

// openDescriptors returns the number of open descriptors of the process, 0 if it cannot be read.
func openDescriptors() uint32 {
	folder, err := os.Open(descriptors)
	if err != nil {
		return 0
	}
	defer func() { _ = folder.Close() }()
	names, _ := folder.Readdirnames(-1)
	return uint32(len(names))
}
