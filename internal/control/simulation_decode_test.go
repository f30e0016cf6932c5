package control

import (
	"testing"
	"time"

	"portstall/internal/resource"
)

// All control processes are gone for 15 s with their history, and all 450 nodes need the whole; each takes seconds to decode it, as on a machine
// that is short of processor time. It is sent once to each that needs it, and all have it in time, with the changes made meanwhile. Were their
// decoding to count as the source's slowness, those who need longer than an answer's limit would ask for it again and again.
func TestSlowDecodingNodesNeedOneSnapshot(t *testing.T) {
	const compressed = 263 << 10 // bytes of 17,000 contracts
	for _, c := range []struct {
		name   string
		decode time.Duration // given up after
	}{{"as it is", 0}, {"decoding counts as the source's slowness", resource.BodyLimit(compressed)}} {
		w := newWorld(t, 23, fleetSize, contracts(50))
		w.run(5 * time.Second)
		over := 0
		for _, n := range w.nodes {
			n.decodeTime, n.decodeTimeout = time.Duration(1+w.random.Int64N(12_000))*time.Millisecond, c.decode
			if n.decodeTime > resource.BodyLimit(compressed) {
				over++
			}
		}
		for i := range w.processes {
			w.killControl(i)
		}
		w.change([]resource.Resource{contract("c0001", 50)}) // of the files: nobody that comes back knows what nodes have
		w.run(15 * time.Second)
		w.applyDelays, w.snapshotsSent = nil, 0
		for i := range w.processes {
			w.startControl(i)
		}
		w.scheduleChanges(100*ordinaryChangesPerDay, w.now+10*time.Second)
		w.run(18 * time.Second)
		behind := 0
		for _, n := range w.nodes {
			if n.version != w.processes[0].store.Set().Version() {
				behind++
			}
		}
		t.Logf("%s: %d of %d nodes decode for longer than the limit; the whole was sent %d times; %d nodes are behind after 18 s", c.name, over, fleetSize, w.snapshotsSent, behind)
		if c.decode > 0 { // the world can tell
			if over < fleetSize/4 || w.snapshotsSent < fleetSize+2*over || behind < over {
				t.Errorf("%s: it does no harm", c.name)
			}
			continue
		}
		w.checkConverged()
		w.checkDelays(c.name)
		if need := fleetSize + 2; w.snapshotsSent != need {
			t.Errorf("the whole was sent %d times, %d are needed", w.snapshotsSent, need)
		}
	}
}
