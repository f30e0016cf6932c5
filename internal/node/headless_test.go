package node

import (
	"log/slog"
	"testing"

	"go.uber.org/goleak"

	"portstall/internal/config"
	"portstall/internal/lab/standin"
	"portstall/internal/resource"
	"portstall/internal/wire"
)

// A headless node follows discovery by real watches, and leaves nothing running after Close.
func TestHeadlessNodeFollowsDiscovery(t *testing.T) {
	discovery := newRegistry(t)
	ignore := goleak.IgnoreCurrent()
	set, err := wire.DecodeSettings([]byte(settingsJSON))
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Name: "h", Discovery: discovery.addr, Seed: 1, Settings: set, AcceptFD: 99, watch: longWatch,
		Known: list{Version: 4, Full: true, Servers: []listed{{ID: "a", Addr: "127.0.0.1:1", State: "Ready"}}}}
	node, err := StartHollow(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if status := node.Figures(); status != (HollowFigures{List: 4, Servers: 1}) {
		t.Errorf("at the start: %+v", status)
	}
	discovery.next <- registryAnswer{200, list{Version: 6, Servers: []listed{{ID: "b", Addr: "127.0.0.1:2", State: "Ready"}}}}
	wait(t, "the change", func() bool { return node.Figures() == HollowFigures{List: 6, Servers: 2} })
	wait(t, "the next watch", func() bool { return len(discovery.calls()) == 2 })
	node.Close()
	discovery.leaves(t)
	noneStay(t, ignore)
}

// A headless node follows control as well, and starts without waiting for its first configuration.
func TestHeadlessNodeFollowsControl(t *testing.T) {
	discovery := newRegistry(t)
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
	cfg := Config{Name: "h", Discovery: discovery.addr, Seed: 1, Settings: set, watch: longWatch,
		Product: &config.File{Control: &config.Control{Addresses: []string{control.Addr}}}}
	node, err := StartHollow(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	version, err := control.Change([]resource.Resource{{Key: resource.Key{Kind: resource.Contract, Name: "all"}, Spec: []byte(`{"name":"all"}`)}})
	if err != nil {
		t.Fatal(err)
	}
	wait(t, "the configuration", func() bool { status := node.Figures(); return !status.Taking && status.Configuration == version })
	node.node.cfg.followed.mu.Lock() // as while a change is applied
	if status := node.Figures(); !status.Taking || !status.Configuration.IsZero() {
		t.Errorf("during a change: %+v", status)
	}
	node.node.cfg.followed.mu.Unlock()
	if stats := node.node.core.Stats(1); !stats.Contracts {
		t.Error("no contracts are in force")
	}
	wait(t, "discovery's watch", func() bool { return len(discovery.calls()) == 1 }) // not ordered with control's watch
	node.Close()
	discovery.leaves(t)
	control.Stop()
	noneStay(t, ignore)
}
