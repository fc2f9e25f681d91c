package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/protocol/simulator"
)

// file is the JSON form of the configuration.
type file struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Control   string         `json:"control"`
	Seed      string         `json:"seed"` // hexadecimal
	Limits    Limits         `json:"limits"`
	Known     discovery.List `json:"known"`
	Settings  map[string]any `json:"settings"`
}

// Defaults of optional values.
const (
	defaultSockets             = 1024
	defaultMemoryMB            = 192
	defaultConnectTimeoutMs    = 250
	defaultServerIdleTimeoutMs = 30000
)

// Bounds of values.
const (
	minSockets  = 128
	maxDeadline = 24 * time.Hour
	maxAttempts = 1000
)

const nsPerMs = 1e6

// strictJSON rejects trailing data, and keeps the text of numbers.
var strictJSON = jsoniter.Config{EscapeHTML: true, SortMapKeys: true, ValidateJsonRawMessage: true, UseNumber: true}.Froze()

// Parse parses the text of a configuration. Environment variables override its values, as in Load.
func Parse(text []byte, env func(string) string) (*Config, error) { return parse(text, env, false) }

func parse(text []byte, env func(string) string, reload bool) (*Config, error) {
	var fields file
	var tree map[string]any
	if err := errors.Join(strictJSON.Unmarshal(text, &fields), strictJSON.Unmarshal(text, &tree)); err != nil {
		firstLine, _, _ := strings.Cut(err.Error(), "\n")
		return nil, fmt.Errorf("%w: %s", ErrIncomplete, firstLine)
	}
	config := &Config{
		Raw:              text,
		keyPaths:         keyPathsOf(tree),
		Name:             fields.Name,
		ListenAddress:    fields.Listen,
		DiscoveryAddress: fields.Discovery,
		AdminAddress:     fields.Control,
		Limits:           fields.Limits,
		InitialList:      fields.Known,
	}
	config.applyEnvironment(env, reload)
	if err := config.checkAddresses(); err != nil {
		return nil, err
	}
	if err := config.readSeed(fields.Seed); err != nil {
		return nil, err
	}
	if err := config.completeLimits(); err != nil {
		return nil, err
	}
	return config, config.readSettings(fields.Settings)
}

func (c *Config) applyEnvironment(env func(string) string, reload bool) {
	override := func(field *string, variable string) {
		if value := env(variable); value != "" {
			*field = value
		}
	}
	override(&c.Name, envName)
	override(&c.ListenAddress, envListen)
	override(&c.AdminAddress, envAdmin)
	if !reload || c.DiscoveryAddress == "" {
		override(&c.DiscoveryAddress, envDiscovery)
	}
}

func (c *Config) checkAddresses() error {
	addresses := []struct{ key, address string }{
		{"listen", c.ListenAddress},
		{"discovery", c.DiscoveryAddress},
		{"control", c.AdminAddress},
	}
	for _, a := range addresses {
		if a.key == "control" && a.address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return fmt.Errorf("%s: %w", a.key, err)
		}
	}
	return nil
}

// readSeed reads the seed, or draws one: processes with the same seed would draw the same random numbers.
func (c *Config) readSeed(text string) (err error) {
	c.Seed = rand.Uint64()
	if text == "" {
		return nil
	}
	if c.Seed, err = strconv.ParseUint(text, 16, 64); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	return nil
}

func (c *Config) completeLimits() error {
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = defaultSockets
	}
	if c.Limits.MemoryMB == 0 {
		c.Limits.MemoryMB = defaultMemoryMB
	}
	if c.Limits.Sockets < minSockets || c.Limits.MemoryMB < 0 {
		return fmt.Errorf("limits: %d sockets and %d MB; want at least %d sockets and no negative memory", c.Limits.Sockets, c.Limits.MemoryMB, minSockets)
	}
	return nil
}

// keyPathsOf returns the sorted paths of a file's keys, joined by dots. An item of a list is *, with only the keys that all items have.
// The keys within the endpoint list are left out.
func keyPathsOf(tree map[string]any) []string {
	paths := appendKeyPaths(nil, "", tree)
	slices.Sort(paths)
	return paths
}

