package reconcile

// Health is what a source says of a server's health.
type Health uint8

// The healths, as Consul tells them apart.
const (
	Passing Health = iota
	Warning
	Critical
	Maintenance // of the service or its node: it drains
)

func (h Health) String() string {
	return [...]string{"passing", "warning", "critical", "maintenance"}[h]
}

// Role is a server's role, as a source or the server itself has it.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	Primary
	Replica
)

func (r Role) String() string { return [...]string{"unknown", "primary", "replica"}[r] }

// Observation is what one source says of one server.
type Observation struct {
	ID      string
	Address string
	Group   int
	Zone    string
	Kind    string
	Weight  float64
	Started float64 // when its process last started, 0 for long ago or unknown
	Health  Health
	Role    Role
}

// Report is news from a source: all that it has, or what changed since its last.
type Report struct {
	Full         bool
	Observations []Observation
	Removed      []string
	Generation   int64   // 0 where the source has none
	AgeMs        float64 // how old the source itself calls its news
	MoreToCome   bool    // the source has not said all that it has yet
}

// State is a server's state in the list that is made.
type State uint8

// The states.
const (
	StateServing State = iota
	StateDraining
	StateRemoved
)

func (s State) String() string { return [...]string{"serving", "draining", "gone"}[s] }

// Entry is a line of the list that is made.
type Entry struct {
	ID      string  `json:"ID"`
	Address string  `json:"Address"`
	Group   int     `json:"Group"`
	Zone    string  `json:"Zone"`
	Kind    string  `json:"Kind"`
	Weight  float64 `json:"Weight"`
	Started float64 `json:"Started"`
	State   State   `json:"State"`
	Primary bool    `json:"Primary"`
}

// SelfReport is what a server said of itself, in an answer or a probe's.
type SelfReport struct {
	Role     Role
	Position float64 // 0 where it told none
}

// DecisionKind says what a judgement is about.
type DecisionKind string

// The judgements.
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
	Regressed            DecisionKind = "went back"
	SourceLost           DecisionKind = "source lost"
	SourceRecovered      DecisionKind = "source back"
	Expired              DecisionKind = "expired"
	Pinned               DecisionKind = "pinned"
)

// Decision is a decision with its reason.
type Decision struct {
	At     float64
	Kind   DecisionKind
	Server string // empty where it is of a source
	Group  int
	Source string // whose word it went by, or against; empty for none
	Reason string
}

// CriticalPolicy says what a critical check means.
type CriticalPolicy uint8

// The ways.
const (
	CriticalUseIfResponding CriticalPolicy = iota // it is used if it has answered lately
	CriticalDrain                                 // it is not used, unless most of its group is critical
	CriticalIgnore
)

// Settings are the judge's. The zero value of a time or number switches its rule off.
type Settings struct {
	Sources             []string // by rank: where they contradict each other, the first that has a word on it wins
	SourceRetentionMs   float64  // a source that is lost counts for so long, 0 for ever
	StaleAgeMs          float64  // news that their source calls older than this lose to others'
	MassRemovalFraction float64  // a source that drops this part of its servers within MassRemovalWindowMs...
	MassRemovalMinimum  int      // ...and at least so many is not believed at first...
	MassRemovalWindowMs float64
	MassRemovalHoldMs   float64 // ...but after so long; 0 for not without the operators' word
	FlapThreshold       int     // a server that comes and goes so often within FlapWindowMs...
	FlapWindowMs        float64
	FlapHoldMs          float64 // ...is not used until it has kept still for so long
	SelfReportTTLMs     float64 // a server's own word counts above all sources' for so long
	Critical            CriticalPolicy

	TrustSourceRoles bool // take sources' roles over servers' own words; what is right has it off
}

// Defaults are what installations have where they say nothing.
func Defaults(sources ...string) Settings {
	return Settings{Sources: sources, StaleAgeMs: 10000, MassRemovalFraction: 0.5, MassRemovalMinimum: 3, MassRemovalWindowMs: 30000, MassRemovalHoldMs: 600000, FlapThreshold: 6, FlapWindowMs: 60000, FlapHoldMs: 20000, SelfReportTTLMs: 30000}
}

// Pin is the operators' own word on a server.
type Pin struct {
	ID    string
	State State // Serving: it is not dropped or drained by any source
}

// Override is the operators' word, above all else.
type Override struct {
	AcceptHeldRemovals bool // that are held back now
	Pins               []Pin
}
