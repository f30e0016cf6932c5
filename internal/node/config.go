package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	backtunnel "portstall/internal/back/tunnel"
	"portstall/internal/config"
	"portstall/internal/control/follow"
	"portstall/internal/core"
	"portstall/internal/endpoints"
	"portstall/internal/mgmt"
	"portstall/internal/wire"
)

// Config is the configuration of a node at its start.
type Config struct {
	Name      string
	Listen    string // address on which clients connect
	Discovery string // address from which the list of web servers comes
	Mgmt      string // address on which operators call; empty: none
	AcceptFD  int    // descriptor of the clients' listening socket where another process holds it; otherwise 0
	Seed      uint64
	Cores     float64
	MemoryMB  int
	Sockets   int            // descriptors that the process may hold
	Known     endpoints.List // the web servers as this node last knew them
	Settings  wire.Settings
	Product   *config.File // the product's own file; nil where none is named, as on the platform

	// rawFile is the parsed file itself. A file that replaces it must have the same required keys.
	rawFile map[string]any
	// ownsProcess is set where the process runs this node alone, so that the process's limits are the node's. Tests run
	// many nodes in one process.
	ownsProcess   bool
	upgradeSocket string        // in tests, the socket through which the processes of one node find each other
	slack         time.Duration // in tests, added to the limits on clients, web servers and other processes once something has begun
	clock         core.Clock    // in tests, the node's clock; nil: the system's
	// adjustWatch replaces, in tests, the times of a call to discovery: its wait and the limit on the complete call.
	adjustWatch func(wait, limit time.Duration) (time.Duration, time.Duration)

	follower     *configFollower       // follows control's configuration; nil where no control is named
	adjustFollow func(*follow.Options) // in tests, changes how control is asked
	onPrepared   func()                // in tests, called after each check of a change, before the change is applied
}

// Largest values that a file may have. A larger one is a mistake, and would overflow the values computed from it.
const (
	maxCores    = 4096
	maxMemoryMB = 1 << 24
	maxSockets  = 1 << 24
)

// clientLimit returns how many descriptors are for clients. The front accepts an eighth more, to refuse those clients.
// With that eighth, clientLimit and poolLimit leave a sixteenth of the shared descriptors. What the node needs for
// itself, for discovery and control among others, is set apart before.
func (c *Config) clientLimit() int { return c.sharedSockets() / 2 }

// poolLimit returns how many descriptors are for web servers.
func (c *Config) poolLimit() int { return c.sharedSockets() * 3 / 8 }

// newClock returns the clock of a node that starts now.
func (c *Config) newClock() core.Clock {
	if c.clock != nil {
		return c.clock
	}
	return follow.SystemClock()
}

// maxBodyBytes returns how many bytes of the bodies of all requests and responses may be buffered at a time.
func (c *Config) maxBodyBytes() int64 {
	if c.MemoryMB == 0 {
		return 64 << 20
	}
	return int64(c.MemoryMB) << 20 / 8
}

// minSharedSockets is the least number of descriptors that clients and web servers share, however few the process has.
const minSharedSockets = 8

// sharedSockets returns how many descriptors clients and web servers share.
func (c *Config) sharedSockets() int {
	total := c.Sockets
	if total == 0 {
		total = 1 << 21 // no limit is configured
	}
	if c.ownsProcess {
		// The configured limit may exceed the system's. Then the system's counts, as nothing would be left in reserve
		// otherwise.
		var lim syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err == nil && lim.Cur < uint64(total) {
			total = int(lim.Cur)
		}
	}
	reserved := reservedSockets
	if c.Mgmt != "" {
		reserved += mgmtSockets
	}
	remaining := total - reserved
	// The product's file gets at most half of what is left, so that clients are served in any case.
	remaining -= max(0, min(c.productSockets(), remaining/2))
	return max(minSharedSockets, remaining)
}

// mgmtSockets is the number of descriptors of the management endpoint: its listener, the operators' connections, and
// one that was accepted and has not displaced the oldest yet.
const mgmtSockets = mgmt.MaxConns + 2

// pipeSockets is the number of descriptors of the opaque tunnels' pipes: two for each pipe in use, and two for each
// pipe that is idle in a sync.Pool until the runtime collects it, of which there are two a core (the pool's own and its
// victim). It allows for 16 cores; a node has one to four.
const pipeSockets = 2 * (backtunnel.MaxPipes + 2*16)

// productSockets returns the most descriptors that the parts of the product's file hold besides those shared with
// clients and web servers.
func (c *Config) productSockets() int {
	product, count := c.Product, 0
	if product == nil {
		return 0
	}
	if product.Tunnels != nil {
		count += 2 + 2 + 64 // listeners, a connection just accepted on each, and clients that wait for their tunnel
		count += pipeSockets
	}
	if product.Members != nil {
		count += 2 + 1 + 2*32 // sockets, a connection just accepted, and connections for member lists
	}
	if product.State != nil {
		count += 3 // the directory, its lock, and a file that is being written
	}
	if product.Health != nil && product.Health.Checks != nil {
		count += maxProbes
	}
	if product.Health != nil && product.Health.Answer != nil {
		count += 3 * (1 + 128) // listeners, and the checkers connected to each
	}
	return count
}

// Load reads the configuration from the GW_* variables and the file that GW_CONFIG names; a variable that is set
// overrides the file. An error names the field at fault, on one line.
func Load(getenv func(string) string) (Config, error) { return load(getenv, nil) }

