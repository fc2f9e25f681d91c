package reconcile

// Health is the health of a server as a source observes it.
type Health uint8

// The healths, as Consul distinguishes them, from good to bad.
const (
	Passing Health = iota
	Warning
	Critical
	Maintenance // of the service or its node: the server drains
)

// String is the name of the health, as Consul writes it.
func (h Health) String() string {
	return [...]string{"passing", "warning", "critical", "maintenance"}[h]
}

// Role is the role of a server in its group, as a source or the server itself reports it.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// String is the name of the role.
func (r Role) String() string { return [...]string{"unknown", "primary", "replica"}[r] }

// Observation is what one source reports of one server.
type Observation struct {
	ID          string
	Address     string
	Group       int
	Zone        string
	Kind        string
	Weight      float64
	StartedAtMs float64 // when its process last started, in ms; 0 for long ago or unknown
	Health      Health
	Role        Role
}

// Report is one message of a source.
type Report struct {
	Full         bool // Observations are all that the source has; otherwise the changes since its last report
	Observations []Observation
	Removed      []string // ids of servers
	Generation   int64    // 0 where the source has none
	AgeMs        float64  // how old the source itself calls the report
	MoreToCome   bool     // further reports follow until the source has reported all that it has
}

// State is the state of a server in the endpoint list. Its numbers are stored and recorded.
type State uint8

// The states.
const (
	StateServing State = iota
	StateDraining
	StateRemoved
)

// String is the name of the state, as decisions have it.
func (s State) String() string { return [...]string{"serving", "draining", "gone"}[s] }

// Entry is one server of the endpoint list. Snapshots store it, hence the tags.
type Entry struct {
	ID          string  `json:"ID"`
	Address     string  `json:"Address"`
	Group       int     `json:"Group"`
	Zone        string  `json:"Zone"`
	Kind        string  `json:"Kind"`
	Weight      float64 `json:"Weight"`
	StartedAtMs float64 `json:"Started"`
	State       State   `json:"State"`
	Primary     bool    `json:"Primary"`
}

// SelfReport is what a server reports of itself, in a response to a request or to a health check.
type SelfReport struct {
	Role     Role
	Position float64 // of its data; 0 where it reports none
}

// DecisionKind says what a decision is about. Its texts are logged and recorded.
type DecisionKind string

// The kinds of decisions.
const (
	Added                DecisionKind = "added"
	Drained              DecisionKind = "drained"
	Restored             DecisionKind = "serving again"
	Removed              DecisionKind = "removed"
	Restarted            DecisionKind = "restarted"
	Moved                DecisionKind = "moved"
	RemovalHeldBack      DecisionKind = "removal held back"
	RemovalAccepted      DecisionKind = "removal accepted"
	Flapping             DecisionKind = "flapping"
	Stabilized           DecisionKind = "settled"
	ConflictingAddresses DecisionKind = "two addresses"
	DuplicateAddress     DecisionKind = "one address under two ids"
	MultiplePrimaries    DecisionKind = "two primaries"
	NoPrimary            DecisionKind = "no primary"
	Rejected             DecisionKind = "not believed"
	Regressed            DecisionKind = "went back" // a generation or a start that is earlier than the one before
	SourceLost           DecisionKind = "source lost"
	SourceRecovered      DecisionKind = "source back"
	Pinned               DecisionKind = "pinned"
)

// Decision is a decision with its reason, for logs and records.
type Decision struct {
	AtMs   float64 // ms
	Kind   DecisionKind
	Server string // id in the list; empty where the decision is about a source
	Group  int
	Source string // whose report was followed or rejected; empty for none
	Reason string
}

// CriticalPolicy says what a critical health check means for a server.
type CriticalPolicy uint8

// The policies.
const (
	CriticalUseIfResponding CriticalPolicy = iota // the server is used as long as it responds
	CriticalDrain                                 // the server drains, unless most of its group is critical
	CriticalIgnore                                // the server is used
)

// Settings configure a Reconciler. Times are in milliseconds. A time or number of 0 switches its rule off.
type Settings struct {
	Sources           []string // by rank: where sources contradict each other, the first wins
	SourceRetentionMs float64  // a source that is lost counts for so long; 0 for ever
	StaleAgeMs        float64  // a report that its source calls older than this counts only where there is no other

	// A source that removes MassRemovalFraction of its servers, and at least MassRemovalMinimum, within MassRemovalWindowMs
	// has its removals held back for MassRemovalHoldMs; 0 holds them back until the operators accept them.
	MassRemovalFraction float64
	MassRemovalMinimum  int
	MassRemovalWindowMs float64
	MassRemovalHoldMs   float64

	// A server whose state changes FlapThreshold times within FlapWindowMs drains until it has been stable for FlapHoldMs.
	FlapThreshold int
	FlapWindowMs  float64
	FlapHoldMs    float64

	SelfReportTTLMs float64 // a self-report counts above all sources for so long
	Critical        CriticalPolicy

	TrustSourceRoles bool // sources' roles count above self-reports; for tests of the checks, off otherwise
}

// Defaults returns the settings of an installation that sets nothing but its sources.
func Defaults(sources ...string) Settings {
	return Settings{
		Sources:             sources,
		StaleAgeMs:          10 * msPerSecond,
		MassRemovalFraction: 0.5,
		MassRemovalMinimum:  3,
		MassRemovalWindowMs: 30 * msPerSecond,
		MassRemovalHoldMs:   600 * msPerSecond,
		FlapThreshold:       6,
		FlapWindowMs:        60 * msPerSecond,
		FlapHoldMs:          20 * msPerSecond,
		SelfReportTTLMs:     30 * msPerSecond,
	}
}

// Pin fixes the state of a server, whatever sources report.
type Pin struct {
	ID    string
	State State
}

// Override holds the operators' instructions, which count above all sources.
type Override struct {
	AcceptHeldRemovals bool // accept the removals that are held back now
	Pins               []Pin
}