func appendKeyPaths(paths []string, path string, value any) []string {
	switch value := value.(type) {
	case map[string]any:
		for key, item := range value {
			keyPath := strings.TrimPrefix(path+"."+key, ".")
			paths = append(paths, keyPath)
			if keyPath != "known" {
				paths = appendKeyPaths(paths, keyPath, item)
			}
		}
	case []any:
		paths = append(paths, commonKeyPaths(path+".*", value)...)
	}
	return paths
}

// commonKeyPaths returns the paths of the keys that all items of a list have.
func commonKeyPaths(path string, items []any) (common []string) {
	for i, item := range items {
		paths := appendKeyPaths(nil, path, item)
		if i == 0 {
			common = paths
		}
		common = slices.DeleteFunc(common, func(path string) bool { return !slices.Contains(paths, path) })
	}
	return common
}

// validate checks the numbers that every decision on a request needs, and that each class has a unique name.
func validate(tree map[string]any) error {
	allowed, _ := tree["allowed"].(map[string]any)
	if err := checkNumber("allowed.", allowed, "max_attempts", maxAttempts); err != nil {
		return err
	}
	classes, _ := tree["request_classes"].([]any)
	seen := map[string]bool{}
	for i, item := range classes {
		class, isObject := item.(map[string]any)
		name, _ := class["name"].(string)
		if !isObject || name == "" || seen[name] {
			return fmt.Errorf("settings: request_classes: entry %d has no unique name", i)
		}
		seen[name] = true
		for _, key := range []string{"deadline_ns", "slo_ns"} {
			if err := checkNumber("request_classes."+name+".", class, key, float64(maxDeadline)); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkNumber checks that the value of a key, if it is present, is a number above 0 and up to most. path is the prefix of the key in an
// error.
func checkNumber(path string, object map[string]any, key string, most float64) error {
	value, ok := object[key]
	if !ok {
		return nil
	}
	text, isNumber := value.(json.Number)
	number, err := text.Float64()
	inRange := number > 0 && number <= most
	if !isNumber || err != nil || !inRange {
		return fmt.Errorf("settings: %s%s: want a number above 0 and up to %g, got %.40q", path, key, most, fmt.Sprint(value))
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
		return errors.New("settings: request_classes: missing or empty")
	}
	for i := range c.Settings.Tenants {
		c.Tenants = append(c.Tenants, pairs["tenants."+strconv.Itoa(i)+".name"])
	}
	c.Zones = splitNames(pairs["zones"])
	c.MachineTypes = splitNames(pairs["kinds"])
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

// readMillis reads a value in nanoseconds, and returns it in milliseconds. A missing value is defaultMs.
func readMillis(pairs map[string]string, key string, defaultMs float64) (float64, error) {
	text := pairs[key]
	if text == "" {
		return defaultMs, nil
	}
	ns, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ns > 0) {
		return 0, fmt.Errorf("settings: %s: want a duration in nanoseconds above 0, got %q", key, text)
	}
	return ns / nsPerMs, nil
}

// flatten adds nested settings to pairs in the form of the simulator's protocol: keys are paths joined by dots, a list of plain values is
// joined by commas, and a list of objects has its length under the key .count.
func flatten(pairs map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, item := range value {
			if path != "" {
				key = path + "." + key
			}
			flatten(pairs, key, item)
		}
	case []any:
		flattenList(pairs, path, value)
	case nil:
	default:
		pairs[path] = fmt.Sprint(value)
	}
}

func flattenList(pairs map[string]string, path string, items []any) {
	var plain []string
	objects := 0
	for _, item := range items {
		if object, ok := item.(map[string]any); ok {
			flatten(pairs, path+"."+strconv.Itoa(objects), object)
			objects++
			continue
		}
		plain = append(plain, fmt.Sprint(item))
	}
	if objects > 0 {
		pairs[path+".count"] = strconv.Itoa(objects)
		return
	}
	pairs[path] = strings.Join(plain, ",")
}
