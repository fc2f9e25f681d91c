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
	d *voterDisk
	h Host
}

// Append implements adapter.Disk.
func (w diskWriter) Append(records []raftlog.Record, done func(error)) {
	d, c := w.d, w.d.log
	d.freeAt = max(d.freeAt, w.h.Now()+c.DiskWriteMs[0]+(c.DiskWriteMs[1]-c.DiskWriteMs[0])*c.rng.Float64())
	w.h.At(d.freeAt, func() {
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
func (c *SharedLog) Join(h Host, m raftlog.Machine, observe func(a *raftlog.Action)) *adapter.Adapter {
	if c.disks == nil {
		c.disks, c.rng = map[int]*voterDisk{}, rand.New(rand.NewPCG(c.Seed, 33))
	}
	set := c.Settings
	set.Voters = nil
	for i := range c.Voters {
		set.Voters = append(set.Voters, h.x.p.sim.poolerName(i))
	}
	set.Self, set.Seed, set.Checks = h.x.p.name, c.Seed<<32|uint64(h.No())<<16|uint64(h.Incarnation()), h.x.p.sim.checks
	logAdapter := adapter.New(h, adapter.Options{Settings: set, Machine: m, Observe: observe})
	if h.No() >= c.Voters {
		return logAdapter
	}
	d := c.disks[h.No()]
	if d == nil {
		d = &voterDisk{log: c, records: map[string][]byte{}}
		c.disks[h.No()] = d
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
func (c *SharedLog) Wipe(no int) { delete(c.disks, no) }
