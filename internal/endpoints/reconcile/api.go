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

// Claim is what one source says of one server.
type Claim struct {
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
	Whole      bool
	Claims     []Claim
	Removed    []string
	Generation int64   // 0 where the source has none
	Age        float64 // how old the source itself calls its news
	More       bool    // the source has not said all that it has yet
}

// State is a server's state in the list that is made.
type State uint8

// The states.
const (
	Serving State = iota
	Draining
	Gone
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

// Word is what a server said of itself, in an answer or a probe's.
type Word struct {
	Role     Role
	Position float64 // 0 where it told none
}

// What says what a judgement is about.
type What string

// The judgements.
const (
	Added        What = "added"
	Drained      What = "drained"
	Restored     What = "serving again"
	Removed      What = "removed"
	Restarted    What = "restarted"
	Moved        What = "moved"
	HeldRemoval  What = "removal held back"
	Released     What = "removal accepted"
	Flapping     What = "flapping"
	Settled      What = "settled"
	TwoAddresses What = "two addresses"
	TwoIDs       What = "one address under two ids"
	TwoPrimaries What = "two primaries"
	NoPrimary    What = "no primary"
	NotBelieved  What = "not believed"
	WentBack     What = "went back"
	SourceLost   What = "source lost"
	SourceBack   What = "source back"
	Expired      What = "expired"
	Pinned       What = "pinned"
)

// Judgement is a decision with its reason.
type Judgement struct {
	At     float64
	What   What
	Server string // empty where it is of a source
	Group  int
	Source string // whose word it went by, or against; empty for none
	Why    string
}

// OnCritical says what a critical check means.
type OnCritical uint8

// The ways.
const (
	Doubt  OnCritical = iota // it is used if it has answered lately
	Drains                   // it is not used, unless most of its group is critical
	Ignore
)

// Settings are the judge's. The zero value of a time or number switches its rule off.
type Settings struct {
	Sources   []string // by rank: where they contradict each other, the first that has a word on it wins
	Keep      float64  // a source that is lost counts for so long, 0 for ever
	OldAge    float64  // news that their source calls older than this lose to others'
	MassPart  float64  // a source that drops this part of its servers within MassIn...
	MassLeast int      // ...and at least so many is not believed at first...
	MassIn    float64
	MassHold  float64 // ...but after so long; 0 for not without the operators' word
	FlapTimes int     // a server that comes and goes so often within FlapIn...
	FlapIn    float64
	FlapHold  float64 // ...is not used until it has kept still for so long
	WordFor   float64 // a server's own word counts above all sources' for so long
	Critical  OnCritical

	TrustRoles bool // take sources' roles over servers' own words; what is right has it off
}

// Defaults are what installations have where they say nothing.
func Defaults(sources ...string) Settings {
	return Settings{Sources: sources, OldAge: 10000, MassPart: 0.5, MassLeast: 3, MassIn: 30000, MassHold: 600000, FlapTimes: 6, FlapIn: 60000, FlapHold: 20000, WordFor: 30000}
}

// Pin is the operators' own word on a server.
type Pin struct {
	ID    string
	State State // Serving: it is not dropped or drained by any source
}

// Override is the operators' word, above all else.
type Override struct {
	AcceptRemovals bool // that are held back now
	Pins           []Pin
}
