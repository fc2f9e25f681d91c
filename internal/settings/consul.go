package settings

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"slices"
	"strconv"
	"strings"

	"beechgrade/internal/endpoints"
	"beechgrade/internal/endpoints/consul"
	"beechgrade/internal/sexp"
)

const (
	defaultConsulWaitMs   = 20 * second
	defaultMaxStaleMs     = 10 * second
	defaultMaxConsulBytes = 16 * megabyte
	invalidServiceChars   = "/?#% "
	agentConsistency      = "default" // of the agent: requests carry no consistency parameter
)

var (
	consulWaits         = durationRange{second, 10 * minute}
	consulResponseBytes = sizeRange{64 * kilobyte, gigabyte}
	consistencies       = []string{agentConsistency, "stale", "consistent"}
)

func (e *Endpoints) readConsul(node *sexp.Node, env func(string) string) error {
	options := &consul.Options{
		Name:             endpoints.SourceConsul,
		WaitMs:           defaultConsulWaitMs,
		MaxStaleMs:       defaultMaxStaleMs,
		MaxResponseBytes: defaultMaxConsulBytes,
		Mapping:          consul.DefaultMapping(),
	}
	e.Consul = options
	https := false
	err := sexp.Schema{
		"agents":      func(node *sexp.Node) error { return readAgents(node, options) },
		"services":    func(node *sexp.Node) error { return readServices(node, options) },
		"https":       flag(&https),
		"ca":          filePath(&e.caFile, env),
		"token-file":  filePath(&e.TokenFile, env),
		"dc":          text(&options.Datacenter),
		"ns":          text(&options.Namespace),
		"partition":   text(&options.Partition),
		"filter":      text(&options.Filter),
		"catalog":     flag(&options.CatalogOnly),
		"consistency": func(node *sexp.Node) error { return readConsistency(node, options) },
		"max-stale":   duration(&options.MaxStaleMs, anyDuration),
		"wait":        duration(&options.WaitMs, consulWaits),
		"most":        size(&options.MaxResponseBytes, consulResponseBytes),
		"map":         func(node *sexp.Node) error { return readMapping(node, &options.Mapping) },
	}.Read(node.Args())
	switch {
	case err != nil:
		return err
	case len(options.Agents) == 0:
		return node.Errorf("consul: (agents \"ADDRESS:PORT\" ...) is missing")
	case len(options.Services) == 0:
		return node.Errorf("consul: (services \"NAME\" ...) is missing")
	case e.caFile != "" && !https:
		return node.Errorf("consul: (ca ...) requires (https)")
	}
	if https {
		options.TLS, err = readTLS(node, e.caFile)
	}
	return err
}

func readAgents(node *sexp.Node, options *consul.Options) error {
	for _, item := range node.Args() {
		if _, _, err := net.SplitHostPort(item.Text); item.Kind == sexp.List || err != nil {
			return item.Errorf("expected an agent's \"ADDRESS:PORT\"")
		}
		options.Agents = append(options.Agents, item.Text)
	}
	return nil
}

func readServices(node *sexp.Node, options *consul.Options) error {
	for _, item := range node.Args() {
		isService := isName(item) && !strings.ContainsAny(item.Text, invalidServiceChars)
		if !isService || slices.Contains(options.Services, item.Text) {
			return item.Errorf("expected a service's name, each listed once")
		}
		options.Services = append(options.Services, item.Text)
	}
	return nil
}

func readConsistency(node *sexp.Node, options *consul.Options) error {
	argument, err := node.Argument()
	if err != nil || !slices.Contains(consistencies, argument.Text) {
		return node.Errorf("expected (consistency default), (consistency stale) or (consistency consistent)")
	}
	options.Consistency = argument.Text
	if argument.Text == agentConsistency {
		options.Consistency = ""
	}
	return nil
}

// readTLS returns the configuration of HTTPS, with the root certificates of caFile, or with those of the system if caFile is empty.
func readTLS(node *sexp.Node, caFile string) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if caFile == "" {
		return config, nil
	}
	certificates, err := readSmallFile(caFile, maxCABytes)
	if err != nil {
		return nil, node.Errorf("consul: %v", err)
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(certificates) {
		return nil, node.Errorf("consul: %s contains no certificate", caFile)
	}
	return config, nil
}

// readMapping reads (map (group (meta "cell")) (role (tag) ...) ...).
func readMapping(node *sexp.Node, mapping *consul.Mapping) error {
	return sexp.Schema{
		"id":           fieldSource(&mapping.ID),
		"group":        fieldSource(&mapping.Group),
		"zone":         fieldSource(&mapping.Zone),
		"kind":         fieldSource(&mapping.Kind),
		"weight":       fieldSource(&mapping.Weight),
		"started":      fieldSource(&mapping.Started),
		"role":         fieldSource(&mapping.Role),
		"primary":      values(&mapping.PrimaryValues),
		"replica":      values(&mapping.ReplicaValues),
		"group-number": func(node *sexp.Node) error { return readGroupNumber(node, mapping) },
	}.Read(node.Args(), "group-number")
}

func readGroupNumber(node *sexp.Node, mapping *consul.Mapping) error {
	arguments := node.Args()
	if len(arguments) != 2 {
		return node.Errorf("expected (group-number \"NAME\" NUMBER)")
	}
	group, err := arguments[1].Number(float64(groupNumbers.min), float64(groupNumbers.max))
	if mapping.GroupNumbers == nil {
		mapping.GroupNumbers = map[string]string{}
	}
	mapping.GroupNumbers[arguments[0].Text] = strconv.Itoa(int(group))
	return err
}

// fieldKindNames lists the kinds of field sources, for error messages.
func fieldKindNames() string {
	var names []string
	for _, kind := range consul.FieldKinds {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

// fieldSource reads (key (KIND "KEY")) or (key KIND) into target.
func fieldSource(target *consul.FieldSource) reader {
	return func(node *sexp.Node) error {
		arguments := node.Args()
		if len(arguments) != 1 {
			return node.Errorf("expected (%s (meta \"KEY\")), or another source: %s", node.Head(), fieldKindNames())
		}
		return readFieldSource(arguments[0], target)
	}
}

// readFieldSource reads (KIND "KEY") or KIND.
func readFieldSource(node *sexp.Node, target *consul.FieldSource) error {
	kind, arguments := consul.FieldKind(node.Text), []*sexp.Node(nil)
	if node.Kind == sexp.List {
		kind, arguments = consul.FieldKind(node.Head()), node.Args()
	}
	if !slices.Contains(consul.FieldKinds, kind) {
		return node.Errorf("%q is not a field source; allowed are: %s", string(kind), fieldKindNames())
	}
	needsKey := kind == consul.FieldMeta || kind == consul.FieldNodeMeta || kind == consul.FieldConst
	mayHaveKey := needsKey || kind == consul.FieldTag
	isMissing := needsKey && len(arguments) == 0
	isSuperfluous := !mayHaveKey && len(arguments) > 0
	if len(arguments) > 1 || isMissing || isSuperfluous {
		takes := "no argument"
		if mayHaveKey {
			takes = "its key in double quotes"
		}
		return node.Errorf("(%s ...) takes %s", kind, takes)
	}
	*target = consul.FieldSource{Kind: kind}
	if len(arguments) == 1 {
		target.Key = arguments[0].Text
	}
	return nil
}

// values reads (key VALUE ...) into target.
func values(target *[]string) reader {
	return func(node *sexp.Node) error {
		*target = nil
		for _, item := range node.Args() {
			if !isName(item) {
				return item.Errorf("expected a value")
			}
			*target = append(*target, item.Text)
		}
		return nil
	}
}
