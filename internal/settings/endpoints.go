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

// Endpoints configures the sources of the endpoint list. Without it, the list is that of the platform's discovery.
type Endpoints struct {
	Enabled      bool
	Options      endpoints.Options
	Consul       *consul.Options // nil for none
	TokenFile    string          // holds the token for Consul
	StaticPath   string          // a list in the platform's form, read at the start and at each reload
	OverridePath string          // the operators' instructions, read at the start and at each reload

	caFile string // root certificates for Consul's agents
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

// sourceNames are the names of the sources, ordered by their default rank.
var sourceNames = []string{endpoints.SourcePlatform, endpoints.SourceConsul, endpoints.SourceStatic}

// criticalPolicies are the policies by their names in (critical ...).
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
			return node.Errorf("expected (critical doubt), (critical drains) or (critical ignore)")
		},
	}.Read(node.Args())
	if err != nil {
		return err
	}
	sources := e.sources()
	if len(sources) == 0 {
		return node.Errorf("membership: no source; (consul ...), (static \"FILE\") or (platform yes) is required")
	}
	if settings.Sources, err = ranking.sort(sources); err != nil {
		return err
	}
	e.Options.Reconcile = settings
	return nil
}

// sources returns the names of the sources that are configured, in the order of sourceNames.
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

// sourceRanking holds the setting (rank NAME ...).
type sourceRanking struct {
	node  *sexp.Node // nil where it is not set
	names []string
}

func (r *sourceRanking) read(node *sexp.Node) error {
	r.node = node
	for _, item := range node.Args() {
		isSource := item.Kind != sexp.List && slices.Contains(sourceNames, item.Text)
		if !isSource || slices.Contains(r.names, item.Text) {
			return item.Errorf("(rank ...) takes platform, consul and static, each at most once, with the highest rank first")
		}
		r.names = append(r.names, item.Text)
	}
	return nil
}

// sort returns the sources with the ranked ones first. A ranked name that is not among the sources is an error.
func (r *sourceRanking) sort(sources []string) ([]string, error) {
	for _, name := range r.names {
		if !slices.Contains(sources, name) {
			return nil, r.node.Errorf("rank: %s is not a configured source", name)
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
		return node.Errorf("expected (mass PART LEAST WITHIN HOLD), or (mass no): if a source removes the fraction PART of its servers, and at least " +
			"LEAST of them, within the time WITHIN, its removals are held back for the time HOLD")
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
		return node.Errorf("expected (flaps TIMES WITHIN STILL), or (flaps no): a server whose state changes TIMES times within the time WITHIN " +
			"is not used until it has been stable for the time STILL")
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

// Token reads the token file. It returns "" if none is configured.
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

// overrideStates are the states by their names in (pin "ID" STATE).
var overrideStates = map[string]reconcile.State{
	"serving":  reconcile.StateServing,
	"draining": reconcile.StateDraining,
	"gone":     reconcile.StateRemoved,
}

// ReadOverride reads the operators' instructions: (accept-removals) and (pin "ID" serving|draining|gone). A missing file means none.
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
				return node.Errorf("expected (pin \"ID\" serving), (pin \"ID\" draining) or (pin \"ID\" gone)")
			}
			state, ok := overrideStates[arguments[1].Text]
			if !ok {
				return arguments[1].Errorf("expected serving, draining or gone")
			}
			override.Pins = append(override.Pins, reconcile.Pin{ID: arguments[0].Text, State: state})
			return nil
		},
	}.Read(nodes, "pin")
	return override, err
}

// readSmallFile reads a file. A file of more than maxBytes is an error.
func readSmallFile(path string, maxBytes int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	if err == nil && int64(len(text)) > maxBytes {
		err = fmt.Errorf("%s has more than %d bytes", path, maxBytes)
	}
	return text, err
}
