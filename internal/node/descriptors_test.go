package node

import (
	"maps"
	"slices"
	"syscall"
	"testing"

	"portstall/internal/config"
	"portstall/internal/mgmt"
)

// ownNeeds is all that a process of a node holds at the worst beside clients, web servers, operators and the product's parts.
var ownNeeds = map[string]int{
	"standard input, output and error":                                  3,
	"the runtime's poller, and what wakes it":                           2,
	"the runtime's files on its share of the processor":                 2,
	"the clients' listener":                                             1,
	"discovery: a watch, a whole list, a dial that is no longer needed": 3,
	"the discovery that a reload names, while the old one is left":      3,
	"control: the connection that it follows, and that one's successor": 2,
	"a configuration that is read again":                                1,
	"a hand-over: token, listener, two other processes, one more dial":  5,
}

// The sum of all that a process may hold at the worst is within its limit, so that what it needs for discovery, control and web
// servers is there without luck, whatever clients do.
func TestDescriptorsAddUp(t *testing.T) {
	t.Parallel()
	own := 0
	for _, name := range slices.Sorted(maps.Keys(ownNeeds)) {
		own += ownNeeds[name]
	}
	if own > ownSockets {
		t.Errorf("it needs %d for itself, and keeps %d", own, ownSockets)
	}
	parts := &config.File{Tunnels: &config.Tunnels{}, Members: &config.Members{}, State: &config.State{},
		Health: &config.Health{Checks: &config.Checks{}, Answer: &config.Answer{}}}
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

// What the system gives counts where it is less than what was told, and only in a process that is the node's own.
func TestSystemsLimitCounts(t *testing.T) {
	t.Parallel()
	var lim syscall.Rlimit
	must(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim))
	system := int(min(lim.Cur, maxSockets))
	for _, c := range []struct{ told, most int }{{0, min(system, 1<<21)}, {maxSockets, system}, {minSockets, min(system, minSockets)}} {
		cfg := Config{Sockets: c.told, process: true}
		if got := cfg.shared(); got != c.most-ownSockets {
			t.Errorf("%d told, the system gives %d: %d are shared, want %d", c.told, lim.Cur, got, c.most-ownSockets)
		}
		cfg.process = false
		if got := cfg.shared(); c.told == maxSockets && got != maxSockets-ownSockets {
			t.Errorf("one of many nodes in a process: %d are shared", got)
		}
	}
}
