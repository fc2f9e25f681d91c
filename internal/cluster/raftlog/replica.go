package raftlog

// Replica is a log with the Machine that its entries go to.
type Replica struct {
	*Log
	Machine Machine
}

// Handle is Log's. What goes to the Machine has gone there when it returns, in its order, and is told all the same.
func (r *Replica) Handle(now float64, e Event, out []Action) []Action {
	from := len(out)
	out = r.Log.Handle(now, e, out)
	for i := from; i < len(out); i++ { // more may come on the way
		switch a := out[i]; a.Kind {
		case Apply:
			r.Machine.Apply(a.Index, a.Entry)
		case ApplySnapshot:
			if err := r.Machine.Restore(a.Data); err != nil {
				r.Log.actions = out
				r.Log.stop("a snapshot: " + err.Error())
				out, r.Log.actions = r.Log.actions, nil
			}
		case TakeSnapshot:
			out = r.Log.Handle(now, SnapshotTaken{Index: a.Index, Data: r.Machine.Snapshot()}, out)
		}
	}
	return out
}

// BootstrapRecords is the disk of a voter of a group that begins with these voters, for tests and for a start with a known group.
func BootstrapRecords(self Member, all []Member) []Record {
	m := &message{name: self.Name, disk: self.Disk, group: groupID(all), members: all}
	return []Record{{Key: keyMeta, Value: m.encode(nil)}, hardStateRecord(initialHardState()), snapshotRecord(initialSnapshot(all))}
}
