package record

import "beechgrade/internal/record/recordpb"

// Kind is the kind of an event, as listed in the schema.
type Kind = recordpb.Kind

// Reason says what the pooler knew about a request's attempts when it rejected or failed the request. The values are part of the schema.
type Reason uint32

// The reasons. A reason from ReasonEnded on is ReasonEnded plus the decision module's Result of the attempt that ended last.
const (
	ReasonNone       Reason = iota
	ReasonNotSent           // no attempt was sent
	ReasonNoResponse        // an attempt was outstanding
	ReasonEnded             // plus the Result of the last attempt
)

var resultNames = [...]string{"ok", "error", "turned away", "timed out", "unreachable", "reset", "called off", "never sent", "missed"}

// ResultName returns the name of a Result of the decision module.
func ResultName(result uint32) string {
	if int(result) < len(resultNames) {
		return resultNames[result]
	}
	return "unknown"
}

// String returns a short description of the reason.
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

// Assignment says how a transaction's wait for a server connection ended. The values are part of the schema.
type Assignment uint8

// The assignments.
const (
	AssignmentGranted   Assignment = 1
	AssignmentRejected  Assignment = 2
	AssignmentRestarted Assignment = 3 // the transaction had only begun, and was restarted on another connection
)

// LossCause says why events were lost. The values are part of the schema.
type LossCause uint8

// The causes.
const (
	CauseRing  LossCause = 1 // the writer did not keep up, and the ring was full
	CauseWrite LossCause = 2 // writing failed
)

// Event is an event that is recorded or read back. Times are in milliseconds; At, Position, LostFrom, LostTo and WallClockMs are Unix
// time. Which fields are set depends on Kind, as documented in the schema.
type Event struct {
	At          float64
	Kind        Kind
	Final       recordpb.Final
	Result      uint8
	Role        uint8
	State       uint8
	Repeat      bool
	Primary     bool
	Full        bool // the list is complete, not a list of changes
	Restated    bool // the entry is repeated at the start of a segment, and is not new
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
	Position    float64 // 0 if unknown
	Reason      Reason
	Number      int64 // a list's generation; a server's start in Unix ms; a gauge's open requests
	Text        string

	// Set for a gauge.
	Sessions    int64
	Connections int64
	MemoryBytes int64
	Descriptors int64
	WallClockMs float64 // of the machine; it may step

	// Set for lost events.
	Lost             uint64
	LostFrom, LostTo float64
	LossCause        LossCause

	// Set for a report of an endpoint source.
	Source string
	Health uint8

	// Set for a connection pool and its transactions.
	Pool             string
	Assignment       Assignment
	FromOtherClient  bool // another client used the connection before
	ServerChanged    bool // the session's previous transaction was on another server
	SettingsRestored bool // the session's settings were sent before the transaction
	PoolState        PoolState

	Recovery *StoreRecovery // of a durable store; Text says why a tail was dropped
}

// StoreRecovery describes what was found when a durable store was opened.
type StoreRecovery struct {
	Store    string
	Records  int64
	Segments int64
	Dropped  int64 // bytes
}

// PoolState is the state of a connection pool.
type PoolState struct {
	Clients, Idle, Used, Connecting, Waiting, MaxConnections int32
	LongestWaitMs                                            float64 // of the clients that are waiting
}
