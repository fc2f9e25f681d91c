// Package config reads what a pooler is told at its start: a JSON file and the environment.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/protocol/simulator"
)

// Limits are the machine's.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is what a pooler is told.
type Config struct {
	Name             string
	ListenAddress    string
	DiscoveryAddress string
	AdminAddress     string // where operators call, empty for nowhere
	Seed             uint64
	Limits           Limits
	InitialList      discovery.List
	Settings         decide.Settings

	Classes, Zones, MachineTypes []string // names, by the module's numbers
	Tenants                      []string // names, as the settings number them
	ConnectTimeoutMs             float64
	ServerIdleTimeoutMs          float64 // servers close a connection idle for so long

	Raw          []byte  // of the file, as it was read
	ModifiedAtMs float64 // when the file was written, Unix ms
	FromSnapshot bool    // it is not from its file, but was kept from an earlier process

	keyPaths []string // of the file, numbers in lists as *, each that all entries of its list have
	retired  []bool   // by the classes' numbers
}

type file struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Control   string         `json:"control"`
	Seed      string         `json:"seed"`
	Limits    Limits         `json:"limits"`
	Known     discovery.List `json:"known"`
	Settings  map[string]any `json:"settings"`
}

// Defaults for what may be left out.
const (
	defaultSockets             = 1024
	defaultMemoryMB            = 192
	minSockets                 = 128
	maxFileBytes               = 16 << 20
	defaultConnectTimeoutMs    = 250
	defaultServerIdleTimeoutMs = 30000
)

// ErrIncomplete is of a file that could not be read whole: it is not there, or ends too soon, or is no such file at all. One that was read
// and says what cannot be used is not among them.
var ErrIncomplete = errors.New("not read whole")

// Load reads the file that EDGE_CONFIG names. EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_CONTROL go before it.
func Load(env func(string) string) (*Config, error) { return load(env, false) }

func load(env func(string) string, reload bool) (*Config, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG: not set; it names the configuration file")
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w: %w", ErrIncomplete, err)
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w: %w", ErrIncomplete, err)
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("EDGE_CONFIG: %s: over %d bytes", path, maxFileBytes)
	}
	config, err := parse(text, env, reload)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if info, err := file.Stat(); err == nil {
		config.ModifiedAtMs = float64(info.ModTime().UnixMilli())
	}
	return config, nil
}

// Reload reads the file again while the program serves. EDGE_DISCOVERY was set at the start and cannot be set anew,
// so the file's address goes before it.
func Reload(env func(string) string) (*Config, error) {
	return load(env, true)
}

// CheckKeys holds another configuration to the shape of this one: what lacks a key that this one has is not whole.
func (c *Config) CheckKeys(next *Config) error {
	for _, path := range c.keyPaths {
		if !slices.Contains(next.keyPaths, path) {
			return fmt.Errorf("%s: missing", path)
		}
	}
	return nil
}

// maxClasses bounds the names of classes that one process has known.
const maxClasses = 1000

// Apply takes over from next what can change while the program serves, and returns the names of what has changed
// and what would have to but cannot. The list as last known and the seed are of use at a start only. Classes, zones and kinds
// keep their numbers; a class that has gone keeps its own without a contract.
func (c *Config) Apply(next *Config) (changed, unchangeable []string) {
	set := func(name string, differs bool, apply func()) {
		switch {
		case differs && apply != nil:
			apply()
			changed = append(changed, name)
		case differs:
			unchangeable = append(unchangeable, name)
		}
	}
	set("discovery", c.DiscoveryAddress != next.DiscoveryAddress, func() { c.DiscoveryAddress = next.DiscoveryAddress })
	set("limits", c.Limits != next.Limits, func() { c.Limits = next.Limits })
	set("connect_timeout_ns", c.ConnectTimeoutMs != next.ConnectTimeoutMs, func() { c.ConnectTimeoutMs = next.ConnectTimeoutMs })
	set("idle_close_ns", c.ServerIdleTimeoutMs != next.ServerIdleTimeoutMs, func() { c.ServerIdleTimeoutMs = next.ServerIdleTimeoutMs })
	set("name", c.Name != next.Name, nil)
	set("listen", c.ListenAddress != next.ListenAddress, nil)
	set("control", c.AdminAddress != next.AdminAddress, nil)

	settings, classes, zones := next.Settings, appendMissing(c.Classes, next.Classes), appendMissing(c.Zones, next.Zones)
	settings.Classes = make([]decide.Class, len(classes))
	retired := make([]bool, len(classes))
	for i, name := range classes {
		index := slices.Index(next.Classes, name)
		if retired[i] = index < 0; index >= 0 {
			settings.Classes[i] = next.Settings.Classes[index]
		} else {
			settings.Classes[i] = retiredClass(c.Settings.Classes[i])
		}
	}
	if zone := settings.Zone; zone >= 0 && zone < len(next.Zones) {
		settings.Zone = slices.Index(zones, next.Zones[zone])
	}
	if len(classes) > maxClasses {
		set("request classes' names", true, nil)
		return changed, unchangeable
	}
	set("settings", !reflect.DeepEqual(c.Settings, settings), func() {
		c.Settings, c.Classes, c.Zones, c.MachineTypes, c.retired = settings, classes, zones, appendMissing(c.MachineTypes, next.MachineTypes), retired
		c.Tenants = next.Tenants
	})
	c.keyPaths = next.keyPaths
	return changed, unchangeable
}

