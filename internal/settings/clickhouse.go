package settings

import (
	"slices"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/frontend/clickhouse"
	"beechgrade/internal/frontend/clickhouse/limits"
	"beechgrade/internal/sexp"
)

// ClickHouse configures the ClickHouse HTTP interface. Times are in milliseconds.
type ClickHouse struct {
	Listen               string // empty for off
	Group                int    // whose servers are ClickHouse servers
	LatencyObjectiveMs   float64
	DeadlineMs           float64
	PriorityWeight       float64
	MaxBufferedBytes     int     // of a query's body; a longer body is streamed through and never retried
	MaxBodyBytes         int64   // 0 for no limit
	MaxStalenessMs       float64 // 0 for data of any age
	UploadTimeoutMs      float64
	ServerIdleTimeoutMs  float64 // longest time without a byte of the response from the server
	ClientStallTimeoutMs float64 // longest time in which the client reads no byte of the response
	DeadlineHeader       string  // name of the header that may state for how many ms the client waits
	MaxSessions          int
	ConnectionIdleMs     float64 // after which servers close an idle connection
	ClientIdleMs         float64
	HeadTimeoutMs        float64
	KillQueries          bool // send KILL QUERY when a connection with a query is closed
	Rules                []ClickHouseRule
	Users                map[string]limits.Limits
	DefaultLimits        limits.Limits // of users that are not in Users
}

// ClickHouseRule is a rule that assigns queries to classes, with the objective and weight of those classes.
type ClickHouseRule struct {
	clickhouse.Rule
	LatencyObjectiveMs, PriorityWeight float64
}

const (
	defaultLatencyObjectiveMs = 2 * second
	defaultDeadlineMs         = minute
	defaultPriorityWeight     = 1
	defaultUserWaitMs         = 5 * second
	lateWeight                = 0.5 // of a response that misses its objective, as a fraction of the weight
)

func defaultClickHouse() ClickHouse {
	return ClickHouse{
		Group:                -1,
		LatencyObjectiveMs:   defaultLatencyObjectiveMs,
		DeadlineMs:           defaultDeadlineMs,
		PriorityWeight:       defaultPriorityWeight,
		MaxBufferedBytes:     256 * kilobyte,
		UploadTimeoutMs:      10 * minute,
		ServerIdleTimeoutMs:  10 * minute,
		ClientStallTimeoutMs: minute,
		MaxSessions:          10000,
		ConnectionIdleMs:     3 * second,
		ClientIdleMs:         minute,
		HeadTimeoutMs:        10 * second,
	}
}

var (
	stalenessBounds = durationRange{3 * second, day} // at least 3 s: servers report the age of their data in whole seconds, and are polled
	idleTimeouts    = durationRange{10, day}
	priorityWeights = numberRange{0, 1000}
	bufferedBytes   = sizeRange{kilobyte, 64 * megabyte}
	bodyBytes       = sizeRange{kilobyte, 1 << 50}
	sessionCounts   = countRange{0, 1e6}
	queryCounts     = countRange{1, 1e6}
	queryQueues     = countRange{0, 1e6}
	queryRates      = numberRange{0.001, 1e6} // per second
	queryBursts     = numberRange{1, 1e6}
)

func (c *ClickHouse) read(node *sexp.Node, _ func(string) string) error {
	*c = defaultClickHouse()
	err := sexp.Schema{
		"listen":          listenAddress(&c.Listen),
		"group":           count(&c.Group, groupNumbers),
		"aim":             duration(&c.LatencyObjectiveMs, positiveDuration),
		"deadline":        duration(&c.DeadlineMs, positiveDuration),
		"worth":           number(&c.PriorityWeight, priorityWeights),
		"hold":            size(&c.MaxBufferedBytes, bufferedBytes),
		"most-body":       size(&c.MaxBodyBytes, bodyBytes),
		"bound":           duration(&c.MaxStalenessMs, stalenessBounds),
		"upload":          duration(&c.UploadTimeoutMs, positiveDuration),
		"quiet":           duration(&c.ServerIdleTimeoutMs, positiveDuration),
		"stall":           duration(&c.ClientStallTimeoutMs, positiveDuration),
		"deadline-header": text(&c.DeadlineHeader),
		"sessions":        count(&c.MaxSessions, sessionCounts),
		"idle":            duration(&c.ConnectionIdleMs, idleTimeouts),
		"client-idle":     duration(&c.ClientIdleMs, idleTimeouts),
		"user":            c.readUser,
		"class":           c.readClass,
		"kill":            flag(&c.KillQueries),
		"head":            duration(&c.HeadTimeoutMs, idleTimeouts),
	}.Read(node.Args(), "user", "class")
	switch {
	case err != nil:
		return err
	case c.Listen == "":
		return node.Errorf("clickhouse: (listen \"ADDRESS:PORT\") is missing")
	case c.Group < 0:
		return node.Errorf("clickhouse: (group NUMBER), the group of the ClickHouse servers, is missing")
	case c.DeadlineMs < c.LatencyObjectiveMs:
		return node.Errorf("clickhouse: the deadline is shorter than the aim")
	}
	return nil
}

