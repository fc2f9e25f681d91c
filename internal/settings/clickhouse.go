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
	Listen     string // empty for off
	Group      int    // whose servers are ClickHouse's
	AimMs      float64
	DeadlineMs float64
	Worth      float64
	Hold       int
	MostBody   int64   // 0 for any number of bytes
	BoundMs    float64 // 0 for data of any age
	UploadMs   float64
	QuietMs    float64
	StallMs    float64
	Header     string // may tell how many ms a client waits
	Sessions   int
	IdleMs     float64
	ClientMs   float64
	HeadMs     float64
	Kill       bool // KILL QUERY beside a connection that is closed
	Rules      []HouseRule
	Users      map[string]limits.Limits
	Others     limits.Limits
}

// leastBound is the least bound of data's age: servers tell it in whole seconds, and are asked now and then.
const leastBound = 3000

// HouseRule is a rule with what its classes are worth.
type HouseRule struct {
	clickhouse.Rule
	AimMs, Worth float64
}

func (c *ClickHouse) read(n *sexp.Node) error {
	*c = ClickHouse{Group: -1, AimMs: 2000, DeadlineMs: 60000, Worth: 1, Hold: 256 << 10, UploadMs: 600e3, QuietMs: 600e3, StallMs: 60e3, Sessions: 10000,
		IdleMs: 3000, ClientMs: 60000, HeadMs: 10000}
	err := sexp.Form{
		"listen": func(n *sexp.Node) (err error) {
			if c.Listen, err = n.Str(); err != nil {
				return err
			}
			if _, _, err := net.SplitHostPort(c.Listen); err != nil {
				return n.Items[1].Errorf("an address with its port is due here: %v", err)
			}
			return nil
		},
		"group":    func(n *sexp.Node) (err error) { c.Group, err = n.Int(0, 1<<30); return err },
		"aim":      func(n *sexp.Node) (err error) { c.AimMs, err = n.Millis(1, longest); return err },
		"deadline": func(n *sexp.Node) (err error) { c.DeadlineMs, err = n.Millis(1, longest); return err },
		"worth":    func(n *sexp.Node) (err error) { c.Worth, err = n.Float(0, 1000); return err },
		"hold": func(n *sexp.Node) error {
			x, err := n.Bytes(1024, 64<<20)
			c.Hold = int(x)
			return err
		},
		"most-body":       func(n *sexp.Node) (err error) { c.MostBody, err = n.Bytes(1024, 1<<50); return err },
		"bound":           func(n *sexp.Node) (err error) { c.BoundMs, err = n.Millis(leastBound, longest); return err },
		"upload":          func(n *sexp.Node) (err error) { c.UploadMs, err = n.Millis(1, longest); return err },
		"quiet":           func(n *sexp.Node) (err error) { c.QuietMs, err = n.Millis(1, longest); return err },
		"stall":           func(n *sexp.Node) (err error) { c.StallMs, err = n.Millis(1, longest); return err },
		"deadline-header": func(n *sexp.Node) (err error) { c.Header, err = n.Str(); return err },
		"sessions":        func(n *sexp.Node) (err error) { c.Sessions, err = n.Int(0, 1e6); return err },
		"idle":            func(n *sexp.Node) (err error) { c.IdleMs, err = n.Millis(10, longest); return err },
		"client-idle":     func(n *sexp.Node) (err error) { c.ClientMs, err = n.Millis(10, longest); return err },
		"user":            c.user,
		"class":           c.class,
		"kill":            func(n *sexp.Node) (err error) { c.Kill, err = n.Bool(); return err },
		"head":            func(n *sexp.Node) (err error) { c.HeadMs, err = n.Millis(10, longest); return err },
	}.Read(n.Args(), "user", "class")
	switch {
	case err != nil:
		return err
	case c.Listen == "":
		return n.Errorf("clickhouse: (listen \"ADDRESS:PORT\") is due")
	case c.Group < 0:
		return n.Errorf("clickhouse: (group NUMBER) is due: whose servers are ClickHouse's?")
	case c.DeadlineMs < c.AimMs:
		return n.Errorf("clickhouse: the deadline comes before the aim")
	}
	return nil
}

