package node

import (
	"maps"
	"slices"
	"syscall"
	"testing"

	"portstall/internal/config"
	"portstall/internal/mgmt"
)

// ownDescriptors is the most that the process of a node holds for itself, besides clients, web servers, operators and
// the product's parts.
var ownDescriptors = map[string]int{
	"standard input, output and error":                                     3,
	"the runtime's poller, and its wake-up descriptor":                     2,
	"the runtime's files on its share of the processor":                    2,
	"the clients' listener":                                                1,
	"discovery: a watch, a complete list, a dial that is no longer needed": 3,
	"the discovery that a reload names, next to the old one":               3,
	"control: the connection in use, and the next one":                     2,
	"a configuration that is read again":                                   1,
	"a hand-over: token, listener, two other processes, a further dial":    5,
}

// The sum of all descriptors that a process may hold is within its limit, so that those for discovery, control and web
// servers are available whatever clients do.
func TestDescriptorsStayWithinLimit(t *testing.T) {
	t.Parallel()
	own := 0
	for _, name := range slices.Sorted(maps.Keys(ownDescriptors)) {
		own += ownDescriptors[name]
	}
	if own > reservedSockets {
		t.Errorf("the node needs %d descriptors for itself, and reserves %d", own, reservedSockets)
	}
	parts := &config.File{Tunnels: &config.Tunnels{}, Members: &config.Members{}, State: &config.State{},
		Health: &config.Health{Checks: &config.Checks{}, Answer: &config.Responders{}}}
	for sockets := minSockets; sockets < 1<<14; sockets++ {
		for _, operators := range []string{"", "127.0.0.1:1"} {
			for _, product := range []*config.File{nil, {}, parts} {
				cfg := Config{Sockets: sockets, Mgmt: operators, Product: product}
				sum := own + cfg.clientLimit() + cfg.clientLimit()/8 + cfg.poolLimit()
				if operators != "" {
					sum += 1 + mgmt.MaxConns + 1
				}
				if product == parts {
					if wants := cfg.productSockets(); sockets > 2*wants+200 {
						sum += wants
					}
				}
				if sum > sockets {
					t.Fatalf("%d sockets, mgmt %q, product %v: %d may be held", sockets, operators, product != nil, sum)
				}
				if cfg.clientLimit() < 4 || cfg.poolLimit() < 3 {
					t.Fatalf("%d sockets, mgmt %q: %d for clients, %d for web servers", sockets, operators, cfg.clientLimit(), cfg.poolLimit())
				}
			}
		}
	}
}

// The system's limit applies where it is below the configured one, and only in a process that is the node's own.
func TestSystemDescriptorLimitApplies(t *testing.T) {
	t.Parallel()
	var lim syscall.Rlimit
	must(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim))
	system := int(min(lim.Cur, maxSockets))
	for _, c := range []struct{ configured, limit int }{{0, min(system, 1<<21)}, {maxSockets, system}, {minSockets, min(system, minSockets)}} {
		cfg := Config{Sockets: c.configured, ownsProcess: true}
		if got := cfg.sharedSockets(); got != c.limit-reservedSockets {
			t.Errorf("%d configured, %d by the system: %d are shared, want %d", c.configured, lim.Cur, got, c.limit-reservedSockets)
		}
		cfg.ownsProcess = false
		if got := cfg.sharedSockets(); c.configured == maxSockets && got != maxSockets-reservedSockets {
			t.Errorf("one of many nodes in a process: %d descriptors are shared", got)
		}
	}
}
