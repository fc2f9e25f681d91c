package settings

import (
	"fmt"
	"net"
	"slices"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/frontend/pooling"
	"beechgrade/internal/frontend/pooling/connpool"
	"beechgrade/internal/sexp"
)

// Pooling says whether and how ordinary PostgreSQL clients are served.
type Pooling struct {
	Listen           string // empty for off
	Classes          []TransactionClass
	Pools            []pooling.PoolOptions
	MaxMessageBytes  int
	MaxResponseBytes int

	classPositions map[string]sexp.Pos // where pools name their classes
}

// TransactionClass is a class of transactions that the operators add to the platform's.
type TransactionClass struct {
	Name string
	decide.Class
}

// defaultPoolOptions is what a pool has where its settings say nothing. Times are in milliseconds.
func defaultPoolOptions() pooling.PoolOptions {
	return pooling.PoolOptions{Database: "*", User: "*", App: "*", Clients: 5000, TxnMs: 60000, IdleTxnMs: 30000, Statements: 500, StatementBytes: 1 << 20,
		Limits: connpool.Limits{Most: 20, Queue: 5000, WaitMs: 10000, ReserveMs: 1000, LifeMs: 3600000, IdleMs: 300000, Dials: 4, AgainMs: 200}}
}

const maxDurationMs = 24 * 3600 * 1000

func (p *Pooling) read(node *sexp.Node) error {
	p.MaxMessageBytes, p.MaxResponseBytes, p.classPositions = 1<<20, 16<<20, map[string]sexp.Pos{}
	err := sexp.Schema{
		"listen": func(node *sexp.Node) (err error) {
			if p.Listen, err = node.Str(); err != nil {
				return err
			}
			if _, _, err := net.SplitHostPort(p.Listen); err != nil {
				return node.Items[1].Errorf("an address with its port is due here: %v", err)
			}
			return nil
		},
		"class": p.readClass,
		"pool":  p.readPool,
		"most-message": func(node *sexp.Node) error {
			x, err := node.Bytes(64<<10, 64<<20)
			p.MaxMessageBytes = int(x)
			return err
		},
		"most-answer": func(node *sexp.Node) error {
			x, err := node.Bytes(64<<10, 256<<20)
			p.MaxResponseBytes = int(x)
			return err
		},
	}.Read(node.Args(), "class", "pool")
	switch {
	case err != nil:
		return err
	case p.Listen != "" && len(p.Pools) == 0:
		return node.Errorf("pooling: it listens, but there is no (pool ...)")
	case p.Listen == "" && len(p.Pools) > 0:
		return node.Errorf("pooling: there are pools, but no (listen \"ADDRESS:PORT\")")
	}
	return nil
}

func (p *Pooling) readClass(node *sexp.Node) error {
	a := node.Args()
	if len(a) == 0 || a[0].Kind == sexp.List || a[0].Text == "" {
		return node.Errorf("a class's name is due first")
	}
	if slices.ContainsFunc(p.Classes, func(c TransactionClass) bool { return c.Name == a[0].Text }) {
		return a[0].Errorf("there is a class %q already", a[0].Text)
	}
	c := TransactionClass{Name: a[0].Text, Class: decide.Class{LatencyObjective: 500 * time.Millisecond, Deadline: 60 * time.Second, PriorityWeight: 1, LateWeight: 1,
		Idempotency: decide.NotIdempotent, Read: decide.Write}}
	span := func(to *time.Duration) func(*sexp.Node) error {
		return func(node *sexp.Node) error {
			ms, err := node.Millis(1, maxDurationMs)
			*to = time.Duration(ms * float64(time.Millisecond))
			return err
		}
	}
	err := sexp.Schema{
		"aim":      span(&c.LatencyObjective),
		"deadline": span(&c.Deadline),
		"bound":    span(&c.MaxStaleness),
		"worth":    func(node *sexp.Node) (err error) { c.PriorityWeight, err = node.Float(0, 1000); return err },
		"late":     func(node *sexp.Node) (err error) { c.LateWeight, err = node.Float(0, 1); return err },
		"needs": func(node *sexp.Node) error {
			s, err := node.Str()
			if err != nil {
				return err
			}
			kinds := map[string]decide.ReadKind{"primary": decide.Write, "any": decide.ReadAny, "session": decide.ReadSession, "bounded": decide.ReadBounded}
			k, ok := kinds[s]
			if !ok {
				return node.Items[1].Errorf("primary, any, session or bounded is due here")
			}
			c.Read = k
			return nil
		},
	}.Read(a[1:])
	if err != nil {
		return err
	}
	if c.Read == decide.ReadBounded && c.MaxStaleness == 0 {
		return node.Errorf("class %q: (needs bounded) wants a (bound TIME)", c.Name)
	}
	p.Classes = append(p.Classes, c)
	return nil
}