// readUser reads (user "NAME" (queries N) (queue N) (wait TIME) (rate PER-SECOND) (burst N)). "*" stands for all users without limits
// of their own.
func (c *ClickHouse) readUser(node *sexp.Node) error {
	arguments := node.Args()
	name, ok := firstName(arguments)
	if !ok {
		return node.Errorf("expected a user's name, or \"*\", first")
	}
	user := limits.Limits{MaxWaitMs: defaultUserWaitMs}
	err := sexp.Schema{
		"queries": count(&user.MaxRunning, queryCounts),
		"queue":   count(&user.MaxQueued, queryQueues),
		"wait":    duration(&user.MaxWaitMs, positiveDuration),
		"rate":    number(&user.PerSecond, queryRates),
		"burst":   number(&user.Burst, queryBursts),
	}.Read(arguments[1:])
	if err != nil {
		return err
	}
	if name == "*" {
		c.DefaultLimits = user
		return nil
	}
	if _, exists := c.Users[name]; exists {
		return arguments[0].Errorf("duplicate user")
	}
	if c.Users == nil {
		c.Users = map[string]limits.Limits{}
	}
	c.Users[name] = user
	return nil
}

// readClass reads (class "NAME" (user "U") (database "D") (path "/P") (header "NAME" "VALUE") (aim TIME) (deadline TIME) (worth N)).
func (c *ClickHouse) readClass(node *sexp.Node) error {
	arguments := node.Args()
	name, ok := firstName(arguments)
	if !ok {
		return node.Errorf("expected a class's name first")
	}
	if slices.ContainsFunc(c.Rules, func(other ClickHouseRule) bool { return other.Name == name }) {
		return arguments[0].Errorf("duplicate class")
	}
	rule := ClickHouseRule{
		Rule:               clickhouse.Rule{Name: name, DeadlineMs: defaultDeadlineMs},
		LatencyObjectiveMs: defaultLatencyObjectiveMs,
		PriorityWeight:     defaultPriorityWeight,
	}
	err := sexp.Schema{
		"user":     text(&rule.User),
		"database": text(&rule.Database),
		"path":     text(&rule.Path),
		"header": func(node *sexp.Node) error {
			arguments := node.Args()
			if len(arguments) != 2 || arguments[0].Text == "" {
				return node.Errorf("expected (header \"NAME\" \"VALUE\")")
			}
			rule.Header, rule.Value = arguments[0].Text, arguments[1].Text
			return nil
		},
		"bound":    duration(&rule.MaxStalenessMs, stalenessBounds),
		"aim":      duration(&rule.LatencyObjectiveMs, positiveDuration),
		"deadline": duration(&rule.DeadlineMs, positiveDuration),
		"worth":    number(&rule.PriorityWeight, priorityWeights),
	}.Read(arguments[1:])
	if err != nil {
		return err
	}
	if err := rule.check(node); err != nil {
		return err
	}
	c.Rules = append(c.Rules, rule)
	return nil
}

func (r *ClickHouseRule) check(node *sexp.Node) error {
	selectsByClient := r.User != "" || r.Database != ""
	selectsByRequest := r.Path != "" || r.Header != ""
	switch {
	case !selectsByClient && !selectsByRequest:
		return node.Errorf("class %q: at least one of (user ...), (database ...), (path ...) and (header ...) must select its queries", r.Name)
	case r.Path != "" && r.Path[0] != '/':
		return node.Errorf("class %q: the path must begin with /", r.Name)
	case r.DeadlineMs < r.LatencyObjectiveMs:
		return node.Errorf("class %q: the deadline is shorter than the aim", r.Name)
	}
	return nil
}

// AddClasses adds the interface's classes to a configuration: for each rule one of reads and one of writes. Queries of both may go to
// any server of the group. A query that is not known to be a read is never retried.
func (c *ClickHouse) AddClasses(cfg *config.Config) {
	if c.Listen == "" {
		return
	}
	defaults := ClickHouseRule{
		Rule:               clickhouse.Rule{DeadlineMs: c.DeadlineMs, MaxStalenessMs: c.MaxStalenessMs},
		LatencyObjectiveMs: c.LatencyObjectiveMs,
		PriorityWeight:     c.PriorityWeight,
	}
	defaults.addClasses(cfg)
	for i := range c.Rules {
		c.Rules[i].addClasses(cfg)
	}
}

func (r *ClickHouseRule) addClasses(cfg *config.Config) {
	read := decide.Class{
		LatencyObjective: milliseconds(r.LatencyObjectiveMs),
		Deadline:         milliseconds(r.DeadlineMs),
		PriorityWeight:   r.PriorityWeight,
		LateWeight:       lateWeight,
		Read:             decide.ReadAny,
	}
	write := read
	write.Idempotency = decide.NotIdempotent
	if r.MaxStalenessMs > 0 {
		read.Read, read.MaxStaleness = decide.ReadBounded, milliseconds(r.MaxStalenessMs)
	}
	reads, writes := clickhouse.Classes(r.Name)
	cfg.Classes = append(cfg.Classes, reads, writes)
	cfg.Settings.Classes = append(cfg.Settings.Classes, read, write)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
