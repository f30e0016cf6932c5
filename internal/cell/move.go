package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tenant is one whose cell is pinned to pods, and who moves from some to others. All that is decided of it follows from
// these terms and the clock: nodes that have them agree without talk, and one that restarts comes to the same answer.
//
// Requests with a key go to the key's home, one of the pods: whatever node a repeat comes to, it looks for the key where
// it may have run. At a cut homes change, and for a while nobody can tell a repeat of a key that ran in the old one from
// a new key. Then only what is known is sent; see Place.
type Tenant struct {
	Name  string
	Pods  []int64
	Moves []Move // in the order of time
}

// Move takes a tenant's requests, or those with keys of a range, to other pods. Times are Unix time.
//
//	prepare     nothing changes yet: every node has the time to read the new file
//	both        requests without a key go to either side, those with one to the old
//	(the cut)   all new requests go to the new side
//	draining    repeats of keys that may have run on the old side go there, or nowhere
//	drained     nothing of the old side is left
type Move struct {
	To            []int64
	From, Below   float64 // the keys whose hash, as a part of all, lies in [From, Below); both 0: all, and requests without a key
	Start         time.Duration
	Prepare, Both time.Duration
	Stop          time.Duration // it stays in the step that it is in then, if that is before the cut; 0: it does not
	Back          time.Duration // all returns to where it came from; 0: it does not
}

// LeastPrepare is how long a move is prepared at least: nodes read a new file within that.
const LeastPrepare = 10 * time.Second

// Cut is when new requests go to the new side.
func (m *Move) Cut() time.Duration { return m.Start + m.Prepare + m.Both }

// cuts tells whether a move comes to its cut at all.
func (m *Move) reachesCut() bool {
	return (m.Stop == 0 || m.Stop >= m.Cut()) && (m.Back == 0 || m.Back > m.Cut())
}

func (m *Move) movesAll() bool { return m.From == 0 && m.Below == 0 }

func (m *Move) covers(key uint64) bool {
	part := float64(key>>11) / (1 << 53)
	return m.movesAll() || m.From <= part && part < m.Below
}

// end is the last instant at which a move changes anything by itself.
func (m *Move) lastEffect() time.Duration { return max(m.Cut(), m.Back) }

// Check reports the first field that makes no sense, and why.
func (t *Tenant) Check() (field, why string) {
	if len(t.Pods) == 0 {
		return "pods", "missing: keys have their home in one of them"
	}
	if !distinct(t.Pods) {
		return "pods", "one is there twice"
	}
	last := time.Duration(0)
	for i := range t.Moves {
		m := &t.Moves[i]
		p := fmt.Sprintf("moves[%d].", i)
		switch {
		case len(m.To) == 0:
			return p + "to", "missing"
		case !distinct(m.To):
			return p + "to", "one is there twice"
		case !(m.From >= 0 && m.Below <= 1 && m.From <= m.Below) || m.From == m.Below && !m.movesAll():
			return p + "keys", fmt.Sprintf("%v to %v is no range within 0 to 1", m.From, m.Below)
		case m.Start <= last:
			return p + "start", "is not after the end of the move before"
		case m.Prepare < LeastPrepare:
			return p + "prepare", fmt.Sprintf("%s is below %s: nodes that have not read the file yet would not take part", m.Prepare, LeastPrepare)
		case m.Both < 0 || m.Prepare > 24*time.Hour || m.Both > 24*time.Hour:
			return p + "both", "prepare or both is outside 0 to 24h"
		case m.Stop != 0 && m.Stop < m.Start:
			return p + "stop", "is before the start"
		case m.Back != 0 && m.Back < m.Start:
			return p + "back", "is before the start"
		}
		last = m.lastEffect()
	}
	return "", ""
}

func distinct(pods []int64) bool {
	s := slices.Sorted(slices.Values(pods))
	return len(slices.Compact(s)) == len(pods)
}

// Step is how far a tenant's latest move is.
type Step uint8

const (
	Settled Step = iota
	Preparing
	Both
	Draining
	Drained
	Returning // draining after a way back
	Returned
)

var stepNames = [...]string{"settled", "prepare", "both", "draining", "drained", "returning", "returned"}

func (s Step) String() string { return stepNames[s] }

