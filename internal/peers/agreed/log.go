package agreed

// Log is one pooler's side of the log in common.
type Log struct {
	set Settings
	now float64
	out []Action
}

// New makes a pooler's log. At a voter nothing is done before Restored.
func New(set Settings, now float64) *Log { return &Log{set: set, now: now} }

// Next is when it wants a Tick.
func (l *Log) Next() float64 { return l.now + l.set.Tick }

// Handle takes one event and appends what is to be done.
func (l *Log) Handle(now float64, e Event, out []Action) []Action {
	l.now, l.out = max(now, l.now), out
	return l.out
}

// Standing tells how the log stands here.
func (l *Log) Standing() Standing { return Standing{} }
