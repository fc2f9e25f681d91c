package operate

import (
	"net"
	"time"

	"beechgrade"
	"beechgrade/internal/clickhouse"
	"beechgrade/internal/clickhouse/limits"
	"beechgrade/internal/config"
	"beechgrade/internal/sexp"
)

// ClickHouse says whether and how the ClickHouse HTTP interface is served. Times are in milliseconds.
type ClickHouse struct {
	Listen     string // empty for off
	Group      int    // whose servers are ClickHouse's
	AimMs      float64
	DeadlineMs float64
	Worth      float64
	MostBody   int
	IdleMs     float64
	ClientMs   float64
	HeadMs     float64
	Kill       bool // KILL QUERY beside a connection that is closed
	Users      map[string]limits.Limits
	Others     limits.Limits
}

func (c *ClickHouse) read(n *sexp.Node) error {
	*c = ClickHouse{Group: -1, AimMs: 2000, DeadlineMs: 60000, Worth: 1, MostBody: 1 << 20, IdleMs: 3000, ClientMs: 60000, HeadMs: 10000}
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
		"most-body": func(n *sexp.Node) error {
			x, err := n.Bytes(1024, 64<<20)
			c.MostBody = int(x)
			return err
		},
		"idle":        func(n *sexp.Node) (err error) { c.IdleMs, err = n.Millis(10, longest); return err },
		"client-idle": func(n *sexp.Node) (err error) { c.ClientMs, err = n.Millis(10, longest); return err },
		"user":        c.user,
		"kill":        func(n *sexp.Node) (err error) { c.Kill, err = n.Bool(); return err },
		"head":        func(n *sexp.Node) (err error) { c.HeadMs, err = n.Millis(10, longest); return err },
	}.Read(n.Args(), "user")
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

// AddClasses adds the front's classes to the platform's: any member of the group takes either, and what is not known to read
// never runs twice.
func (c *ClickHouse) AddClasses(cfg *config.Config) {
	if c.Listen == "" {
		return
	}
	class := beechgrade.Class{Aim: time.Duration(c.AimMs * float64(time.Millisecond)), Deadline: time.Duration(c.DeadlineMs * float64(time.Millisecond)), Worth: c.Worth,
		LateWorth: 0.5, Read: beechgrade.ReadAny}
	for name, effect := range map[string]beechgrade.Effect{clickhouse.ReadClass: beechgrade.Safe, clickhouse.WriteClass: beechgrade.Unsafe} {
		class.Effect = effect
		cfg.Classes = append(cfg.Classes, name)
		cfg.Settings.Classes = append(cfg.Settings.Classes, class)
	}
}
