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

// Pooling says whether and how PostgreSQL clients are served.
type Pooling struct {
	Listen           string // empty for off
	Classes          []TransactionClass
	Pools            []pooling.PoolOptions
	MaxMessageBytes  int
	MaxResponseBytes int

	classPositions map[string]sexp.Pos // where pools name their classes
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

// defaultPoolOptions are the options of a pool whose settings name none.
func defaultPoolOptions() pooling.PoolOptions {
	return pooling.PoolOptions{
		Database:       "*",
		User:           "*",
		App:            "*",
		MaxClients:     5000,
		TxnMs:          minute,
		IdleTxnMs:      30 * second,
		Statements:     500,
		StatementBytes: megabyte,
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

// readKinds are the words of (needs WORD).
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
		return node.Errorf("pooling: it listens, but there is no (pool ...)")
	case p.Listen == "" && len(p.Pools) > 0:
		return node.Errorf("pooling: there are pools, but no (listen \"ADDRESS:PORT\")")
	}
	return nil
}

// classNamed is the index of a class, -1 for none.
func (p *Pooling) classNamed(name string) int {
	return slices.IndexFunc(p.Classes, func(class TransactionClass) bool { return class.Name == name })
}

func (p *Pooling) readClass(node *sexp.Node) error {
	arguments := node.Args()
	name, ok := firstName(arguments)
	if !ok {
		return node.Errorf("a class's name is due first")
	}
	if p.classNamed(name) >= 0 {
		return arguments[0].Errorf("there is a class %q already", name)
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
			word, err := node.Str()
			if err != nil {
				return err
			}
			kind, ok := readKinds[word]
			if !ok {
				return node.Items[1].Errorf("primary, any, session or bounded is due here")
			}
			class.Read = kind
			return nil
		},
	}.Read(arguments[1:])
	if err != nil {
		return err
	}
	if class.Read == decide.ReadBounded && class.MaxStaleness == 0 {
		return node.Errorf("class %q: (needs bounded) wants a (bound TIME)", name)
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
		"reads":               p.readClassName(&options.Reads),
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
		"transaction":         duration(&options.TxnMs, anyDuration),
		"idle-in-transaction": duration(&options.IdleTxnMs, anyDuration),
		"statements":          count(&options.Statements, statementCounts),
		"statement-bytes":     size(&options.StatementBytes, statementByteSize),
	}.Read(node.Args())
	switch {
	case err != nil:
		return err
	case options.Class == "":
		return node.Errorf("pool: (class \"NAME\") is missing: which class are its transactions of?")
	case options.Mode == pooling.Session && options.Reads != "":
		return node.Errorf("pool: a pool by session has all its transactions at the primary; (reads ...) is for one by transaction")
	}
	p.Pools = append(p.Pools, options)
	return nil
}

// readClassName reads the name of a class into target, and keeps where it was named first.
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

// choice reads one of the words allowed, and has set take it.
func choice(set func(string), allowed ...string) reader {
	return func(node *sexp.Node) error {
		word, err := node.Str()
		if err == nil && !slices.Contains(allowed, word) {
			err = node.Items[1].Errorf("one of %v is due here", allowed)
		}
		set(word)
		return err
	}
}

// Check checks that the pools' classes exist and fit, and are none of the platform's.
func (p *Pooling) Check(platformClasses []string) error {
	for _, class := range p.Classes {
		if slices.Contains(platformClasses, class.Name) {
			return fmt.Errorf("pooling: class %q is one of the platform's", class.Name)
		}
	}
	for _, pool := range p.Pools {
		if err := p.checkClass(pool.Class, true); err != nil {
			return err
		}
		if err := p.checkClass(pool.Reads, false); err != nil {
			return err
		}
	}
	return nil
}

func (p *Pooling) checkClass(name string, needsPrimary bool) error {
	if name == "" {
		return nil
	}
	i := p.classNamed(name)
	if i < 0 {
		return &sexp.Error{Pos: p.classPositions[name], Text: fmt.Sprintf("there is no (class %q ...)", name)}
	}
	if needsPrimary && p.Classes[i].Read != decide.Write {
		reason := fmt.Sprintf("class %q does not need the primary, and so is for (reads ...)", name)
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
