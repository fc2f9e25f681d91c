package settings

import (
	"net"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/frontend/clickhouse"
	"beechgrade/internal/frontend/clickhouse/limits"
	"beechgrade/internal/sexp"
)

// ClickHouse says whether and how the ClickHouse HTTP interface is served. Times are in milliseconds.
type ClickHouse struct {
	Listen               string // empty for off
	Group                int    // whose servers are ClickHouse's
	LatencyObjectiveMs   float64
	DeadlineMs           float64
	PriorityWeight       float64
	MaxBufferedBytes     int
	MaxBodyBytes         int64   // 0 for any number of bytes
	MaxStalenessMs       float64 // 0 for data of any age
	UploadTimeoutMs      float64
	ServerIdleTimeoutMs  float64
	ClientStallTimeoutMs float64
	DeadlineHeader       string // may tell how many ms a client waits
	MaxSessions          int
	ConnectionIdleMs     float64
	ClientIdleMs         float64
	HeadTimeoutMs        float64
	KillQueries          bool // KILL QUERY beside a connection that is closed
	Rules                []ClickHouseRule
	Users                map[string]limits.Limits
	DefaultLimits        limits.Limits
}

// minStalenessMs is the least bound of data's age: servers tell it in whole seconds, and are asked now and then.
const minStalenessMs = 3000

// ClickHouseRule is a rule with what its classes are worth.
type ClickHouseRule struct {
	clickhouse.Rule
	LatencyObjectiveMs, PriorityWeight float64
}

func (c *ClickHouse) read(node *sexp.Node) error {
	*c = ClickHouse{Group: -1, LatencyObjectiveMs: 2000, DeadlineMs: 60000, PriorityWeight: 1, MaxBufferedBytes: 256 << 10, UploadTimeoutMs: 600e3, ServerIdleTimeoutMs: 600e3, ClientStallTimeoutMs: 60e3, MaxSessions: 10000,
		ConnectionIdleMs: 3000, ClientIdleMs: 60000, HeadTimeoutMs: 10000}
	err := sexp.Schema{
		"listen": func(node *sexp.Node) (err error) {
			if c.Listen, err = node.Str(); err != nil {
				return err
			}
			if _, _, err := net.SplitHostPort(c.Listen); err != nil {
				return node.Items[1].Errorf("an address with its port is due here: %v", err)
			}
			return nil
		},
		"group": func(node *sexp.Node) (err error) { c.Group, err = node.Int(0, 1<<30); return err },
		"aim": func(node *sexp.Node) (err error) {
			c.LatencyObjectiveMs, err = node.Millis(1, maxDurationMs)
			return err
		},
		"deadline": func(node *sexp.Node) (err error) { c.DeadlineMs, err = node.Millis(1, maxDurationMs); return err },
		"worth":    func(node *sexp.Node) (err error) { c.PriorityWeight, err = node.Float(0, 1000); return err },
		"hold": func(node *sexp.Node) error {
			x, err := node.Bytes(1024, 64<<20)
			c.MaxBufferedBytes = int(x)
			return err
		},
		"most-body": func(node *sexp.Node) (err error) { c.MaxBodyBytes, err = node.Bytes(1024, 1<<50); return err },
		"bound": func(node *sexp.Node) (err error) {
			c.MaxStalenessMs, err = node.Millis(minStalenessMs, maxDurationMs)
			return err
		},
		"upload": func(node *sexp.Node) (err error) { c.UploadTimeoutMs, err = node.Millis(1, maxDurationMs); return err },
		"quiet": func(node *sexp.Node) (err error) {
			c.ServerIdleTimeoutMs, err = node.Millis(1, maxDurationMs)
			return err
		},
		"stall": func(node *sexp.Node) (err error) {
			c.ClientStallTimeoutMs, err = node.Millis(1, maxDurationMs)
			return err
		},
		"deadline-header": func(node *sexp.Node) (err error) { c.DeadlineHeader, err = node.Str(); return err },
		"sessions":        func(node *sexp.Node) (err error) { c.MaxSessions, err = node.Int(0, 1e6); return err },
		"idle": func(node *sexp.Node) (err error) {
			c.ConnectionIdleMs, err = node.Millis(10, maxDurationMs)
			return err
		},
		"client-idle": func(node *sexp.Node) (err error) { c.ClientIdleMs, err = node.Millis(10, maxDurationMs); return err },
		"user":        c.readUser,
		"class":       c.readClass,
		"kill":        func(node *sexp.Node) (err error) { c.KillQueries, err = node.Bool(); return err },
		"head":        func(node *sexp.Node) (err error) { c.HeadTimeoutMs, err = node.Millis(10, maxDurationMs); return err },
	}.Read(node.Args(), "user", "class")
	switch {
	case err != nil:
		return err
	case c.Listen == "":
		return node.Errorf("clickhouse: (listen \"ADDRESS:PORT\") is due")
	case c.Group < 0:
		return node.Errorf("clickhouse: (group NUMBER) is due: whose servers are ClickHouse's?")
	case c.DeadlineMs < c.LatencyObjectiveMs:
		return node.Errorf("clickhouse: the deadline comes before the aim")
	}
	return nil
}

