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

// A hollow node follows the list by the real watch, and leaves nothing behind.
func TestHollow(t *testing.T) {
	g := newRegistry(t)
	ignore := goleak.IgnoreCurrent()
	set, err := wire.DecodeSettings([]byte(settingsJSON))
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Name: "h", Discovery: g.addr, Seed: 1, Settings: set, AcceptFD: 99, watch: longWatch,
		Known: list{Version: 4, Full: true, Servers: []listed{{ID: "a", Addr: "127.0.0.1:1", State: "Ready"}}}}
	h, err := StartHollow(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if f := h.Figures(); f != (HollowFigures{List: 4, Servers: 1}) {
		t.Errorf("at its start: %+v", f)
	}
	g.next <- registryAnswer{200, list{Version: 6, Servers: []listed{{ID: "b", Addr: "127.0.0.1:2", State: "Ready"}}}}
	wait(t, "the change", func() bool { return h.Figures() == HollowFigures{List: 6, Servers: 2} })
	wait(t, "the next watch", func() bool { return len(g.calls()) == 2 })
	h.Close()
	g.leaves(t)
	noneStay(t, ignore)
}

// It follows control as well, and starts without waiting for it.
func TestHollowFollowsControl(t *testing.T) {
	g := newRegistry(t)
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
	cfg := Config{Name: "h", Discovery: g.addr, Seed: 1, Settings: set, watch: longWatch,
		Product: &config.File{Control: &config.Control{Addresses: []string{control.Addr}}}}
	h, err := StartHollow(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	v, err := control.Change([]resource.Resource{{Key: resource.Key{Kind: resource.Contract, Name: "all"}, Spec: []byte(`{"name":"all"}`)}})
	if err != nil {
		t.Fatal(err)
	}
	wait(t, "the configuration", func() bool { f := h.Figures(); return !f.Taking && f.Configuration == v })
	h.node.cfg.followed.mu.Lock() // as while a change is taken
	if f := h.Figures(); !f.Taking || !f.Configuration.IsZero() {
		t.Errorf("amid a change: %+v", f)
	}
	h.node.cfg.followed.mu.Unlock()
	if st := h.node.core.Stats(1); !st.Contracts {
		t.Error("no contracts are in force")
	}
	wait(t, "discovery's watch", func() bool { return len(g.calls()) == 1 }) // it has no order with control's
	h.Close()
	g.leaves(t)
	control.Stop()
	noneStay(t, ignore)
}
