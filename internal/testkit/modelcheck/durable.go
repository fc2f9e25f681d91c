package modelcheck

import (
	"fmt"
	"slices"
	"strings"
)

// DurableMutants are faults that can be injected into the durable store's protocol: most omit a step or take it too early.
type DurableMutants struct {
	AckUnsynced          bool // a commit is acknowledged before its sync
	HeadUnsynced         bool // a segment is written to before its header and its name are synced
	SealUnsynced         bool // the next segment is created before the seal is synced
	SnapshotUnsynced     bool // a snapshot is renamed before it is synced
	SnapshotNameUnsynced bool // the files that a snapshot replaces are removed before its name is synced
	RecoveryUnsynced     bool // recovery does not sync what it finds
	SnapshotIncludesNext bool // a snapshot contains a record more than the segments that it replaces
}

// DurableBounds bound how many records, segments, compactions and crashes there may be, and select the mutants.
type DurableBounds struct {
	Records, Segments, Compactions, Crashes int
	Mutants                                 DurableMutants
}

// durable is a store that commits records, starts new segments, compacts old ones into a snapshot concurrently, and recovers after a
// crash. A loss of power may lose any part of what was not synced: bytes from the end of each file, and changes of names. Records are
// numbered from 1. The content of a file is a string of letters: H is the header, S the seal, E the end of a snapshot, ? unreadable data,
// a lower-case letter a record: in a segment a is record 1, in a snapshot every record is r. The names of segments, snapshots and
// unfinished snapshots begin with l, s and ts.
type durable struct {
	bounds DurableBounds

	files        map[string]*diskFile // by an id that a file keeps when it is renamed
	names        map[string]string    // ids by name, as processes see them
	durableNames map[string]string    // ids by name, as synced to the disk

	submitted, acked int
	segment          int    // number of the segment that is written to
	writerStep       string // last step of the writer, empty if it is idle
	toReplace        string // names of files that the next snapshot replaces, separated by commas

	compactionStep  string // last step of the compaction, empty for none
	upTo            int    // last segment that its snapshot replaces
	snapshotRecords int    // number of records in its snapshot
	toRemove        string // names of files that it has yet to remove

	compactions, crashes int
	violation            string // what recovery found to be wrong, empty for nothing
}

type diskFile struct {
	data   string
	synced int // number of letters of data that are synced to the disk
}

// NewDurable returns a new store.
func NewDurable(bounds DurableBounds) System {
	s := &durable{
		bounds:       bounds,
		files:        map[string]*diskFile{"l1": {"H", 1}},
		names:        map[string]string{"l1": "l1"},
		durableNames: map[string]string{"l1": "l1"},
		segment:      1,
	}
	return s
}

func (s *durable) clone() *durable {
	clone := *s
	clone.files, clone.names, clone.durableNames = map[string]*diskFile{}, map[string]string{}, map[string]string{}
	for k, file := range s.files {
		copied := *file
		clone.files[k] = &copied
	}
	for k, v := range s.names {
		clone.names[k] = v
	}
	for k, v := range s.durableNames {
		clone.durableNames[k] = v
	}
	return &clone
}

// Key implements System.
func (s *durable) Key() string {
	var key strings.Builder
	fmt.Fprint(&key, s.submitted, " ", s.acked, " ", s.segment, " ", s.writerStep, " ", s.toReplace, " ", s.compactionStep, " ", s.upTo, " ", s.snapshotRecords, " ", s.toRemove, " ", s.compactions, " ", s.crashes, " ", s.violation)
	for _, m := range []map[string]string{s.names, s.durableNames} {
		key.WriteByte('|')
		for _, k := range sortedKeys(m) {
			fmt.Fprint(&key, k, "=", m[k], ",")
		}
	}
	var ids []string
	for k := range s.files {
		ids = append(ids, k)
	}
	slices.Sort(ids)
	for _, k := range ids {
		fmt.Fprint(&key, k, ":", s.files[k].data, "/", s.files[k].synced, ",")
	}
	return key.String()
}

