package modelcheck

import (
	"fmt"
	"slices"
	"strings"
)

// DurableMutants are faults that can be injected into the durable store's protocol: each leaves out a step or takes it too early.
type DurableMutants struct {
	AckUnsynced          bool // a commit is acknowledged before its sync
	HeadUnsynced         bool // a segment is written to before its header and its name are synced
	SealUnsynced         bool // the next segment is created before the seal is synced
	SnapshotUnsynced     bool // a snapshot is renamed before it is synced
	SnapshotNameUnsynced bool // the files that a snapshot replaces are removed before its name is synced
	RecoveryUnsynced     bool // recovery does not sync what it finds
	SnapshotIncludesNext bool // a snapshot contains a record more than the segments that it replaces
}

// DurableBounds bound the size of the store.
type DurableBounds struct {
	Records, Segments, Compactions, Crashes int
	Mutants                                 DurableMutants
}

// durable is the protocol by which a store commits, changes segments, compacts concurrently and recovers, on a disk that
// may lose, of what was not synced, any bytes from the end of each file and any changes of names. Records are numbered from 1. The
// content of a file is a string of letters: H is the header, S the seal, E the end of a snapshot, ? unreadable data, a lower-case letter a
// record: in a segment a is record 1, in a snapshot every record is r.
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
	violation            string
}

type diskFile struct {
	data   string
	synced int
}

// NewDurable returns a new store.
func NewDurable(b DurableBounds) System {
	s := &durable{
		bounds:       b,
		files:        map[string]*diskFile{"l1": {"H", 1}},
		names:        map[string]string{"l1": "l1"},
		durableNames: map[string]string{"l1": "l1"},
		segment:      1,
	}
	return s
}

func (s *durable) clone() *durable {
	c := *s
	c.files, c.names, c.durableNames = map[string]*diskFile{}, map[string]string{}, map[string]string{}
	for k, v := range s.files {
		m := *v
		c.files[k] = &m
	}
	for k, v := range s.names {
		c.names[k] = v
	}
	for k, v := range s.durableNames {
		c.durableNames[k] = v
	}
	return &c
}

// Key implements System.
func (s *durable) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.submitted, " ", s.acked, " ", s.segment, " ", s.writerStep, " ", s.toReplace, " ", s.compactionStep, " ", s.upTo, " ", s.snapshotRecords, " ", s.toRemove, " ", s.compactions, " ", s.crashes, " ", s.violation)
	for _, m := range []map[string]string{s.names, s.durableNames} {
		b.WriteByte('|')
		for _, k := range sortedKeys(m) {
			fmt.Fprint(&b, k, "=", m[k], ",")
		}
	}
	var ids []string
	for k := range s.files {
		ids = append(ids, k)
	}
	slices.Sort(ids)
	for _, k := range ids {
		fmt.Fprint(&b, k, ":", s.files[k].data, "/", s.files[k].synced, ",")
	}
	return b.String()
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
	f := s.files[s.names[name]]
	f.synced = len(f.data)
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
	step := func(name string, do func(c *durable)) {
		out = append(out, Move{name, func() (System, error) {
			c := s.clone()
			do(c)
			return c, nil
		}})
	}
	mutants, cur := s.bounds.Mutants, segmentOf(s.segment)
	switch s.writerStep {
	case "":
		if s.submitted < s.bounds.Records {
			step("write", func(c *durable) { c.submitted++; c.appendTo(cur, recordOf(c.submitted)); c.writerStep = "written" })
		}
		if f := s.files[s.names[cur]].data; len(f) > 1 && s.segment < s.bounds.Segments {
			step("write the seal", func(c *durable) { c.appendTo(cur, "S"); c.writerStep = "sealed" })
		} else if s.compactionStep == "" && s.compactions < s.bounds.Compactions && len(f) == 1 && s.segment > 1 && s.toReplace != "" && s.toReplace != snapshotOf(s.segment-1) {
			step("begin a compaction", func(c *durable) {
				c.compactions++
				c.compactionStep, c.upTo, c.snapshotRecords, c.toRemove, c.toReplace = "begun", c.segment-1, c.acked, c.toReplace, ""
			})
		}
	case "written":
		if mutants.AckUnsynced {
			step("acknowledge", func(c *durable) { c.acked = c.submitted; c.writerStep = "acked" })
		} else {
			step("sync", func(c *durable) { c.sync(cur); c.writerStep = "synced" })
		}
	case "acked":
		step("sync", func(c *durable) { c.sync(cur); c.writerStep = "" })
	case "synced":
		step("acknowledge", func(c *durable) { c.acked = c.submitted; c.writerStep = "" })
	case "sealed":
		step("sync the seal", func(c *durable) {
			if !mutants.SealUnsynced {
				c.sync(cur)
			}
			c.writerStep = "closed"
		})
	case "closed":
		step("create the next segment", func(c *durable) {
			if c.toReplace != "" {
				c.toReplace += ","
			}
			c.toReplace += cur
			c.segment++
			c.create(segmentOf(c.segment), segmentOf(c.segment)+fmt.Sprint("-", c.crashes), "H")
			c.writerStep = "created"
		})
	case "created":
		step("sync the header and the name", func(c *durable) {
			if !mutants.HeadUnsynced {
				c.sync(cur)
				c.syncNames()
			}
			c.writerStep = ""
		})
	}
	tmp := "t" + snapshotOf(s.upTo)
	switch s.compactionStep {
	case "begun":
		step("write the snapshot", func(c *durable) {
			records := c.snapshotRecords
			if mutants.SnapshotIncludesNext {
				records = min(c.submitted, records+1)
			}
			c.create(tmp, fmt.Sprint(snapshotOf(c.upTo), "-", c.crashes, "-", c.compactions), "H"+strings.Repeat("r", records)+"E")
			c.compactionStep = "written"
		})
	case "written":
		step("sync the snapshot", func(c *durable) {
			if !mutants.SnapshotUnsynced {
				c.sync(tmp)
			}
			c.compactionStep = "synced"
		})
	case "synced":
		step("rename the snapshot", func(c *durable) {
			c.names[snapshotOf(c.upTo)] = c.names[tmp]
			delete(c.names, tmp)
			c.compactionStep = "renamed"
		})
	case "renamed":
		step("sync the snapshot's name", func(c *durable) {
			if !mutants.SnapshotNameUnsynced {
				c.syncNames()
			}
			c.compactionStep = "durable"
		})
	case "durable":
		step("remove a replaced file", func(c *durable) {
			name, rest, _ := strings.Cut(c.toRemove, ",")
			delete(c.names, name)
			if c.toRemove = rest; rest == "" {
				c.compactionStep = ""
				if c.toReplace != "" {
					c.toReplace = "," + c.toReplace
				}
				c.toReplace = snapshotOf(c.upTo) + c.toReplace
			}
		})
	}
	if s.crashes < s.bounds.Crashes {
		step("the process ends", func(c *durable) { c.recover() })
		for i, after := range s.powerLossOutcomes() {
			step(fmt.Sprint("power loss, outcome ", i), func(c *durable) {
				*c = *after.clone()
				c.recover()
			})
		}
	}
	return out
}

