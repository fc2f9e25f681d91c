// Package scenario reads the description of a rehearsal as an S-expression: a fleet, clients and faults. The same scenario can run
// in virtual time in the simulator, and on sockets with real daemons.
package scenario

import (
	"cmp"
	"fmt"
	"os"
	"slices"

	"beechgrade/internal/settings"
	"beechgrade/internal/sexp"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/model"
)

// Bounds of a scenario.
const (
	maxSeconds = 3600
	maxPoolers = 1000
	maxRate    = 1000000
	maxServers = 20000
	maxSites   = 27

	// Bounds of a scenario on sockets, where each server, pooler and request is real.
	socketPoolers = 32
	socketRate    = 20000
	socketServers = 200
)

// OnSockets returns an error that says why a scenario cannot run on sockets, nil if it can.
func (s *Script) OnSockets() error {
	servers := 0
	for _, n := range s.Fleet.Groups {
		servers += n
	}
	if s.Poolers > socketPoolers || s.Clients.Rate > socketRate || servers > socketServers {
		return fmt.Errorf("%q has %d poolers, %d servers and %.0f requests a second; on sockets at most %d, %d and %d can run, more in virtual time",
			s.Name, s.Poolers, servers, s.Clients.Rate, socketPoolers, socketServers, socketRate)
	}
	if s.ConnectionForgetMs > 0 {
		return fmt.Errorf("%q has (forgets ...), which can run in virtual time only", s.Name)
	}
	if s.Journal != nil {
		return fmt.Errorf("%q has (journal ...), which can run in virtual time only; on sockets the operators' settings configure the journal", s.Name)
	}
	for _, f := range s.Faults {
		if f.OnSiteLinks() {
			return &sexp.Error{Pos: f.Pos, Text: fmt.Sprintf("(%s ...) can run in virtual time only", f.Kind)}
		}
	}
	return nil
}

// InVirtualTime returns an error that says why a scenario cannot run in virtual time, nil if it can.
func (s *Script) InVirtualTime() error {
	for _, f := range s.Faults {
		if f.Kind == "list-silent" {
			return &sexp.Error{Pos: f.Pos, Text: "(list-silent) can run on sockets only: in virtual time no connection to the list falls silent"}
		}
	}
	return nil
}

// Script is a rehearsal. Times are in milliseconds from its start.
type Script struct {
	Name    string
	Poolers int
	Fleet   model.Config
	Clients clients.Config
	Pack    bool // records are compressed
	Queue   int  // events that may wait for the records' writer, 0 for the default
	Faults  []Fault
	Chaos   Chaos // faults that are drawn from the seed

	// The network and the cost of connections, in virtual time.
	NetworkDelay       model.Range // one-way delay between two machines
	Handshake          model.Range // duration of a new connection's handshake with a server, in addition to the round trip
	ProbeCost          float64     // execution time of a health check, ms
	ProbePrice         float64     // price of a health check as a share of a request's priority weight, in the poolers' settings
	ConnectionForgetMs float64     // idle time after which the network silently drops a connection; 0 for never

	Agents int // number of Consul agents that provide the list; 0 for the platform's discovery

	Peers  *Peers                // nil if poolers keep no view of the fleet
	Limits *settings.FleetLimits // limits of the whole fleet; nil for none

	Overload         *Overload         // nil if each pooler handles overload alone
	RaftLog          *RaftLog          // nil without a shared log
	Credit           *Credit           // nil without prepaid credit
	Journal          *Journal          // nil without a journal of attempts
	Pages            *Pages            // reports over all groups, nil for none
	OutlierDetection *OutlierDetection // nil if each pooler detects outliers alone

	source      *sexp.Node   // the (rehearsal ...) form that was read
	socketForms []*sexp.Node // the forms of (on-sockets ...)
	RecoveryMs  float64      // time after the last fault within which service must recover, 0 for no such rule

	Pushed        bool        // an agent pushes the list
	Sites         []string    // servers and poolers are assigned to them in turn
	SiteDelay     model.Range // one-way delay between two sites
	Regions       []int       // region of each site, by number; nil for a single one
	RegionDelay   model.Range // one-way delay between two regions
	PreferOwnSite bool        // clients try the poolers of their own site first
	CrossPrice    float64     // price of an attempt in another site, as a share of its priority weight

	IdleMs      float64 // the servers' idle timeout, in the poolers' settings
	Descriptors int     // file descriptors of a pooler, 0 for as many as it needs
}

