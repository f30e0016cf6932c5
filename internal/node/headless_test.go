package node

import (
	"log/slog"
	"testing"

	"go.uber.org/goleak"

	"portstall/internal/config"
	"portstall/internal/endpoints"
	"portstall/internal/lab/standin"
	"portstall/internal/resource"
	"portstall/internal/wire"
)

// A headless node follows discovery by real watches, and leaves nothing running after Close.
func TestHeadlessNodeFollowsDiscovery(t *testing.T) {
	discovery := newStubDiscovery(t)
	ignore := goleak.IgnoreCurrent()
	set, err := wire.DecodeSettings([]byte(settingsJSON))
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Name: "h", Discovery: discovery.addr, Seed: 1, Settings: set, AcceptFD: 99, adjustWatch: longPollLimits,
		Known: endpoints.List{Version: 4, Full: true, Servers: []endpoints.Endpoint{{ID: "a", Addr: "127.0.0.1:1", State: "Ready"}}}}
	node, err := StartHeadless(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if status := node.Status(); status != (HeadlessStatus{ListVersion: 4, Servers: 1}) {
		t.Errorf("at the start: %+v", status)
	}
	discovery.responses <- discoveryResponse{200, endpoints.List{Version: 6, Servers: []endpoints.Endpoint{{ID: "b", Addr: "127.0.0.1:2", State: "Ready"}}}}
	waitFor(t, "the change", func() bool { return node.Status() == HeadlessStatus{ListVersion: 6, Servers: 2} })
	waitFor(t, "the next watch", func() bool { return len(discovery.calls()) == 2 })
	node.Close()
	discovery.waitAbandoned(t)
	waitForGoroutines(t, ignore)
}

// A headless node follows control as well, and starts without waiting for its first configuration.
func TestHeadlessNodeFollowsControl(t *testing.T) {
	discovery := newStubDiscovery(t)
	control, err := standin.NewControl()
	if err != nil {
		t.Fatal(err)
	}
	defer control.Stop()
	ignore := goleak.IgnoreCurrent()
	set, err := wire.DecodeSettings([]byte(settingsJSON))
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Name: "h", Discovery: discovery.addr, Seed: 1, Settings: set, adjustWatch: longPollLimits,
		Product: &config.File{Control: &config.Control{Addresses: []string{control.Addr}}}}
	node, err := StartHeadless(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	version, err := control.ApplyChange([]resource.Resource{{Key: resource.Key{Kind: resource.Contract, Name: "all"}, Spec: []byte(`{"name":"all"}`)}})
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the configuration", func() bool { status := node.Status(); return !status.Applying && status.Configuration == version })
	node.node.cfg.follower.mu.Lock() // as while a change is applied
	if status := node.Status(); !status.Applying || !status.Configuration.IsZero() {
		t.Errorf("during a change: %+v", status)
	}
	node.node.cfg.follower.mu.Unlock()
	if stats := node.node.core.Stats(1); !stats.HasContracts {
		t.Error("no contracts are in force")
	}
	waitFor(t, "discovery's watch", func() bool { return len(discovery.calls()) == 1 }) // not ordered with control's watch
	node.Close()
	discovery.waitAbandoned(t)
	control.Stop()
	waitForGoroutines(t, ignore)
}
