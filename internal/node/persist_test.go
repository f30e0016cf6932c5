package node

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"portstall/internal/state/disk"
)

// Guards against state that is lost with the process: operators' orders, debts of contracts and learned statistics are
// used after a restart. A web server that was restarted meanwhile counts as unknown, a newer list of the configuration
// applies, another process that writes to the directory is left alone, and one damaged file does not prevent the use of
// the other.
func TestStoredStateIsUsedAfterRestart(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	dir := t.TempDir()
	serverA, serverB := newStubServer(t, respondOK), newStubServer(t, respondOK)
	with := withProductFile(t, fmt.Sprintf("state: {dir: %s, fleet: f}\ncontracts: [{name: all, rate: 0.001, burst: 4}]\n", dir))
	discoveryStub := newStubDiscovery(t)
	first := newTestNode(t, discoveryStub, settingsJSON, with, serverA.entry("s-1"), serverB.entry("s-2"))
	must(t, first.Disable(ctx, "s-1")) // so that all requests go to the other server
	for i := range 3 {
		if resp, _ := first.dial(t).roundTrip(view(fmt.Sprint("v", i))); resp.StatusCode != 200 {
			t.Fatalf("request %d: status %d, want 200", i, resp.StatusCode)
		}
	}
	must(t, first.Enable(ctx, "s-1"))
	must(t, first.Disable(ctx, "s-1"))
	second := newTestNode(t, newStubDiscovery(t), settingsJSON, with, serverA.entry("s-1"), serverB.entry("s-2"))
	waitFor(t, "the second process to be ready", func() bool { return second.Ready() == nil })
	second.handover.mu.Lock()
	second.core.Lock()
	out, writes := second.overrides.disabled["s-1"], second.handover.persister.dir != nil
	second.core.Unlock()
	second.handover.mu.Unlock()
	if !out || writes {
		t.Errorf("the second process while the first one runs: server disabled %v, want true; writes to the directory %v, want false", out, writes)
	}
	first.terminate()
	first.exited <- receive(t, "the first process's end", first.exited)

	moved := serverA.entry("s-1")
	moved.StartedMS = 5
	third := newTestNode(t, newStubDiscovery(t), settingsJSON, with, moved, serverB.entry("s-2"))
	third.core.Lock()
	learned := map[uint32]float64{}
	for _, k := range third.core.LearnedState().Servers {
		learned[k.ID] = k.SuccessCount
	}
	one, two := third.serversByID["s-1"], third.serversByID["s-2"]
	if !third.overrides.disabled["s-1"] || !one.Gate.Closed() || learned[one.number] != 0 || learned[two.number] == 0 {
		t.Errorf("after the first process's end: disabled %v, learned %v; want s-1 disabled with its gate closed and nothing learned, and s-2 learned", third.overrides.disabled, learned)
	}
	third.core.Unlock()
	if resp, _ := third.dial(t).roundTrip(view("w")); resp.StatusCode != 429 {
		t.Errorf("a request after the contract's burst was spent before the restart: status %d, want 429", resp.StatusCode)
	}
	third.terminate()
	third.exited <- receive(t, "the third process's end", third.exited)
	_, slot, _ := disk.Read(dir)
	must(t, os.WriteFile(filepath.Join(dir, []string{"state.a", "state.b"}[slot]), []byte("PSTALL"), 0o600))
	fourth := newTestNode(t, newStubDiscovery(t), settingsJSON, with, moved, serverB.entry("s-2"))
	if !fourth.serverByID("s-1").Gate.Closed() {
		t.Error("with one state file damaged, the other one is not used")
	}
}