func (p *Pooling) readPool(node *sexp.Node) error {
	o := defaultPoolOptions()
	l := &o.Limits
	span := func(to *float64) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Millis(0, maxDurationMs); return err }
	}
	whole := func(to *int, least, most int) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Int(least, most); return err }
	}
	text := func(to *string) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Str(); return err }
	}
	class := func(to *string) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) {
			*to, err = node.Str()
			if _, ok := p.classPositions[*to]; !ok && err == nil {
				p.classPositions[*to] = node.Items[1].Pos
			}
			return err
		}
	}
	choice := func(set func(string), names ...string) func(*sexp.Node) error {
		return func(node *sexp.Node) error {
			s, err := node.Str()
			if err == nil && !slices.Contains(names, s) {
				err = node.Items[1].Errorf("one of %v is due here", names)
			}
			set(s)
			return err
		}
	}
	err := sexp.Schema{
		"database": text(&o.Database), "user": text(&o.User), "application": text(&o.App),
		"mode": choice(func(s string) {
			if s == "session" {
				o.Mode = pooling.Session
			}
		}, "transaction", "session"),
		"pins":  choice(func(s string) { o.RefusePins = s == "refuse" }, "keep", "refuse"),
		"class": class(&o.Class), "reads": class(&o.Reads),
		"group":       whole(&o.Group, 0, 1<<30),
		"connections": whole(&l.Most, 1, 100000), "per-server": whole(&l.PerServer, 1, 100000), "reserve": whole(&l.Reserve, 0, 100000),
		"reserve-after": span(&l.ReserveMs), "queue": whole(&l.Queue, 0, 1000000), "wait": span(&l.WaitMs), "lifetime": span(&l.LifeMs),
		"idle": span(&l.IdleMs), "dials": whole(&l.Dials, 1, 1000), "again": span(&l.AgainMs),
		"clients": whole(&o.Clients, 0, 1000000), "transaction": span(&o.TxnMs), "idle-in-transaction": span(&o.IdleTxnMs),
		"statements": whole(&o.Statements, 1, 100000),
		"statement-bytes": func(node *sexp.Node) error {
			x, err := node.Bytes(1024, 1<<30)
			o.StatementBytes = int(x)
			return err
		},
	}.Read(node.Args())
	switch {
	case err != nil:
		return err
	case o.Class == "":
		return node.Errorf("pool: (class \"NAME\") is missing: which class are its transactions of?")
	case o.Mode == pooling.Session && o.Reads != "":
		return node.Errorf("pool: a pool by session has all its transactions at the primary; (reads ...) is for one by transaction")
	}
	p.Pools = append(p.Pools, o)
	return nil
}

// Check holds the pools' classes against those that there are, the platform's by name.
func (p *Pooling) Check(platform []string) error {
	for _, c := range p.Classes {
		if slices.Contains(platform, c.Name) {
			return fmt.Errorf("pooling: class %q is one of the platform's", c.Name)
		}
	}
	for _, o := range p.Pools {
		for i, name := range []string{o.Class, o.Reads} {
			if name == "" {
				continue
			}
			k := slices.IndexFunc(p.Classes, func(c TransactionClass) bool { return c.Name == name })
			switch {
			case k < 0:
				return &sexp.Error{Pos: p.classPositions[name], Text: fmt.Sprintf("there is no (class %q ...)", name)}
			case i == 0 && p.Classes[k].Read != decide.Write:
				return &sexp.Error{Pos: p.classPositions[name], Text: fmt.Sprintf("class %q does not need the primary, and so is for (reads ...)", name)}
			}
		}
	}
	return nil
}

// AddClasses adds the operators' classes to the platform's.
func (p *Pooling) AddClasses(cfg *config.Config) {
	for _, c := range p.Classes {
		cfg.Classes = append(cfg.Classes, c.Name)
		cfg.Settings.Classes = append(cfg.Settings.Classes, c.Class)
	}
}
