package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"

	"beechgrade/internal/endpoints"
	"beechgrade/internal/endpoints/consul"
	"beechgrade/internal/endpoints/reconcile"
	"beechgrade/internal/sexp"
)

// Endpoints says what the list of servers is made of. Without it, the platform's discovery is the list.
type Endpoints struct {
	Enabled      bool
	Options      endpoints.Options
	Consul       *consul.Options // nil for none
	TokenFile    string
	StaticPath   string // a file of the platform's form, read at the start and at each reload
	OverridePath string // a file of the operators' word, read at the start and at each reload

	caFile string // a file of certificates
}

const maxTokenBytes = 1 << 16 // bytes of a token's file

func (m *Endpoints) read(node *sexp.Node, env func(string) string) error {
	m.Enabled = true
	var rank []string
	var rankAt *sexp.Node
	j := reconcile.Defaults()
	path := func(to *string) func(*sexp.Node) error {
		return func(node *sexp.Node) error {
			text, err := node.Str()
			if *to = os.Expand(text, env); err == nil && *to == "" {
				err = node.Errorf("the file's name is empty; is its variable set?")
			}
			return err
		}
	}
	span := func(to *float64) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Millis(0, maxDurationMs); return err }
	}
	err := sexp.Schema{
		"platform": func(node *sexp.Node) (err error) { m.Options.Platform, err = node.Bool(); return err },
		"consul":   func(node *sexp.Node) error { return m.readConsul(node, env, path) },
		"static":   path(&m.StaticPath),
		"snapshot": path(&m.Options.SnapshotPath),
		"override": path(&m.OverridePath),
		"rank": func(node *sexp.Node) error {
			rankAt = node
			for _, a := range node.Args() {
				if a.Kind == sexp.List || !slices.Contains([]string{endpoints.SourcePlatform, endpoints.SourceConsul, endpoints.SourceStatic}, a.Text) || slices.Contains(rank, a.Text) {
					return a.Errorf("(rank ...) takes platform, consul and static, each once at most, the first before the others")
				}
				rank = append(rank, a.Text)
			}
			return nil
		},
		"keep":  span(&j.SourceRetentionMs),
		"old":   span(&j.StaleAgeMs),
		"word":  span(&j.SelfReportTTLMs),
		"mass":  func(node *sexp.Node) error { return readMassRemoval(node, &j) },
		"flaps": func(node *sexp.Node) error { return readFlapping(node, &j) },
		"critical": func(node *sexp.Node) error {
			x, err := node.Argument()
			ways := map[string]reconcile.CriticalPolicy{"doubt": reconcile.CriticalUseIfResponding, "drains": reconcile.CriticalDrain, "ignore": reconcile.CriticalIgnore}
			way, ok := ways[""], false
			if err == nil {
				way, ok = ways[x.Text]
			}
			if !ok {
				return node.Errorf("(critical doubt), (critical drains) or (critical ignore)")
			}
			j.Critical = way
			return nil
		},
	}.Read(node.Args())
	if err != nil {
		return err
	}
	var sources []string
	for name, on := range map[string]bool{endpoints.SourcePlatform: m.Options.Platform, endpoints.SourceConsul: m.Consul != nil, endpoints.SourceStatic: m.StaticPath != ""} {
		if on {
			sources = append(sources, name)
		}
	}
	if len(sources) == 0 {
		return node.Errorf("membership: there is no source; (consul ...), (static \"FILE\") or (platform yes) is due")
	}
	slices.SortFunc(sources, func(a, b string) int { return sourceRank(rank, a) - sourceRank(rank, b) })
	for _, r := range rank {
		if !slices.Contains(sources, r) {
			return rankAt.Errorf("rank: %s is no source here", r)
		}
	}
	j.Sources = sources
	m.Options.Reconcile = j
	return nil
}

// sourceRank is a source's place: those that are ranked, and then platform, consul and static.
func sourceRank(rank []string, name string) int {
	if i := slices.Index(rank, name); i >= 0 {
		return i
	}
	return 10 + slices.Index([]string{endpoints.SourcePlatform, endpoints.SourceConsul, endpoints.SourceStatic}, name)
}

// readMassRemoval reads (mass PART LEAST WITHIN HOLD), or (mass no).
func readMassRemoval(node *sexp.Node, j *reconcile.Settings) (err error) {
	a := node.Args()
	if len(a) == 1 && a[0].Text == "no" {
		j.MassRemovalFraction = 0
		return nil
	}
	if len(a) != 4 {
		return node.Errorf("(mass PART LEAST WITHIN HOLD): a source that drops this part of its servers, and at least so many, within this time is not believed for so long; or (mass no)")
	}
	least := 0.0
	if j.MassRemovalFraction, err = a[0].Number(0.01, 1); err == nil {
		least, err = a[1].Number(1, 10000)
	}
	j.MassRemovalMinimum = int(least)
	if err == nil {
		j.MassRemovalWindowMs, err = a[2].Duration(0, maxDurationMs)
	}
	if err == nil {
		j.MassRemovalHoldMs, err = a[3].Duration(0, maxDurationMs)
	}
	return err
}

