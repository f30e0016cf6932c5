package cell

import (
	"cmp"
	"slices"
	"time"
)

// Keys remembers where keys may have run, so that what is in doubt by a Tenant's terms alone can be sent where the node
// itself has sent it before. It holds a bounded number: past it the oldest is forgotten, and its repeats are in doubt
// again; none is guessed. Not safe for concurrent use.
type KeyTracker struct {
	maxKeys int
	byKey   map[uint64]keyPlacement
	order   []keyExpiry // a ring of most, oldest first
	first   int
	evicted int64
}

type keyPlacement struct {
	pod   int64
	until time.Duration
}

type keyExpiry struct {
	key   uint64
	until time.Duration
}

// NewKeys makes a memory for so many keys, at least one; 48 to 80 bytes each once it is full.
func NewKeyTracker(most int) *KeyTracker {
	return &KeyTracker{maxKeys: max(1, most), byKey: map[uint64]keyPlacement{}}
}

// Sent notes that a key was sent to a pod, where repeats of it are dropped for the window from its first send on.
func (k *KeyTracker) Sent(now time.Duration, key uint64, pod int64, window time.Duration) {
	if r, known := k.byKey[key]; known && now < r.until {
		return // its window runs from the first
	}
	for len(k.order) > k.first && now >= k.order[k.first].until {
		k.dropOldest()
	}
	if len(k.order)-k.first >= k.maxKeys {
		k.dropOldest()
		k.evicted++
	}
	k.byKey[key] = keyPlacement{pod, now + window}
	k.order = append(k.order, keyExpiry{key, now + window})
}

// drop forgets the oldest, unless it was sent anew after its time.
func (k *KeyTracker) dropOldest() {
	e := k.order[k.first]
	if k.byKey[e.key].until == e.until {
		delete(k.byKey, e.key)
	}
	if k.first++; k.first >= k.maxKeys {
		k.order = append(k.order[:0], k.order[k.first:]...)
		k.first = 0
	}
}

// Find tells in which pod a key may have run within its window.
func (k *KeyTracker) Find(now time.Duration, key uint64) (pod int64, known bool) {
	r, known := k.byKey[key]
	return r.pod, known && now < r.until
}

// Kept is a key that is remembered.
type Kept struct {
	Key   uint64
	Pod   int64
	Until time.Duration
}

// All are those remembered whose time is not up.
func (k *KeyTracker) All(now time.Duration) (all []Kept) {
	for key, r := range k.byKey {
		if now < r.until {
			all = append(all, Kept{key, r.pod, r.until})
		}
	}
	return all
}

// Restore takes up what another process remembered.
func (k *KeyTracker) Restore(now time.Duration, all []Kept) {
	slices.SortFunc(all, func(a, b Kept) int { return cmp.Compare(a.Until, b.Until) }) // the oldest is forgotten first
	for _, e := range all {
		k.Sent(now, e.Key, e.Pod, e.Until-now)
	}
}

// Len is how many are remembered, and Forgot how many were pushed out within their window, since the start.
func (k *KeyTracker) Len() int       { return len(k.byKey) }
func (k *KeyTracker) Evicted() int64 { return k.evicted }