func sortedKeys(m map[string]string) (out []string) {
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Check implements System.
func (s *durable) Check() error {
	if s.violation != "" {
		return fmt.Errorf("%s", s.violation)
	}
	return nil
}

func segmentOf(n int) string  { return fmt.Sprint("l", n) }
func snapshotOf(n int) string { return fmt.Sprint("s", n) }
func recordOf(n int) string   { return string(rune('a' + n - 1)) }

func (s *durable) appendTo(name, letters string) { s.files[s.names[name]].data += letters }

func (s *durable) sync(name string) {
	file := s.files[s.names[name]]
	file.synced = len(file.data)
}

func (s *durable) syncNames() {
	s.durableNames = map[string]string{}
	for k, v := range s.names {
		s.durableNames[k] = v
	}
}

func (s *durable) create(name, id, letters string) {
	s.files[id] = &diskFile{data: letters}
	s.names[name] = id
}

// Moves implements System: a step of the writer or of the compaction, a crash of the process, or a loss of power.
func (s *durable) Moves() (out []Move) {
	step := func(name string, do func(next *durable)) {
		out = append(out, Move{name, func() (System, error) {
			next := s.clone()
			do(next)
			return next, nil
		}})
	}
	mutants, currentSegment := s.bounds.Mutants, segmentOf(s.segment)
	switch s.writerStep {
	case "":
		if s.submitted < s.bounds.Records {
			step("write", func(next *durable) {
				next.submitted++
				next.appendTo(currentSegment, recordOf(next.submitted))
				next.writerStep = "written"
			})
		}
		if data := s.files[s.names[currentSegment]].data; len(data) > 1 && s.segment < s.bounds.Segments {
			step("write the seal", func(next *durable) { next.appendTo(currentSegment, "S"); next.writerStep = "sealed" })
		} else if s.compactionStep == "" && s.compactions < s.bounds.Compactions && len(data) == 1 && s.segment > 1 && s.toReplace != "" && s.toReplace != snapshotOf(s.segment-1) {
			step("begin a compaction", func(next *durable) {
				next.compactions++
				next.compactionStep, next.upTo, next.snapshotRecords, next.toRemove, next.toReplace = "begun", next.segment-1, next.acked, next.toReplace, ""
			})
		}
	case "written":
		if mutants.AckUnsynced {
			step("acknowledge", func(next *durable) { next.acked = next.submitted; next.writerStep = "acked" })
		} else {
			step("sync", func(next *durable) { next.sync(currentSegment); next.writerStep = "synced" })
		}
	case "acked":
		step("sync", func(next *durable) { next.sync(currentSegment); next.writerStep = "" })
	case "synced":
		step("acknowledge", func(next *durable) { next.acked = next.submitted; next.writerStep = "" })
	case "sealed":
		step("sync the seal", func(next *durable) {
			if !mutants.SealUnsynced {
				next.sync(currentSegment)
			}
			next.writerStep = "closed"
		})
	case "closed":
		step("create the next segment", func(next *durable) {
			if next.toReplace != "" {
				next.toReplace += ","
			}
			next.toReplace += currentSegment
			next.segment++
			next.create(segmentOf(next.segment), segmentOf(next.segment)+fmt.Sprint("-", next.crashes), "H")
			next.writerStep = "created"
		})
	case "created":
		step("sync the header and the name", func(next *durable) {
			if !mutants.HeadUnsynced {
				next.sync(currentSegment)
				next.syncNames()
			}
			next.writerStep = ""
		})
	}
	tmp := "t" + snapshotOf(s.upTo)
	switch s.compactionStep {
	case "begun":
		step("write the snapshot", func(next *durable) {
			records := next.snapshotRecords
			if mutants.SnapshotIncludesNext {
				records = min(next.submitted, records+1)
			}
			next.create(tmp, fmt.Sprint(snapshotOf(next.upTo), "-", next.crashes, "-", next.compactions), "H"+strings.Repeat("r", records)+"E")
			next.compactionStep = "written"
		})
	case "written":
		step("sync the snapshot", func(next *durable) {
			if !mutants.SnapshotUnsynced {
				next.sync(tmp)
			}
			next.compactionStep = "synced"
		})
	case "synced":
		step("rename the snapshot", func(next *durable) {
			next.names[snapshotOf(next.upTo)] = next.names[tmp]
			delete(next.names, tmp)
			next.compactionStep = "renamed"
		})
	case "renamed":
		step("sync the snapshot's name", func(next *durable) {
			if !mutants.SnapshotNameUnsynced {
				next.syncNames()
			}
			next.compactionStep = "durable"
		})
	case "durable":
		step("remove a replaced file", func(next *durable) {
			name, rest, _ := strings.Cut(next.toRemove, ",")
			delete(next.names, name)
			if next.toRemove = rest; rest == "" {
				next.compactionStep = ""
				if next.toReplace != "" {
					next.toReplace = "," + next.toReplace
				}
				next.toReplace = snapshotOf(next.upTo) + next.toReplace
			}
		})
	}
	if s.crashes < s.bounds.Crashes {
		step("process crash", func(next *durable) { next.recover() })
		for i, after := range s.powerLossOutcomes() {
			step(fmt.Sprint("power loss, outcome ", i), func(next *durable) {
				*next = *after.clone()
				next.recover()
			})
		}
	}
	return out
}

// powerLossOutcomes returns the possible contents of the disk after a loss of power. Where unsynced data was cut off, unreadable data may
// follow.
func (s *durable) powerLossOutcomes() []*durable {
	all := []*durable{s.clone()}
	// expand replaces each outcome by those that the function returns for it.
	expand := func(more func(outcome *durable) []*durable) {
		var next []*durable
		for _, outcome := range all {
			next = append(next, more(outcome)...)
		}
		all = next
	}
	union := map[string]string{}
	for k := range s.names {
		union[k] = ""
	}
	for k := range s.durableNames {
		union[k] = ""
	}
	for _, name := range sortedKeys(union) {
		if s.names[name] == s.durableNames[name] {
			continue
		}
		expand(func(outcome *durable) []*durable { // this change of a name reached the disk or did not, independently of others
			changed := outcome.clone()
			if id := s.durableNames[name]; id != "" {
				changed.names[name] = id
			} else {
				delete(changed.names, name)
			}
			return []*durable{outcome, changed}
		})
	}
	var ids []string
	for id := range s.files {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		file := s.files[id]
		if file.synced == len(file.data) {
			continue
		}
		expand(func(outcome *durable) (out []*durable) {
			for kept := file.synced; kept <= len(file.data); kept++ {
				for _, torn := range []string{"", "?"} {
					if torn == "?" && kept == len(file.data) {
						continue
					}
					changed := outcome.clone()
					changed.files[id].data = file.data[:kept] + torn
					out = append(out, changed)
				}
			}
			return out
		})
	}
	for _, outcome := range all {
		for _, file := range outcome.files {
			file.synced = len(file.data)
		}
		outcome.syncNames()
	}
	return all
}

// recover recovers the store from the disk, and checks that all acknowledged records are there, and none that was not submitted.
func (s *durable) recover() {
	s.crashes++
	s.writerStep, s.compactionStep, s.toRemove, s.toReplace = "", "", "", ""
	if !s.bounds.Mutants.RecoveryUnsynced {
		s.syncNames()
	}
	base, records := 0, 0
	var segments []int
	for _, name := range sortedKeys(s.names) {
		number := 0
		if _, err := fmt.Sscanf(name[1:], "%d", &number); name[0] == 't' || err != nil {
			delete(s.names, name)
			continue
		}
		if name[0] == 's' {
			base = max(base, number)
		}
	}
	if base > 0 {
		data := s.files[s.names[snapshotOf(base)]].data
		if !strings.HasPrefix(data, "H") || !strings.HasSuffix(data, "E") {
			s.violation = fmt.Sprintf("recovery failed: snapshot %d is incomplete: %q", base, data)
			return
		}
		records = len(data) - 2
		s.toReplace = snapshotOf(base)
	}
	for _, name := range sortedKeys(s.names) {
		number := 0
		_, _ = fmt.Sscanf(name[1:], "%d", &number)
		switch {
		case name[0] == 's' && number < base, name[0] == 'l' && number <= base:
			delete(s.names, name)
		case name[0] == 'l':
			segments = append(segments, number)
		}
	}
	slices.Sort(segments)
	s.segment = base
	for i, number := range segments {
		last, file := i == len(segments)-1, s.files[s.names[segmentOf(number)]]
		if number != base+1+i {
			s.violation = fmt.Sprintf("recovery failed: segment %d is missing", base+1+i)
			return
		}
		s.segment = number
		if file.data == "" || file.data[0] != 'H' {
			if !last {
				s.violation = fmt.Sprintf("recovery failed: segment %d has no header", number)
				return
			}
			file.data = "H" // a crash interrupted its creation: it is created again
			file.synced = 1
			s.syncNames()
			break
		}
		sealed := false
		for at := 1; at < len(file.data); at++ {
			switch letter := file.data[at]; {
			case letter == 'S':
				sealed = true
			case letter == '?':
				file.data = file.data[:at]
				file.synced = min(file.synced, at)
			case int(letter-'a'+1) == records+1:
				records++
			default:
				s.violation = fmt.Sprintf("recovery failed: record %c follows record %d", letter, records)
				return
			}
		}
		if !last && !sealed {
			s.violation = fmt.Sprintf("recovery failed: segment %d is not sealed, and another segment follows", number)
			return
		}
		if !s.bounds.Mutants.RecoveryUnsynced {
			file.synced = len(file.data)
		}
		if !last || sealed {
			s.toReplace = strings.TrimPrefix(s.toReplace+","+segmentOf(number), ",")
		}
		if last && sealed {
			s.segment++
		}
	}
	if records < s.acked || records > s.submitted {
		s.violation = fmt.Sprintf("recovery found %d records; %d were acknowledged, %d submitted", records, s.acked, s.submitted)
		return
	}
	s.submitted, s.acked = records, records // what was recovered counts as acknowledged
	if s.segment == base || s.names[segmentOf(s.segment)] == "" {
		s.segment = max(s.segment, base+1)
		s.create(segmentOf(s.segment), fmt.Sprint(segmentOf(s.segment), "-", s.crashes), "H")
		s.sync(segmentOf(s.segment))
		s.syncNames()
	}
	s.removeUnnamed()
}

// removeUnnamed removes files without a name.
func (s *durable) removeUnnamed() {
	used := map[string]bool{}
	for _, m := range []map[string]string{s.names, s.durableNames} {
		for _, id := range m {
			used[id] = true
		}
	}
	for id := range s.files {
		if !used[id] {
			delete(s.files, id)
		}
	}
}
