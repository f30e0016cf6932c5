package control

import (
	"testing"
	"time"

	"portstall/internal/resource"
)

// All control processes are gone for 15 s with their history, and all 450 nodes need the whole; each takes seconds to decode it, as on a machine
// that is short of processor time. It is sent once to each that needs it, and all have it in time, with the changes made meanwhile. Were their
// decoding to count as the source's slowness, those who need longer than an answer's limit would ask for it again and again.
func TestSlowNodesNeedTheWholeOnce(t *testing.T) {
	const compressed = 263 << 10 // bytes of 17,000 contracts
	for _, c := range []struct {
		name   string
		decode time.Duration // given up after
	}{{"as it is", 0}, {"decoding counts as the source's slowness", resource.BodyLimit(compressed)}} {
		w := newWorld(t, 23, fleet, contracts(50))
		w.run(5 * time.Second)
		over := 0
		for _, n := range w.nodes {
			n.slow, n.decode = time.Duration(1+w.dice.Int64N(12_000))*time.Millisecond, c.decode
			if n.slow > resource.BodyLimit(compressed) {
				over++
			}
		}
		for i := range w.procs {
			w.kill(i)
		}
		w.change([]resource.Resource{contract("c0001", 50)}) // of the files: nobody that comes back knows what nodes have
		w.run(15 * time.Second)
		w.taken, w.wholes = nil, 0
		for i := range w.procs {
			w.raise(i)
		}
		w.changes(100*ordinary, w.now+10*time.Second)
		w.run(18 * time.Second)
		behind := 0
		for _, n := range w.nodes {
			if n.version != w.procs[0].book.Set().Version() {
				behind++
			}
		}
		t.Logf("%s: %d of %d nodes decode for longer than the limit; the whole was sent %d times; %d nodes are behind after 18 s", c.name, over, fleet, w.wholes, behind)
		if c.decode > 0 { // the world can tell
			if over < fleet/4 || w.wholes < fleet+2*over || behind < over {
				t.Errorf("%s: it does no harm", c.name)
			}
			continue
		}
		w.agree()
		w.times(c.name)
		if need := fleet + 2; w.wholes != need {
			t.Errorf("the whole was sent %d times, %d are needed", w.wholes, need)
		}
	}
}