// user reads (user "NAME" (queries N) (queue N) (wait TIME) (rate PER-SECOND) (burst N)); "*" is all that are not named.
func (c *ClickHouse) user(n *sexp.Node) error {
	a := n.Args()
	if len(a) == 0 || a[0].Kind == sexp.List || a[0].Text == "" {
		return n.Errorf("a user's name is due first, or \"*\"")
	}
	l := limits.Limits{Wait: 5000}
	if err := (sexp.Form{
		"queries": func(n *sexp.Node) (err error) { l.Queries, err = n.Int(1, 1e6); return err },
		"queue":   func(n *sexp.Node) (err error) { l.Queue, err = n.Int(0, 1e6); return err },
		"wait":    func(n *sexp.Node) (err error) { l.Wait, err = n.Millis(1, longest); return err },
		"rate":    func(n *sexp.Node) (err error) { l.PerSecond, err = n.Float(0.001, 1e6); return err },
		"burst":   func(n *sexp.Node) (err error) { l.Burst, err = n.Float(1, 1e6); return err },
	}).Read(a[1:]); err != nil {
		return err
	}
	if a[0].Text == "*" {
		c.Others = l
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

// class reads (class "NAME" (user "U") (database "D") (path "/P") (header "NAME" "VALUE") (aim TIME) (deadline TIME) (worth N)).
func (c *ClickHouse) class(n *sexp.Node) error {
	a := n.Args()
	if len(a) == 0 || a[0].Kind == sexp.List || a[0].Text == "" {
		return n.Errorf("a class's name is due first")
	}
	r := HouseRule{Rule: clickhouse.Rule{Name: a[0].Text, Deadline: 60000}, AimMs: 2000, Worth: 1}
	for _, o := range c.Rules {
		if o.Name == r.Name {
			return a[0].Errorf("this class stands here twice")
		}
	}
	text := func(to *string) func(*sexp.Node) error {
		return func(n *sexp.Node) (err error) { *to, err = n.Str(); return err }
	}
	err := sexp.Form{
		"user": text(&r.User), "database": text(&r.Database), "path": text(&r.Path),
		"header": func(n *sexp.Node) error {
			x := n.Args()
			if len(x) != 2 || x[0].Text == "" {
				return n.Errorf("(header \"NAME\" \"VALUE\")")
			}
			r.Header, r.Value = x[0].Text, x[1].Text
			return nil
		},
		"bound":    func(n *sexp.Node) (err error) { r.Bound, err = n.Millis(leastBound, longest); return err },
		"aim":      func(n *sexp.Node) (err error) { r.AimMs, err = n.Millis(1, longest); return err },
		"deadline": func(n *sexp.Node) (err error) { r.Deadline, err = n.Millis(1, longest); return err },
		"worth":    func(n *sexp.Node) (err error) { r.Worth, err = n.Float(0, 1000); return err },
	}.Read(a[1:])
	switch {
	case err != nil:
		return err
	case r.User == "" && r.Database == "" && r.Path == "" && r.Header == "":
		return n.Errorf("class %q: whose queries are of it? (user ...), (database ...), (path ...) or (header ...)", r.Name)
	case r.Path != "" && r.Path[0] != '/':
		return n.Errorf("class %q: a path begins with /", r.Name)
	case r.Deadline < r.AimMs:
		return n.Errorf("class %q: the deadline comes before the aim", r.Name)
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
	add("", c.AimMs, c.DeadlineMs, c.Worth, c.BoundMs)
	for i := range c.Rules {
		add(c.Rules[i].Name, c.Rules[i].AimMs, c.Rules[i].Deadline, c.Rules[i].Worth, c.Rules[i].Bound)
	}
}
