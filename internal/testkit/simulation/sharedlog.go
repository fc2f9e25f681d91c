package simulation

import (
	"maps"
	"math/rand/v2"
	"slices"

	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/raftlog/adapter"
)

// SharedLog runs the poolers' shared log in virtual time. The first poolers are voters, each with a disk that survives a restart.
type SharedLog struct {
	Settings    raftlog.Settings // Join sets the names and the seed
	Voters      int
	Seed        uint64
	DiskWriteMs [2]float64 // shortest and longest time of a durable write

	disks map[int]*voterDisk
	rng   *rand.Rand
}

// voterDisk is the disk of a voter. Writes that are not acknowledged when the process ends are lost.
type voterDisk struct {
	log     *SharedLog
	records map[string][]byte
	freeAt  float64 // when all earlier writes are complete
}

type diskWriter struct {
	disk *voterDisk
	host Host
}

// Append implements adapter.Disk.
func (w diskWriter) Append(records []raftlog.Record, done func(error)) {
	d, l := w.disk, w.disk.log
	d.freeAt = max(d.freeAt, w.host.Now()+l.DiskWriteMs[0]+(l.DiskWriteMs[1]-l.DiskWriteMs[0])*l.rng.Float64())
	w.host.At(d.freeAt, func() {
		for _, r := range records {
			if r.Deleted {
				delete(d.records, r.Key)
			} else {
				d.records[r.Key] = r.Value
			}
		}
		done(nil)
	})
}

// Join returns the log module of a process.
func (l *SharedLog) Join(h Host, m raftlog.Machine, observe func(a *raftlog.Action)) *adapter.Adapter {
	if l.disks == nil {
		l.disks, l.rng = map[int]*voterDisk{}, rand.New(rand.NewPCG(l.Seed, 33))
	}
	set := l.Settings
	set.Voters = nil
	for i := range l.Voters {
		set.Voters = append(set.Voters, h.peer.pooler.sim.poolerName(i))
	}
	set.Self, set.Seed, set.Checks = h.peer.pooler.name, l.Seed<<32|uint64(h.No())<<16|uint64(h.Incarnation()), h.peer.pooler.sim.checks
	logAdapter := adapter.New(h, adapter.Options{Settings: set, Machine: m, Observe: observe})
	if h.No() >= l.Voters {
		return logAdapter
	}
	d := l.disks[h.No()]
	if d == nil {
		d = &voterDisk{log: l, records: map[string][]byte{}}
		l.disks[h.No()] = d
	}
	d.freeAt = 0
	var records []raftlog.Record
	for _, k := range slices.Sorted(maps.Keys(d.records)) {
		records = append(records, raftlog.Record{Key: k, Value: d.records[k]})
	}
	h.At(h.Now(), func() { logAdapter.Start(diskWriter{d, h}, records, nil) })
	return logAdapter
}

// Wipe deletes a voter's disk: its next process starts with an empty one.
func (l *SharedLog) Wipe(no int) { delete(l.disks, no) }
