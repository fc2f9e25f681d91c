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

// Membership says what the list of servers is made of. Without it, the platform's discovery is the list.
type Membership struct {
	On        bool
	Members   endpoints.Options
	Consul    *consul.Options // nil for none
	TokenFile string
	Static    string // a file of the platform's form, read at the start and at each reload
	Override  string // a file of the operators' word, read at the start and at each reload

	ca string // a file of certificates
}

const maxSmall = 1 << 16 // bytes of a token's file

func (m *Membership) read(n *sexp.Node, env func(string) string) error {
	m.On = true
	var rank []string
	var rankAt *sexp.Node
	j := reconcile.Defaults()
	path := func(to *string) func(*sexp.Node) error {
		return func(n *sexp.Node) error {
			text, err := n.Str()
			if *to = os.Expand(text, env); err == nil && *to == "" {
				err = n.Errorf("the file's name is empty; is its variable set?")
			}
			return err
		}
	}
	span := func(to *float64) func(*sexp.Node) error {
		return func(n *sexp.Node) (err error) { *to, err = n.Millis(0, longest); return err }
	}
	err := sexp.Form{
		"platform": func(n *sexp.Node) (err error) { m.Members.Platform, err = n.Bool(); return err },
		"consul":   func(n *sexp.Node) error { return m.consul(n, env, path) },
		"static":   path(&m.Static),
		"snapshot": path(&m.Members.Snapshot),
		"override": path(&m.Override),
		"rank": func(n *sexp.Node) error {
			rankAt = n
			for _, a := range n.Args() {
				if a.Kind == sexp.List || !slices.Contains([]string{endpoints.Platform, endpoints.Consul, endpoints.Static}, a.Text) || slices.Contains(rank, a.Text) {
					return a.Errorf("(rank ...) takes platform, consul and static, each once at most, the first before the others")
				}
				rank = append(rank, a.Text)
			}
			return nil
		},
		"keep":  span(&j.Keep),
		"old":   span(&j.OldAge),
		"word":  span(&j.WordFor),
		"mass":  func(n *sexp.Node) error { return mass(n, &j) },
		"flaps": func(n *sexp.Node) error { return flaps(n, &j) },
		"critical": func(n *sexp.Node) error {
			x, err := n.One()
			ways := map[string]reconcile.OnCritical{"doubt": reconcile.Doubt, "drains": reconcile.Drains, "ignore": reconcile.Ignore}
			way, ok := ways[""], false
			if err == nil {
				way, ok = ways[x.Text]
			}
			if !ok {
				return n.Errorf("(critical doubt), (critical drains) or (critical ignore)")
			}
			j.Critical = way
			return nil
		},
	}.Read(n.Args())
	if err != nil {
		return err
	}
	var sources []string
	for name, on := range map[string]bool{endpoints.Platform: m.Members.Platform, endpoints.Consul: m.Consul != nil, endpoints.Static: m.Static != ""} {
		if on {
			sources = append(sources, name)
		}
	}
	if len(sources) == 0 {
		return n.Errorf("membership: there is no source; (consul ...), (static \"FILE\") or (platform yes) is due")
	}
	slices.SortFunc(sources, func(a, b string) int { return order(rank, a) - order(rank, b) })
	for _, r := range rank {
		if !slices.Contains(sources, r) {
			return rankAt.Errorf("rank: %s is no source here", r)
		}
	}
	j.Sources = sources
	m.Members.Judge = j
	return nil
}

// order is a source's place: those that are ranked, and then platform, consul and static.
func order(rank []string, name string) int {
	if i := slices.Index(rank, name); i >= 0 {
		return i
	}
	return 10 + slices.Index([]string{endpoints.Platform, endpoints.Consul, endpoints.Static}, name)
}

// mass reads (mass PART LEAST WITHIN HOLD), or (mass no).
func mass(n *sexp.Node, j *reconcile.Settings) (err error) {
	a := n.Args()
	if len(a) == 1 && a[0].Text == "no" {
		j.MassPart = 0
		return nil
	}
	if len(a) != 4 {
		return n.Errorf("(mass PART LEAST WITHIN HOLD): a source that drops this part of its servers, and at least so many, within this time is not believed for so long; or (mass no)")
	}
	least := 0.0
	if j.MassPart, err = a[0].Number(0.01, 1); err == nil {
		least, err = a[1].Number(1, 10000)
	}
	j.MassLeast = int(least)
	if err == nil {
		j.MassIn, err = a[2].Span(0, longest)
	}
	if err == nil {
		j.MassHold, err = a[3].Span(0, longest)
	}
	return err
}

