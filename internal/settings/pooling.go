package settings

import (
	"fmt"
	"slices"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/frontend/pooling"
	"beechgrade/internal/frontend/pooling/connpool"
	"beechgrade/internal/sexp"
)

// Pooling configures how PostgreSQL clients are served.
type Pooling struct {
	Listen           string // empty for off
	Classes          []TransactionClass
	Pools            []pooling.PoolOptions
	MaxMessageBytes  int
	MaxResponseBytes int

	classPositions map[string]sexp.Pos // where pools first name each class
}

// TransactionClass is a class of transactions that the operators add to the platform's classes.
type TransactionClass struct {
	Name string
	decide.Class
}

const (
	defaultMaxMessageBytes     = megabyte
	defaultMaxResponseBytes    = 16 * megabyte
	defaultTransactionTarget   = 500 * time.Millisecond
	defaultTransactionDeadline = 60 * time.Second
)

// defaultPoolOptions returns the options of a pool that sets none.
func defaultPoolOptions() pooling.PoolOptions {
	return pooling.PoolOptions{
		Database:               "*",
		User:                   "*",
		App:                    "*",
		MaxClients:             5000,
		MaxTransactionMs:       minute,
		MaxIdleInTransactionMs: 30 * second,
		Statements:             500,
		StatementBytes:         megabyte,
		Limits: connpool.Limits{
			MaxConns:   20,
			MaxWaiting: 5000,
			MaxWaitMs:  10 * second,
			ReserveMs:  second,
			MaxAgeMs:   hour,
			MaxIdleMs:  5 * minute,
			MaxDials:   4,
			RedialMs:   200,
		},
	}
}

var (
	messageBytes      = sizeRange{64 * kilobyte, 64 * megabyte}
	responseBytes     = sizeRange{64 * kilobyte, 256 * megabyte}
	lateWeights       = numberRange{0, 1}
	poolConnections   = countRange{1, 100000}
	poolReserves      = countRange{0, 100000}
	poolQueues        = countRange{0, 1000000}
	poolDials         = countRange{1, 1000}
	poolClients       = countRange{0, 1000000}
	statementCounts   = countRange{1, 100000}
	statementByteSize = sizeRange{kilobyte, gigabyte}
)

// readKinds are the kinds of reads by their names in (needs ...).
var readKinds = map[string]decide.ReadKind{
	"primary": decide.Write,
	"any":     decide.ReadAny,
	"session": decide.ReadSession,
	"bounded": decide.ReadBounded,
}

func (p *Pooling) read(node *sexp.Node, _ func(string) string) error {
	p.MaxMessageBytes = defaultMaxMessageBytes
	p.MaxResponseBytes = defaultMaxResponseBytes
	p.classPositions = map[string]sexp.Pos{}
	err := sexp.Schema{
		"listen":       listenAddress(&p.Listen),
		"class":        p.readClass,
		"pool":         p.readPool,
		"most-message": size(&p.MaxMessageBytes, messageBytes),
		"most-answer":  size(&p.MaxResponseBytes, responseBytes),
	}.Read(node.Args(), "class", "pool")
	switch {
	case err != nil:
		return err
	case p.Listen != "" && len(p.Pools) == 0:
		return node.Errorf("pooling: there is a (listen ...), but no (pool ...)")
	case p.Listen == "" && len(p.Pools) > 0:
		return node.Errorf("pooling: there is a (pool ...), but no (listen \"ADDRESS:PORT\")")
	}
	return nil
}

// classIndex returns the index of a class, or -1 if there is none of that name.
func (p *Pooling) classIndex(name string) int {
	return slices.IndexFunc(p.Classes, func(class TransactionClass) bool { return class.Name == name })
}

func (p *Pooling) readClass(node *sexp.Node) error {
	arguments := node.Args()
	name, ok := firstName(arguments)
	if !ok {
		return node.Errorf("expected a class's name first")
	}
	if p.classIndex(name) >= 0 {
		return arguments[0].Errorf("duplicate class %q", name)
	}
	class := TransactionClass{Name: name, Class: decide.Class{
		LatencyObjective: defaultTransactionTarget,
		Deadline:         defaultTransactionDeadline,
		PriorityWeight:   defaultPriorityWeight,
		LateWeight:       1,
		Idempotency:      decide.NotIdempotent,
		Read:             decide.Write,
	}}
	err := sexp.Schema{
		"aim":      timeDuration(&class.LatencyObjective),
		"deadline": timeDuration(&class.Deadline),
		"bound":    timeDuration(&class.MaxStaleness),
		"worth":    number(&class.PriorityWeight, priorityWeights),
		"late":     number(&class.LateWeight, lateWeights),
		"needs": func(node *sexp.Node) error {
			name, err := node.Str()
			if err != nil {
				return err
			}
			kind, ok := readKinds[name]
			if !ok {
				return node.Items[1].Errorf("expected primary, any, session or bounded")
			}
			class.Read = kind
			return nil
		},
	}.Read(arguments[1:])
	if err != nil {
		return err
	}
	if class.Read == decide.ReadBounded && class.MaxStaleness == 0 {
		return node.Errorf("class %q: (needs bounded) requires (bound TIME)", name)
	}
	p.Classes = append(p.Classes, class)
	return nil
}

