package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tenant is a tenant whose cell is pinned to pods, with its moves from some pods to others. Its placement depends only
// on these settings and the clock, so that nodes with the same settings agree without communicating, also after a
// restart.
//
// A request with an idempotency key goes to the key's home, which is one of the pods: whichever node gets a repeat, it
// goes to the pod where the key may have run. At the cut of a move the homes change. For a while it can't be determined
// whether a key ran in its former home or is new, and only requests with known keys are sent then; see Placer.Place.
type Tenant struct {
	Name  string
	Pods  []int64
	Moves []Move // in the order of time
}

// Move moves a tenant's requests, or those whose keys are in a range, to other pods. Times are Unix time. Its steps
// are:
//
//	prepare     nothing changes yet, so that every node has time to read the new file
//	both        requests without a key go to either side, those with a key to the old side
//	(the cut)   from here on all new requests go to the new side
//	draining    repeats of keys that may have run on the old side go there, or are refused
//	drained     the old side gets no requests any more
type Move struct {
	To []int64
	// The keys with a hash in [KeyFrom, KeyBelow), as a fraction of the range of hashes, are moved. If both are 0 all
	// keys are moved, and requests without a key as well.
	KeyFrom, KeyBelow float64
	Start             time.Duration
	Prepare, Both     time.Duration
	// A move that has not reached its cut by then stays in the step that it is in; 0 if not stopped.
	Stop time.Duration
	// From then on all requests go back to where they came from; 0 if not reverted.
	Back time.Duration
}

// MinPrepare is the shortest time that a move can be prepared for. Nodes read a new file within it.
const MinPrepare = 10 * time.Second

// Cut returns when new requests start to go to the new side.
func (m *Move) Cut() time.Duration { return m.Start + m.Prepare + m.Both }

// reachesCut reports whether a move reaches its cut at all.
func (m *Move) reachesCut() bool {
	return (m.Stop == 0 || m.Stop >= m.Cut()) && (m.Back == 0 || m.Back > m.Cut())
}

// movesAll reports whether a move is of all requests, not of a range of keys.
func (m *Move) movesAll() bool { return m.KeyFrom == 0 && m.KeyBelow == 0 }

// covers reports whether a move is of the key with the given hash.
func (m *Move) covers(key uint64) bool {
	fraction := float64(key>>11) / (1 << 53)
	return m.movesAll() || m.KeyFrom <= fraction && fraction < m.KeyBelow
}

// lastEffect returns the last time at which a move changes the placement.
func (m *Move) lastEffect() time.Duration { return max(m.Cut(), m.Back) }

// Check returns the first invalid field and the reason, or two empty strings.
func (t *Tenant) Check() (field, why string) {
	if len(t.Pods) == 0 {
		return "pods", "missing: each key needs one of them as its home"
	}
	if !distinct(t.Pods) {
		return "pods", "contains a pod twice"
	}
	last := time.Duration(0)
	for i := range t.Moves {
		m := &t.Moves[i]
		path := fmt.Sprintf("moves[%d].", i)
		switch {
		case len(m.To) == 0:
			return path + "to", "missing"
		case !distinct(m.To):
			return path + "to", "contains a pod twice"
		case !(m.KeyFrom >= 0 && m.KeyBelow <= 1 && m.KeyFrom <= m.KeyBelow) || m.KeyFrom == m.KeyBelow && !m.movesAll():
			return path + "keys", fmt.Sprintf("%v to %v is not a range within 0 to 1", m.KeyFrom, m.KeyBelow)
		case m.Start <= last:
			return path + "start", "is not after the end of the previous move"
		case m.Prepare < MinPrepare:
			return path + "prepare", fmt.Sprintf("%s is below %s: nodes that have not read the file yet would not take part", m.Prepare, MinPrepare)
		case m.Both < 0 || m.Prepare > 24*time.Hour || m.Both > 24*time.Hour:
			return path + "both", "prepare or both is outside 0 to 24h"
		case m.Stop != 0 && m.Stop < m.Start:
			return path + "stop", "is before the start"
		case m.Back != 0 && m.Back < m.Start:
			return path + "back", "is before the start"
		}
		last = m.lastEffect()
	}
	return "", ""
}

// distinct reports whether no pod occurs twice.
func distinct(pods []int64) bool {
	s := slices.Sorted(slices.Values(pods))
	return len(slices.Compact(s)) == len(pods)
}

// Step is the progress of a tenant's latest move. See Move for what happens in each step.
type Step uint8