// retiredClass is what is left of the contract of a class that has gone: requests of it that are under way may still be sent to such servers alone, and as often,
// as before. No new ones come.
func retiredClass(class decide.Class) decide.Class {
	return decide.Class{LateWeight: class.LateWeight, Idempotency: class.Idempotency, KeyScope: class.KeyScope, KeyWindow: class.KeyWindow, Read: class.Read, MaxStaleness: class.MaxStaleness}
}

// Retired tells whether the class of that number is not in the settings any more.
func (c *Config) Retired(class int) bool { return class < len(c.retired) && c.retired[class] }

// appendMissing is a list with the names of another that it does not have behind its own.
func appendMissing(names, more []string) []string {
	merged := slices.Clone(names)
	for _, name := range more {
		if !slices.Contains(merged, name) {
			merged = append(merged, name)
		}
	}
	return merged
}

// Parse reads a configuration's text.
func Parse(text []byte, env func(string) string) (*Config, error) { return parse(text, env, false) }

func parse(text []byte, env func(string) string, reload bool) (*Config, error) {
	var fields file
	var tree map[string]any
	if err := errors.Join(strictJSON.Unmarshal(text, &fields), strictJSON.Unmarshal(text, &tree)); err != nil {
		first, _, _ := strings.Cut(err.Error(), "\n")
		return nil, fmt.Errorf("%w: %s", ErrIncomplete, first)
	}
	config := &Config{Raw: text, keyPaths: keyPathsOf(tree), Name: fields.Name, ListenAddress: fields.Listen, DiscoveryAddress: fields.Discovery, AdminAddress: fields.Control, Limits: fields.Limits, InitialList: fields.Known}
	for name, field := range map[string]*string{"EDGE_NAME": &config.Name, "EDGE_LISTEN": &config.ListenAddress, "EDGE_DISCOVERY": &config.DiscoveryAddress, "EDGE_CONTROL": &config.AdminAddress} {
		if value := env(name); value != "" && !(reload && field == &config.DiscoveryAddress && config.DiscoveryAddress != "") {
			*field = value
		}
	}
	for name, addr := range map[string]string{"listen": config.ListenAddress, "discovery": config.DiscoveryAddress, "control": config.AdminAddress} {
		if name == "control" && addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	config.Seed = rand.Uint64() // where none is given: processes with equal seeds would draw alike
	if fields.Seed != "" {
		var err error
		if config.Seed, err = strconv.ParseUint(fields.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %w", err)
		}
	}
	if config.Limits.Sockets == 0 {
		config.Limits.Sockets = defaultSockets
	}
	if config.Limits.MemoryMB == 0 {
		config.Limits.MemoryMB = defaultMemoryMB
	}
	if config.Limits.Sockets < minSockets || config.Limits.MemoryMB < 0 {
		return nil, fmt.Errorf("limits: %d sockets and %d MB; at least %d sockets are needed",
			config.Limits.Sockets, config.Limits.MemoryMB, minSockets)
	}
	return config, config.readSettings(fields.Settings)
}

// strictJSON reads a file as a whole: what stands behind its object is an error.
var strictJSON = jsoniter.Config{EscapeHTML: true, SortMapKeys: true, ValidateJsonRawMessage: true, UseNumber: true}.Froze()

// keyPathsOf lists the keys of a file. Those within the list as last known are not of its shape.
func keyPathsOf(tree map[string]any) []string {
	var keys func(path string, v any) []string
	keys = func(path string, v any) (out []string) {
		switch v := v.(type) {
		case map[string]any:
			for k, x := range v {
				at := strings.TrimPrefix(path+"."+k, ".")
				if out = append(out, at); at != "known" {
					out = append(out, keys(at, x)...)
				}
			}
		case []any:
			for i, x := range v {
				these := keys(path+".*", x)
				if i == 0 {
					out = these
				}
				out = slices.DeleteFunc(out, func(k string) bool { return !slices.Contains(these, k) })
			}
		}
		return out
	}
	out := keys("", tree)
	slices.Sort(out)
	return out
}

// Bounds of what settings may say.
const (
	maxDeadline = 24 * time.Hour
	maxAttempts = 1000
)

// validate checks the numbers without which no request can be decided on.
func validate(tree map[string]any) error {
	number := func(at string, m map[string]any, key string, most float64) error {
		v, ok := m[key]
		if !ok {
			return nil
		}
		n, isNumber := v.(json.Number)
		x, err := n.Float64()
		if !isNumber || err != nil || !(x > 0 && x <= most) {
			return fmt.Errorf("settings: %s%s: want a number above 0 and up to %g, got %.40q", at, key, most, fmt.Sprint(v))
		}
		return nil
	}
	allowed, _ := tree["allowed"].(map[string]any)
	if err := number("allowed.", allowed, "max_attempts", maxAttempts); err != nil {
		return err
	}
	classes, _ := tree["request_classes"].([]any)
	seen := map[any]bool{}
	for i, c := range classes {
		m, ok := c.(map[string]any)
		name, isText := m["name"].(string)
		if !ok || !isText || name == "" || seen[name] {
			return fmt.Errorf("settings: request_classes: entry %d has no name of its own", i)
		}
		seen[name] = true
		for _, key := range []string{"deadline_ns", "slo_ns"} {
			if err := number("request_classes."+name+".", m, key, float64(maxDeadline)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Config) readSettings(tree map[string]any) error {
	if err := validate(tree); err != nil {
		return err
	}
	pairs := map[string]string{}
	flatten(pairs, "", tree)
	var err error
	if c.Settings, _, err = simulator.Settings(pairs); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	for i := range c.Settings.Classes {
		c.Classes = append(c.Classes, pairs["request_classes."+strconv.Itoa(i)+".name"])
	}
	if len(c.Classes) == 0 {
		return errors.New("settings: request_classes: none given")
	}
	for i := range c.Settings.Tenants {
		c.Tenants = append(c.Tenants, pairs["tenants."+strconv.Itoa(i)+".name"])
	}
	c.Zones, c.MachineTypes = splitNames(pairs["zones"]), splitNames(pairs["kinds"])
	if c.ConnectTimeoutMs, err = readMillis(pairs, "allowed.connect_timeout_ns", defaultConnectTimeoutMs); err != nil {
		return err
	}
	c.ServerIdleTimeoutMs, err = readMillis(pairs, "allowed.idle_close_ns", defaultServerIdleTimeoutMs)
	return err
}

func splitNames(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

func readMillis(pairs map[string]string, key string, otherwise float64) (float64, error) {
	v := pairs[key]
	if v == "" {
		return otherwise, nil
	}
	ns, err := strconv.ParseFloat(v, 64)
	if err != nil || !(ns > 0) {
		return 0, fmt.Errorf("settings: %s: want a time in nanoseconds above 0, got %q", key, v)
	}
	return ns / 1e6, nil
}

// flatten lays the nested settings out as the simulator's wire has them: paths joined by dots, plain
// lists joined by commas, lists of objects with their length under .count.
func flatten(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			if path != "" {
				k = path + "." + k
			}
			flatten(out, k, x)
		}
	case []any:
		var plain []string
		objects := 0
		for _, x := range v {
			if m, ok := x.(map[string]any); ok {
				flatten(out, path+"."+strconv.Itoa(objects), m)
				objects++
				continue
			}
			plain = append(plain, fmt.Sprint(x))
		}
		if objects > 0 {
			out[path+".count"] = strconv.Itoa(objects)
			return
		}
		out[path] = strings.Join(plain, ",")
	case nil:
	default:
		out[path] = fmt.Sprint(v)
	}
}
