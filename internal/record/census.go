package record

import (
	"os"
	"strconv"
	"strings"

	"beechgrade/internal/record/recordpb"
)

// trackList keeps what a segment's start repeats.
func (w *writer) trackList(e *Event) {
	if e.Kind == recordpb.Kind_KIND_LIST && e.Full {
		clear(w.listed)
	}
	if e.Kind != recordpb.Kind_KIND_ENTRY {
		return
	}
	if e.State == stateRemoved {
		delete(w.listed, e.Server)
		return
	}
	w.listed[e.Server] = *e
}

const stateRemoved = 2

// encode encodes an event into the batch.
func (w *writer) encode(e *Event) {
	n := len(w.batch.Events)
	if n == len(w.events) {
		w.events = append(w.events, &recordpb.Event{})
	}
	x := w.events[n]
	x.Reset()
	w.batch.Events = append(w.batch.Events, x)
	at := microseconds(e.At)
	x.Kind, x.AfterUs = e.Kind, at-w.previousUs
	w.previousUs = at
	x.Request, x.Class, x.Group, x.Server = e.Request, uint32(e.Class), e.Group, w.nameNumber(e.Server)
	x.Result, x.Role = uint32(e.Result), uint32(e.Role)
	if e.Position != 0 {
		x.Positioned, x.BehindUs = true, microseconds(e.At)-microseconds(e.Position)
	}
	x.TookUs, x.LeftUs, x.WaitUs = unsignedMicroseconds(e.DurationMs), unsignedMicroseconds(e.RemainingMs), unsignedMicroseconds(e.WaitMs)
	x.Session, x.Id, x.Repeat = e.Session, e.ID, e.Repeat
	x.Attempt, x.Final, x.Reason, x.Text = uint32(e.Attempt), e.Final, uint32(e.Reason), e.Text
	x.Pool, x.Source, x.Health = w.nameNumber(e.Pool), w.nameNumber(e.Source), uint32(e.Health)
	switch e.Kind {
	case recordpb.Kind_KIND_HAND:
		x.Hand = &recordpb.Hand{How: uint32(e.Assignment), Other: e.FromOtherClient, Moved: e.ServerChanged, Carried: e.SettingsRestored}
	case recordpb.Kind_KIND_POOL:
		h := &e.PoolState
		x.Held = &recordpb.Pool{Clients: uint32(h.Clients), Idle: uint32(h.Idle), Used: uint32(h.Used), Connecting: uint32(h.Connecting),
			Waiting: uint32(h.Waiting), LongestUs: unsignedMicroseconds(h.LongestWaitMs), Most: uint32(h.MaxConnections)}
	case recordpb.Kind_KIND_ENTRY, recordpb.Kind_KIND_SAID:
		x.Text = ""
		x.Entry = &recordpb.Entry{State: uint32(e.State), Primary: e.Primary, StartedUs: e.Number * 1000, Address: e.Text, Held: e.Restated}
	case recordpb.Kind_KIND_GAUGE:
		memory, files := w.processUsage()
		x.Gauge = &recordpb.Gauge{Sessions: uint32(e.Sessions), Connections: uint32(e.Connections), Open: uint32(e.Number),
			Memory: memory, Descriptors: files, WallUs: microseconds(e.WallClockMs)}
	case recordpb.Kind_KIND_LOST:
		x.Lost = &recordpb.Lost{Events: e.Lost, FromUs: microseconds(e.LostFrom), ToUs: microseconds(e.LostTo), Cause: uint32(e.LossCause)}
		w.lost += e.Lost
	case recordpb.Kind_KIND_LIST:
		x.Number, x.Whole = e.Number, e.Full
	case recordpb.Kind_KIND_RECOVERED:
		f := e.Recovery
		x.Recovered = &recordpb.Recovered{Store: f.Store, Records: uint64(f.Records), Segments: uint32(f.Segments), Dropped: uint64(f.Dropped)}
	}
}

// nameNumber finds a server's number in this segment, or gives it one.
func (w *writer) nameNumber(server string) uint32 {
	if server == "" {
		return 0
	}
	n, ok := w.nameNumbers[server]
	if !ok {
		n = uint32(len(w.nameNumbers) + 1)
		w.nameNumbers[server] = n
		w.batch.Names = append(w.batch.Names, server)
	}
	return n
}

// processUsage reads what the process holds: resident bytes and descriptors, 0 where that can't be told.
func (w *writer) processUsage() (memory uint64, files uint32) {
	if b, err := os.ReadFile("/proc/self/statm"); err == nil {
		if f := strings.Fields(string(b)); len(f) > 1 {
			pages, _ := strconv.ParseUint(f[1], 10, 64)
			memory = pages * uint64(os.Getpagesize())
		}
	}
	if d, err := os.Open("/proc/self/fd"); err == nil {
		names, _ := d.Readdirnames(-1)
		_ = d.Close()
		files = uint32(len(names))
	}
	return memory, files
}
