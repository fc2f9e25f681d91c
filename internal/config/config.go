// Package config reads a pooler's configuration: a JSON file, and environment variables, which override it. Load reads it at the start,
// and Reload while the pooler serves; Config.Apply then applies the values that can change. A file that was not written completely has
// an error of its own, ErrIncomplete, so that a stored copy of an earlier configuration can be used instead.
package config

import (
	"errors"
	"fmt"
	"io"
	"os"

	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
)

// Limits are the limits of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is the configuration of a pooler.
type Config struct {
	Name             string
	ListenAddress    string
	DiscoveryAddress string
	AdminAddress     string // empty for no admin endpoint
	Seed             uint64
	Limits           Limits
	InitialList      discovery.List // the endpoint list as last known
	Settings         decide.Settings

	Classes, Zones, MachineTypes []string // names, by their numbers in Settings
	Tenants                      []string // names, by their numbers in Settings
	ConnectTimeoutMs             float64
	ServerIdleTimeoutMs          float64 // idle time after which servers close a connection

	Raw          []byte  // the text of the file
	ModifiedAtMs float64 // of the file, Unix ms
	FromSnapshot bool    // stored by an earlier process, rather than read from the file

	keyPaths []string // of the file; see keyPathsOf
	retired  []bool   // by class number
}

const maxFileBytes = 16 << 20

// Names of environment variables.
const (
	envConfig    = "EDGE_CONFIG" // path of the file
	envName      = "EDGE_NAME"
	envListen    = "EDGE_LISTEN"
	envDiscovery = "EDGE_DISCOVERY"
	envAdmin     = "EDGE_CONTROL"
)

// ErrIncomplete is wrapped in the error of a file that could not be read completely: it is missing, truncated or not JSON. The error of
// a file that was read but has invalid values does not wrap it.
var ErrIncomplete = errors.New("configuration could not be read completely")

var errNoFile = errors.New(envConfig + ": not set; it must name the configuration file")

// Load reads the file that EDGE_CONFIG names. EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_CONTROL override
// its values.
func Load(env func(string) string) (*Config, error) { return load(env, false) }

// Reload reads the file again while the pooler serves. The file's address of discovery overrides EDGE_DISCOVERY, as the environment was
// set at the start and cannot change.
func Reload(env func(string) string) (*Config, error) { return load(env, true) }

func load(env func(string) string, reload bool) (*Config, error) {
	path := env(envConfig)
	if path == "" {
		return nil, errNoFile
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", envConfig, ErrIncomplete, err)
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", envConfig, ErrIncomplete, err)
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("%s: %s: more than %d bytes", envConfig, path, maxFileBytes)
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