// readUser reads (user "NAME" (queries N) (queue N) (wait TIME) (rate PER-SECOND) (burst N)); "*" is all that are not named.
func (c *ClickHouse) readUser(node *sexp.Node) error {
	a := node.Args()
	if len(a) == 0 || a[0].Kind == sexp.List || a[0].Text == "" {
		return node.Errorf("a user's name is due first, or \"*\"")
	}
	l := limits.Limits{Wait: 5000}
	if err := (sexp.Schema{
		"queries": func(node *sexp.Node) (err error) { l.Queries, err = node.Int(1, 1e6); return err },
		"queue":   func(node *sexp.Node) (err error) { l.Queue, err = node.Int(0, 1e6); return err },
		"wait":    func(node *sexp.Node) (err error) { l.Wait, err = node.Millis(1, maxDurationMs); return err },
		"rate":    func(node *sexp.Node) (err error) { l.PerSecond, err = node.Float(0.001, 1e6); return err },
		"burst":   func(node *sexp.Node) (err error) { l.Burst, err = node.Float(1, 1e6); return err },
	}).Read(a[1:]); err != nil {
		return err
	}
	if a[0].Text == "*" {
		c.DefaultLimits = l
		return nil
	}
	if _, twice := c.Users[a[0].Text]; twice {
		return a[0].Errorf("this user stands here twice")
	}
	if c.Users == nil {
		c.Users = map[string]limits.Limits{}
	}
	c.Users[a[0].Text] = l
	return nil
}

// readClass reads (class "NAME" (user "U") (database "D") (path "/P") (header "NAME" "VALUE") (aim TIME) (deadline TIME) (worth N)).
func (c *ClickHouse) readClass(node *sexp.Node) error {
	a := node.Args()
	if len(a) == 0 || a[0].Kind == sexp.List || a[0].Text == "" {
		return node.Errorf("a class's name is due first")
	}
	r := ClickHouseRule{Rule: clickhouse.Rule{Name: a[0].Text, Deadline: 60000}, LatencyObjectiveMs: 2000, PriorityWeight: 1}
	for _, o := range c.Rules {
		if o.Name == r.Name {
			return a[0].Errorf("this class stands here twice")
		}
	}
	text := func(to *string) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Str(); return err }
	}
	err := sexp.Schema{
		"user": text(&r.User), "database": text(&r.Database), "path": text(&r.Path),
		"header": func(node *sexp.Node) error {
			x := node.Args()
			if len(x) != 2 || x[0].Text == "" {
				return node.Errorf("(header \"NAME\" \"VALUE\")")
			}
			r.Header, r.Value = x[0].Text, x[1].Text
			return nil
		},
		"bound": func(node *sexp.Node) (err error) {
			r.Bound, err = node.Millis(minStalenessMs, maxDurationMs)
			return err
		},
		"aim": func(node *sexp.Node) (err error) {
			r.LatencyObjectiveMs, err = node.Millis(1, maxDurationMs)
			return err
		},
		"deadline": func(node *sexp.Node) (err error) { r.Deadline, err = node.Millis(1, maxDurationMs); return err },
		"worth":    func(node *sexp.Node) (err error) { r.PriorityWeight, err = node.Float(0, 1000); return err },
	}.Read(a[1:])
	switch {
	case err != nil:
		return err
	case r.User == "" && r.Database == "" && r.Path == "" && r.Header == "":
		return node.Errorf("class %q: whose queries are of it? (user ...), (database ...), (path ...) or (header ...)", r.Name)
	case r.Path != "" && r.Path[0] != '/':
		return node.Errorf("class %q: a path begins with /", r.Name)
	case r.Deadline < r.LatencyObjectiveMs:
		return node.Errorf("class %q: the deadline comes before the aim", r.Name)
	}
	c.Rules = append(c.Rules, r)
	return nil
}

// AddClasses adds the front's classes to the platform's: any member of the group takes either, and what is not known to read
// never runs twice.
func (c *ClickHouse) AddClasses(cfg *config.Config) {
	if c.Listen == "" {
		return
	}
	add := func(rule string, aim, deadline, worth, bound float64) {
		class := decide.Class{LatencyObjective: time.Duration(aim * float64(time.Millisecond)), Deadline: time.Duration(deadline * float64(time.Millisecond)), PriorityWeight: worth,
			LateWeight: 0.5, Read: decide.ReadAny}
		reads, writes := clickhouse.Classes(rule)
		cfg.Classes = append(cfg.Classes, reads, writes)
		if bound > 0 {
			class.Read, class.MaxStaleness = decide.ReadBounded, time.Duration(bound*float64(time.Millisecond))
		}
		cfg.Settings.Classes = append(cfg.Settings.Classes, class)
		class.Read, class.MaxStaleness = decide.ReadAny, 0
		class.Idempotency = decide.NotIdempotent
		cfg.Settings.Classes = append(cfg.Settings.Classes, class)
	}
	add("", c.LatencyObjectiveMs, c.DeadlineMs, c.PriorityWeight, c.MaxStalenessMs)
	for i := range c.Rules {
		add(c.Rules[i].Name, c.Rules[i].LatencyObjectiveMs, c.Rules[i].Deadline, c.Rules[i].PriorityWeight, c.Rules[i].Bound)
	}
}