// readFlapping reads (flaps TIMES WITHIN STILL), or (flaps no).
func readFlapping(node *sexp.Node, j *reconcile.Settings) (err error) {
	a := node.Args()
	if len(a) == 1 && a[0].Text == "no" {
		j.FlapThreshold = 0
		return nil
	}
	if len(a) != 3 {
		return node.Errorf("(flaps TIMES WITHIN STILL): a server that comes and goes so often within this time is not used until it has kept still for so long; or (flaps no)")
	}
	times, err := a[0].Number(2, 1000)
	j.FlapThreshold = int(times)
	if err == nil {
		j.FlapWindowMs, err = a[1].Duration(1, maxDurationMs)
	}
	if err == nil {
		j.FlapHoldMs, err = a[2].Duration(0, maxDurationMs)
	}
	return err
}

func (m *Endpoints) readConsul(node *sexp.Node, env func(string) string, path func(*string) func(*sexp.Node) error) error {
	o := &consul.Options{Name: endpoints.SourceConsul, WaitMs: 20000, MaxStaleMs: 10000, MaxResponseBytes: 16 << 20, Mapping: consul.DefaultMapping()}
	m.Consul = o
	https := false
	text := func(to *string) func(*sexp.Node) error {
		return func(node *sexp.Node) (err error) { *to, err = node.Str(); return err }
	}
	err := sexp.Schema{
		"agents": func(node *sexp.Node) error {
			for _, a := range node.Args() {
				if _, _, err := net.SplitHostPort(a.Text); a.Kind == sexp.List || err != nil {
					return a.Errorf("an agent's \"ADDRESS:PORT\" is due")
				}
				o.Agents = append(o.Agents, a.Text)
			}
			return nil
		},
		"services": func(node *sexp.Node) error {
			for _, a := range node.Args() {
				if a.Kind == sexp.List || a.Text == "" || strings.ContainsAny(a.Text, "/?#% ") || slices.Contains(o.Services, a.Text) {
					return a.Errorf("a service's name is due, each once")
				}
				o.Services = append(o.Services, a.Text)
			}
			return nil
		},
		"https":      func(node *sexp.Node) (err error) { https, err = node.Bool(); return err },
		"ca":         path(&m.caFile),
		"token-file": path(&m.TokenFile),
		"dc":         text(&o.Datacenter),
		"ns":         text(&o.Namespace),
		"partition":  text(&o.Partition),
		"filter":     text(&o.Filter),
		"catalog":    func(node *sexp.Node) (err error) { o.CatalogOnly, err = node.Bool(); return err },
		"consistency": func(node *sexp.Node) error {
			x, err := node.Argument()
			if err != nil || x.Text != "default" && x.Text != "stale" && x.Text != "consistent" {
				return node.Errorf("(consistency default), (consistency stale) or (consistency consistent)")
			}
			if o.Consistency = x.Text; x.Text == "default" {
				o.Consistency = ""
			}
			return nil
		},
		"max-stale": func(node *sexp.Node) (err error) { o.MaxStaleMs, err = node.Millis(0, maxDurationMs); return err },
		"wait":      func(node *sexp.Node) (err error) { o.WaitMs, err = node.Millis(1000, 600000); return err },
		"most":      func(node *sexp.Node) (err error) { o.MaxResponseBytes, err = node.Bytes(1<<16, 1<<30); return err },
		"map":       func(node *sexp.Node) error { return readMapping(node, &o.Mapping) },
	}.Read(node.Args())
	switch {
	case err != nil:
		return err
	case len(o.Agents) == 0:
		return node.Errorf("consul: (agents \"ADDRESS:PORT\" ...) is due")
	case len(o.Services) == 0:
		return node.Errorf("consul: (services \"NAME\" ...) is due")
	case m.caFile != "" && !https:
		return node.Errorf("consul: (ca ...) goes with (https)")
	}
	if https {
		o.TLS = &tls.Config{MinVersion: tls.VersionTLS12}
		if m.caFile != "" {
			text, err := readSmallFile(m.caFile, 1<<20)
			if err != nil {
				return node.Errorf("consul: %v", err)
			}
			if o.TLS.RootCAs = x509.NewCertPool(); !o.TLS.RootCAs.AppendCertsFromPEM(text) {
				return node.Errorf("consul: %s holds no certificate", m.caFile)
			}
		}
	}
	return nil
}

