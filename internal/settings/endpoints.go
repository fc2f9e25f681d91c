package settings

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"beechgrade/internal/endpoints"
	"beechgrade/internal/endpoints/consul"
	"beechgrade/internal/endpoints/reconcile"
	"beechgrade/internal/sexp"
)

// Endpoints says which sources the endpoint list is made of. Without it, the platform's discovery is the list.
type Endpoints struct {
	Enabled      bool
	Options      endpoints.Options
	Consul       *consul.Options // nil for none
	TokenFile    string          // of Consul's token
	StaticPath   string          // a list in the platform's form, read at the start and at each reload
	OverridePath string          // the operators' instructions, read at the start and at each reload

	caFile string // certificates of Consul's agents
}

const (
	maxTokenBytes = 64 * kilobyte
	maxCABytes    = megabyte
)

var (
	massRemovalFractions = numberRange{0.01, 1}
	massRemovalMinimums  = numberRange{1, 10000}
	flapThresholds       = numberRange{2, 1000}
)

// sourceNames are the sources, in the order in which those rank that (rank ...) does not name.
var sourceNames = []string{endpoints.SourcePlatform, endpoints.SourceConsul, endpoints.SourceStatic}

// criticalPolicies are the words of (critical WORD).
var criticalPolicies = map[string]reconcile.CriticalPolicy{
	"doubt":  reconcile.CriticalUseIfResponding,
	"drains": reconcile.CriticalDrain,
	"ignore": reconcile.CriticalIgnore,
}

func (e *Endpoints) read(node *sexp.Node, env func(string) string) error {
	e.Enabled = true
	settings := reconcile.Defaults()
	ranking := &sourceRanking{}
	err := sexp.Schema{
		"platform": flag(&e.Options.Platform),
		"consul":   func(node *sexp.Node) error { return e.readConsul(node, env) },
		"static":   filePath(&e.StaticPath, env),
		"snapshot": filePath(&e.Options.SnapshotPath, env),
		"override": filePath(&e.OverridePath, env),
		"rank":     ranking.read,
		"keep":     duration(&settings.SourceRetentionMs, anyDuration),
		"old":      duration(&settings.StaleAgeMs, anyDuration),
		"word":     duration(&settings.SelfReportTTLMs, anyDuration),
		"mass":     func(node *sexp.Node) error { return readMassRemoval(node, &settings) },
		"flaps":    func(node *sexp.Node) error { return readFlapping(node, &settings) },
		"critical": func(node *sexp.Node) error {
			argument, err := node.Argument()
			if err == nil {
				if policy, ok := criticalPolicies[argument.Text]; ok {
					settings.Critical = policy
					return nil
				}
			}
			return node.Errorf("(critical doubt), (critical drains) or (critical ignore)")
		},
	}.Read(node.Args())
	if err != nil {
		return err
	}
	sources := e.sources()
	if len(sources) == 0 {
		return node.Errorf("membership: there is no source; (consul ...), (static \"FILE\") or (platform yes) is due")
	}
	if settings.Sources, err = ranking.sort(sources); err != nil {
		return err
	}
	e.Options.Reconcile = settings
	return nil
}

// sources are the names of the sources that are set, in the order of sourceNames.
func (e *Endpoints) sources() (names []string) {
	isSet := map[string]bool{
		endpoints.SourcePlatform: e.Options.Platform,
		endpoints.SourceConsul:   e.Consul != nil,
		endpoints.SourceStatic:   e.StaticPath != "",
	}
	for _, name := range sourceNames {
		if isSet[name] {
			names = append(names, name)
		}
	}
	return names
}

// sourceRanking is (rank NAME ...).
type sourceRanking struct {
	node  *sexp.Node // nil where it is not set
	names []string
}

func (r *sourceRanking) read(node *sexp.Node) error {
	r.node = node
	for _, item := range node.Args() {
		isSource := item.Kind != sexp.List && slices.Contains(sourceNames, item.Text)
		if !isSource || slices.Contains(r.names, item.Text) {
			return item.Errorf("(rank ...) takes platform, consul and static, each once at most, the first before the others")
		}
		r.names = append(r.names, item.Text)
	}
	return nil
}

// sort returns the sources with those that are ranked first. A name in the ranking that is no source is an error.
func (r *sourceRanking) sort(sources []string) ([]string, error) {
	for _, name := range r.names {
		if !slices.Contains(sources, name) {
			return nil, r.node.Errorf("rank: %s is no source here", name)
		}
	}
	sorted := slices.Clone(r.names)
	for _, name := range sources {
		if !slices.Contains(sorted, name) {
			sorted = append(sorted, name)
		}
	}
	return sorted, nil
}