// flaps reads (flaps TIMES WITHIN STILL), or (flaps no).
func flaps(n *sexp.Node, j *reconcile.Settings) (err error) {
	a := n.Args()
	if len(a) == 1 && a[0].Text == "no" {
		j.FlapTimes = 0
		return nil
	}
	if len(a) != 3 {
		return n.Errorf("(flaps TIMES WITHIN STILL): a server that comes and goes so often within this time is not used until it has kept still for so long; or (flaps no)")
	}
	times, err := a[0].Number(2, 1000)
	j.FlapTimes = int(times)
	if err == nil {
		j.FlapIn, err = a[1].Span(1, longest)
	}
	if err == nil {
		j.FlapHold, err = a[2].Span(0, longest)
	}
	return err
}

func (m *Membership) consul(n *sexp.Node, env func(string) string, path func(*string) func(*sexp.Node) error) error {
	o := &consul.Options{Name: endpoints.Consul, Wait: 20000, MaxStale: 10000, MostBytes: 16 << 20, Map: consul.DefaultMapping()}
	m.Consul = o
	https := false
	text := func(to *string) func(*sexp.Node) error {
		return func(n *sexp.Node) (err error) { *to, err = n.Str(); return err }
	}
	err := sexp.Form{
		"agents": func(n *sexp.Node) error {
			for _, a := range n.Args() {
				if _, _, err := net.SplitHostPort(a.Text); a.Kind == sexp.List || err != nil {
					return a.Errorf("an agent's \"ADDRESS:PORT\" is due")
				}
				o.Agents = append(o.Agents, a.Text)
			}
			return nil
		},
		"services": func(n *sexp.Node) error {
			for _, a := range n.Args() {
				if a.Kind == sexp.List || a.Text == "" || strings.ContainsAny(a.Text, "/?#% ") || slices.Contains(o.Services, a.Text) {
					return a.Errorf("a service's name is due, each once")
				}
				o.Services = append(o.Services, a.Text)
			}
			return nil
		},
		"https":      func(n *sexp.Node) (err error) { https, err = n.Bool(); return err },
		"ca":         path(&m.ca),
		"token-file": path(&m.TokenFile),
		"dc":         text(&o.Datacenter),
		"ns":         text(&o.Namespace),
		"partition":  text(&o.Partition),
		"filter":     text(&o.Filter),
		"catalog":    func(n *sexp.Node) (err error) { o.Catalog, err = n.Bool(); return err },
		"consistency": func(n *sexp.Node) error {
			x, err := n.One()
			if err != nil || x.Text != "default" && x.Text != "stale" && x.Text != "consistent" {
				return n.Errorf("(consistency default), (consistency stale) or (consistency consistent)")
			}
			if o.Consistency = x.Text; x.Text == "default" {
				o.Consistency = ""
			}
			return nil
		},
		"max-stale": func(n *sexp.Node) (err error) { o.MaxStale, err = n.Millis(0, longest); return err },
		"wait":      func(n *sexp.Node) (err error) { o.Wait, err = n.Millis(1000, 600000); return err },
		"most":      func(n *sexp.Node) (err error) { o.MostBytes, err = n.Bytes(1<<16, 1<<30); return err },
		"map":       func(n *sexp.Node) error { return mapping(n, &o.Map) },
	}.Read(n.Args())
	switch {
	case err != nil:
		return err
	case len(o.Agents) == 0:
		return n.Errorf("consul: (agents \"ADDRESS:PORT\" ...) is due")
	case len(o.Services) == 0:
		return n.Errorf("consul: (services \"NAME\" ...) is due")
	case m.ca != "" && !https:
		return n.Errorf("consul: (ca ...) goes with (https)")
	}
	if https {
		o.TLS = &tls.Config{MinVersion: tls.VersionTLS12}
		if m.ca != "" {
			b, err := small(m.ca, 1<<20)
			if err != nil {
				return n.Errorf("consul: %v", err)
			}
			if o.TLS.RootCAs = x509.NewCertPool(); !o.TLS.RootCAs.AppendCertsFromPEM(b) {
				return n.Errorf("consul: %s holds no certificate", m.ca)
			}
		}
	}
	return nil
}