// timeDuration reads (key TIME) into target.
func timeDuration(target *time.Duration) reader {
	return func(node *sexp.Node) error {
		ms, err := node.Millis(positiveDuration.min, positiveDuration.max)
		*target = milliseconds(ms)
		return err
	}
}

func (p *Pooling) readPool(node *sexp.Node) error {
	options := defaultPoolOptions()
	limits := &options.Limits
	err := sexp.Schema{
		"database":    text(&options.Database),
		"user":        text(&options.User),
		"application": text(&options.App),
		"mode": choice(func(word string) {
			if word == "session" {
				options.Mode = pooling.Session
			}
		}, "transaction", "session"),
		"pins":                choice(func(word string) { options.RejectSticky = word == "refuse" }, "keep", "refuse"),
		"class":               p.readClassName(&options.Class),
		"reads":               p.readClassName(&options.ReadClass),
		"group":               count(&options.Group, groupNumbers),
		"connections":         count(&limits.MaxConns, poolConnections),
		"per-server":          count(&limits.MaxPerServer, poolConnections),
		"reserve":             count(&limits.Reserve, poolReserves),
		"reserve-after":       duration(&limits.ReserveMs, anyDuration),
		"queue":               count(&limits.MaxWaiting, poolQueues),
		"wait":                duration(&limits.MaxWaitMs, anyDuration),
		"lifetime":            duration(&limits.MaxAgeMs, anyDuration),
		"idle":                duration(&limits.MaxIdleMs, anyDuration),
		"dials":               count(&limits.MaxDials, poolDials),
		"again":               duration(&limits.RedialMs, anyDuration),
		"clients":             count(&options.MaxClients, poolClients),
		"transaction":         duration(&options.MaxTransactionMs, anyDuration),
		"idle-in-transaction": duration(&options.MaxIdleInTransactionMs, anyDuration),
		"statements":          count(&options.Statements, statementCounts),
		"statement-bytes":     size(&options.StatementBytes, statementByteSize),
	}.Read(node.Args())
	switch {
	case err != nil:
		return err
	case options.Class == "":
		return node.Errorf("pool: (class \"NAME\"), the class of its transactions, is missing")
	case options.Mode == pooling.Session && options.ReadClass != "":
		return node.Errorf("pool: (reads ...) requires (mode transaction), as with (mode session) all transactions run at the primary")
	}
	p.Pools = append(p.Pools, options)
	return nil
}

// readClassName reads the name of a class into target, and keeps the position at which the class is first named.
func (p *Pooling) readClassName(target *string) reader {
	return func(node *sexp.Node) (err error) {
		if *target, err = node.Str(); err != nil {
			return err
		}
		if _, ok := p.classPositions[*target]; !ok {
			p.classPositions[*target] = node.Items[1].Pos
		}
		return nil
	}
}

// choice reads one of the allowed words, and passes it to set.
func choice(set func(string), allowed ...string) reader {
	return func(node *sexp.Node) error {
		word, err := node.Str()
		if err == nil && !slices.Contains(allowed, word) {
			err = node.Items[1].Errorf("expected one of %v", allowed)
		}
		set(word)
		return err
	}
}

// Check checks that the classes that pools name exist and are of the right kind, and that none has the name of a platform's class.
func (p *Pooling) Check(platformClasses []string) error {
	for _, class := range p.Classes {
		if slices.Contains(platformClasses, class.Name) {
			return fmt.Errorf("pooling: class %q exists already, as one of the platform's classes", class.Name)
		}
	}
	for _, pool := range p.Pools {
		if err := p.checkClass(pool.Class, true); err != nil {
			return err
		}
		if err := p.checkClass(pool.ReadClass, false); err != nil {
			return err
		}
	}
	return nil
}

func (p *Pooling) checkClass(name string, needsPrimary bool) error {
	if name == "" {
		return nil
	}
	i := p.classIndex(name)
	if i < 0 {
		return &sexp.Error{Pos: p.classPositions[name], Text: fmt.Sprintf("there is no (class %q ...)", name)}
	}
	if needsPrimary && p.Classes[i].Read != decide.Write {
		reason := fmt.Sprintf("class %q does not need the primary, and so can only be used in (reads ...)", name)
		return &sexp.Error{Pos: p.classPositions[name], Text: reason}
	}
	return nil
}

// AddClasses adds the operators' classes to a configuration.
func (p *Pooling) AddClasses(cfg *config.Config) {
	for _, class := range p.Classes {
		cfg.Classes = append(cfg.Classes, class.Name)
		cfg.Settings.Classes = append(cfg.Settings.Classes, class.Class)
	}
}