const (
	defaultIdle       = 30000
	defaultProbePrice = 0.018
)

var defaultWay, defaultHandshake = model.Range{0.05, 0.3}, model.Range{0.5, 2}

// Load reads a scenario file.
func Load(path string) (*Script, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, b)
}

// Parse reads a scenario from its text.
func Parse(path string, b []byte) (*Script, error) {
	nodes, err := sexp.Parse(path, b)
	if err != nil {
		return nil, err
	}
	if len(nodes) != 1 || nodes[0].Head() != "rehearsal" {
		return nil, &sexp.Error{Pos: sexp.Pos{File: path, Line: 1, Col: 1}, Text: "expected one (rehearsal \"NAME\" ...)"}
	}
	return Read(nodes[0])
}

// Read reads a scenario from its parsed form.
func Read(n *sexp.Node) (*Script, error) {
	args := n.Args()
	if len(args) == 0 || args[0].Kind != sexp.String || args[0].Text == "" {
		return nil, n.Errorf("expected the rehearsal's name in double quotes first")
	}
	s := &Script{
		Name:         args[0].Text,
		Poolers:      1,
		IdleMs:       defaultIdle,
		ProbePrice:   defaultProbePrice,
		NetworkDelay: defaultWay,
		Handshake:    defaultHandshake,
		Fleet:        model.Defaults(3),
		Clients:      clients.Defaults(),
	}
	s.Clients.Rate, s.Clients.Seconds, s.source = 100, 20, n
	if err := s.schema().Read(args[1:], "at", "class", "tenant"); err != nil {
		return nil, err
	}
	s.Clients.Groups = len(s.Fleet.Groups)
	if s.Clients.ClickHouse && len(s.Fleet.Groups) != 1 {
		return nil, n.Errorf("(clickhouse) takes one group, of peers; got %d groups", len(s.Fleet.Groups))
	}
	s.Fleet.Work = map[string]model.Range{}
	s.Fleet.Keys = map[string]float64{}
	for _, c := range s.Clients.Classes {
		s.Fleet.Work[c.Name], s.Fleet.Keys[c.Name] = c.Work, c.KeyMs
	}
	s.Fleet.Sites = s.Sites
	for i := range s.Faults {
		if err := s.resolveSites(&s.Faults[i]); err != nil {
			return nil, err
		}
	}
	s.Faults = s.expandPowerFaults(s.Faults)
	s.Faults = expandRepeats(s.Faults, s.Clients.Seconds*1000)
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	if s.Limits != nil && s.Peers == nil {
		return nil, n.Errorf("(fleet-limits ...) goes with (peers)")
	}
	if s.Overload != nil && s.Peers == nil {
		return nil, n.Errorf("(overload ...) goes with (peers)")
	}
	if err := s.checkDependencies(n); err != nil {
		return nil, err
	}
	if s.OutlierDetection != nil && s.Peers == nil {
		return nil, n.Errorf("(verdicts ...) goes with (peers)")
	}
	if err := s.Revalidate(); err != nil {
		return nil, err
	}
	return s, nil
}

