package scale

import (
	"errors"
	"testing"
	"time"

	"portstall/internal/lab/standin"
)

// A hollow node that follows control counts as started once it has a configuration. If it gets none in time, that is an
// error.
func TestAwaitConfiguration(t *testing.T) {
	plan := &Plan{Size: Size{Nodes: 1, Servers: 1, Tenants: 1, Services: 1, Zones: 1, Regions: 1},
		Bound: 4 * time.Minute, MemoryMB: 2048, Processes: 9}
	r, ctx, end, err := startRun(t.Context(), plan, Options{Binary: testBinary}, plan.Bound)
	if err != nil {
		t.Fatal(err)
	}
	defer end()
	discovery := NewStubDiscovery(1, 1, nil)
	discoveryAddr, err := discovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Stop()
	config, err := r.writeNodeConfig("hollow", "127.0.0.1:1", discoveryAddr, zoneName(0), discovery.FullList(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	files, err := r.newConfigFiles(1, true)
	if err != nil {
		t.Fatal(err)
	}
	controls, err := r.startControls(ctx, 1, files, nil)
	if err != nil {
		t.Fatal(err)
	}
	unusedAddr, err := standin.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	for addr, want := range map[string]error{controls[0].addr: nil, unusedAddr: errNotReady} {
		product, err := r.writeControlProductFile("", addr)
		if err != nil {
			t.Fatal(err)
		}
		w := &worker{configTimeout: time.Minute}
		if want != nil {
			w.configTimeout = 50 * time.Millisecond
		}
		command := r.hollowCommand(0, 1, func(int) string { return discoveryAddr })
		command.Config, command.Products = config, []string{product}
		if err := w.startHollow(command); !errors.Is(err, want) {
			t.Errorf("error %v, want %v", err, want)
		}
		if has := !w.nodes[0].node.Status().Configuration.IsZero(); has != (want == nil) {
			t.Errorf("node has a configuration: %v", has)
		}
		w.stop()
	}
}