// mapping reads (map (group (meta "cell")) (role (tag) ...) ...).
func mapping(n *sexp.Node, m *consul.Mapping) error {
	from := func(to *consul.From) func(*sexp.Node) error {
		return func(n *sexp.Node) error {
			a := n.Args()
			if len(a) != 1 {
				return n.Errorf("(%s (meta \"KEY\")), or another place: %s", n.Head(), strings.Join(consul.Kinds, ", "))
			}
			return place(a[0], to)
		}
	}
	return sexp.Form{
		"id": from(&m.ID), "group": from(&m.Group), "zone": from(&m.Zone), "kind": from(&m.Kind), "weight": from(&m.Weight), "started": from(&m.Started), "role": from(&m.Role),
		"primary": func(n *sexp.Node) error { return words(n, &m.Primary) },
		"replica": func(n *sexp.Node) error { return words(n, &m.Replica) },
		"group-number": func(n *sexp.Node) error {
			a := n.Args()
			if len(a) != 2 {
				return n.Errorf("(group-number \"NAME\" NUMBER)")
			}
			x, err := a[1].Number(0, 1<<30)
			if m.Groups == nil {
				m.Groups = map[string]string{}
			}
			m.Groups[a[0].Text] = fmt.Sprint(int(x))
			return err
		},
	}.Read(n.Args(), "group-number")
}

// place reads where a field comes from.
func place(n *sexp.Node, to *consul.From) error {
	kind := n.Head()
	if n.Kind != sexp.List {
		kind = n.Text
	}
	if !slices.Contains(consul.Kinds, kind) {
		return n.Errorf("%q is no place in a service; there are: %s", kind, strings.Join(consul.Kinds, ", "))
	}
	*to = consul.From{Kind: kind}
	args := n.Args()
	if n.Kind != sexp.List {
		args = nil
	}
	needs := kind == "meta" || kind == "node-meta" || kind == "const"
	switch {
	case len(args) > 1, needs && len(args) == 0, !needs && kind != "tag" && len(args) > 0:
		return n.Errorf("(%s ...) takes %s", kind, map[bool]string{true: "its key in double quotes", false: "nothing"}[needs || kind == "tag"])
	case len(args) == 1:
		to.Key = args[0].Text
	}
	return nil
}

func words(n *sexp.Node, to *[]string) error {
	*to = nil
	for _, a := range n.Args() {
		if a.Kind == sexp.List || a.Text == "" {
			return a.Errorf("a word is due")
		}
		*to = append(*to, a.Text)
	}
	return nil
}

// small reads a small file.
func small(path string, most int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, most+1))
	if err == nil && int64(len(b)) > most {
		err = fmt.Errorf("%s has over %d bytes", path, most)
	}
	return b, err
}

// Token reads the token's file; empty where there is none.
func (m *Membership) Token() (string, error) {
	if m.TokenFile == "" {
		return "", nil
	}
	b, err := small(m.TokenFile, maxSmall)
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	return strings.TrimSpace(string(b)), nil
}

// ReadOverride reads the operators' word on members: (accept-removals) and (pin "ID" serving|draining|gone). No file is no
// word.
func (m *Membership) ReadOverride() (reconcile.Override, error) {
	var o reconcile.Override
	if m.Override == "" {
		return o, nil
	}
	b, err := small(m.Override, sexp.MaxBytes)
	if os.IsNotExist(err) {
		return o, nil
	}
	if err != nil {
		return o, fmt.Errorf("override: %w", err)
	}
	nodes, err := sexp.Parse(m.Override, b)
	if err != nil {
		return o, err
	}
	return o, sexp.Form{
		"accept-removals": func(n *sexp.Node) (err error) { o.AcceptRemovals, err = n.Bool(); return err },
		"pin": func(n *sexp.Node) error {
			a := n.Args()
			states := map[string]reconcile.State{"serving": reconcile.Serving, "draining": reconcile.Draining, "gone": reconcile.Gone}
			if len(a) != 2 || a[0].Text == "" {
				return n.Errorf("(pin \"ID\" serving), draining or gone")
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