// schema returns the forms of a script, each with the function that reads it.
func (s *Script) schema() sexp.Schema {
	f, c := &s.Fleet, &s.Clients
	float := func(to *float64, least, most float64) func(*sexp.Node) error {
		return func(n *sexp.Node) (err error) { *to, err = n.Float(least, most); return err }
	}
	integer := func(to *int, least, most int) func(*sexp.Node) error {
		return func(n *sexp.Node) (err error) { *to, err = n.Int(least, most); return err }
	}
	millis := func(to *float64) func(*sexp.Node) error {
		return func(n *sexp.Node) (err error) { *to, err = n.Millis(0, maxSeconds*1000); return err }
	}
	durationRange := func(to *model.Range) func(*sexp.Node) error {
		return func(n *sexp.Node) error { return readRange(n, (*[2]float64)(to)) }
	}
	return sexp.Schema{
		"seconds":      float(&c.Seconds, 1, maxSeconds),
		"poolers":      integer(&s.Poolers, 1, maxPoolers),
		"groups":       s.readGroups,
		"groups-of":    s.readGroupsOf,
		"way":          durationRange(&s.NetworkDelay),
		"handshake":    durationRange(&s.Handshake),
		"probe-cost":   millis(&s.ProbeCost),
		"probe-price":  float(&s.ProbePrice, 0, 1),
		"clickhouse":   s.readClickHouse,
		"consul":       integer(&s.Agents, 1, 9),
		"forgets":      millis(&s.ConnectionForgetMs),
		"idle":         func(n *sexp.Node) (err error) { s.IdleMs, err = n.Millis(10, maxSeconds*1000); return err },
		"descriptors":  integer(&s.Descriptors, 128, 1<<20),
		"crowds":       float(&f.QueueSlowdown, 0, 100),
		"connections":  integer(&f.MaxConnections, 1, 1e6),
		"rate":         float(&c.Rate, 0.1, maxRate),
		"sessions":     integer(&c.Sessions, 1, 1e6),
		"follows":      float(&c.Follows, 0, 1),
		"follow":       millis(&c.FollowMs),
		"roams":        float(&c.RoamShare, 0, 1),
		"retries":      integer(&c.Retries, 0, 10),
		"retry":        func(n *sexp.Node) error { return readRange(n, &c.RetryMs) },
		"class":        s.readClass,
		"tenant":       s.readTenant,
		"allowance":    float(&c.Allowance, 0.1, maxRate),
		"over":         float(&c.OverShareWorth, 0, 1),
		"peers":        s.readPeers,
		"fleet-limits": s.readFleetLimits,
		"overload":     s.readOverload,
		"agreed":       s.readRaftLog,
		"credit":       s.readCredit,
		"journal":      s.readJournal,
		"pages":        s.readPages,
		"on-sockets":   func(n *sexp.Node) error { s.socketForms = n.Args(); return nil },
		"verdicts":     s.readOutlierDetection,
		"back-in":      millis(&s.RecoveryMs),
		"skew":         float(&c.Skew, 0, 1),
		"swing":        millis(&c.SwingMs),
		"pushed":       func(n *sexp.Node) (err error) { s.Pushed, err = n.Bool(); return err },
		"sites":        s.readSites,
		"cross":        durationRange(&s.SiteDelay),
		"regions":      s.readRegions,
		"far":          durationRange(&s.RegionDelay),
		"near":         func(n *sexp.Node) (err error) { s.PreferOwnSite, err = n.Bool(); return err },
		"cross-price":  float(&s.CrossPrice, 0, 1),
		"cores":        integer(&f.Cores, 1, 256),
		"queue":        integer(&f.QueueLimit, 0, 1e5),
		"tail":         func(n *sexp.Node) (err error) { f.ExponentialWork, err = n.Bool(); return err },
		"ship":         durationRange(&f.ShipDelay),
		"apply":        millis(&f.ApplyMs),
		"detect":       durationRange(&f.DetectionDelay),
		"elect":        durationRange(&f.ElectionDelay),
		"switch":       durationRange(&f.SwitchoverDelay),
		"list":         durationRange(&f.ListDelay),
		"roles":        durationRange(&f.RoleDelay),
		"cold":         millis(&f.ColdMs),
		"cold-by":      float(&f.ColdShare, 0.01, 1),
		"falls":        float(&f.OverloadFactor, 0, 1000),
		"falls-in":     millis(&f.OverloadWindowMs),
		"pack":         func(n *sexp.Node) (err error) { s.Pack, err = n.Bool(); return err },
		"record-queue": integer(&s.Queue, 64, 1<<20),
		"at":           s.readFault,
		"chaos":        s.readChaos,
	}
}

// readClickHouse reads (clickhouse): clients use the ClickHouse interface, with its own classes, and one group of peers.
func (s *Script) readClickHouse(n *sexp.Node) (err error) {
	if s.Clients.ClickHouse, err = n.Bool(); err == nil && s.Clients.ClickHouse {
		s.Fleet.MultiPrimary, s.Clients.Classes = true, clients.ClickHouseClasses()
	}
	return err
}

