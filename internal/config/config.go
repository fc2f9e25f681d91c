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
	Name      string
	Listen    string
	Discovery string
	Control   string // where operators call, empty for nowhere
	Seed      uint64
	Limits    Limits
	Known     discovery.List
	Settings  decide.Settings

	Classes, Zones, Kinds []string // names, by the module's numbers
	Tenants               []string // names, as the settings number them
	ConnectTimeoutMs      float64
	IdleMs                float64 // servers close a connection idle for so long

	Text      []byte  // of the file, as it was read
	WrittenMs float64 // when the file was written, Unix ms
	Kept      bool    // it is not from its file, but was kept from an earlier process

	keys    []string // of the file, numbers in lists as *, each that all entries of its list have
	retired []bool   // by the classes' numbers
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
	defaultSockets = 1024
	defaultMemory  = 192
	minSockets     = 128
	maxFile        = 16 << 20
	defaultConnect = 250
	defaultIdle    = 30000
)

// ErrUnread is of a file that could not be read whole: it is not there, or ends too soon, or is no such file at all. One that was read
// and says what cannot be used is not among them.
var ErrUnread = errors.New("not read whole")

// Load reads the file that EDGE_CONFIG names. EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_CONTROL go before it.
func Load(env func(string) string) (*Config, error) { return load(env, false) }

func load(env func(string) string, again bool) (*Config, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG: not set; it names the configuration file")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w: %w", ErrUnread, err)
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w: %w", ErrUnread, err)
	}
	if len(b) > maxFile {
		return nil, fmt.Errorf("EDGE_CONFIG: %s: over %d bytes", path, maxFile)
	}
	c, err := parse(b, env, again)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if i, err := f.Stat(); err == nil {
		c.WrittenMs = float64(i.ModTime().UnixMilli())
	}
	return c, nil
}

// Reload reads the file again while the program serves. EDGE_DISCOVERY was set at the start and cannot be set anew,
// so the file's address goes before it.
func Reload(env func(string) string) (*Config, error) {
	return load(env, true)
}

// Covers holds another configuration to the shape of this one: what lacks a key that this one has is not whole.
func (c *Config) Covers(next *Config) error {
	for _, k := range c.keys {
		if !slices.Contains(next.keys, k) {
			return fmt.Errorf("%s: missing", k)
		}
	}
	return nil
}

// maxClasses bounds the names of classes that one process has known.
const maxClasses = 1000

// Apply takes over from next what can change while the program serves, and returns the names of what has changed
// and what would have to but cannot. The list as last known and the seed are of use at a start only. Classes, zones and kinds
// keep their numbers; a class that has gone keeps its own without a contract.
func (c *Config) Apply(next *Config) (changed, kept []string) {
	set := func(name string, differs bool, apply func()) {
		switch {
		case differs && apply != nil:
			apply()
			changed = append(changed, name)
		case differs:
			kept = append(kept, name)
		}
	}
	set("discovery", c.Discovery != next.Discovery, func() { c.Discovery = next.Discovery })
	set("limits", c.Limits != next.Limits, func() { c.Limits = next.Limits })
	set("connect_timeout_ns", c.ConnectTimeoutMs != next.ConnectTimeoutMs, func() { c.ConnectTimeoutMs = next.ConnectTimeoutMs })
	set("idle_close_ns", c.IdleMs != next.IdleMs, func() { c.IdleMs = next.IdleMs })
	set("name", c.Name != next.Name, nil)
	set("listen", c.Listen != next.Listen, nil)
	set("control", c.Control != next.Control, nil)

	settings, classes, zones := next.Settings, union(c.Classes, next.Classes), union(c.Zones, next.Zones)
	settings.Classes = make([]decide.Class, len(classes))
	retired := make([]bool, len(classes))
	for i, n := range classes {
		k := slices.Index(next.Classes, n)
		if retired[i] = k < 0; k >= 0 {
			settings.Classes[i] = next.Settings.Classes[k]
		} else {
			settings.Classes[i] = underWay(c.Settings.Classes[i])
		}
	}
	if z := settings.Zone; z >= 0 && z < len(next.Zones) {
		settings.Zone = slices.Index(zones, next.Zones[z])
	}
	if len(classes) > maxClasses {
		set("request classes' names", true, nil)
		return changed, kept
	}
	set("settings", !reflect.DeepEqual(c.Settings, settings), func() {
		c.Settings, c.Classes, c.Zones, c.Kinds, c.retired = settings, classes, zones, union(c.Kinds, next.Kinds), retired
		c.Tenants = next.Tenants
	})
	c.keys = next.keys
	return changed, kept
}