// readMapping reads (map (group (meta "cell")) (role (tag) ...) ...).
func readMapping(node *sexp.Node, m *consul.Mapping) error {
	from := func(to *consul.FieldSource) func(*sexp.Node) error {
		return func(node *sexp.Node) error {
			a := node.Args()
			if len(a) != 1 {
				return node.Errorf("(%s (meta \"KEY\")), or another place: %s", node.Head(), strings.Join(consul.FieldSourceKinds, ", "))
			}
			return readFieldSource(a[0], to)
		}
	}
	return sexp.Schema{
		"id": from(&m.ID), "group": from(&m.Group), "zone": from(&m.Zone), "kind": from(&m.Kind), "weight": from(&m.Weight), "started": from(&m.Started), "role": from(&m.Role),
		"primary": func(node *sexp.Node) error { return readWords(node, &m.PrimaryWords) },
		"replica": func(node *sexp.Node) error { return readWords(node, &m.ReplicaWords) },
		"group-number": func(node *sexp.Node) error {
			a := node.Args()
			if len(a) != 2 {
				return node.Errorf("(group-number \"NAME\" NUMBER)")
			}
			x, err := a[1].Number(0, 1<<30)
			if m.GroupNumbers == nil {
				m.GroupNumbers = map[string]string{}
			}
			m.GroupNumbers[a[0].Text] = fmt.Sprint(int(x))
			return err
		},
	}.Read(node.Args(), "group-number")
}

// readFieldSource reads where a field comes from.
func readFieldSource(node *sexp.Node, to *consul.FieldSource) error {
	kind := node.Head()
	if node.Kind != sexp.List {
		kind = node.Text
	}
	if !slices.Contains(consul.FieldSourceKinds, kind) {
		return node.Errorf("%q is no place in a service; there are: %s", kind, strings.Join(consul.FieldSourceKinds, ", "))
	}
	*to = consul.FieldSource{Kind: kind}
	args := node.Args()
	if node.Kind != sexp.List {
		args = nil
	}
	needs := kind == "meta" || kind == "node-meta" || kind == "const"
	switch {
	case len(args) > 1, needs && len(args) == 0, !needs && kind != "tag" && len(args) > 0:
		return node.Errorf("(%s ...) takes %s", kind, map[bool]string{true: "its key in double quotes", false: "nothing"}[needs || kind == "tag"])
	case len(args) == 1:
		to.Key = args[0].Text
	}
	return nil
}

func readWords(node *sexp.Node, to *[]string) error {
	*to = nil
	for _, a := range node.Args() {
		if a.Kind == sexp.List || a.Text == "" {
			return a.Errorf("a word is due")
		}
		*to = append(*to, a.Text)
	}
	return nil
}

// readSmallFile reads a small file.
func readSmallFile(path string, most int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, most+1))
	if err == nil && int64(len(text)) > most {
		err = fmt.Errorf("%s has over %d bytes", path, most)
	}
	return text, err
}

// Token reads the token's file; empty where there is none.
func (m *Endpoints) Token() (string, error) {
	if m.TokenFile == "" {
		return "", nil
	}
	text, err := readSmallFile(m.TokenFile, maxTokenBytes)
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// ReadOverride reads the operators' word on members: (accept-removals) and (pin "ID" serving|draining|gone). No file is no
// word.
func (m *Endpoints) ReadOverride() (reconcile.Override, error) {
	var o reconcile.Override
	if m.OverridePath == "" {
		return o, nil
	}
	text, err := readSmallFile(m.OverridePath, sexp.MaxBytes)
	if os.IsNotExist(err) {
		return o, nil
	}
	if err != nil {
		return o, fmt.Errorf("override: %w", err)
	}
	nodes, err := sexp.Parse(m.OverridePath, text)
	if err != nil {
		return o, err
	}
	return o, sexp.Schema{
		"accept-removals": func(node *sexp.Node) (err error) { o.AcceptHeldRemovals, err = node.Bool(); return err },
		"pin": func(node *sexp.Node) error {
			a := node.Args()
			states := map[string]reconcile.State{"serving": reconcile.StateServing, "draining": reconcile.StateDraining, "gone": reconcile.StateRemoved}
			if len(a) != 2 || a[0].Text == "" {
				return node.Errorf("(pin \"ID\" serving), draining or gone")
			}
			s, ok := states[a[1].Text]
			if !ok {
				return a[1].Errorf("serving, draining or gone")
			}
			o.Pins = append(o.Pins, reconcile.Pin{ID: a[0].Text, State: s})
			return nil
		},
	}.Read(nodes, "pin")
}
