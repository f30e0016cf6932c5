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
	"portstall/internal/mgmt"
	"portstall/internal/wire"
)

// Config is what a node is told at its start.
type Config struct {
	Name      string
	Listen    string // where clients connect
	Discovery string // where the list of backends comes from
	Mgmt      string // where operators call; nobody can where it is empty
	AcceptFD  int    // descriptor of the clients' listening socket where another process holds it; else 0
	Seed      uint64
	Cores     float64
	MemoryMB  int
	Sockets   int  // descriptors that the process may hold
	Known     list // the backends as this node last had them
	Settings  wire.Settings
	Product   *config.File // the product's own file; nil where none is named, as on the platform

	file map[string]any // the file itself, for what may not be missing in the next
	// process: the whole process is this node, so that its limits are the process's. Not so in tests, which run many in one.
	process bool
	meet    string        // in tests, the socket where processes of one node meet
	slack   time.Duration // in tests, is added to what clients, web servers and other processes have for what is begun
	clock   core.Clock    // in tests, the node's; nil: the system's
	// watch is how tests set the times of a call to discovery: its wait and the limit on the whole.
	watch func(wait, limit time.Duration) (time.Duration, time.Duration)

	followed *followed             // what control tells; nil where none is named
	follow   func(*follow.Options) // in tests, sets how control is asked
	prepared func()                // in tests, is called behind each check of a change, before the change is in force
}

// What a file may tell at most: beyond it a figure is a mistake, and would overflow what is worked out from it.
const (
	maxCores    = 4096
	maxMemoryMB = 1 << 24
	maxSockets  = 1 << 24
)

// clientLimit is how many of the descriptors are for clients, poolLimit for backends. The front takes an eighth more than
// clientLimit, to refuse those; together they leave a sixteenth of what is shared. What the node needs for itself, discovery
// and control among it, is off before and never theirs.
func (c *Config) clientLimit() int { return c.shared() / 2 }
func (c *Config) poolLimit() int   { return c.shared() * 3 / 8 }

// newClock is the clock of a node that starts now.
func (c *Config) newClock() core.Clock {
	if c.clock != nil {
		return c.clock
	}
	return follow.SystemClock()
}

// bodyBytes is how much of the bodies of all requests and answers may be held at a time.
func (c *Config) bodyBytes() int64 {
	if c.MemoryMB == 0 {
		return 64 << 20
	}
	return int64(c.MemoryMB) << 20 / 8
}

// leastShared is what clients and backends share at least, however few descriptors there are.
const leastShared = 8

// shared is how many descriptors clients and backends share.
func (c *Config) shared() int {
	all := c.Sockets
	if all == 0 {
		all = 1 << 21 // no limit was told
	}
	if c.process {
		// What was told may be more than what the system gives: then it counts, as nothing would be kept back otherwise.
		var lim syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err == nil && lim.Cur < uint64(all) {
			all = int(lim.Cur)
		}
	}
	own := ownSockets
	if c.Mgmt != "" {
		own += mgmtSockets
	}
	rest := all - own
	// What the product's file asks for is never more than half of what is left: the node is there for clients.
	rest -= max(0, min(c.productSockets(), rest/2))
	return max(leastShared, rest)
}

// mgmtSockets is the operators' listener, their connections, and one that comes and has not made the oldest go yet.
const mgmtSockets = mgmt.MaxConns + 2

// pipeSockets is what opaque tunnels' pipes hold: two descriptors each of those in use, and of those that rest unseen with the
// runtime until it collects them, two a core (sync.Pool's own and its victim). That is for 16 cores; a node has one to four.
const pipeSockets = 2 * (backtunnel.PipesMost + 2*16)

// productSockets is what the parts of the product's file hold at most beside what they share with clients and backends.
func (c *Config) productSockets() int {
	f, n := c.Product, 0
	if f == nil {
		return 0
	}
	if f.Tunnels != nil {
		n += 2 + 2 + 64 // listeners, a connection that each has just taken, and clients that ask
		n += pipeSockets
	}
	if f.Members != nil {
		n += 2 + 1 + 2*32 // sockets, one that was just taken, and lists that come and go
	}
	if f.State != nil {
		n += 3 // the directory, its lock, a file that is being written
	}
	if f.Health != nil && f.Health.Checks != nil {
		n += probesMost
	}
	if f.Health != nil && f.Health.Answer != nil {
		n += 3 * (1 + 128) // listeners, and who checks at each
	}
	return n
}