// readTenant reads (tenant NAME (share PART) (usage TIMES)).
func (s *Script) readTenant(n *sexp.Node) error {
	args := n.Args()
	if len(args) == 0 || args[0].Kind == sexp.List || args[0].Text == "" {
		return n.Errorf("expected the tenant's name first")
	}
	t := clients.Tenant{Name: args[0].Text, Usage: 1}
	if slices.ContainsFunc(s.Clients.Tenants, func(o clients.Tenant) bool { return o.Name == t.Name }) {
		return args[0].Errorf("there are two tenants %q", t.Name)
	}
	err := sexp.Schema{
		"share": func(n *sexp.Node) (err error) { t.Share, err = n.Float(0.001, 1); return err },
		"usage": func(n *sexp.Node) (err error) { t.Usage, err = n.Float(0, 100); return err },
	}.Read(args[1:])
	if err == nil && t.Share == 0 {
		err = n.Errorf("expected a tenant's (share PART)")
	}
	s.Clients.Tenants = append(s.Clients.Tenants, t)
	return err
}

// readClass reads (class NAME ...), which changes the settings of a class that the clients have by default.
func (s *Script) readClass(n *sexp.Node) error {
	args := n.Args()
	if len(args) == 0 || args[0].Kind == sexp.List {
		return n.Errorf("expected the class's name first")
	}
	i := slices.IndexFunc(s.Clients.Classes, func(c clients.Class) bool { return c.Name == args[0].Text })
	if i < 0 {
		return args[0].Errorf("there is no class %q", args[0].Text)
	}
	c := &s.Clients.Classes[i]
	return sexp.Schema{
		"share":    func(n *sexp.Node) (err error) { c.Share, err = n.Float(0, 1); return err },
		"aim":      func(n *sexp.Node) (err error) { c.Aim, err = n.Millis(1, 600000); return err },
		"deadline": func(n *sexp.Node) (err error) { c.Deadline, err = n.Millis(1, 600000); return err },
		"worth":    func(n *sexp.Node) (err error) { c.Worth, err = n.Float(0, 1000); return err },
		"late":     func(n *sexp.Node) (err error) { c.LateWorth, err = n.Float(0, 1); return err },
		"bound":    func(n *sexp.Node) (err error) { c.Bound, err = n.Millis(0, 600000); return err },
		"work":     func(n *sexp.Node) error { return readRange(n, &c.Work) },
		"keyed": func(n *sexp.Node) (err error) { // time for which the group deduplicates repeats of a key
			if c.Read != clients.Write {
				return n.Errorf("only writes have keys; %q is a class of reads", c.Name)
			}
			c.KeyMs, err = n.Millis(1, 600000)
			return err
		},
	}.Read(args[1:])
}

// setLoadSteps derives the changes of the clients' load from the faults of kind load.
func (s *Script) setLoadSteps() {
	for _, f := range s.Faults {
		if f.Kind != "load" {
			continue
		}
		to := f.At + f.Duration
		if f.Duration == 0 {
			to = s.Clients.Seconds * 1000
		}
		s.Clients.Jumps = append(s.Clients.Jumps, clients.Jump{From: f.At, To: to, Times: f.Value})
	}
}

// Revalidate recomputes all derived values after a change of the script, and checks it.
func (s *Script) Revalidate() error {
	s.Clients.Jumps = nil
	if s.RaftLog != nil && s.RaftLog.Voters > s.Poolers {
		return s.source.Errorf("(voters %d) exceeds the number of poolers, %d", s.RaftLog.Voters, s.Poolers)
	}
	for i := range s.Faults {
		if f := &s.Faults[i]; f.Selector.Node != nil {
			var err error
			if f.Poolers, err = f.Selector.poolers(s); err != nil {
				return err
			}
		}
		if f := &s.Faults[i]; f.OnPoolerLinks() && s.Peers != nil && f.From.Node != nil {
			var err error
			if f.Ends[0], err = f.From.poolers(s); err == nil {
				f.Ends[1], err = f.To.poolers(s)
			}
			if err != nil {
				return err
			}
		}
		if err := s.checkFault(&s.Faults[i]); err != nil {
			return err
		}
	}
	s.setLoadSteps()
	return nil
}

// Clone returns an independent copy.
func (s *Script) Clone() *Script {
	c := *s
	c.Fleet.Groups, c.Faults = slices.Clone(s.Fleet.Groups), slices.Clone(s.Faults)
	c.Clients.Classes, c.Clients.Jumps, c.Clients.Tenants = slices.Clone(s.Clients.Classes), slices.Clone(s.Clients.Jumps), slices.Clone(s.Clients.Tenants)
	return &c
}