// outcomes returns the possible contents of the disk after a loss of power.
func (s *durable) powerLossOutcomes() []*durable {
	all := []*durable{s.clone()}
	expand := func(more func(x *durable) []*durable) {
		var next []*durable
		for _, x := range all {
			next = append(next, more(x)...)
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
		expand(func(x *durable) []*durable { // this change of a name reached the disk or did not, independently of others
			y := x.clone()
			if id := s.durableNames[name]; id != "" {
				y.names[name] = id
			} else {
				delete(y.names, name)
			}
			return []*durable{x, y}
		})
	}
	var ids []string
	for id := range s.files {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		f := s.files[id]
		if f.synced == len(f.data) {
			continue
		}
		expand(func(x *durable) (out []*durable) {
			for n := f.synced; n <= len(f.data); n++ {
				for _, torn := range []string{"", "?"} {
					if torn == "?" && n == len(f.data) {
						continue
					}
					y := x.clone()
					y.files[id].data = f.data[:n] + torn
					out = append(out, y)
				}
			}
			return out
		})
	}
	for _, x := range all {
		for _, f := range x.files {
			f.synced = len(f.data)
		}
		x.syncNames()
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
		n := 0
		if _, err := fmt.Sscanf(name[1:], "%d", &n); name[0] == 't' || err != nil {
			delete(s.names, name)
			continue
		}
		if name[0] == 's' {
			base = max(base, n)
		}
	}
	if base > 0 {
		d := s.files[s.names[snapshotOf(base)]].data
		if !strings.HasPrefix(d, "H") || !strings.HasSuffix(d, "E") {
			s.violation = fmt.Sprintf("recovery failed: snapshot %d is incomplete: %q", base, d)
			return
		}
		records = len(d) - 2
		s.toReplace = snapshotOf(base)
	}
	for _, name := range sortedKeys(s.names) {
		n := 0
		_, _ = fmt.Sscanf(name[1:], "%d", &n)
		switch {
		case name[0] == 's' && n < base, name[0] == 'l' && n <= base:
			delete(s.names, name)
		case name[0] == 'l':
			segments = append(segments, n)
		}
	}
	slices.Sort(segments)
	s.segment = base
	for i, n := range segments {
		last, f := i == len(segments)-1, s.files[s.names[segmentOf(n)]]
		if n != base+1+i {
			s.violation = fmt.Sprintf("recovery failed: segment %d is missing", base+1+i)
			return
		}
		s.segment = n
		if f.data == "" || f.data[0] != 'H' {
			if !last {
				s.violation = fmt.Sprintf("recovery failed: segment %d has no header", n)
				return
			}
			f.data = "H" // a crash interrupted its creation: it is created again
			f.synced = 1
			s.syncNames()
			break
		}
		sealed := false
		for at := 1; at < len(f.data); at++ {
			switch x := f.data[at]; {
			case x == 'S':
				sealed = true
			case x == '?':
				f.data = f.data[:at]
				f.synced = min(f.synced, at)
			case int(x-'a'+1) == records+1:
				records++
			default:
				s.violation = fmt.Sprintf("recovery failed: record %c follows record number %d", x, records)
				return
			}
		}
		if !last && !sealed {
			s.violation = fmt.Sprintf("recovery failed: segment %d is not sealed, and another segment follows", n)
			return
		}
		if !s.bounds.Mutants.RecoveryUnsynced {
			f.synced = len(f.data)
		}
		if !last || sealed {
			s.toReplace = strings.TrimPrefix(s.toReplace+","+segmentOf(n), ",")
		}
		if last && sealed {
			s.segment++
		}
	}
	if records < s.acked || records > s.submitted {
		s.violation = fmt.Sprintf("%d records were recovered; %d were acknowledged, %d submitted", records, s.acked, s.submitted)
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

// drop removes files without a name.
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