const (
	// Settled means that no move has started.
	Settled Step = iota
	Preparing
	Both
	Draining
	Drained
	// Returning means that the move was reverted after its cut and its new side is drained.
	Returning
	// Returned means that the move was reverted, and nothing is left on its new side.
	Returned
)

var stepNames = [...]string{"settled", "prepare", "both", "draining", "drained", "returning", "returned"}

// String returns the step's name, as reports show it.
func (s Step) String() string { return stepNames[s] }

// Step returns the progress of the latest move that has started, and its index, or -1. Pods drop repeats of a key for
// the window at most, and clocks differ by the skew.
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
		return Returned, move // reverted before the cut: nothing was moved
	case at < m.Start+m.Prepare:
		return Preparing, move
	case at < m.Cut() || !m.reachesCut():
		return Both, move
	}
	return drained(m.Cut(), Draining, Drained), move
}

// podChange is a time from which new requests go to other pods.
type podChange struct {
	at   time.Duration
	pods []int64
}

// podChanges appends the changes that affect a key, or requests without one, in the order of time. The first is the
// beginning.
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

// Assumptions state what placement may assume about clients and about the nodes' clocks.
type Assumptions struct {
	RepeatsMarked bool          // clients always mark a repeat of an earlier request as such
	MaxClockSkew  time.Duration // the clocks of any two nodes differ by at most this
}

// Placement is the set of pods that a request may go to.
type Placement struct {
	Pods      []int64 // the request may go to these
	NewPods   []int64 // and to these, the new side of a move, while it is on both sides
	KeyBound  bool    // the request has a key that binds it, and Pods contains only its home
	Ambiguous bool    // it can't be determined where the key may have run, and the request must be refused
}

// PlaceUnkeyed places a request that no key binds.
func (t *Tenant) PlaceUnkeyed(now time.Duration) Placement {
	var buffer [8]podChange
	all := t.podChanges(0, false, buffer[:0])
	i := latestChange(all, now)
	p := Placement{Pods: all[i].pods}
	if step, move := t.Step(now, 0, 0); step == Both && t.Moves[move].movesAll() {
		p.NewPods = t.Moves[move].To
	}
	return p
}

// PlaceKeyed places a request with a key of which repeats are dropped within a pod during the window. If a change of
// the key's home is so close that the key may have run on either side, a first request is placed by this node's clock
// provided that clients mark their repeats. The placement of a repeat, or of a request that may be one, is ambiguous.
func (t *Tenant) PlaceKeyed(now time.Duration, key uint64, window time.Duration, repeat bool, a Assumptions) Placement {
	var buffer [8]podChange
	all := t.podChanges(key, true, buffer[:0])
	i := latestChange(all, now)
	home := HomePod(key, all[i].pods)
	p := Placement{Pods: []int64{home}, KeyBound: true}
	if a.RepeatsMarked && !repeat {
		return p
	}
	// Another node's clock may be ahead or behind by the skew.
	for k := latestChange(all, now-drainTime(window)-a.MaxClockSkew); k <= latestChange(all, now+a.MaxClockSkew); k++ {
		if HomePod(key, all[k].pods) != home {
			p.Ambiguous = true
		}
	}
	return p
}

// drainTime returns how long the old side of a move is drained: repeats of a key that was sent before the cut go there
// during a window, and the last of them may be the first that runs, after which its pod drops repeats for another
// window.
func drainTime(window time.Duration) time.Duration { return 2 * window }

// latestChange returns the index of the last change that is not after now.
func latestChange(all []podChange, now time.Duration) int {
	i := len(all) - 1
	for all[i].at > now {
		i--
	}
	return i
}

// KeyHash returns the hash of a tenant's key. Among 100,000 keys two have the same hash with a probability of 3e-10;
// one of them then goes to the pod of the other.
func KeyHash(tenant, key string) uint64 {
	return mix(xxhash.Sum64String(tenant) ^ mix(xxhash.Sum64String(key)))
}

// HomePod returns the pod of a key, chosen by rendezvous hashing: if the list of pods changes, a pod that stays keeps
// its keys, except those that a new pod wins.
func HomePod(key uint64, pods []int64) int64 {
	return slices.MaxFunc(pods, func(a, b int64) int {
		return cmp.Or(cmp.Compare(mix(key^mix(uint64(a)+1)), mix(key^mix(uint64(b)+1))), cmp.Compare(a, b))
	})
}

// InPods returns a map of the servers that are in the given pods.
func (m *Map) InPods(pods ...int64) *Map {
	var matching []Server
	for _, s := range m.servers {
		if slices.Contains(pods, s.Pod) {
			matching = append(matching, s)
		}
	}
	return NewMap(m.plan, matching...)
}
