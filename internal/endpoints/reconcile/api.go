package reconcile

// Health is the health of a server as reported by a source.
type Health uint8

// The states of health that Consul distinguishes, from good to bad.
const (
	Passing Health = iota
	Warning
	Critical
	Maintenance // of the service or its node: the server drains
)

// String returns Consul's name of the health.
func (h Health) String() string {
	return [...]string{"passing", "warning", "critical", "maintenance"}[h]
}

// Role is the role of a server in its group, as reported by a source or by the server itself.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// String returns the name of the role.
func (r Role) String() string { return [...]string{"unknown", "primary", "replica"}[r] }

// Observation is what one source reports about one server.
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
	Full         bool // Observations are all servers of the source; otherwise they are the changes since its last report
	Observations []Observation
	Removed      []string // ids of servers
	Generation   int64    // 0 if the source has no generations
	AgeMs        float64  // age of the report according to the source
	MoreToCome   bool     // the source has not reported all its servers yet, and further reports follow
}

// State is the state of a server in the endpoint list. Its numeric values are stored and recorded.
type State uint8

// The states.
const (
	StateServing State = iota
	StateDraining
	StateRemoved
)

// String returns the name of the state in decisions.
func (s State) String() string { return [...]string{"serving", "draining", "gone"}[s] }

// Entry is one server of the endpoint list. It is stored in snapshots under the keys of its tags.
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

// SelfReport is what a server reports about itself in a response to a request or to a health check.
type SelfReport struct {
	Role     Role
	Position float64 // of its data; 0 if it reports none
}

// DecisionKind is the kind of a decision. Its text is logged and recorded.
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
	AtMs   float64 // time of the decision
	Kind   DecisionKind
	Server string // id in the list; empty where the decision is about a source
	Group  int
	Source string // the source whose report was followed or rejected; empty for none
	Reason string
}

// CriticalPolicy says how a server whose health is Critical is used.
type CriticalPolicy uint8

// The policies.
const (
	CriticalUseIfResponding CriticalPolicy = iota // the server is used as long as it responds
	CriticalDrain                                 // the server drains, unless over MassRemovalFraction of its group is critical
	CriticalIgnore                                // the server is used
)

// Settings configure a Reconciler. Times are in milliseconds. A time or number of 0 disables its rule.
type Settings struct {
	Sources           []string // by rank: if sources contradict each other, the first wins
	SourceRetentionMs float64  // how long the observations of a lost source count; 0 for no limit
	StaleAgeMs        float64  // reports older than this, by their AgeMs, count only for servers that no other report contains

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

	SelfReportTTLMs float64 // how long a self-report takes precedence over all sources
	Critical        CriticalPolicy

	TrustSourceRoles bool // sources' roles take precedence over self-reports; only set to test the checks
}

// Defaults returns the default settings for the given sources.
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

// Pin fixes the state of a server, whatever the sources report.
type Pin struct {
	ID    string
	State State
}

// Override holds the operators' instructions, which take precedence over all sources.
type Override struct {
	AcceptHeldRemovals bool // accept the removals that are held back now
	Pins               []Pin
}