// underWay is what is left of the contract of a class that has gone: requests of it that are under way may still be sent to such servers alone, and as often,
// as before. No new ones come.
func underWay(c decide.Class) decide.Class {
	return decide.Class{LateWeight: c.LateWeight, Idempotency: c.Idempotency, KeyScope: c.KeyScope, KeyWindow: c.KeyWindow, Read: c.Read, MaxStaleness: c.MaxStaleness}
}

// Retired tells whether the class of that number is not in the settings any more.
func (c *Config) Retired(class int) bool { return class < len(c.retired) && c.retired[class] }

// union is a list with the names of another that it does not have behind its own.
func union(names, more []string) []string {
	out := slices.Clone(names)
	for _, n := range more {
		if !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	return out
}

// Parse reads a configuration's text.
func Parse(b []byte, env func(string) string) (*Config, error) { return parse(b, env, false) }

func parse(b []byte, env func(string) string, again bool) (*Config, error) {
	var f file
	var tree map[string]any
	if err := errors.Join(whole.Unmarshal(b, &f), whole.Unmarshal(b, &tree)); err != nil {
		first, _, _ := strings.Cut(err.Error(), "\n")
		return nil, fmt.Errorf("%w: %s", ErrUnread, first)
	}
	c := &Config{Text: b, keys: shape(tree), Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Control: f.Control, Limits: f.Limits, Known: f.Known}
	for name, at := range map[string]*string{"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.Listen, "EDGE_DISCOVERY": &c.Discovery, "EDGE_CONTROL": &c.Control} {
		if v := env(name); v != "" && !(again && at == &c.Discovery && c.Discovery != "") {
			*at = v
		}
	}
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery, "control": c.Control} {
		if name == "control" && addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	c.Seed = rand.Uint64() // where none is given: processes with equal seeds would draw alike
	if f.Seed != "" {
		var err error
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %w", err)
		}
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = defaultSockets
	}
	if c.Limits.MemoryMB == 0 {
		c.Limits.MemoryMB = defaultMemory
	}
	if c.Limits.Sockets < minSockets || c.Limits.MemoryMB < 0 {
		return nil, fmt.Errorf("limits: %d sockets and %d MB; at least %d sockets are needed",
			c.Limits.Sockets, c.Limits.MemoryMB, minSockets)
	}
	return c, c.settings(f.Settings)
}

// whole reads a file as a whole: what stands behind its object is an error.
var whole = jsoniter.Config{EscapeHTML: true, SortMapKeys: true, ValidateJsonRawMessage: true, UseNumber: true}.Froze()

// shape lists the keys of a file. Those within the list as last known are not of its shape.
func shape(tree map[string]any) []string {
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

// sane checks the numbers without which no request can be decided on.
func sane(tree map[string]any) error {
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

func (c *Config) settings(tree map[string]any) error {
	if err := sane(tree); err != nil {
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
	c.Zones, c.Kinds = names(pairs["zones"]), names(pairs["kinds"])
	if c.ConnectTimeoutMs, err = millis(pairs, "allowed.connect_timeout_ns", defaultConnect); err != nil {
		return err
	}
	c.IdleMs, err = millis(pairs, "allowed.idle_close_ns", defaultIdle)
	return err
}

func names(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

func millis(pairs map[string]string, key string, otherwise float64) (float64, error) {
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