// Load reads the configuration from the GW_* variables and the file that GW_CONFIG names; a variable that is
// set goes before the file. An error names the field that is at fault, on one line.
func Load(getenv func(string) string) (Config, error) { return load(getenv, nil) }

// Reload reads the configuration again, to replace the one in force. The file's discovery now goes before
// GW_DISCOVERY, which tells the one at the start. An error means that all stays as it is.
func Reload(getenv func(string) string, inForce Config) (Config, error) {
	return load(getenv, &inForce)
}

func load(getenv func(string) string, inForce *Config) (Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return Config{}, errors.New("GW_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	var file struct {
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
		Known    list            `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err) // a wrong type's message names its field
	}
	cfg := Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Mgmt: file.Mgmt, Cores: file.Limits.Cores,
		MemoryMB: file.Limits.MemoryMB, Sockets: file.Limits.Sockets, Known: file.Known}
	for _, v := range []struct {
		name  string
		field *string
	}{{"GW_NAME", &cfg.Name}, {"GW_LISTEN", &cfg.Listen}, {"GW_DISCOVERY", &cfg.Discovery}, {"GW_MGMT", &cfg.Mgmt}} {
		if inForce != nil && v.field == &cfg.Discovery && cfg.Discovery != "" {
			continue
		}
		if s := getenv(v.name); s != "" {
			*v.field = s
		}
	}
	if s := getenv("GW_ACCEPT_FD"); s != "" {
		if cfg.AcceptFD, err = strconv.Atoi(s); err != nil || cfg.AcceptFD < 3 {
			return Config{}, fmt.Errorf("GW_ACCEPT_FD: %q is no descriptor", s)
		}
	}
	for _, f := range []struct{ name, addr string }{{"listen", cfg.Listen}, {"discovery", cfg.Discovery}, {"mgmt", cfg.Mgmt}} {
		if f.name == "mgmt" && f.addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(f.addr); err != nil {
			return Config{}, fmt.Errorf("%s: %q is not host:port", f.name, f.addr)
		}
	}
	switch {
	case cfg.Cores < 0 || cfg.Cores > maxCores:
		return Config{}, fmt.Errorf("limits.cores: %v is outside 0 to %d", cfg.Cores, maxCores)
	case cfg.MemoryMB < 0 || cfg.MemoryMB > maxMemoryMB:
		return Config{}, fmt.Errorf("limits.memory_mb: %d is outside 0 to %d", cfg.MemoryMB, maxMemoryMB)
	case cfg.Sockets < 0 || cfg.Sockets > maxSockets || cfg.Sockets > 0 && cfg.Sockets < minSockets:
		return Config{}, fmt.Errorf("limits.sockets: %d is outside %d to %d", cfg.Sockets, minSockets, maxSockets)
	case len(file.Settings) == 0:
		return Config{}, errors.New("settings: missing")
	}
	for i, s := range cfg.Known.Servers {
		if s.ID == "" || s.Addr == "" {
			return Config{}, fmt.Errorf("known.servers[%d]: id or addr is missing", i)
		}
	}
	if cfg.Settings, err = wire.DecodeSettings(file.Settings); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if err := cfg.Settings.Policy.Validate(); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if cfg.Settings.ConnIdle < 0 || cfg.Settings.ConnectTimeout < 0 {
		return Config{}, errors.New("settings: policy_limits: conn_idle_s or connect_timeout_s is negative")
	}
	if path := getenv("PORTSTALL_FILE"); path != "" {
		if cfg.Product, err = config.Load(path); err != nil {
			return Config{}, fmt.Errorf("PORTSTALL_FILE: %w", err)
		}
		if inForce != nil && inForce.Product != nil {
			if err := cfg.Product.Replaces(inForce.Product); err != nil {
				return Config{}, fmt.Errorf("PORTSTALL_FILE: %s: %w", path, err)
			}
		}
		if _, err := cfg.contracts(); err != nil {
			return Config{}, fmt.Errorf("PORTSTALL_FILE: %s: %w", path, err)
		}
		if err := cfg.opaque(); err != nil {
			return Config{}, fmt.Errorf("PORTSTALL_FILE: %s: %w", path, err)
		}
	}
	json.Unmarshal(text, &cfg.file) // it parsed before
	delete(cfg.file, "known")       // told once, at the start
	if inForce != nil {
		if err := replaces(cfg.file, inForce.file, cfg.Settings); err != nil {
			return Config{}, err
		}
	}
	h := fnv.New64a()
	h.Write([]byte(file.Seed)) // whatever its form: all of it counts
	cfg.Seed = h.Sum64()
	return cfg, nil
}
