package raftlog

// Replica is a Log with the Machine that its entries go to.
type Replica struct {
	*Log
	Machine Machine
}

// Handle is Log.Handle. When it returns, what goes to the Machine has gone there, in its order; the actions say so all the same.
func (r *Replica) Handle(now float64, event Event, actions []Action) []Action {
	from := len(actions)
	actions = r.Log.Handle(now, event, actions)
	for i := from; i < len(actions); i++ { // the loop adds actions
		switch action := actions[i]; action.Kind {
		case Apply:
			r.Machine.Apply(action.Index, action.Entry)
		case ApplySnapshot:
			if err := r.Machine.Restore(action.Data); err != nil {
				actions = r.stopWith("a snapshot: "+err.Error(), actions)
			}
		case TakeSnapshot:
			actions = r.Log.Handle(now, SnapshotTaken{Index: action.Index, Data: r.Machine.Snapshot()}, actions)
		}
	}
	return actions
}

// stopWith stops the log and appends the action that says so.
func (r *Replica) stopWith(reason string, actions []Action) []Action {
	r.actions = actions
	r.stop(reason)
	actions, r.actions = r.actions, nil
	return actions
}