// CheckReplacement checks the configuration that next gives against the one that current gives, as a reload does. An error
// about the current configuration says so.
func CheckReplacement(current, next func(string) string) error {
	inForce, err := Load(current)
	if err != nil {
		return fmt.Errorf("the configuration to replace: %v", err) // not wrapped: positions in it are not those of next
	}
	_, err = Reload(next, inForce)
	return err
}

// Reload reads the configuration again, to replace the one in force. The file's discovery address now overrides
// GW_DISCOVERY, which applies to the start. After an error the configuration in force stays.
func Reload(getenv func(string) string, inForce Config) (Config, error) {
	return load(getenv, &inForce)
}

// configFile is the file that GW_CONFIG names. It is an alias so that errors of decoding name the fields alone.
type configFile = struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Mgmt      string `json:"mgmt"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    endpoints.List  `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// load reads the configuration; inForce is nil at a start, and the configuration to replace at a reload.
func load(getenv func(string) string, inForce *Config) (Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return Config{}, errors.New("GW_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err) // the error about a wrong type names its field
	}
	cfg := Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Mgmt: file.Mgmt, Cores: file.Limits.Cores,
		MemoryMB: file.Limits.MemoryMB, Sockets: file.Limits.Sockets, Known: file.Known}
	if err := cfg.override(getenv, inForce != nil); err != nil {
		return Config{}, err
	}
	if err := cfg.checkLimits(); err != nil {
		return Config{}, err
	}
	if err := cfg.decodeSettings(file.Settings); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if path := getenv("PORTSTALL_FILE"); path != "" {
		if err := cfg.loadProduct(path, inForce); err != nil {
			return Config{}, fmt.Errorf("PORTSTALL_FILE: %w", err)
		}
	}
	json.Unmarshal(text, &cfg.rawFile) // can't fail: the same text was decoded above
	delete(cfg.rawFile, "known")       // used only at the start
	if inForce != nil {
		if err := checkReplacement(cfg.rawFile, inForce.rawFile, cfg.Settings); err != nil {
			return Config{}, err
		}
	}
	h := fnv.New64a()
	h.Write([]byte(file.Seed)) // the seed may have any form; every byte counts
	cfg.Seed = h.Sum64()
	return cfg, nil
}

// override applies the GW_* variables. At a reload the file's address of discovery comes first.
func (c *Config) override(getenv func(string) string, reload bool) error {
	for _, override := range []struct {
		name  string
		field *string
	}{{"GW_NAME", &c.Name}, {"GW_LISTEN", &c.Listen}, {"GW_DISCOVERY", &c.Discovery}, {"GW_MGMT", &c.Mgmt}} {
		if reload && override.field == &c.Discovery && c.Discovery != "" {
			continue
		}
		if value := getenv(override.name); value != "" {
			*override.field = value
		}
	}
	s := getenv("GW_ACCEPT_FD")
	if s == "" {
		return nil
	}
	var err error
	if c.AcceptFD, err = strconv.Atoi(s); err != nil || c.AcceptFD < 3 {
		return fmt.Errorf("GW_ACCEPT_FD: %q is not a file descriptor", s)
	}
	return nil
}

// checkLimits checks the addresses, the limits and the known servers.
func (c *Config) checkLimits() error {
	for _, f := range []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"mgmt", c.Mgmt}} {
		if f.name == "mgmt" && f.addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(f.addr); err != nil {
			return fmt.Errorf("%s: %q is not host:port", f.name, f.addr)
		}
	}
	switch {
	case c.Cores < 0 || c.Cores > maxCores:
		return fmt.Errorf("limits.cores: %v is outside 0 to %d", c.Cores, maxCores)
	case c.MemoryMB < 0 || c.MemoryMB > maxMemoryMB:
		return fmt.Errorf("limits.memory_mb: %d is outside 0 to %d", c.MemoryMB, maxMemoryMB)
	case c.Sockets < 0 || c.Sockets > maxSockets || c.Sockets > 0 && c.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: %d is outside %d to %d", c.Sockets, minSockets, maxSockets)
	}
	for i, s := range c.Known.Servers {
		if s.ID == "" || s.Addr == "" {
			return fmt.Errorf("known.servers[%d]: id or addr is missing", i)
		}
	}
	return nil
}

// decodeSettings decodes and checks the platform's settings.
func (c *Config) decodeSettings(text json.RawMessage) error {
	if len(text) == 0 {
		return errors.New("missing")
	}
	var err error
	if c.Settings, err = wire.DecodeSettings(text); err != nil {
		return err
	}
	if err := c.Settings.Policy.Validate(); err != nil {
		return err
	}
	if c.Settings.ServerIdleTimeout < 0 || c.Settings.ConnectTimeout < 0 {
		return errors.New("policy_limits: conn_idle_s or connect_timeout_s is negative")
	}
	return nil
}

// loadProduct reads the product's own file, and checks it against the one in force.
func (c *Config) loadProduct(path string, inForce *Config) error {
	var err error
	if c.Product, err = config.Load(path); err != nil {
		return err
	}
	if inForce != nil && inForce.Product != nil {
		if err := c.Product.CheckReplacement(inForce.Product); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	if _, err := c.contractTable(); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := c.checkOpaqueClasses(); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