// Step tells how far the latest move is that has begun, where repeats are dropped for the window at most and clocks
// differ by the skew.
func (t *Tenant) Step(now, window, skew time.Duration) (step Step, move int) {
	move = -1
	for i := range t.Moves {
		if now >= t.Moves[i].Start {
			move = i
		}
	}
	if move < 0 {
		return Settled, -1
	}
	m := &t.Moves[move]
	drained := func(cut time.Duration, during, after Step) Step {
		if now < cut+drainTime(window)+skew {
			return during
		}
		return after
	}
	at := now
	if m.Stop != 0 && !m.reachesCut() {
		at = min(now, m.Stop)
	}
	switch {
	case m.Back != 0 && now >= m.Back && m.reachesCut():
		return drained(m.Back, Returning, Returned), move
	case m.Back != 0 && now >= m.Back:
		return Returned, move // nothing had left
	case at < m.Start+m.Prepare:
		return Preparing, move
	case at < m.Cut() || !m.reachesCut():
		return Both, move
	}
	return drained(m.Cut(), Draining, Drained), move
}

// change is an instant from which on new requests go to other pods.
type podChange struct {
	at   time.Duration
	pods []int64
}

// changes are those that concern a key, or requests without one, in the order of time; the first is the beginning.
func (t *Tenant) podChanges(key uint64, keyed bool, into []podChange) []podChange {
	into = append(into, podChange{-1 << 62, t.Pods})
	for i := range t.Moves {
		m := &t.Moves[i]
		if !m.reachesCut() || keyed && !m.covers(key) || !keyed && !m.movesAll() {
			continue
		}
		before := into[len(into)-1].pods
		into = append(into, podChange{m.Cut(), m.To})
		if m.Back != 0 {
			into = append(into, podChange{m.Back, before})
		}
	}
	return into
}

// Doubt says whose clients can be believed, and how well nodes agree on the time.
type Doubt struct {
	Marked bool          // a client's repeat of an earlier try is always marked as one
	Skew   time.Duration // clocks of any two nodes differ by at most this
}

// Place is where a request may go.
type Placement struct {
	Pods      []int64 // it may go to these
	NewPods   []int64 // and to these: both sides of a move
	KeyBound  bool    // it carries a key that binds it, and Pods is its home alone
	Ambiguous bool    // nobody can tell where its key may have run: it must be turned away
}

// Free is where a request goes that no key binds.
func (t *Tenant) PlaceUnkeyed(now time.Duration) Placement {
	var room [8]podChange
	all := t.podChanges(0, false, room[:0])
	i := latestChange(all, now)
	p := Placement{Pods: all[i].pods}
	if step, move := t.Step(now, 0, 0); step == Both && t.Moves[move].movesAll() {
		p.NewPods = t.Moves[move].To
	}
	return p
}

// Bound is where a request goes with a key, of which repeats are dropped within a pod for the window. Where a change lies
// so near that the key may have run on either side, and its home is not the same on both, a first try goes by this node's
// clock if clients mark their repeats; a repeat, or what may be one, is in doubt.
func (t *Tenant) PlaceKeyed(now time.Duration, key uint64, window time.Duration, repeat bool, d Doubt) Placement {
	var room [8]podChange
	all := t.podChanges(key, true, room[:0])
	i := latestChange(all, now)
	home := Home(key, all[i].pods)
	p := Placement{Pods: []int64{home}, KeyBound: true}
	if d.Marked && !repeat {
		return p
	}
	// Another node's clock may be ahead or behind by the skew.
	for k := latestChange(all, now-drainTime(window)-d.Skew); k <= latestChange(all, now+d.Skew); k++ {
		if Home(key, all[k].pods) != home {
			p.Ambiguous = true
		}
	}
	return p
}

// drain is how long the old side is drained: repeats of a key that was sent before the cut go there for a window, and the
// last of them may be the first that runs, from which on its pod drops others for a window more.
func drainTime(window time.Duration) time.Duration { return 2 * window }

// latest is the last change that has come by then.
func latestChange(all []podChange, now time.Duration) int {
	i := len(all) - 1
	for all[i].at > now {
		i--
	}
	return i
}

// Key is a tenant's key as a number. Of 100,000 keys two are taken for one with a chance of 3e-10; such a one goes to the
// other's pod.
func Key(tenant, key string) uint64 {
	return mix(xxhash.Sum64String(tenant) ^ mix(xxhash.Sum64String(key)))
}

// Home is the pod of a key, by rendezvous hashing: a pod that is in both of two lists keeps its keys, but for those that
// a new one wins.
func Home(key uint64, pods []int64) int64 {
	return slices.MaxFunc(pods, func(a, b int64) int {
		return cmp.Or(cmp.Compare(mix(key^mix(uint64(a)+1)), mix(key^mix(uint64(b)+1))), cmp.Compare(a, b))
	})
}

// Within is the map of those servers that are in the pods.
func (m *Map) InPods(pods ...int64) *Map {
	var of []Server
	for _, s := range m.servers {
		if slices.Contains(pods, s.Pod) {
			of = append(of, s)
		}
	}
	return New(m.plan, of...)
}
