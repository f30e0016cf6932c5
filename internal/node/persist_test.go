package node

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"portstall/internal/state/disk"
)

// What a node knew is there after its end: orders by hand, debts of contracts, what was learnt of servers. One that has started
// anew meanwhile is as unknown as ever; a list that the configuration has newer counts; another process in the directory is left
// alone; a damaged file is no hindrance.
func TestStoredStateIsUsedAfterRestart(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	dir := t.TempDir()
	serverA, serverB := newBox(t, served), newBox(t, served)
	with := under(t, fmt.Sprintf("state: {dir: %s, fleet: f}\ncontracts: [{name: all, rate: 0.001, burst: 4}]\n", dir))
	discoveryStub := newRegistry(t)
	first := newRig(t, discoveryStub, settingsJSON, with, serverA.entry("s-1"), serverB.entry("s-2"))
	must(t, first.Disable(ctx, "s-1")) // so that all go to the other one
	for i := range 3 {
		if resp, _ := first.dial(t).ask(view(fmt.Sprint("v", i))); resp.StatusCode != 200 {
			t.Fatalf("request %d: %d", i, resp.StatusCode)
		}
	}
	must(t, first.Enable(ctx, "s-1"))
	must(t, first.Disable(ctx, "s-1"))
	second := newRig(t, newRegistry(t), settingsJSON, with, serverA.entry("s-1"), serverB.entry("s-2"))
	wait(t, "the second", func() bool { return second.Ready() == nil })
	second.pair.mu.Lock()
	second.core.Lock()
	out, keeps := second.hand.disabled["s-1"], second.pair.persister.dir != nil
	second.core.Unlock()
	second.pair.mu.Unlock()
	if !out || keeps {
		t.Errorf("beside the first: out %v, writes %v", out, keeps)
	}
	first.leave()
	first.exited <- receive(t, "the first one's end", first.exited)

	moved := serverA.entry("s-1")
	moved.StartedMS = 5
	third := newRig(t, newRegistry(t), settingsJSON, with, moved, serverB.entry("s-2"))
	third.core.Lock()
	learnt := map[uint32]float64{}
	for _, k := range third.core.Learnt().Servers {
		learnt[k.ID] = k.Served
	}
	one, two := third.names["s-1"], third.names["s-2"]
	if !third.hand.disabled["s-1"] || !one.Gate.Shut() || learnt[one.number] != 0 || learnt[two.number] == 0 {
		t.Errorf("after its end: out %v, learnt %v", third.hand.disabled, learnt)
	}
	third.core.Unlock()
	if resp, _ := third.dial(t).ask(view("w")); resp.StatusCode != 429 {
		t.Errorf("a contract has a second burst: %d", resp.StatusCode)
	}
	third.leave()
	third.exited <- receive(t, "the third one's end", third.exited)
	_, slot, _ := disk.Read(dir)
	must(t, os.WriteFile(filepath.Join(dir, []string{"state.a", "state.b"}[slot]), []byte("PSTALL"), 0o600))
	fourth := newRig(t, newRegistry(t), settingsJSON, with, moved, serverB.entry("s-2"))
	if !fourth.backendOf("s-1").Gate.Shut() {
		t.Error("with one file damaged the other is not used")
	}
}
