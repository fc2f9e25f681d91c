package record

import "beechgrade/internal/record/recordpb"

// Kind is the kind of an event; the schema lists them.
type Kind = recordpb.Kind

// Reason says what the pooler knew of a request when it rejected or failed it. Its numbers are the schema's.
type Reason uint32

// The reasons. From ReasonEnded on, a reason is the Result of the attempt that ended last, by the decision module's number.
const (
	ReasonNone       Reason = iota
	ReasonNotSent           // no attempt was sent
	ReasonNoResponse        // an attempt was outstanding
	ReasonEnded             // plus the Result of the last attempt
)

var resultNames = [...]string{"ok", "error", "turned away", "timed out", "unreachable", "reset", "called off", "never sent", "missed"}

// ResultName names a Result of the decision module, by its number.
func ResultName(result uint32) string {
	if int(result) < len(resultNames) {
		return resultNames[result]
	}
	return "unknown"
}

// String describes the reason in a few words.
func (r Reason) String() string {
	switch r {
	case ReasonNone:
		return "none"
	case ReasonNotSent:
		return "nothing sent"
	case ReasonNoResponse:
		return "no answer yet"
	}
	return ResultName(uint32(r - ReasonEnded))
}

// Assignment says how a transaction's wait for a server connection ended. Its numbers are the schema's.
type Assignment uint8

// The assignments.
const (
	AssignmentGranted   Assignment = 1
	AssignmentRejected  Assignment = 2
	AssignmentRestarted Assignment = 3 // the transaction had only begun, and begins again at another connection
)

// LossCause says why events were lost. Its numbers are the schema's.
type LossCause uint8

// The causes.
const (
	CauseRing  LossCause = 1 // the writer did not keep up
	CauseWrite LossCause = 2 // writing failed
)

// Event is one event, to be recorded or read back. Times are in milliseconds; At, Position, LostFrom, LostTo and WallClockMs are Unix
// time. Which fields are set depends on Kind, as the schema says.
type Event struct {
	At          float64
	Kind        Kind
	Final       recordpb.Final
	Result      uint8
	Role        uint8
	State       uint8
	Repeat      bool
	Primary     bool
	Full        bool // the list is full, rather than changes
	Restated    bool // the entry is repeated at the start of a segment, and not new
	Class       int32
	Attempt     int32
	Group       int64
	Request     uint64
	Server      string
	Session     uint64
	ID          uint64
	DurationMs  float64
	RemainingMs float64
	WaitMs      float64
	Position    float64 // 0 for none
	Reason      Reason
	Number      int64 // a list's generation; a server's start in Unix ms; a gauge's open requests
	Text        string

	// Of a gauge.
	Sessions    int64
	Connections int64
	MemoryBytes int64
	Descriptors int64
	WallClockMs float64 // of the machine, which may step

	// Of lost events.
	Lost             uint64
	LostFrom, LostTo float64
	LossCause        LossCause

	// Of the report of an endpoint source.
	Source string
	Health uint8

	// Of a connection pool and its transactions.
	Pool             string
	Assignment       Assignment
	FromOtherClient  bool // another client had the connection before
	ServerChanged    bool // the session's transaction before was at another server
	SettingsRestored bool // the session's settings were sent ahead
	PoolState        PoolState

	Recovery *StoreRecovery // of a durable store; Text says why some of it was dropped
}

// StoreRecovery is what was found when a durable store was opened.
type StoreRecovery struct {
	Store    string
	Records  int64
	Segments int64
	Dropped  int64 // bytes
}

// PoolState is the state of a connection pool.
type PoolState struct {
	Clients, Idle, Used, Connecting, Waiting, MaxConnections int32
	LongestWaitMs                                            float64 // of those that wait now
}
