package control

import (
	"testing"
	"time"

	"portstall/internal/resource"
)

// All control processes restart after 15 s without their history, so that all 450 nodes need a snapshot, and each node
// takes seconds to decode it, as on a machine that is short of CPU time. Each node must be sent one snapshot and have
// it in time, with the changes made meanwhile. If the time of decoding counted against the call's limit, nodes that
// need longer would fetch the snapshot again and again; the second case shows that the simulation detects this.
func TestSlowDecodingNodesNeedOneSnapshot(t *testing.T) {
	const compressed = 263 << 10 // bytes of a snapshot of 17,000 contracts
	for _, c := range []struct {
		name   string
		decode time.Duration // timeout of decoding; 0: none
	}{{"decoding has no time limit", 0}, {"decoding counts against the call's limit", resource.BodyTimeout(compressed)}} {
		sim := newSimulation(t, 23, fleetSize, contracts(50))
		sim.run(5 * time.Second)
		slowNodes := 0
		for _, n := range sim.nodes {
			n.decodeTime, n.decodeTimeout = time.Duration(1+sim.random.Int64N(12_000))*time.Millisecond, c.decode
			if n.decodeTime > resource.BodyTimeout(compressed) {
				slowNodes++
			}
		}
		for i := range sim.processes {
			sim.killControl(i)
		}
		sim.change([]resource.Resource{contract("c0001", 50)}) // in the files only: no restarted process knows the nodes' version
		sim.run(15 * time.Second)
		sim.applyDelays, sim.snapshotsSent = nil, 0
		for i := range sim.processes {
			sim.startControl(i)
		}
		sim.scheduleChanges(100*ordinaryChangesPerDay, sim.now+10*time.Second)
		sim.run(18 * time.Second)
		behind := 0
		for _, n := range sim.nodes {
			if n.version != sim.processes[0].store.Set().Version() {
				behind++
			}
		}
		t.Logf("%s: %d of %d nodes decode for longer than the limit; %d snapshots were sent; %d nodes are behind after 18 s", c.name, slowNodes, fleetSize, sim.snapshotsSent, behind)
		if c.decode > 0 { // the simulation must show the fault
			if slowNodes < fleetSize/4 || sim.snapshotsSent < fleetSize+2*slowNodes || behind < slowNodes {
				t.Errorf("%s: the fault has no effect in the simulation", c.name)
			}
			continue
		}
		sim.checkConverged()
		sim.checkDelays(c.name)
		if need := fleetSize + 2; sim.snapshotsSent != need {
			t.Errorf("%d snapshots were sent, want %d", sim.snapshotsSent, need)
		}
	}
}
