// Package config is the one place where configuration is read, checked and given its defaults: the platform's
// variables and JSON, its settings object, and the operator's TOML. Errors name the key that is at fault.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"sumacloft/internal/discovery"
)

// Config is what a router on the platform is told.
type Config struct {
	Name      string
	Listen    string
	ListenFD  int    // a listening socket inherited from the platform ($PROXY_FD); 0: bind Listen
	Console   string // the operators' address ($PROXY_CONSOLE or console); "": none
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     discovery.List
	Settings  Settings
	Keys      []string // that the file has, sorted
}

// Limits of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// The smallest machine that the platform runs routers on; it stands in for limits that are not given.
var defaultLimits = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

const (
	// minSockets is what a router needs to serve at all.
	minSockets = 64
	// reserved descriptors are for discovery, the listener, standard streams and the runtime.
	reserved = 32
)

// Clients is how many connections clients may have, Servers how many the router may have to servers.
func (l Limits) Clients() int { return (l.Sockets - reserved) / 2 }

// Servers is what Clients leaves.
func (l Limits) Servers() int { return l.Sockets - reserved - l.Clients() }

// Platform reads the configuration that the platform's variables name. A variable that is set goes before the
// same value in the file, but for discovery: the file may be replaced while the router runs, the variable can't.
func Platform(getenv func(string) string) (Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("PROXY_CONFIG: not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Console   string          `json:"console"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     discovery.List  `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(data, &file); err != nil || json.Unmarshal(data, &keys) != nil {
		return Config{}, fmt.Errorf("PROXY_CONFIG: %s: %v", path, cmp.Or(err, errors.New("not an object")))
	}
	c := Config{Name: file.Name, Listen: file.Listen, Console: file.Console, Discovery: file.Discovery, Limits: file.Limits,
		Known: file.Known, Keys: slices.Sorted(maps.Keys(keys))}
	for key, to := range map[string]*string{"PROXY_NAME": &c.Name, "PROXY_LISTEN": &c.Listen, "PROXY_CONSOLE": &c.Console} {
		if v := getenv(key); v != "" {
			*to = v
		}
	}
	if c.Discovery == "" {
		c.Discovery = getenv("PROXY_DISCOVERY")
	}
	if err := address("listen", c.Listen); err != nil {
		return Config{}, err
	}
	if err := address("discovery", c.Discovery); err != nil {
		return Config{}, err
	}
	if c.Console != "" {
		if err := address("console", c.Console); err != nil {
			return Config{}, err
		}
	}
	if fd := getenv("PROXY_FD"); fd != "" {
		// 0 to 2 are the standard streams: a listener there is a mistake, not an inheritance.
		if c.ListenFD, err = strconv.Atoi(fd); err != nil || c.ListenFD < 3 {
			return Config{}, fmt.Errorf("PROXY_FD: %q is not the number of an inherited descriptor", fd)
		}
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return Config{}, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", file.Seed)
	}
	if len(file.Settings) == 0 {
		return Config{}, fmt.Errorf("settings: missing")
	}
	if c.Settings, err = ParseSettings(file.Settings); err != nil {
		return Config{}, err
	}
	return c, c.Limits.fill()
}

// fill puts defaults in the place of what is not given and checks the rest.
func (l *Limits) fill() error {
	if l.Cores == 0 {
		l.Cores = defaultLimits.Cores
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultLimits.MemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultLimits.Sockets
	}
	switch {
	case l.Cores < 0:
		return fmt.Errorf("limits.cores: %g, must be positive", l.Cores)
	case l.MemoryMB < 0:
		return fmt.Errorf("limits.memory_mb: %d, must be positive", l.MemoryMB)
	case l.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: %d, at least %d", l.Sockets, minSockets)
	}
	return nil
}

// address checks a host and port.
func address(key, value string) error {
	if value == "" {
		return fmt.Errorf("%s: missing", key)
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		return fmt.Errorf("%s: %q is not host:port", key, value)
	}
	return nil
}

// Again reads the configuration once more, while the router runs. A file that lacks a key that the first one
// had is taken for one written in part, and refused whole: its defaults would pass for the operators' word.
func (c Config) Again(getenv func(string) string) (Config, error) {
	next, err := Platform(getenv)
	if err != nil {
		return Config{}, err
	}
	for _, key := range c.Keys {
		if !slices.Contains(next.Keys, key) {
			return Config{}, fmt.Errorf("%s: missing, though the file had it at the start", key)
		}
	}
	return next, nil
}

// Stale names what differs between two configurations and takes effect only with a restart; of what a file holds
// the place of discovery and the settings of the module and the classes are taken over while the router runs. The
// list of known workers and the seed are for a start alone. Of the settings, the timeouts of connections, the
// zones and the kinds need a restart.
func (c Config) Stale(next Config) []string {
	c.Discovery, c.Known, c.Seed, c.Keys = next.Discovery, next.Known, next.Seed, next.Keys
	keys := differs(c.Settings.restart(), next.Settings.restart())
	c.Settings = next.Settings
	for i, key := range keys {
		keys[i] = "settings." + key
	}
	return append(differs(c, next), keys...)
}

// differs names the fields, as the file spells them, in which two structs of one type differ.
func differs(a, b any) []string {
	var keys []string
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			keys = append(keys, strings.ToLower(x.Type().Field(i).Name))
		}
	}
	return keys
}