// isOff reports whether a rule is switched off, as in (mass no).
func isOff(arguments []*sexp.Node) bool { return len(arguments) == 1 && arguments[0].Text == "no" }

// readMassRemoval reads (mass PART LEAST WITHIN HOLD), or (mass no).
func readMassRemoval(node *sexp.Node, settings *reconcile.Settings) (err error) {
	arguments := node.Args()
	if isOff(arguments) {
		settings.MassRemovalFraction = 0
		return nil
	}
	if len(arguments) != 4 {
		return node.Errorf("(mass PART LEAST WITHIN HOLD): a source that drops this part of its servers, and at least so many, " +
			"within this time is not believed for so long; or (mass no)")
	}
	settings.MassRemovalFraction, err = arguments[0].Number(massRemovalFractions.min, massRemovalFractions.max)
	if err != nil {
		return err
	}
	minimum, err := arguments[1].Number(massRemovalMinimums.min, massRemovalMinimums.max)
	if err != nil {
		return err
	}
	settings.MassRemovalMinimum = int(minimum)
	if settings.MassRemovalWindowMs, err = arguments[2].Duration(anyDuration.min, anyDuration.max); err != nil {
		return err
	}
	settings.MassRemovalHoldMs, err = arguments[3].Duration(anyDuration.min, anyDuration.max)
	return err
}

// readFlapping reads (flaps TIMES WITHIN STILL), or (flaps no).
func readFlapping(node *sexp.Node, settings *reconcile.Settings) (err error) {
	arguments := node.Args()
	if isOff(arguments) {
		settings.FlapThreshold = 0
		return nil
	}
	if len(arguments) != 3 {
		return node.Errorf("(flaps TIMES WITHIN STILL): a server that comes and goes so often within this time is not used " +
			"until it has kept still for so long; or (flaps no)")
	}
	threshold, err := arguments[0].Number(flapThresholds.min, flapThresholds.max)
	if err != nil {
		return err
	}
	settings.FlapThreshold = int(threshold)
	if settings.FlapWindowMs, err = arguments[1].Duration(positiveDuration.min, positiveDuration.max); err != nil {
		return err
	}
	settings.FlapHoldMs, err = arguments[2].Duration(anyDuration.min, anyDuration.max)
	return err
}

// Token reads the token file; empty where there is none.
func (e *Endpoints) Token() (string, error) {
	if e.TokenFile == "" {
		return "", nil
	}
	text, err := readSmallFile(e.TokenFile, maxTokenBytes)
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// overrideStates are the words of (pin "ID" WORD).
var overrideStates = map[string]reconcile.State{
	"serving":  reconcile.StateServing,
	"draining": reconcile.StateDraining,
	"gone":     reconcile.StateRemoved,
}

// ReadOverride reads the operators' instructions: (accept-removals) and (pin "ID" serving|draining|gone). Without a file there are none.
func (e *Endpoints) ReadOverride() (reconcile.Override, error) {
	var override reconcile.Override
	if e.OverridePath == "" {
		return override, nil
	}
	text, err := readSmallFile(e.OverridePath, sexp.MaxBytes)
	if os.IsNotExist(err) {
		return override, nil
	}
	if err != nil {
		return override, fmt.Errorf("override: %w", err)
	}
	nodes, err := sexp.Parse(e.OverridePath, text)
	if err != nil {
		return override, err
	}
	err = sexp.Schema{
		"accept-removals": flag(&override.AcceptHeldRemovals),
		"pin": func(node *sexp.Node) error {
			arguments := node.Args()
			if len(arguments) != 2 || arguments[0].Text == "" {
				return node.Errorf("(pin \"ID\" serving), draining or gone")
			}
			state, ok := overrideStates[arguments[1].Text]
			if !ok {
				return arguments[1].Errorf("serving, draining or gone")
			}
			override.Pins = append(override.Pins, reconcile.Pin{ID: arguments[0].Text, State: state})
			return nil
		},
	}.Read(nodes, "pin")
	return override, err
}

// readSmallFile reads a file of at most maxBytes.
func readSmallFile(path string, maxBytes int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	if err == nil && int64(len(text)) > maxBytes {
		err = fmt.Errorf("%s has over %d bytes", path, maxBytes)
	}
	return text, err
}
