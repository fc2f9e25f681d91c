package raftlog

// Replica is a Log with the Machine to which it applies its entries.
type Replica struct {
	*Log
	Machine Machine
}

// Handle calls Log.Handle and applies the entries, the snapshots and the snapshot requests of its actions to the Machine, in order. The
// actions that it returns include these.
func (r *Replica) Handle(now float64, event Event, actions []Action) []Action {
	from := len(actions)
	actions = r.Log.Handle(now, event, actions)
	for i := from; i < len(actions); i++ { // the loop adds actions
		switch action := actions[i]; action.Kind {
		case Apply:
			r.Machine.Apply(action.Index, action.Entry)
		case ApplySnapshot:
			if err := r.Machine.Restore(action.Data); err != nil {
				actions = r.stopWith("the state machine cannot restore a snapshot: "+err.Error(), actions)
			}
		case TakeSnapshot:
			actions = r.Log.Handle(now, SnapshotTaken{Index: action.Index, Data: r.Machine.Snapshot()}, actions)
		}
	}
	return actions
}

// stopWith stops the log and appends the Stopped action.
func (r *Replica) stopWith(reason string, actions []Action) []Action {
	r.actions = actions
	r.stop(reason)
	actions, r.actions = r.actions, nil
	return actions
}
